#include "libfleet/groupplanning.h"

#include <algorithm>

namespace Trefoil {

namespace {

// Fencing numbers of one term. A late order has a lower number than those that an engine has obeyed
// since, whoever sent it.
constexpr std::uint64_t OrdersPerTerm = 1'000'000'000;

} // namespace

bool order(Planning &planning, const Endpoint &endpoint, const FleetGroup &group, OrderKind kind,
           std::string why, bool isLoad)
{
    GroupPlanner &planner = planning.planner;
    if (planner.orders.contains(endpoint.report.id))
        return false;
    GroupOrder sent;
    sent.number = planner.nextOrder++;
    sent.kind = kind;
    sent.endpoint = endpoint.report.id;
    sent.address = endpoint.report.address;
    sent.group = group.name;
    sent.epoch = group.epoch;
    sent.term = planner.term;
    sent.fencingToken = planner.term * OrdersPerTerm + sent.number;
    sent.model = group.model;
    sent.members = group.members;
    sent.closeMode = group.closeMode;
    sent.why = std::move(why);
    planner.orders[sent.endpoint] = {sent.number, kind, group.name, planning.now, isLoad};
    if (kind == OrderKind::Open)
        ++planner.groups[group.name].unansweredOpens;
    if (isLoad && planner.hasTraffic)
        planner.loadStarts.push_back(planning.now);
    planning.orders.push_back(std::move(sent));
    return true;
}

void orderHead(Planning &planning, FleetGroup &group, const Endpoint &head, OrderKind kind,
               std::string why)
{
    const bool isDue =
            kind != group.lastHeadKind
            || planning.now - group.lastHeadOrder > planning.planner.options.orderTimeout;
    if (!isDue || !order(planning, head, group, kind, std::move(why)))
        return;
    group.lastHeadOrder = planning.now;
    group.lastHeadKind = kind;
}

void dropOverdueOrders(Planning &planning)
{
    const Duration timeout = planning.planner.options.orderTimeout;
    std::erase_if(planning.planner.orders, [&](const auto &item) {
        const Endpoint *endpoint = findEndpoint(planning.table, item.first);
        const bool isMemberNow = endpoint && endpoint->report.membership
                                 && endpoint->report.membership->group == item.second.group;
        const bool isVisible = (item.second.kind == OrderKind::Join && isMemberNow)
                               || (item.second.kind == OrderKind::Leave && !isMemberNow);
        const bool isOverdue = planning.now - item.second.sentAt > timeout;
        return (isVisible && item.second.isAccepted) || isOverdue;
    });
}

void noteOrderOutcome(GroupPlanner &planner, const EndpointId &endpoint, std::uint64_t number,
                      OrderOutcome outcome)
{
    const auto found = planner.orders.find(endpoint);
    if (found == planner.orders.end() || found->second.number != number)
        return;
    const auto planned = planner.groups.find(found->second.group);
    const bool isAnswered = outcome != OrderOutcome::Unanswered;
    if (!isAnswered)
        suspect(planner, endpoint, found->second.sentAt);
    if (isAnswered && found->second.kind == OrderKind::Open && planned != planner.groups.end()
        && planned->second.unansweredOpens > 0) {
        --planned->second.unansweredOpens;
        // The head opens a little later; until its report shows it, it counts as opening. A head
        // that opens or is open refuses a repeated order, so a refusal does not end that.
        if (outcome == OrderOutcome::Accepted)
            planned->second.isOpening = true;
    }
    const OrderKind kind = found->second.kind;
    // An engine that the order does not fit is in another group or in none.
    const bool hasLeft = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::NotFitting;
    if (hasLeft && kind == OrderKind::Leave && planned != planner.groups.end())
        planned->second.left.insert(endpoint);
    if (outcome == OrderOutcome::Accepted && kind == OrderKind::Join
        && planned != planner.groups.end())
        planned->second.fenced.insert(endpoint);
    // The next report shows an accepted join or leave; until then no other order follows it.
    const bool isPending = outcome == OrderOutcome::Accepted
                           && (kind == OrderKind::Join || kind == OrderKind::Leave);
    found->second.isAccepted = isPending;
    if (isPending || !isAnswered)
        return;
    planner.orders.erase(found);
    if (kind == OrderKind::Stage && outcome != OrderOutcome::Accepted)
        planner.staging.erase(endpoint);
    const bool isLost = outcome == OrderOutcome::Outdated || outcome == OrderOutcome::WrongEndpoint;
    const bool isForming =
            planned != planner.groups.end() && planned->second.stage == GroupStage::Forming;
    if (isLost && isForming && planned->second.unansweredOpens == 0) {
        planner.ended.insert(planned->first);
        planner.groups.erase(planned);
    }
}

} // namespace Trefoil
