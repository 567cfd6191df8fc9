#include "libfleet/groupplanning.h"

#include <algorithm>
#include <optional>

namespace Trefoil {

namespace {

// True while entries see no progress at the head. A VM of such a group is lost after a shorter
// silence of its own.
bool isStalled(const Planning &planning, const FleetGroup &group)
{
    const GroupPlanner &planner = planning.planner;
    const auto stalled = planner.stalledHeads.find(group.members.front());
    const auto progressed = planner.progressedHeads.find(group.members.front());
    if (stalled == planner.stalledHeads.end())
        return false;
    const bool isRefuted = progressed != planner.progressedHeads.end()
                           && planning.now - progressed->second < planner.options.stallSilence;
    return !isRefuted && planning.now - stalled->second < planner.options.stallMemory;
}

// Why an endpoint is not usable, by what was heard of it lately, null when nothing was.
const char *unusableReason(const Endpoint *heard)
{
    if (!heard)
        return "is silent";
    if (heard->report.isDraining)
        return "drains";
    return heard->hasLeft ? "leaves" : "was replaced";
}

// The head's life in the group has provably ended. A new leader may know only a report of the head
// that is older than the group; then the head must obey a leave order first.
bool hasEnded(const Planning &planning, const FleetGroup &group, const Endpoint &head)
{
    if (head.isSucceeded || group.left.contains(head.report.id))
        return true;
    return group.isHeadKnown && planning.heard(head.report.id) && !isMember(head, group);
}

// Orders the members to leave a head that does not answer.
void leaveHead(Planning &planning, const FleetGroup &group)
{
    for (const EndpointId &id : group.members) {
        const Endpoint *member = planning.heard(id);
        if (!member || id == group.members.front())
            continue;
        if (isMember(*member, group) && !group.left.contains(id))
            order(planning, *member, group, OrderKind::Leave, "the head of the group is silent");
    }
}

// Takes members that have left a silent head out of the group, so that others can use them: without
// them it stands still, wherever it is. The head stays: an open order may still take effect there,
// and it may hold requests.
void releaseMembers(const Planning &planning, FleetGroup &group)
{
    const auto hasLeft = [&](const EndpointId &id) {
        const Endpoint *member = planning.heard(id);
        return member && (!isMember(*member, group) || group.left.contains(id));
    };
    const auto left = std::remove_if(group.members.begin() + 1, group.members.end(), hasLeft);
    group.members.erase(left, group.members.end());
}

} // namespace

std::optional<MissingMember> missingMember(const Planning &planning, const FleetGroup &group)
{
    const bool stalled = isStalled(planning, group);
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = planning.usable(id);
        if (!endpoint)
            return MissingMember{id, unusableReason(planning.heard(id))};
        const Duration silence = planning.now - endpoint->lastReport;
        const bool isDoubtful = stalled || group.stage == GroupStage::Forming;
        if (isDoubtful && silence > planning.planner.options.stalledLossTimeout)
            return MissingMember{id, stalled ? "is silent and its group stands still"
                                             : "is silent while its group forms"};
        const bool joined = group.stage == GroupStage::Forming || isMember(*endpoint, group);
        if (!joined)
            return MissingMember{id, "is not in the group any more"};
    }
    return std::nullopt;
}

void suspect(GroupPlanner &planner, const EndpointId &id, TimePoint now)
{
    planner.suspects[id] = now;
}

void closeGroup(FleetGroup &group, std::string reason, CloseMode mode, TimePoint now)
{
    group.closeReason = std::move(reason);
    group.closeMode = mode;
    setStage(group, GroupStage::Closing, now);
}

void startClosing(Planning &planning, FleetGroup &group, const MissingMember &missing)
{
    suspect(planning.planner, missing.id, planning.now);
    const Endpoint *heard = planning.heard(missing.id);
    const bool isPlanned = heard && (heard->report.isDraining || heard->hasLeft);
    closeGroup(group, missing.id + " " + missing.reason,
               isPlanned ? CloseMode::FinishRequests : CloseMode::CutRequests, planning.now);
}

bool finishClosing(Planning &planning, FleetGroup &group)
{
    const Endpoint *known = findEndpoint(planning.table, group.members.front());
    if (known && hasEnded(planning, group, *known))
        return true;
    const Endpoint *head = planning.heard(group.members.front());
    const bool isUnanswered =
            group.closeMode == CloseMode::CutRequests
            && planning.now - group.stageSince > planning.planner.options.closeAnswerTime;
    if (!head || isUnanswered)
        leaveHead(planning, group);
    releaseMembers(planning, group);
    if (!head)
        return !known;
    if (!isMember(*head, group)) {
        orderHead(planning, group, *head, OrderKind::Leave, "its report is older than the group");
        return false;
    }
    group.isHeadKnown = true;
    if (head->report.membership->phase == MembershipPhase::Open)
        group.isOpening = false;
    switch (head->report.membership->phase) {
    case MembershipPhase::Broken:
        return true;
    case MembershipPhase::Joining:
    case MembershipPhase::Ready:
        if (group.unansweredOpens == 0 && !group.isOpening)
            return true;
        // An open order, also one of an earlier leader, that takes effect late or did so since the
        // report must not find the head in the group any more.
        orderHead(planning, group, *head, OrderKind::Leave, "an open order may take effect late");
        return false;
    case MembershipPhase::Open:
    case MembershipPhase::Closing:
        break;
    }
    if (planning.now - group.stageSince > planning.planner.options.closeTimeout)
        group.closeMode = CloseMode::CutRequests;
    orderHead(planning, group, *head, OrderKind::Close, group.closeReason);
    return false;
}

} // namespace Trefoil
