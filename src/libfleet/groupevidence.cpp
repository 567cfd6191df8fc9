#include "libfleet/groupevidence.h"

#include <algorithm>

namespace Trefoil {

namespace {

// Returns true when the VM has answered a leave order of this leader for the group. The answer is
// that of an incarnation: a later one may have obeyed a join that was sent before.
bool hasAnsweredLeave(const PlanningStep &step, const EndpointId &id, const std::string &group)
{
    const auto answer = step.planner.leaveAnswers.find(id);
    if (answer == step.planner.leaveAnswers.end() || answer->second.group != group)
        return false;
    const Endpoint *endpoint = findEndpoint(step.table, id);
    return endpoint && endpoint->report.startedAtMs == answer->second.startedAtMs;
}

bool isServing(const Endpoint &endpoint)
{
    const auto &membership = endpoint.report.membership;
    return membership && membership->rank == 0
           && (membership->phase == MembershipPhase::Open
               || membership->phase == MembershipPhase::Closing);
}

} // namespace

std::optional<GroupEnd> proveGroupEnd(const PlanningStep &step, const FleetGroup &group)
{
    const bool mayHaveOpened = !group.isWarmUp && (group.isAdopted || group.hasOpenOrder);
    if (mayHaveOpened && !hasAnsweredLeave(step, group.members.front(), group.name))
        return std::nullopt;
    return GroupEnd();
}

std::optional<MemberExit> proveMemberExit(const PlanningStep &step, const FleetGroup &group,
                                          const EndpointId &id)
{
    if (!hasAnsweredLeave(step, id, group.name))
        return std::nullopt;
    return MemberExit();
}

std::optional<FreeVm> proveFree(const PlanningStep &step, const Endpoint &endpoint)
{
    const GroupPlanner &planner = step.planner;
    const EndpointId &id = endpoint.report.id;
    const bool isInDoubt = isInPlannedGroup(planner, id) || planner.pendingOrders.contains(id)
                           || planner.suspectedVms.contains(id);
    if (isInDoubt || !step.findUsable(id) || isServing(endpoint))
        return std::nullopt;
    const auto &membership = endpoint.report.membership;
    const bool isOut = !membership || planner.endedGroups.contains(membership->group)
                       || hasAnsweredLeave(step, id, membership->group);
    if (!isOut)
        return std::nullopt;
    return FreeVm(endpoint);
}

void recordEnd(GroupPlanner &planner, const FleetGroup &group, const GroupEnd & /*proof*/)
{
    planner.endedGroups.insert(group.name);
    removeRecord(planner, group);
}

void releaseMember(GroupPlanner &planner, FleetGroup &group, const EndpointId &id,
                   const MemberExit & /*proof*/)
{
    std::erase(group.members, id);
    if (group.isProposed)
        recordGroup(planner, group);
}

} // namespace Trefoil
