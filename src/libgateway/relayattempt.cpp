#include "libgateway/relayattempt.h"

#include "libgateway/engineends.h"
#include "libgateway/entryconnections.h"
#include "libgateway/entryquarantine.h"
#include "libgateway/entrystalls.h"
#include "libgateway/entrystop.h"
#include "libgateway/responserelay.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto RequestWriteTimeout = std::chrono::seconds(2);

// Engines get priorities above this value as this value.
constexpr std::uint32_t LowestEnginePriority = 4;

// Takes a retry out of the service's budget. Returns false when none is left.
bool takeRetry(RelayContext &context, const RelayRequest &request, TimePoint now)
{
    EntryState &state = context.state;
    const std::size_t entries = entryCount(state.roster);
    WindowedRetryBudget &budget = retryBudget(state, request.service);
    if (tryTakeRetry(budget, entries, now))
        return true;
    const RetryBudgetUsage usage = retryBudgetUsage(budget, entries, now);
    state.metrics.incrementCounter("trefoil_repeats_denied_total", "");
    logEvent(Event::RetryDenied, {{"id", request.id},
                                  {"service", request.service},
                                  {"requests", std::to_string(usage.requests)},
                                  {"tokens", std::to_string(usage.tokens)},
                                  {"limit", std::to_string(usage.limit)},
                                  {"entries", std::to_string(entries)}});
    return false;
}

// Returns whether the request is refused because its parts end engines.
bool isRefusedByParts(RelayContext &context, const RelayRequest &request, RelayProgress &progress,
                      TimePoint now)
{
    const auto verdict = findRefusal(context.state, request.sharedParts, progress.isTrial);
    if (!verdict)
        return false;
    progress.isQuarantined = true;
    progress.lastReason =
            "engines ended with the part " + toText(verdict->parts) + " of the prompt";
    progress.retryAfter = std::max(verdict->verdict.nextTrialAt - now, Duration::zero());
    context.state.metrics.incrementCounter("trefoil_quarantine_refusals_total", "");
    return true;
}

bool mayRetry(const RelayRequest &request, const RelayProgress &progress)
{
    switch (progress.lastOutcome) {
    case AttemptOutcome::NotExecuted:
        return true;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Unknown:
    case AttemptOutcome::EndpointStalled:
    case AttemptOutcome::RequestStalled:
        return isRepeatable(*request.route);
    case AttemptOutcome::Withdrawn:
    case AttemptOutcome::Answered:
    case AttemptOutcome::OutOfMemory:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::CallerDisconnected:
        return false;
    }
    return false;
}

void recordAttemptOutcome(RelayContext &context, const RelayRequest &request,
                          RelayProgress &progress, const Placement &placement)
{
    const TimePoint now = RuntimeClock::now();
    switch (progress.lastOutcome) {
    case AttemptOutcome::Answered:
        recordAttempt(context.state.placement, placement.endpoint, EndpointResult::Served,
                      now - request.arrivedAt, now);
        return;
    case AttemptOutcome::EndpointStalled:
        reportStall(context.state, placement.endpoint, request.id, progress.lastReason, now);
        break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::RequestStalled:
    case AttemptOutcome::Unknown:
        recordAttempt(context.state.placement, placement.endpoint, EndpointResult::Failed, {}, now);
        break;
    default:
        break;
    }
    if (progress.lastOutcome == AttemptOutcome::CallerDisconnected)
        return;
    logEvent(Event::AttemptFailed, {{"id", request.id},
                                    {"endpoint", placement.endpoint},
                                    {"end", std::string(toString(progress.lastOutcome))},
                                    {"reason", progress.lastReason},
                                    {"begun", progress.hasBegun ? "yes" : "no"},
                                    {"parts", toText(request.sharedParts)},
                                    {"elapsed_ms", millisecondsText(now - request.arrivedAt)}});
}

// Finds out whether the engine ended or only the connection to it.
asio::awaitable<void> checkEngine(RelayContext &context, const RelayRequest &request,
                                  RelayProgress &progress, const Placement &placement)
{
    const bool hasEnded = co_await hasEngineEnded(context.state, placement);
    if (!hasEnded)
        co_return;
    progress.isSuspect = !progress.hasBegun;
    if (progress.isSuspect)
        addEvidence(context.state,
                    recordEngineEnd(context.state.quarantine,
                                    incarnationKey(placement.endpoint, placement.startedAtMs),
                                    {request.contentKey, request.sharedParts},
                                    RuntimeClock::now()));
    context.state.metrics.incrementCounter("trefoil_requests_at_engine_end_total", "");
    logEvent(Event::EngineEnded,
             {{"endpoint", placement.endpoint},
              {"id", request.id},
              {"workspace", request.workspace ? request.workspace->name : std::string()},
              {"begun", progress.hasBegun ? "yes" : "no"},
              {"parts", toText(request.sharedParts)}});
}

// Returns the priority for the engine, which admits lower values first. The priority of the
// workspace or route decides; among equals, requests that can still meet the target latency go
// before late ones.
std::uint32_t enginePriority(const RelayRequest &request)
{
    const std::uint32_t priority = request.workspace && request.workspace->priority
                                           ? *request.workspace->priority
                                           : request.route->priority;
    const bool isLate = RuntimeClock::now() >= request.targetDeadline;
    return 2 * std::min(priority, LowestEnginePriority) + (isLate ? 1 : 0);
}

// Encodes the head of the request for the endpoint. The caller's key and hop-by-hop fields are left
// out, and the fields that the entry sets are replaced.
std::string makeRequestHead(const RelayContext &context, const RelayRequest &request,
                            const RelayProgress &progress, const Placement &placement)
{
    const HeaderNames &headerNames = context.state.dialect.headers;
    const bool isResumption = progress.isResponseHeadSent;
    const HopByHopFields hopByHopFields(request.head);
    HttpHead head;
    head.method = request.head.method;
    head.target = request.head.target;
    for (const HttpField &field : request.head.fields) {
        const auto hasName = [&field](std::string_view name) {
            return equalsIgnoringCase(field.name, name);
        };
        const bool isKey = hasName("authorization") && request.config->requiresKeys;
        const bool isSetByEntry =
                hasName(headerNames.timeLeft) || hasName(headerNames.expectEndpoint)
                || hasName(headerNames.workspace) || hasName(headerNames.priority)
                || hasName("expect") || (isResumption && hasName(headerNames.lastEventId));
        if (!isKey && !isSetByEntry && !hopByHopFields.contains(field.name))
            head.fields.push_back(field);
    }
    const Duration remaining = std::max(request.deadline - RuntimeClock::now(),
                                        Duration(std::chrono::milliseconds(1)));
    head.fields.push_back({headerNames.timeLeft, millisecondsText(remaining)});
    head.fields.push_back({headerNames.expectEndpoint, placement.endpoint});
    if (request.route->kind == RouteKind::Stream)
        head.fields.push_back({headerNames.priority, std::to_string(enginePriority(request))});
    if (request.workspace)
        head.fields.push_back({headerNames.workspace, request.workspace->name});
    if (isResumption && progress.eventFilter.lastEventId)
        head.fields.push_back(
                {headerNames.lastEventId, std::to_string(*progress.eventFilter.lastEventId)});
    const bool hasBodyHeader = findField(request.head, "content-length")
                               || findField(request.head, "transfer-encoding");
    if (hasBodyHeader || !request.body.empty())
        head.fields.push_back({"Content-Length", std::to_string(request.body.size())});
    return toText(head);
}

asio::awaitable<AttemptOutcome> runAttempt(RelayContext &context, RelayRequest &request,
                                           RelayProgress &progress, const Placement &placement)
{
    progress.hasBegun = false;
    progress.isConnectionLost = false;
    std::string error;
    auto connection = co_await connectEndpoint(context, request, placement, error);
    if (!connection) {
        progress.lastReason = error;
        co_return AttemptOutcome::NotExecuted;
    }
    if (context.channel->isEnded()) {
        context.state.connectionPool.putIdle(std::move(*connection), RuntimeClock::now());
        co_return AttemptOutcome::CallerDisconnected;
    }
    EndpointLoad load{1, request.size.promptTokens};
    addLoad(context.state.placement, placement.endpoint, load);
    context.state.activeRequestsByModel[request.model] += 1;
    connection->channel->setChangeSignal(&context.signal);
    ++progress.sendCount;
    const bool mayHaveExecutedBefore = progress.mayHaveExecuted;
    progress.mayHaveExecuted = true;
    connection->channel->setUse(MemoryUse::Running);
    const std::string head = makeRequestHead(context, request, progress, placement);
    const bool isWritten = co_await connection->channel->write(
            head, request.body,
            std::min<TimePoint>(request.deadline, RuntimeClock::now() + RequestWriteTimeout));
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    if (isWritten)
        outcome = co_await relayResponse(context, request, progress, placement, *connection, load);
    else {
        progress.lastReason = "the request could not be written";
        progress.isConnectionLost = true;
    }
    if (connection->channel->isEvicted()) {
        progress.lastReason = "the memory for answers is used up";
        progress.isConnectionLost = false;
        outcome = AttemptOutcome::OutOfMemory;
    }
    if (outcome == AttemptOutcome::NotExecuted)
        progress.mayHaveExecuted = mayHaveExecutedBefore;
    connection->channel->setChangeSignal(nullptr);
    if (outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Failed
        && outcome != AttemptOutcome::NotExecuted)
        connection->channel->close();
    else
        context.state.connectionPool.putIdle(std::move(*connection), RuntimeClock::now());
    removeLoad(context.state.placement, placement.endpoint, load);
    context.state.activeRequestsByModel[request.model] -= 1;
    co_return outcome;
}

} // namespace

asio::awaitable<bool> tryNextEndpoint(RelayContext &context, RelayRequest &request,
                                      RelayProgress &progress)
{
    const TimePoint now = RuntimeClock::now();
    if (now >= lastMomentOf(context.state, request.deadline)) {
        progress.lastOutcome = AttemptOutcome::TimedOut;
        co_return false;
    }
    if (isRefusedByParts(context, request, progress, now))
        co_return false;
    const Placement placement = placeRequest(context.state.placement,
                                             makePlacementRequest(request, progress, now), now);
    progress.candidateCount = placement.candidateCount;
    progress.retryAfter = placement.retryAfter;
    progress.estimate = placement.estimate;
    if (placement.verdict != PlacementVerdict::Send) {
        progress.lastReason = describe(placement.verdict);
        if (placement.verdict == PlacementVerdict::Limited)
            context.state.metrics.incrementCounter("trefoil_limit_refusals_total", "");
        if (placement.verdict == PlacementVerdict::HeldOff)
            context.state.metrics.incrementCounter("trefoil_hold_off_refusals_total", "");
        co_return false;
    }
    if (!endsBeforeStop(context.state, placement.estimate, request.deadline)) {
        progress.lastReason = "the entry stops before the request would end";
        co_return false;
    }
    if (progress.sendCount > 0) {
        const bool mayRepeat =
                progress.sendCount < request.route->maxAttempts
                && (!progress.isSuspect
                    || tryTakeRepeatAfterEnd(context.state.quarantine, request.sharedParts, now));
        if (!mayRepeat || !takeRetry(context, request, now))
            co_return false;
        progress.isSuspect = false;
        context.state.metrics.incrementCounter("trefoil_repeats_total", "");
    }
    // The token is taken before the connection is opened, so that no other request gets it.
    if (const Endpoint *endpoint = findEndpoint(context.state.placement.table, placement.endpoint))
        takeToken(context.state.placement.limits, *endpoint, now);
    progress.triedEndpoints.insert(placement.endpoint);
    progress.lastEndpoint = placement.endpoint;
    progress.lastOutcome = co_await runAttempt(context, request, progress, placement);
    recordAttemptOutcome(context, request, progress, placement);
    if (progress.isConnectionLost)
        co_await checkEngine(context, request, progress, placement);
    co_return mayRetry(request, progress);
}

} // namespace Trefoil
