#pragma once

#include "libfleet/groupplanning.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// What a leader must know before it uses a VM for a new group. Values of these types can only be
// made from the evidence that docs/design/control.md names, so that nothing else can free a VM: no
// report, since it may be older than a join; no silence; no missing service or field; and no order
// of an earlier leader, since it may have sent another one after it. Internal to libfleet.

namespace Trefoil {

// Proof that the head of a group does not serve it and cannot do so later.
class GroupEnd
{
private:
    GroupEnd() = default;
    friend std::optional<GroupEnd> proveGroupEnd(const PlanningStep &step, const FleetGroup &group);
};

// Proof that one member is out of its group, whose head may serve.
class MemberExit
{
private:
    MemberExit() = default;
    friend std::optional<MemberExit> proveMemberExit(const PlanningStep &step,
                                                     const FleetGroup &group, const EndpointId &id);
};

// A VM that is in no group and takes new work.
class FreeVm
{
public:
    const Endpoint &operator*() const { return *endpoint_; }
    const Endpoint *operator->() const { return endpoint_; }

private:
    explicit FreeVm(const Endpoint &endpoint)
        : endpoint_(&endpoint)
    {}
    friend std::optional<FreeVm> proveFree(const PlanningStep &step, const Endpoint &endpoint);

    const Endpoint *endpoint_;
};

using FreeVms = std::vector<FreeVm>;
using FreeVmsByFabric = std::map<std::string, FreeVms>;

// Returns the proof when the head has answered a leave order of this leader, or when no leader can
// have ordered it to open.
std::optional<GroupEnd> proveGroupEnd(const PlanningStep &step, const FleetGroup &group);

// Returns the proof when the member has answered a leave order of this leader.
std::optional<MemberExit> proveMemberExit(const PlanningStep &step, const FleetGroup &group,
                                          const EndpointId &id);

// Returns the VM when no group of the log contains it, no order to it is open, and the group that
// it reports, if any, has ended or was left by it in answer to this leader.
std::optional<FreeVm> proveFree(const PlanningStep &step, const Endpoint &endpoint);

// Records that a group has ended, so that its VMs are free. The caller removes it from the planner.
void recordEnd(GroupPlanner &planner, const FleetGroup &group, const GroupEnd &proof);

// Removes a member from a group and from its record.
void releaseMember(GroupPlanner &planner, FleetGroup &group, const EndpointId &id,
                   const MemberExit &proof);

// Stages models on free VMs that hold none, so that they can form a group without loading.
void stageSpareVms(PlanningStep &step, const Service &service, const std::string &fabric,
                   const FreeVms &spares);

// Stages on each VM a model other than the one that it holds, so that the VMs that remain of a lost
// group can join a group of any model.
void stageStandbyModels(PlanningStep &step, const Service &service, const FreeVms &spares);

} // namespace Trefoil
