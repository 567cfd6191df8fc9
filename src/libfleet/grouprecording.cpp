#include "libfleet/groupplanning.h"

#include <algorithm>

namespace Trefoil {

namespace {

GroupRecord makeRecord(const FleetGroup &group)
{
    GroupRecord record{group.name,     group.epoch, group.service, group.model, group.fabric,
                       group.isWarmUp, {}};
    for (const EndpointId &id : group.members) {
        const auto start = group.startedAtMs.find(id);
        record.members.emplace_back(id, start == group.startedAtMs.end() ? 0 : start->second);
    }
    return record;
}

// Removes an unproposed record of the group. Returns true when there was one.
bool removeUnproposed(GroupPlanner &planner, const std::string &group)
{
    return std::erase_if(planner.unproposedChanges.recorded,
                         [&group](const GroupRecord &record) { return record.name == group; })
           > 0;
}

} // namespace

void recordGroup(GroupPlanner &planner, const FleetGroup &group)
{
    removeUnproposed(planner, group.name);
    planner.unproposedChanges.recorded.push_back(makeRecord(group));
}

void removeRecord(GroupPlanner &planner, const FleetGroup &group)
{
    removeUnproposed(planner, group.name);
    if (group.isProposed)
        planner.unproposedChanges.ended.push_back(group.name);
}

void inheritGroups(GroupPlanner &planner, const GroupRecords &records, TimePoint now)
{
    planner.recordedSinceEpoch = records.firstEpoch > 0 ? records.firstEpoch : planner.nextEpoch;
    for (const auto &[name, record] : records.byName) {
        FleetGroup group;
        group.name = record.name;
        group.epoch = record.epoch;
        group.service = record.service;
        group.model = record.model;
        group.fabric = record.fabric;
        group.isWarmUp = record.isWarmUp;
        for (const auto &[id, startedAtMs] : record.members) {
            group.members.push_back(id);
            group.startedAtMs[id] = startedAtMs;
        }
        group.isAdopted = true;
        group.isProposed = true;
        group.isRecorded = true;
        group.closeMode = CloseMode::AbortRequests;
        setState(group, GroupState::Inherited, now);
        planner.groups[name] = group;
    }
}

GroupRecordChanges takeRecordChanges(GroupPlanner &planner)
{
    for (const GroupRecord &record : planner.unproposedChanges.recorded) {
        const auto group = planner.groups.find(record.name);
        if (group != planner.groups.end())
            group->second.isProposed = true;
    }
    return std::exchange(planner.unproposedChanges, {});
}

void confirmRecordChanges(GroupPlanner &planner, const GroupRecordChanges &changes)
{
    for (const GroupRecord &record : changes.recorded) {
        const auto group = planner.groups.find(record.name);
        if (group != planner.groups.end())
            group->second.isRecorded = true;
    }
}

void dropRecordChanges(GroupPlanner &planner, const GroupRecordChanges &changes)
{
    for (const GroupRecord &record : changes.recorded) {
        const auto group = planner.groups.find(record.name);
        if (group == planner.groups.end())
            continue;
        group->second.isProposed = group->second.isRecorded;
        if (!group->second.isRecorded)
            planner.groups.erase(group);
        else
            recordGroup(planner, group->second);
    }
    auto &ended = planner.unproposedChanges.ended;
    ended.insert(ended.end(), changes.ended.begin(), changes.ended.end());
}

} // namespace Trefoil
