#include "libfleet/groupevidence.h"

#include <algorithm>
#include <optional>

namespace Trefoil {

namespace {

// Returns the reason why an endpoint takes no new work. `live` is null when the endpoint was not
// heard within the loss timeout.
const char *unusableReason(const Endpoint *live)
{
    if (!live)
        return "is silent";
    if (live->report.isDraining)
        return "drains";
    return live->isLeaving ? "leaves" : "was replaced";
}

// Orders the other members to leave a group whose head does not answer.
void detachFromHead(PlanningStep &step, const FleetGroup &group)
{
    for (const EndpointId &id : group.members) {
        const Endpoint *member = step.findLive(id);
        if (!member || id == group.members.front())
            continue;
        queueOrder(step, *member, group, OrderKind::Leave, "the head of the group is silent");
    }
}

// Releases the members that have left a closing group, so that other groups can use them. Without
// them the head makes no progress, whatever its state is. The head itself stays in the group, since
// it may hold requests and an open order may still take effect there.
void releaseMembers(PlanningStep &step, FleetGroup &group)
{
    const std::vector<EndpointId> others(group.members.begin() + 1, group.members.end());
    for (const EndpointId &id : others) {
        if (const auto exit = proveMemberExit(step, group, id))
            releaseMember(step.planner, group, id, *exit);
    }
}

} // namespace

bool isStalled(const PlanningStep &step, const FleetGroup &group)
{
    const GroupPlanner &planner = step.planner;
    const auto stall = planner.lastStallByHead.find(group.members.front());
    const auto progress = planner.lastProgressByHead.find(group.members.front());
    if (stall == planner.lastStallByHead.end())
        return false;
    const bool isRefuted = progress != planner.lastProgressByHead.end()
                           && step.now - progress->second < planner.options.stallRefutationTime;
    return !isRefuted && step.now - stall->second < planner.options.stallReportLifetime;
}

std::optional<MissingMember> findMissingMember(const PlanningStep &step, const FleetGroup &group)
{
    const bool isGroupStalled = isStalled(step, group);
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = step.findUsable(id);
        if (!endpoint)
            return MissingMember{id, unusableReason(step.findLive(id))};
        if (hasRestarted(*endpoint, group))
            return MissingMember{id, "has started anew"};
        const Duration silence = step.now - endpoint->lastReportAt;
        // The members of an adopted group may still report to the earlier leader.
        const bool isGathering = group.isAdopted && step.now < step.planner.gatherReportsUntil;
        const bool usesShorterTimeout =
                isGroupStalled || (group.state == GroupState::Forming && !isGathering);
        if (usesShorterTimeout && silence > step.planner.options.stalledLossTimeout)
            return MissingMember{id, isGroupStalled ? "is silent and its group is stalled"
                                                    : "is silent while its group forms"};
        const bool belongsToGroup =
                group.state == GroupState::Forming || isMember(*endpoint, group);
        if (!belongsToGroup)
            return MissingMember{id, "is not in the group any more"};
    }
    return std::nullopt;
}

void suspectVm(GroupPlanner &planner, const EndpointId &id, TimePoint now)
{
    planner.suspectedVms[id] = now;
}

void closeGroup(FleetGroup &group, std::string reason, CloseMode mode, TimePoint now)
{
    group.closeReason = std::move(reason);
    group.closeMode = mode;
    setState(group, GroupState::Closing, now);
}

void startClosing(PlanningStep &step, FleetGroup &group, const MissingMember &missing)
{
    suspectVm(step.planner, missing.id, step.now);
    const Endpoint *live = step.findLive(missing.id);
    const bool isPlanned = live && (live->report.isDraining || live->isLeaving);
    closeGroup(group, missing.id + " " + missing.reason,
               isPlanned ? CloseMode::FinishRequests : CloseMode::AbortRequests, step.now);
}

void advanceClosing(PlanningStep &step, FleetGroup &group)
{
    const Endpoint *head = step.findLive(group.members.front());
    if (head && head->isReplaced)
        head = nullptr;
    releaseMembers(step, group);
    if (step.now - group.stateSince > step.planner.options.closeTimeout)
        group.closeMode = CloseMode::AbortRequests;
    const bool hasCloseTimedOut =
            group.closeMode == CloseMode::AbortRequests
            && step.now - group.stateSince > step.planner.options.closeAnswerTimeout;
    if (!head || hasCloseTimedOut)
        detachFromHead(step, group);
    if (!head)
        return;
    const auto &membership = head->report.membership;
    const bool isServing = isMember(*head, group)
                           && (membership->phase == MembershipPhase::Open
                               || membership->phase == MembershipPhase::Closing);
    // A head that has opened since its report, or that opens by a late order, must leave as well.
    if (!isServing) {
        queueHeadOrder(step, group, *head, OrderKind::Leave, group.closeReason);
        return;
    }
    queueHeadOrder(step, group, *head, OrderKind::Close, group.closeReason);
}

bool isAbandoned(const PlanningStep &step, const FleetGroup &group)
{
    const bool isLongAgo = step.now - group.stateSince > step.planner.options.unknownHeadRetention;
    const bool isClosing = group.state == GroupState::Closing || isUnheard(step, group);
    return isClosing
           && std::all_of(group.members.begin(), group.members.end(), [&](const EndpointId &id) {
                  const Endpoint *endpoint = findEndpoint(step.table, id);
                  return endpoint ? endpoint->isReplaced : isLongAgo;
              });
}

void detachUnknownMembers(PlanningStep &step)
{
    if (step.now < step.planner.gatherReportsUntil)
        return;
    for (const auto &[id, endpoint] : step.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        const bool isCandidate = membership && step.findUsable(id)
                                 && !isInPlannedGroup(step.planner, id)
                                 && !step.planner.groups.contains(membership->group)
                                 && !step.planner.suspectedVms.contains(id);
        if (!isCandidate || proveFree(step, endpoint))
            continue;
        FleetGroup unknown;
        unknown.name = membership->group;
        unknown.epoch = membership->epoch;
        queueOrder(step, endpoint, unknown, OrderKind::Leave, "the log does not contain the group");
    }
}

} // namespace Trefoil
