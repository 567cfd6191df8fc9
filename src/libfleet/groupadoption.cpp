#include "libfleet/groupplanning.h"

#include <algorithm>
#include <map>

namespace Trefoil {

namespace {

// What engines report of a group that this planner does not know.
struct ReportedGroup
{
    std::optional<GroupMembership> membership; // of one of the members
    FleetGroup group;
    std::map<std::uint32_t, EndpointId> ranks;
    bool isHeadHeard = false;
    bool isHeard = false;
    MembershipPhase headPhase = MembershipPhase::Joining;
};

std::map<std::string, ReportedGroup> unknownGroups(const Planning &planning)
{
    std::map<std::string, ReportedGroup> found;
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        const bool unknown = membership && !planning.planner.groups.contains(membership->group)
                             && !planning.planner.ended.contains(membership->group)
                             && !endpoint.isSucceeded;
        if (!unknown)
            continue;
        ReportedGroup &reported = found[membership->group];
        reported.membership = membership;
        FleetGroup &group = reported.group;
        group.name = membership->group;
        group.epoch = membership->epoch;
        group.service = endpoint.report.service;
        group.model = modelOfGroup(*membership);
        group.fabric = endpoint.report.fabric;
        reported.ranks[membership->rank] = id;
        if (!planning.heard(id))
            continue;
        reported.isHeard = true;
        if (membership->rank == 0) {
            reported.isHeadHeard = true;
            reported.headPhase = membership->phase;
        }
    }
    return found;
}

// Adds members of adopted groups that reported later than the others.
void addLateMembers(Planning &planning)
{
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (!membership)
            continue;
        const auto group = planning.planner.groups.find(membership->group);
        if (group == planning.planner.groups.end())
            continue;
        auto &members = group->second.members;
        if (std::find(members.begin(), members.end(), id) != members.end())
            continue;
        members.push_back(id);
    }
}

} // namespace

bool fenceMembers(Planning &planning, const FleetGroup &group)
{
    bool isDone = true;
    for (const EndpointId &id : group.members) {
        if (group.fenced.contains(id))
            continue;
        isDone = false;
        order(planning, *planning.usable(id), group, OrderKind::Join, "fences earlier leaders");
    }
    return isDone;
}

void forgetEnded(Planning &planning)
{
    std::set<std::string> reported;
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        if (endpoint.report.membership)
            reported.insert(endpoint.report.membership->group);
    }
    std::erase_if(planning.planner.ended,
                  [&reported](const std::string &name) { return !reported.contains(name); });
}

void adoptGroups(Planning &planning)
{
    addLateMembers(planning);
    const bool isGathering = planning.now < planning.planner.gatherUntil;
    for (auto &[name, reported] : unknownGroups(planning)) {
        FleetGroup &group = reported.group;
        for (const auto &[rank, id] : reported.ranks)
            group.members.push_back(id);
        if (!reported.ranks.contains(0))
            group.members.insert(group.members.begin(), headOfGroup(*reported.membership));
        group.stageSince = planning.now;
        group.unansweredOpens = 1;
        group.isAdopted = true;
        group.isHeadKnown = reported.ranks.contains(0);
        group.closeMode = CloseMode::CutRequests;
        const Service *service = findService(planning.config, group.service);
        const ModelProfile *model =
                service && service->engine ? findModel(*service->engine, group.model) : nullptr;
        const bool complete =
                reported.isHeadHeard && model && reported.ranks.size() == model->vmsPerGroup;
        if (!reported.isHeard || (!complete && isGathering))
            continue; // the others may report within a heartbeat
        const bool isForming = reported.headPhase == MembershipPhase::Ready
                               || reported.headPhase == MembershipPhase::Joining;
        if (complete && reported.headPhase == MembershipPhase::Open)
            group.stage = GroupStage::Open;
        else if (complete && isForming)
            group.stage = GroupStage::Forming; // loads that are under way go on
        else
            group.stage = GroupStage::Closing;
        if (reported.isHeadHeard && reported.headPhase == MembershipPhase::Broken)
            continue;
        planning.planner.groups[name] = group;
    }
}

} // namespace Trefoil
