#pragma once

#include "libserving/model.h"

#include <map>

// Computes how long a new dispatcher waits before it uses a group's VMs. The previous dispatcher
// stops once it learns of the change, or once it can no longer confirm its configuration. Both
// happen within the freshness bound after the change.

namespace Trefoil {

struct HandoverState
{
    // The times until which another entry may use VMs of ended groups.
    std::map<VmId, TimePoint> vmBusyUntil;
    // The times until which another entry may use groups that this entry dispatches now.
    std::map<GroupId, TimePoint> groupBusyUntil;
};

// Updates the waits after this entry replaced the configuration `before` by `after`. `wait` is the
// freshness bound with an allowance for clock drift. `mayHaveSkippedVersions` is true when there
// may be versions between the two configurations.
void recordConfigurationChange(HandoverState &state, const Configuration &before,
                               const Configuration &after, const EntryId &self,
                               bool mayHaveSkippedVersions, Duration wait, TimePoint now);

// Ends the wait for a group after its previous dispatcher confirmed that it starts no more requests
// on it.
void recordGroupRelease(HandoverState &state, GroupId group, TimePoint now);

// Returns the time from which this entry may start requests on the group.
TimePoint handoverEnd(const HandoverState &state, const ServingGroup &group);

} // namespace Trefoil
