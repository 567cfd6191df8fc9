#include "libfleet/groupevidence.h"

#include <algorithm>
#include <map>

namespace Trefoil {

namespace {

// Reports of the engines about a group that this planner does not know.
struct ReportedGroup
{
    std::optional<GroupMembership> membership; // of one of the members
    FleetGroup group;
    std::map<std::uint32_t, EndpointId> memberByRank;
    bool isHeadLive = false;
    bool isAnyMemberLive = false;
    MembershipPhase headPhase = MembershipPhase::Joining;
};

// Returns true when the log tells that a group that it does not contain has ended.
bool hasEndedByLog(const PlanningStep &step, const ReportedGroup &reported)
{
    const GroupMembership &membership = *reported.membership;
    if (membership.epoch < step.planner.recordedSinceEpoch)
        return false;
    const bool isServing = reported.headPhase == MembershipPhase::Open
                           || reported.headPhase == MembershipPhase::Closing;
    return !isServing || isInPlannedGroup(step.planner, headOfGroup(membership));
}

std::map<std::string, ReportedGroup> findUnknownGroups(const PlanningStep &step)
{
    std::map<std::string, ReportedGroup> groups;
    for (const auto &[id, endpoint] : step.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        const bool isUnknown = membership && !step.planner.groups.contains(membership->group)
                               && !step.planner.endedGroups.contains(membership->group)
                               && !endpoint.isReplaced;
        if (!isUnknown)
            continue;
        ReportedGroup &reported = groups[membership->group];
        reported.membership = membership;
        FleetGroup &group = reported.group;
        group.name = membership->group;
        group.epoch = membership->epoch;
        group.service = endpoint.report.service;
        group.model = modelOfGroup(*membership);
        group.fabric = endpoint.report.fabric;
        group.startedAtMs[id] = endpoint.report.startedAtMs;
        reported.memberByRank[membership->rank] = id;
        if (!step.findLive(id))
            continue;
        reported.isAnyMemberLive = true;
        if (membership->rank == 0) {
            reported.isHeadLive = true;
            reported.headPhase = membership->phase;
        }
    }
    return groups;
}

// Adds members that reported only after their group was adopted, or that joined late.
void addLateMembers(PlanningStep &step)
{
    for (const auto &[id, endpoint] : step.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (!membership)
            continue;
        const auto group = step.planner.groups.find(membership->group);
        if (group == step.planner.groups.end())
            continue;
        if (isInPlannedGroup(step.planner, id) || proveMemberExit(step, group->second, id))
            continue;
        group->second.members.push_back(id);
        group->second.startedAtMs[id] = endpoint.report.startedAtMs;
        if (group->second.isProposed)
            recordGroup(step.planner, group->second);
    }
}

// Continues with a group of an earlier leader that all its members report, according to the phase
// of its head.
void continueGroup(PlanningStep &step, FleetGroup &group, MembershipPhase headPhase)
{
    switch (headPhase) {
    case MembershipPhase::Joining:
    case MembershipPhase::Ready:
        if (group.state != GroupState::Forming)
            setState(group, GroupState::Forming, step.now);
        break;
    case MembershipPhase::Open:
        setState(group, GroupState::Open, step.now);
        break;
    case MembershipPhase::Closing:
        closeGroup(group, "an earlier leader closed it", CloseMode::FinishRequests, step.now);
        break;
    case MembershipPhase::Broken:
        closeGroup(group, "it is broken", CloseMode::AbortRequests, step.now);
        break;
    }
}

// Returns a member that certainly is or will be lost, if any. A silent member may not have reported
// to this leader yet.
std::optional<MissingMember> findLostMember(const PlanningStep &step, const FleetGroup &group)
{
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = findEndpoint(step.table, id);
        if (!endpoint)
            continue;
        if (hasRestarted(*endpoint, group))
            return MissingMember{id, "has started anew"};
        if (endpoint->isReplaced)
            return MissingMember{id, "was replaced"};
        if (endpoint->isLeaving || endpoint->report.isDraining)
            return MissingMember{id, "leaves"};
    }
    return std::nullopt;
}

bool isAnyMemberLive(const PlanningStep &step, const FleetGroup &group)
{
    return std::any_of(group.members.begin(), group.members.end(),
                       [&step](const EndpointId &id) { return step.findLive(id); });
}

// Returns true when members that have not reported yet may count as lost. After a restart of all
// control VMs, reports need longer than a heartbeat interval, and groups serve meanwhile; a group
// that entries report as stalled does not.
bool isGatheringOver(const PlanningStep &step, const FleetGroup &group)
{
    const GroupPlanner &planner = step.planner;
    if (!isAnyMemberLive(step, group) || step.now < planner.gatherReportsUntil)
        return false;
    return isStalled(step, group) || step.now >= planner.leadsSince + planner.options.lossTimeout;
}

} // namespace

bool isInPlannedGroup(const GroupPlanner &planner, const EndpointId &id)
{
    return std::any_of(planner.groups.begin(), planner.groups.end(), [&id](const auto &item) {
        const auto &members = item.second.members;
        return std::find(members.begin(), members.end(), id) != members.end();
    });
}

bool isUnheard(const PlanningStep &step, const FleetGroup &group)
{
    return group.state == GroupState::Inherited && !isAnyMemberLive(step, group)
           && step.now >= step.planner.leadsSince + step.planner.options.lossTimeout;
}

bool continueReportedGroup(PlanningStep &step, FleetGroup &group)
{
    const bool isReported =
            std::all_of(group.members.begin(), group.members.end(), [&](const EndpointId &id) {
                const Endpoint *endpoint = step.findLive(id);
                return endpoint && isMember(*endpoint, group);
            });
    if (!isReported)
        return false;
    const Endpoint &head = *step.findLive(group.members.front());
    continueGroup(step, group, head.report.membership->phase);
    return true;
}

void advanceInherited(PlanningStep &step, FleetGroup &group, const EngineProfile &engine)
{
    const ModelProfile *model = findModel(engine, group.model);
    const bool isComplete = model && (group.isWarmUp || group.members.size() == model->vmsPerGroup);
    if (const auto lost = findLostMember(step, group)) {
        startClosing(step, group, *lost);
        return;
    }
    if (!isComplete) {
        closeGroup(group, "it is incomplete", CloseMode::AbortRequests, step.now);
        return;
    }
    if (isUnheard(step, group) || continueReportedGroup(step, group))
        return;
    joinMembers(step, group, engine);
    if (isGatheringOver(step, group))
        setState(group, GroupState::Forming, step.now);
}

bool fenceMembers(PlanningStep &step, const FleetGroup &group)
{
    bool allFenced = true;
    for (const EndpointId &id : group.members) {
        if (group.fencedMembers.contains(id))
            continue;
        allFenced = false;
        queueOrder(step, *step.findUsable(id), group, OrderKind::Join, "fences earlier leaders");
    }
    return allFenced;
}

void forgetEndedGroups(PlanningStep &step)
{
    std::set<std::string> reported;
    for (const auto &[id, endpoint] : step.table.endpoints) {
        if (endpoint.report.membership)
            reported.insert(endpoint.report.membership->group);
    }
    std::erase_if(step.planner.endedGroups,
                  [&reported](const std::string &name) { return !reported.contains(name); });
}

void adoptGroups(PlanningStep &step)
{
    addLateMembers(step);
    const bool isGathering = step.now < step.planner.gatherReportsUntil;
    for (auto &[name, reported] : findUnknownGroups(step)) {
        FleetGroup &group = reported.group;
        if (hasEndedByLog(step, reported))
            continue;
        for (const auto &[rank, id] : reported.memberByRank)
            group.members.push_back(id);
        if (!reported.memberByRank.contains(0))
            group.members.insert(group.members.begin(), headOfGroup(*reported.membership));
        group.stateSince = step.now;
        group.isAdopted = true;
        group.closeMode = CloseMode::AbortRequests;
        const Service *service = findService(step.config, group.service);
        const ModelProfile *model =
                service && service->engine ? findModel(*service->engine, group.model) : nullptr;
        const bool isComplete =
                reported.isHeadLive && model && reported.memberByRank.size() == model->vmsPerGroup;
        if (!reported.isAnyMemberLive || (!isComplete && isGathering))
            continue; // the other members may report within a heartbeat interval
        const bool isForming = reported.headPhase == MembershipPhase::Ready
                               || reported.headPhase == MembershipPhase::Joining;
        if (isComplete && reported.headPhase == MembershipPhase::Open)
            group.state = GroupState::Open;
        else if (isComplete && isForming)
            group.state = GroupState::Forming; // loads in progress continue
        else
            group.state = GroupState::Closing;
        if (reported.isHeadLive && reported.headPhase == MembershipPhase::Broken)
            continue;
        const bool isShared = std::any_of(
                group.members.begin(), group.members.end(),
                [&step](const EndpointId &id) { return isInPlannedGroup(step.planner, id); });
        if (isShared)
            group.state = GroupState::Closing;
        if (group.state != GroupState::Closing)
            recordGroup(step.planner, group);
        step.planner.groups[name] = group;
    }
}

} // namespace Trefoil
