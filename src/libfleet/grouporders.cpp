#include "libfleet/groupplanning.h"

#include <algorithm>

namespace Trefoil {

namespace {

// Number of fencing tokens in one term. A late order has a lower token than the orders that the
// engine has accepted since, from any leader.
constexpr std::uint64_t FencingTokensPerTerm = 1'000'000'000;

} // namespace

bool queueOrder(PlanningStep &step, const Endpoint &endpoint, const FleetGroup &group,
                OrderKind kind, std::string reason, bool startsLoad)
{
    GroupPlanner &planner = step.planner;
    const bool needsRecord = kind == OrderKind::Join || kind == OrderKind::Open;
    if (planner.pendingOrders.contains(endpoint.report.id) || (needsRecord && !group.isRecorded))
        return false;
    GroupOrder order;
    order.number = planner.nextOrderNumber++;
    order.kind = kind;
    order.endpoint = endpoint.report.id;
    order.address = endpoint.report.address;
    order.group = group.name;
    order.epoch = group.epoch;
    order.term = planner.term;
    order.fencingToken = planner.term * FencingTokensPerTerm + order.number;
    order.model = group.model;
    order.members = group.members;
    order.closeMode = group.closeMode;
    order.reason = std::move(reason);
    planner.pendingOrders[order.endpoint] = {
            order.number, kind, group.name, step.now, endpoint.report.startedAtMs, startsLoad};
    if (kind == OrderKind::Open)
        planner.groups[group.name].hasOpenOrder = true;
    if (kind == OrderKind::Join)
        planner.leaveAnswers.erase(order.endpoint);
    if (startsLoad && planner.hasTraffic)
        planner.recentLoadStarts.push_back(step.now);
    step.orders.push_back(std::move(order));
    return true;
}

void queueHeadOrder(PlanningStep &step, FleetGroup &group, const Endpoint &head, OrderKind kind,
                    std::string reason)
{
    const bool isDue = kind != group.lastHeadOrderKind
                       || step.now - group.lastHeadOrderAt > step.planner.options.orderTimeout;
    if (!isDue || !queueOrder(step, head, group, kind, std::move(reason)))
        return;
    group.lastHeadOrderAt = step.now;
    group.lastHeadOrderKind = kind;
}

void dropFinishedOrders(PlanningStep &step)
{
    const Duration timeout = step.planner.options.orderTimeout;
    std::erase_if(step.planner.pendingOrders, [&](const auto &item) {
        const Endpoint *endpoint = findEndpoint(step.table, item.first);
        const bool isInGroup = endpoint && endpoint->report.membership
                               && endpoint->report.membership->group == item.second.group;
        const bool isEffectReported = (item.second.kind == OrderKind::Join && isInGroup)
                                      || (item.second.kind == OrderKind::Leave && !isInGroup);
        const bool isOverdue = step.now - item.second.sentAt > timeout;
        return (isEffectReported && item.second.isAccepted) || isOverdue;
    });
}

void recordOrderOutcome(GroupPlanner &planner, const EndpointId &endpoint, std::uint64_t number,
                        OrderOutcome outcome)
{
    const auto pending = planner.pendingOrders.find(endpoint);
    if (pending == planner.pendingOrders.end() || pending->second.number != number)
        return;
    const auto group = planner.groups.find(pending->second.group);
    const bool isAnswered = outcome != OrderOutcome::Unanswered;
    if (!isAnswered)
        suspectVm(planner, endpoint, pending->second.sentAt);
    const OrderKind kind = pending->second.kind;
    // An engine that refuses a leave order because of its state is in another group or in none.
    const bool hasLeft = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::WrongState;
    if (hasLeft && kind == OrderKind::Leave)
        planner.leaveAnswers[endpoint] = {pending->second.group, pending->second.startedAtMs};
    if (outcome == OrderOutcome::Accepted && kind == OrderKind::Join
        && group != planner.groups.end())
        group->second.fencedMembers.insert(endpoint);
    // The next report shows the effect of an accepted join or leave. The endpoint gets no other
    // order before it.
    const bool awaitsReport = outcome == OrderOutcome::Accepted
                              && (kind == OrderKind::Join || kind == OrderKind::Leave);
    pending->second.isAccepted = awaitsReport;
    if (awaitsReport || !isAnswered)
        return;
    const TimePoint sentAt = pending->second.sentAt;
    planner.pendingOrders.erase(pending);
    if (kind == OrderKind::Stage && outcome != OrderOutcome::Accepted)
        planner.stagingByVm.erase(endpoint);
    const bool hasLostMember =
            outcome == OrderOutcome::Outdated || outcome == OrderOutcome::WrongEndpoint;
    const bool isForming =
            group != planner.groups.end() && group->second.state == GroupState::Forming;
    if (hasLostMember && isForming)
        closeGroup(group->second, endpoint + " refuses an order", CloseMode::AbortRequests, sentAt);
}

} // namespace Trefoil
