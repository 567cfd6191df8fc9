#include "libserving/handover.h"

#include <algorithm>

namespace Trefoil {

namespace {

const ServingGroup *findGroup(const Configuration &config, GroupId id)
{
    const auto found = config.groups.find(id);
    return found == config.groups.end() ? nullptr : &found->second;
}

bool hasOtherDispatcher(const ServingGroup &group, const EntryId &self)
{
    return group.dispatcher != self;
}

void extendTo(TimePoint &instant, TimePoint to)
{
    instant = std::max(instant, to);
}

void removeExpired(HandoverState &state, const Configuration &config, TimePoint now)
{
    std::erase_if(state.vmBusyUntil, [now](const auto &item) { return item.second <= now; });
    std::erase_if(state.groupBusyUntil, [&](const auto &item) {
        return item.second <= now || !config.groups.contains(item.first);
    });
}

} // namespace

void recordConfigurationChange(HandoverState &state, const Configuration &before,
                               const Configuration &after, const EntryId &self,
                               bool mayHaveSkippedVersions, Duration wait, TimePoint now)
{
    removeExpired(state, after, now);
    for (const auto &[id, group] : before.groups) {
        if (after.groups.contains(id) || !hasOtherDispatcher(group, self))
            continue;
        for (const VmId &vm : group.vms)
            extendTo(state.vmBusyUntil[vm], now + wait);
    }
    for (const auto &[id, group] : after.groups) {
        if (group.dispatcher != self)
            continue;
        const ServingGroup *previous = findGroup(before, id);
        const bool isTakenOver = previous && previous->dispatcherSince != group.dispatcherSince
                                 && hasOtherDispatcher(*previous, self);
        // Another entry may have used the VMs of a new group in a skipped version.
        const bool mayBeInUse = mayHaveSkippedVersions && !previous;
        if (mayBeInUse || isTakenOver)
            extendTo(state.groupBusyUntil[id], now + wait);
    }
}

void recordGroupRelease(HandoverState &state, GroupId group, TimePoint now)
{
    const auto found = state.groupBusyUntil.find(group);
    if (found != state.groupBusyUntil.end())
        found->second = std::min(found->second, now);
}

TimePoint handoverEnd(const HandoverState &state, const ServingGroup &group)
{
    TimePoint end{};
    const auto own = state.groupBusyUntil.find(group.id);
    if (own != state.groupBusyUntil.end())
        end = own->second;
    for (const VmId &vm : group.vms) {
        const auto busy = state.vmBusyUntil.find(vm);
        if (busy != state.vmBusyUntil.end())
            end = std::max(end, busy->second);
    }
    return end;
}

} // namespace Trefoil
