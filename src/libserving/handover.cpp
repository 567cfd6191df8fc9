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

void raise(TimePoint &instant, TimePoint to)
{
    instant = std::max(instant, to);
}

void expire(HandoverState &state, const Configuration &config, TimePoint now)
{
    std::erase_if(state.vmBusyUntil, [now](const auto &item) { return item.second <= now; });
    std::erase_if(state.groupUntil, [&](const auto &item) {
        return item.second <= now || !config.groups.contains(item.first);
    });
}

} // namespace

void noteConfigurationChange(HandoverState &state, const Configuration &before,
                             const Configuration &after, const EntryId &self, bool mayHaveSkipped,
                             Duration wait, TimePoint now)
{
    expire(state, after, now);
    for (const auto &[id, group] : before.groups) {
        if (after.groups.contains(id) || !hasOtherDispatcher(group, self))
            continue;
        for (const VmId &vm : group.vms)
            raise(state.vmBusyUntil[vm], now + wait);
    }
    for (const auto &[id, group] : after.groups) {
        if (group.dispatcher != self)
            continue;
        const ServingGroup *previous = findGroup(before, id);
        const bool takenOver = previous && previous->dispatcherSince != group.dispatcherSince
                               && hasOtherDispatcher(*previous, self);
        // In a skipped configuration another entry may have used the VMs of a new group.
        const bool maybeUsed = mayHaveSkipped && !previous;
        if (maybeUsed || takenOver)
            raise(state.groupUntil[id], now + wait);
    }
}

void noteGroupReleased(HandoverState &state, GroupId group, TimePoint now)
{
    const auto found = state.groupUntil.find(group);
    if (found != state.groupUntil.end())
        found->second = std::min(found->second, now);
}

TimePoint handoverEnd(const HandoverState &state, const ServingGroup &group)
{
    TimePoint end{};
    const auto own = state.groupUntil.find(group.id);
    if (own != state.groupUntil.end())
        end = own->second;
    for (const VmId &vm : group.vms) {
        const auto busy = state.vmBusyUntil.find(vm);
        if (busy != state.vmBusyUntil.end())
            end = std::max(end, busy->second);
    }
    return end;
}

} // namespace Trefoil
