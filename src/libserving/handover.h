#pragma once

#include "libserving/model.h"

#include <map>

// The wait before a new dispatcher may use a group's VMs. Another entry that dispatched them stops
// once it learns of the change, or once it can no longer confirm its configuration; both happen
// within the freshness bound of the change.

namespace Trefoil {

struct HandoverState
{
    std::map<VmId, TimePoint> vmBusyUntil;   // VMs that another entry may still use
    std::map<GroupId, TimePoint> groupUntil; // groups that this entry took over
};

// Compares two configurations that this entry held in turn. `wait` is the freshness bound with an
// allowance for clock drift. `mayHaveSkipped` tells that there were configurations in between.
void noteConfigurationChange(HandoverState &state, const Configuration &before,
                             const Configuration &after, const EntryId &self, bool mayHaveSkipped,
                             Duration wait, TimePoint now);

// The previous dispatcher confirmed that it starts nothing on the group any more.
void noteGroupReleased(HandoverState &state, GroupId group, TimePoint now);

// When this entry may start requests on the group.
TimePoint handoverEnd(const HandoverState &state, const ServingGroup &group);

} // namespace Trefoil
