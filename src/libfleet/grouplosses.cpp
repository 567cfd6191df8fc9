#include "libfleet/groupplanning.h"

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

// Returns true when the endpoint is certainly out of the group. The only report of it that a new
// leader knows may be older than the group. Then it counts as out only after it has accepted a
// leave order.
bool hasLeft(const PlanningStep &step, const FleetGroup &group, const Endpoint &endpoint)
{
    const EndpointId &id = endpoint.report.id;
    if (endpoint.isReplaced || group.leftMembers.contains(id))
        return true;
    return group.confirmedMembers.contains(id) && step.findLive(id) && !isMember(endpoint, group);
}

// Orders the other members to leave a group whose head does not answer.
void detachFromHead(PlanningStep &step, const FleetGroup &group)
{
    for (const EndpointId &id : group.members) {
        const Endpoint *member = step.findLive(id);
        if (!member || id == group.members.front())
            continue;
        if (!hasLeft(step, group, *member))
            queueOrder(step, *member, group, OrderKind::Leave, "the head of the group is silent");
    }
}

// Removes members that have left a closing group, so that other groups can use them. Without them
// the head makes no progress, whatever its state is. The head itself stays in the group, since it
// may hold requests and an open order may still take effect there.
void releaseMembers(PlanningStep &step, FleetGroup &group)
{
    const auto isReleased = [&](const EndpointId &id) {
        const Endpoint *member = step.findLive(id);
        return member && hasLeft(step, group, *member);
    };
    const auto firstReleased =
            std::remove_if(group.members.begin() + 1, group.members.end(), isReleased);
    if (firstReleased == group.members.end())
        return;
    group.members.erase(firstReleased, group.members.end());
    if (group.isProposed)
        recordGroup(step.planner, group);
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

bool advanceClosing(PlanningStep &step, FleetGroup &group)
{
    const Endpoint *known = findEndpoint(step.table, group.members.front());
    if (known && hasLeft(step, group, *known))
        return true;
    const Endpoint *head = step.findLive(group.members.front());
    const bool hasCloseTimedOut =
            group.closeMode == CloseMode::AbortRequests
            && step.now - group.stateSince > step.planner.options.closeAnswerTimeout;
    if (!head || hasCloseTimedOut)
        detachFromHead(step, group);
    releaseMembers(step, group);
    if (!head) {
        // A head that has never reported to this leader may still serve.
        const bool mayServe =
                !group.confirmedMembers.contains(group.members.front())
                && step.now - group.stateSince <= step.planner.options.unknownHeadRetention;
        const bool isAnyKnown =
                std::any_of(group.members.begin(), group.members.end(),
                            [&step](const EndpointId &id) { return findEndpoint(step.table, id); });
        return !isAnyKnown && !mayServe;
    }
    if (!isMember(*head, group)) {
        queueHeadOrder(step, group, *head, OrderKind::Leave, "its report is older than the group");
        return false;
    }
    if (head->report.membership->phase == MembershipPhase::Open)
        group.isOpenPending = false;
    switch (head->report.membership->phase) {
    case MembershipPhase::Broken:
        return true;
    case MembershipPhase::Joining:
    case MembershipPhase::Ready:
        if (group.unansweredOpenOrders == 0 && !group.isOpenPending)
            return true;
        // The head may have opened since its report, or may still open by a late order of this or
        // an earlier leader. It must leave the group, so that such an order has no effect.
        queueHeadOrder(step, group, *head, OrderKind::Leave, "an open order may take effect late");
        return false;
    case MembershipPhase::Open:
    case MembershipPhase::Closing:
        break;
    }
    if (step.now - group.stateSince > step.planner.options.closeTimeout)
        group.closeMode = CloseMode::AbortRequests;
    queueHeadOrder(step, group, *head, OrderKind::Close, group.closeReason);
    return false;
}

} // namespace Trefoil
