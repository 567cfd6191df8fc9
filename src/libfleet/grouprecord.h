#pragma once

#include "libfleet/groupmembership.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Trefoil {

// Serving group as the replicated log contains it.
struct GroupRecord
{
    std::string name;
    std::uint64_t epoch = 0;
    std::string service;
    std::string model;
    std::string fabric;
    bool isWarmUp = false;
    // Members and the Unix times of their starts in milliseconds. The first member is the head.
    std::vector<std::pair<EndpointId, std::uint64_t>> members;

    bool operator==(const GroupRecord &) const = default;
};

// All groups that may have members. No VM is in two of them.
struct GroupRecords
{
    std::map<std::string, GroupRecord> byName;
    std::uint64_t firstEpoch = 0; // of the first group that was recorded, 0 when none was

    bool operator==(const GroupRecords &) const = default;
};

// Change of the records, committed as a whole. A record of a known group replaces the earlier one.
struct GroupRecordChanges
{
    std::vector<GroupRecord> recorded;
    std::vector<std::string> ended;

    bool isEmpty() const { return recorded.empty() && ended.empty(); }
};

// Applies the changes. Returns false and changes nothing when a VM would be in two groups.
bool applyRecordChanges(GroupRecords &records, const GroupRecordChanges &changes);

} // namespace Trefoil
