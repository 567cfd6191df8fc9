#include "libgateway/groupleader.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <span>
#include <string>
#include <vector>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto OrderTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t MaxOrderAnswerBytes = 64 * 1024;

std::string joinTexts(std::span<const std::string> texts)
{
    std::string joined;
    for (const std::string &text : texts)
        joined += (joined.empty() ? "" : ",") + text;
    return joined;
}

std::string groupNames(std::span<const GroupRecord> records)
{
    std::vector<std::string> names;
    for (const GroupRecord &record : records)
        names.push_back(record.name);
    return joinTexts(names);
}

OrderOutcome toOrderOutcome(const HttpCallResult &result)
{
    switch (result.status) {
    case 200:
    case 202:
        return OrderOutcome::Accepted;
    case 400:
    case 409:
        return OrderOutcome::WrongState;
    case 412:
        return OrderOutcome::Outdated;
    case 421:
        return OrderOutcome::WrongEndpoint;
    default:
        return OrderOutcome::Unanswered;
    }
}

} // namespace

GroupLeader::GroupLeader(asio::io_context &context, const Dialect &dialect,
                         EndpointReports &reports, Handlers handlers, ChannelLimits limits)
    : context_(context)
    , dialect_(dialect)
    , reports_(reports)
    , handlers_(std::move(handlers))
    , limits_(std::move(limits))
{}

void GroupLeader::lead(const GroupPlannerOptions &options, std::uint64_t term,
                       const GroupRecords &records, TimePoint now)
{
    if (planner_ && planner_->term == term)
        return;
    planner_ = makeGroupPlanner(options, term, records, now);
    logEvent(Event::GroupsInherited, {{"term", std::to_string(term)},
                                      {"groups", std::to_string(records.byName.size())},
                                      {"since", std::to_string(planner_->recordedSinceEpoch)}});
}

void GroupLeader::plan(const ServiceConfiguration &config, TimePoint now)
{
    std::vector<GroupOrder> orders = planGroups(*planner_, reports_.table(), config, now);
    proposeChanges();
    for (GroupOrder &order : orders) {
        logEvent(Event::GroupOrdered, {{"order", toString(order.kind)},
                                       {"endpoint", order.endpoint},
                                       {"group", order.group},
                                       {"epoch", std::to_string(order.epoch)},
                                       {"members", joinTexts(order.members)},
                                       {"why", order.reason}});
        ++ordersSent_;
        asio::co_spawn(context_, sendOrder(std::move(order)), asio::detached);
    }
}

void GroupLeader::proposeChanges()
{
    GroupRecordChanges changes = takeRecordChanges(*planner_);
    if (changes.isEmpty())
        return;
    const std::uint64_t term = planner_->term;
    const bool isProposed =
            handlers_.propose(RecordGroups{changes}, [this, term, changes](bool isApplied) {
                handleProposed(term, changes, isApplied);
            });
    if (!isProposed)
        handleProposed(term, changes, false);
}

void GroupLeader::handleProposed(std::uint64_t term, const GroupRecordChanges &changes,
                                 bool isApplied)
{
    logEvent(Event::GroupsRecorded, {{"recorded", groupNames(changes.recorded)},
                                     {"ended", joinTexts(changes.ended)},
                                     {"outcome", isApplied ? "committed" : "not confirmed"}});
    if (!planner_ || planner_->term != term)
        return;
    if (!isApplied) {
        dropRecordChanges(*planner_, changes);
        return;
    }
    confirmRecordChanges(*planner_, changes);
    if (!changes.recorded.empty())
        handlers_.onRecorded();
}

asio::awaitable<void> GroupLeader::sendOrder(GroupOrder order)
{
    HttpCall call;
    call.address = order.address;
    call.target = dialect_.orderPath;
    call.body = dialect_.encodeOrder(order);
    call.fields.push_back({dialect_.headers.expectEndpoint, order.endpoint});
    call.timeout = OrderTimeout;
    call.maxResponseBytes = MaxOrderAnswerBytes;
    const Endpoint *endpoint = findEndpoint(reports_.table(), order.endpoint);
    const std::uint64_t startedAtMs = endpoint ? endpoint->report.startedAtMs : 0;
    const std::uint64_t sentAtMs = unsteppedWallTimeMs();
    ChannelLimits limits = limits_;
    const HttpCallResult result = co_await callHttp(std::move(call), std::move(limits));
    const OrderOutcome outcome = toOrderOutcome(result);
    ordersUnanswered_ += outcome == OrderOutcome::Unanswered ? 1 : 0;
    logEvent(Event::OrderAnswered, {{"order", toString(order.kind)},
                                    {"endpoint", order.endpoint},
                                    {"group", order.group},
                                    {"status", std::to_string(result.status)},
                                    {"error", result.error}});
    if (startedAtMs != 0)
        reports_.recordAnswer(order.endpoint, startedAtMs, sentAtMs, result.head);
    if (!planner_ || planner_->term != order.term)
        co_return;
    recordOrderOutcome(*planner_, order.endpoint, order.number, outcome);
    handlers_.onChanged();
}

} // namespace Trefoil
