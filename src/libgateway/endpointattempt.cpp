#include "libgateway/endpointattempt.h"

#include "libgateway/entryanswers.h"
#include "libgateway/entryconnections.h"
#include "libgateway/entryquarantine.h"
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
            "engines ended with the part " + toShortText(verdict->parts) + " of the prompt";
    progress.retryAfter = std::max(verdict->verdict.nextTrialAt - now, Duration::zero());
    context.state.metrics.incrementCounter("trefoil_quarantine_refusals_total", "");
    return true;
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

// Removes what the attempt adds to the predicted load of its endpoint.
void removeAttemptLoad(RelayContext &context, const RelayRequest &request,
                       const EndpointAttempt &attempt)
{
    removeLoad(context.state.placement, attempt.placement.endpoint, attempt.load);
    context.state.activeRequestsByModel[request.model] -= 1;
}

void logTakeover(const RelayRequest &request, const RelayProgress &progress, const char *state)
{
    logEvent(Event::StreamTakeover, {{"id", request.id},
                                     {"endpoint", progress.lastEndpoint},
                                     {"to", progress.takeover->placement.endpoint},
                                     {"state", state},
                                     {"reason", progress.lastReason}});
}

enum class TakeoverState : std::uint8_t {
    Waiting,
    Taken,   // a whole event of the stream, or its end, has arrived
    Refused, // the endpoint has answered without one
    Failed,  // nothing of use can arrive any more
};

// Returns the state of a takeover from what has arrived, and the head of its answer.
TakeoverState takeoverState(const RelayContext &context, const RelayRequest &request,
                            const RelayProgress &progress, HttpHead &head)
{
    const EndpointAttempt &takeover = *progress.takeover;
    const Channel &channel = *takeover.connection.channel;
    std::string input = takeover.connection.channel->input();
    const bool isFull = input.size() >= ResponseInputCapacity;
    bool isParsed = takeover.isWritten && !channel.isEvicted();
    while (isParsed && !input.empty()) {
        HttpParser parser = makeResponseParser(request);
        isParsed = parser.consume(input);
        if (!isParsed || !parser.isHeadDone())
            break;
        if (isUnrelatedResponse(context, request, parser.head())) {
            if (!parser.isDone())
                break;
            continue;
        }
        head = parser.head();
        if (!isEventStream(context, request, head))
            return TakeoverState::Refused;
        EventFilter filter = progress.eventFilter;
        filter.incompleteEvent.clear();
        const bool hasEvents = !filterEvents(filter, parser.takeBody()).empty();
        if (hasEvents || (parser.isDone() && filter.incompleteEvent.empty()))
            return TakeoverState::Taken;
        break;
    }
    return !isParsed || isFull || channel.isEnded() ? TakeoverState::Failed
                                                    : TakeoverState::Waiting;
}

} // namespace

std::optional<Placement> chooseEndpoint(RelayContext &context, RelayRequest &request,
                                        RelayProgress &progress)
{
    const TimePoint now = RuntimeClock::now();
    if (isRefusedByParts(context, request, progress, now))
        return std::nullopt;
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
        return std::nullopt;
    }
    if (!endsBeforeStop(context.state, placement.estimate, request.deadline)) {
        progress.lastReason = "the entry stops before the request would end";
        return std::nullopt;
    }
    if (progress.sendCount > 0) {
        const bool mayRepeat =
                progress.sendCount < request.route->maxAttempts
                && (!progress.isSuspect
                    || tryTakeRepeatAfterEnd(context.state.quarantine, request.sharedParts, now));
        if (!mayRepeat || !takeRetry(context, request, now))
            return std::nullopt;
        progress.isSuspect = false;
        context.state.metrics.incrementCounter("trefoil_repeats_total", "");
    }
    // The token is taken before the connection is opened, so that no other request gets it.
    if (const Endpoint *endpoint = findEndpoint(context.state.placement.table, placement.endpoint))
        takeToken(context.state.placement.limits, *endpoint, now);
    progress.triedEndpoints.insert(placement.endpoint);
    return placement;
}

asio::awaitable<EndpointAttemptPointer> startAttempt(RelayContext &context, RelayRequest &request,
                                                     RelayProgress &progress,
                                                     const Placement &placement)
{
    std::string error;
    auto connection = co_await connectEndpoint(context, request, placement, error);
    if (!connection) {
        progress.lastReason = error;
        co_return nullptr;
    }
    if (context.channel->isEnded()) {
        context.state.connectionPool.putIdle(std::move(*connection), RuntimeClock::now());
        co_return nullptr;
    }
    auto attempt = std::make_unique<EndpointAttempt>();
    attempt->placement = placement;
    attempt->connection = std::move(*connection);
    attempt->load = {1, request.size.promptTokens};
    addLoad(context.state.placement, placement.endpoint, attempt->load);
    context.state.activeRequestsByModel[request.model] += 1;
    Channel &channel = *attempt->connection.channel;
    channel.setChangeSignal(&context.signal);
    ++progress.sendCount;
    request.sends.recordSend();
    channel.setUse(MemoryUse::Running);
    attempt->sentAt = RuntimeClock::now();
    const std::string head = makeRequestHead(context, request, progress, placement);
    attempt->isWritten = co_await channel.write(
            head, request.body,
            std::min<TimePoint>(request.deadline, RuntimeClock::now() + RequestWriteTimeout));
    co_return attempt;
}

void endAttempt(RelayContext &context, RelayRequest &request, EndpointAttempt &attempt,
                AttemptOutcome outcome)
{
    if (attempt.refusal)
        request.sends.recordRefusal(*attempt.refusal);
    attempt.connection.channel->setChangeSignal(nullptr);
    const bool isComplete = outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Failed
                            || outcome == AttemptOutcome::NotExecuted;
    removeAttemptLoad(context, request, attempt);
    if (isComplete)
        context.state.connectionPool.putIdle(std::move(attempt.connection), RuntimeClock::now());
    else
        attempt.connection.channel->close();
}

asio::awaitable<void> startTakeover(RelayContext &context, RelayRequest &request,
                                    RelayProgress &progress)
{
    const std::string reason = progress.lastReason;
    const TimingEstimate estimate = progress.estimate;
    const auto placement = chooseEndpoint(context, request, progress);
    if (placement)
        progress.takeover = co_await startAttempt(context, request, progress, *placement);
    progress.estimate = estimate;
    if (!progress.takeover)
        co_return;
    progress.lastReason = reason;
    logTakeover(request, progress, "started");
}

bool isTakenOver(RelayContext &context, RelayRequest &request, RelayProgress &progress)
{
    if (!progress.takeover)
        return false;
    HttpHead head;
    const TakeoverState state = takeoverState(context, request, progress, head);
    if (state == TakeoverState::Waiting)
        return false;
    if (state == TakeoverState::Taken) {
        logTakeover(request, progress, "taken");
        return true;
    }
    EndpointAttempt &takeover = *progress.takeover;
    const TimePoint now = RuntimeClock::now();
    const bool isAnswered = state == TakeoverState::Refused;
    if (isAnswered) {
        takeover.refusal = readEndpointRefusal(context, request, takeover.connection, head);
        recordAnswer(context.state, request, takeover.placement, takeover.connection, head,
                     takeover.sentAt);
    }
    recordAttempt(context.state.placement, takeover.placement.endpoint,
                  isAnswered ? EndpointResult::Refused : EndpointResult::Failed, {}, now);
    logTakeover(request, progress, isAnswered ? "refused" : "failed");
    endAttempt(context, request, takeover, AttemptOutcome::Unknown);
    progress.takeover.reset();
    return false;
}

void cancelTakeover(RelayContext &context, RelayRequest &request, RelayProgress &progress)
{
    if (!progress.takeover)
        return;
    logTakeover(request, progress, "canceled");
    endAttempt(context, request, *progress.takeover, AttemptOutcome::Unknown);
    progress.takeover.reset();
}

} // namespace Trefoil
