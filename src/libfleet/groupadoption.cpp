#include "libfleet/groupplanning.h"

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

// Adds members that reported only after their group was adopted.
void addLateMembers(PlanningStep &step)
{
    for (const auto &[id, endpoint] : step.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (!membership)
            continue;
        const auto group = step.planner.groups.find(membership->group);
        if (group == step.planner.groups.end())
            continue;
        auto &members = group->second.members;
        if (std::find(members.begin(), members.end(), id) != members.end())
            continue;
        members.push_back(id);
    }
}

} // namespace

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
        for (const auto &[rank, id] : reported.memberByRank)
            group.members.push_back(id);
        if (!reported.memberByRank.contains(0))
            group.members.insert(group.members.begin(), headOfGroup(*reported.membership));
        group.stateSince = step.now;
        group.unansweredOpenOrders = 1;
        group.isAdopted = true;
        group.isHeadConfirmed = reported.memberByRank.contains(0);
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
        step.planner.groups[name] = group;
    }
}

} // namespace Trefoil
