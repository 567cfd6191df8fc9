#pragma once

#include "libcoord/time.h"
#include "libfleet/endpoints.h"

#include <cstdint>
#include <map>
#include <random>

// Remembers which endpoints want no request of this entry for some time. Each entry obeys what it
// was told itself; other entries may go on.

namespace Trefoil {

// The requests of all entries that were told the same time return spread over this part of it, up
// to a maximum.
constexpr double HoldOffSpread = 0.1;
constexpr Duration MaxHoldOffSpread = std::chrono::seconds(1);

struct HoldOff
{
    std::uint64_t startedAtMs = 0; // identifies the incarnation
    TimePoint until{};
};

struct HoldOffs
{
    std::map<EndpointId, HoldOff> byEndpoint;
};

// Records that an incarnation wants no request for a time, and returns how long this entry sends
// it none. A shorter time does not end an earlier one, and an incarnation that has ended none of a
// later one.
Duration recordHoldOff(HoldOffs &holdOffs, const EndpointId &endpoint, std::uint64_t startedAtMs,
                       Duration duration, std::mt19937_64 &rng, TimePoint now);

// Returns how long the present incarnation of the endpoint still wants no request.
Duration timeUntilReturn(const HoldOffs &holdOffs, const Endpoint &endpoint, TimePoint now);

// Removes those that are over.
void removeExpiredHoldOffs(HoldOffs &holdOffs, TimePoint now);

} // namespace Trefoil
