#include "libfleet/groupplanning.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *OrderNames[] = {"join", "open", "close", "leave", "stage"};

// Number of group epochs in one term. Epochs of later terms are higher.
constexpr std::uint64_t EpochsPerTerm = 1'000'000;

// Remembers the members that report the group.
void confirmMembers(const PlanningStep &step, FleetGroup &group)
{
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = findEndpoint(step.table, id);
        if (endpoint && isMember(*endpoint, group))
            group.confirmedMembers.insert(id);
    }
}

// Moves a group to its next state and sends the orders that this needs. Sets `hasEnded` when the
// group is to be forgotten.
void advanceGroup(PlanningStep &step, FleetGroup &group, const EngineProfile &engine,
                  bool &hasEnded)
{
    confirmMembers(step, group);
    if (group.state == GroupState::Inherited) {
        hasEnded = advanceInherited(step, group, engine);
        return;
    }
    const std::optional<MissingMember> missing = findMissingMember(step, group);
    const bool isOverdue = step.now - group.stateSince > step.planner.options.formingTimeout;
    switch (group.state) {
    case GroupState::Inherited:
        return;
    case GroupState::Forming:
        if (missing && group.unansweredOpenOrders > 0) {
            startClosing(step, group, *missing);
            return;
        }
        if (isOverdue && group.unansweredOpenOrders > 0) {
            closeGroup(group, "it did not form in time", CloseMode::AbortRequests, step.now);
            return;
        }
        if (missing)
            suspectVm(step.planner, missing->id, step.now);
        hasEnded = missing.has_value() || isOverdue;
        if (hasEnded)
            return;
        if (group.isAdopted && continueReportedGroup(step, group, hasEnded)
            && group.state != GroupState::Forming)
            return;
        if (hasEnded || !joinMembers(step, group, engine))
            return;
        if (group.isWarmUp)
            hasEnded = true;
        else
            setState(group, GroupState::Opening, step.now);
        return;
    case GroupState::Opening:
    case GroupState::Open:
        if (missing) {
            startClosing(step, group, *missing);
            return;
        }
        break;
    case GroupState::Closing:
        hasEnded = advanceClosing(step, group);
        return;
    }
    const Endpoint &head = *step.findUsable(group.members.front());
    const MembershipPhase phase = head.report.membership->phase;
    if (phase == MembershipPhase::Open) {
        group.isOpenPending = false;
        if (group.state == GroupState::Opening)
            setState(group, GroupState::Open, step.now);
    } else if (phase == MembershipPhase::Ready) {
        if (!group.isAdopted || fenceMembers(step, group))
            queueHeadOrder(step, group, head, OrderKind::Open, "all members are ready");
    } else if (phase == MembershipPhase::Broken) {
        hasEnded = true;
    }
}

} // namespace

const Endpoint *PlanningStep::findUsable(const EndpointId &id) const
{
    const Endpoint *endpoint = findEndpoint(table, id);
    const bool isTakingWork = endpoint && isUsable(*endpoint, planner.options.lossTimeout, now);
    return isTakingWork ? endpoint : nullptr;
}

const Endpoint *PlanningStep::findLive(const EndpointId &id) const
{
    const Endpoint *endpoint = findEndpoint(table, id);
    const bool isLive = endpoint && now - endpoint->lastHeard <= planner.options.lossTimeout;
    return isLive ? endpoint : nullptr;
}

bool isMember(const Endpoint &endpoint, const FleetGroup &group)
{
    const auto &membership = endpoint.report.membership;
    return membership && membership->group == group.name && membership->epoch == group.epoch;
}

bool hasStaged(const Endpoint &endpoint, const std::string &model)
{
    const auto &staged = endpoint.report.stagedModels;
    return std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool hasLoaded(const Endpoint &endpoint, const std::string &model)
{
    return endpoint.loadedModel == model;
}

bool holdsModel(const Endpoint &endpoint, const std::string &model)
{
    return hasLoaded(endpoint, model) || hasStaged(endpoint, model);
}

bool hasRestarted(const Endpoint &endpoint, const FleetGroup &group)
{
    const auto start = group.startedAtMs.find(endpoint.report.id);
    return start != group.startedAtMs.end() && endpoint.report.startedAtMs > start->second;
}

void setState(FleetGroup &group, GroupState state, TimePoint now)
{
    group.state = state;
    group.stateSince = now;
    group.lastHeadOrderAt = TimePoint{};
}

GroupPlanner makeGroupPlanner(const GroupPlannerOptions &options, std::uint64_t term,
                              const GroupRecords &records, TimePoint now)
{
    GroupPlanner planner;
    planner.options = options;
    planner.term = term;
    planner.leadsSince = now;
    planner.gatherReportsUntil = now + options.reportGatheringTime;
    planner.vmArrivalDeadline = now + options.vmArrivalTimeout;
    planner.lastVmArrivalAt = now;
    planner.nextEpoch = term * EpochsPerTerm + 1;
    inheritGroups(planner, records, now);
    return planner;
}

std::vector<GroupOrder> planGroups(GroupPlanner &planner, const EndpointTable &table,
                                   const ServiceConfiguration &config, TimePoint now)
{
    PlanningStep step{planner, table, config, now, {}};
    if (table.endpoints.size() > planner.lastVmCount)
        planner.lastVmArrivalAt = now;
    planner.lastVmCount = table.endpoints.size();
    dropFinishedOrders(step);
    std::erase_if(planner.suspectedVms, [&table](const auto &item) {
        const Endpoint *endpoint = findEndpoint(table, item.first);
        return !endpoint || endpoint->lastReportAt > item.second;
    });
    std::erase_if(planner.stagingByVm, [&](const auto &item) {
        const Endpoint *endpoint = findEndpoint(table, item.first);
        return !endpoint || item.second.expiresAt <= now || hasStaged(*endpoint, item.second.model);
    });
    std::erase_if(planner.lastStallByHead, [&](const auto &item) {
        return now - item.second > planner.options.stallReportLifetime;
    });
    std::erase_if(planner.lastProgressByHead, [&](const auto &item) {
        return now - item.second > planner.options.stallReportLifetime;
    });
    adoptGroups(step);
    for (auto item = planner.groups.begin(); item != planner.groups.end();) {
        const Service *service = findService(config, item->second.service);
        bool hasEnded = !service || !service->engine;
        if (!hasEnded)
            advanceGroup(step, item->second, *service->engine, hasEnded);
        if (hasEnded)
            recordEnd(planner, item->second);
        item = hasEnded ? planner.groups.erase(item) : std::next(item);
    }
    forgetEndedGroups(step);
    for (const Service &service : config.services) {
        if (service.engine)
            formGroups(step, service);
    }
    return std::move(step.orders);
}

void recordStall(GroupPlanner &planner, const EndpointId &head, TimePoint now)
{
    planner.lastStallByHead[head] = now;
}

void recordProgress(GroupPlanner &planner, const EndpointId &head, TimePoint at)
{
    TimePoint &lastProgress = planner.lastProgressByHead[head];
    lastProgress = std::max(lastProgress, at);
}

const char *toString(OrderKind kind)
{
    return OrderNames[static_cast<std::size_t>(kind)];
}

} // namespace Trefoil
