#pragma once

#include <cstdint>
#include <string>

namespace Trefoil {

using EndpointId = std::string;

enum class MembershipPhase : std::uint8_t { Joining, Ready, Open, Closing, Broken };

// Membership of an engine in a serving group, as the engine reports it.
struct GroupMembership
{
    std::string group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0; // 0 is the head, which receives the group's requests
    MembershipPhase phase = MembershipPhase::Joining;

    bool operator==(const GroupMembership &) const = default;
};

} // namespace Trefoil
