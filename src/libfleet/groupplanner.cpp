#include "libfleet/groupevidence.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *OrderNames[] = {"join", "open", "close", "leave", "stage"};

// Number of group epochs in one term. Epochs of later terms are higher.
constexpr std::uint64_t EpochsPerTerm = 1'000'000;

// Orders the members of a forming group to join, and goes on with the group once all are ready.
void advanceForming(PlanningStep &step, FleetGroup &group, const EngineProfile &engine)
{
    if (const auto missing = findMissingMember(step, group)) {
        startClosing(step, group, *missing);
        return;
    }
    if (step.now - group.stateSince > step.planner.options.formingTimeout) {
        closeGroup(group, "it did not form in time", CloseMode::AbortRequests, step.now);
        return;
    }
    const bool isContinued = group.isAdopted && continueReportedGroup(step, group)
                             && group.state != GroupState::Forming;
    if (isContinued || !joinMembers(step, group, engine))
        return;
    if (group.isWarmUp)
        closeGroup(group, "its VM has loaded the model", CloseMode::AbortRequests, step.now);
    else
        setState(group, GroupState::Opening, step.now);
}

// Opens a group whose members are ready, and closes one that lacks a member.
void advanceOpen(PlanningStep &step, FleetGroup &group)
{
    if (const auto missing = findMissingMember(step, group)) {
        startClosing(step, group, *missing);
        return;
    }
    const Endpoint &head = *step.findUsable(group.members.front());
    const MembershipPhase phase = head.report.membership->phase;
    if (phase == MembershipPhase::Open && group.state == GroupState::Opening) {
        setState(group, GroupState::Open, step.now);
    } else if (phase == MembershipPhase::Ready) {
        if (!group.isAdopted || fenceMembers(step, group))
            queueHeadOrder(step, group, head, OrderKind::Open, "all members are ready");
    } else if (phase == MembershipPhase::Broken) {
        closeGroup(group, "it is broken", CloseMode::AbortRequests, step.now);
    }
}

// Moves a group to its next state and sends the orders that this needs.
//
// A group whose service is not configured is kept as it is: the service may return, and no other
// service can use its VMs. One whose model is not configured ends once its requests have finished,
// since the service's other models can use its VMs.
void advanceGroup(PlanningStep &step, FleetGroup &group)
{
    const Service *service = findService(step.config, group.service);
    const EngineProfile *engine = service && service->engine ? &*service->engine : nullptr;
    if (engine && !findModel(*engine, group.model) && group.state != GroupState::Closing)
        closeGroup(group, "its model is not configured", CloseMode::FinishRequests, step.now);
    switch (group.state) {
    case GroupState::Inherited:
        if (engine)
            advanceInherited(step, group, *engine);
        break;
    case GroupState::Forming:
        if (engine)
            advanceForming(step, group, *engine);
        break;
    case GroupState::Opening:
    case GroupState::Open:
        if (engine)
            advanceOpen(step, group);
        break;
    case GroupState::Closing:
        break;
    }
    if (group.state == GroupState::Closing && !proveGroupEnd(step, group))
        advanceClosing(step, group);
}

// Advances all groups and removes those that have ended or were abandoned.
void advanceGroups(PlanningStep &step)
{
    GroupPlanner &planner = step.planner;
    for (auto item = planner.groups.begin(); item != planner.groups.end();) {
        FleetGroup &group = item->second;
        advanceGroup(step, group);
        const bool isClosing = group.state == GroupState::Closing;
        const auto end = isClosing ? proveGroupEnd(step, group) : std::nullopt;
        const bool isRemoved = end || isAbandoned(step, group);
        if (end)
            recordEnd(planner, group, *end);
        else if (isRemoved)
            removeRecord(planner, group);
        item = isRemoved ? planner.groups.erase(item) : std::next(item);
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
    std::erase_if(planner.leaveAnswers,
                  [&table](const auto &item) { return !findEndpoint(table, item.first); });
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
    advanceGroups(step);
    forgetEndedGroups(step);
    detachUnknownMembers(step);
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
