#include "libgateway/relayattempt.h"

#include "libgateway/endpointattempt.h"
#include "libgateway/engineends.h"
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

// Callers give a stream up after a gap of two seconds.
constexpr auto MaxResumptionDelay = std::chrono::milliseconds(1500);
constexpr auto PlaceRetryInterval = std::chrono::milliseconds(100);

bool mayRetry(const RelayRequest &request, const RelayProgress &progress)
{
    switch (progress.lastOutcome) {
    case AttemptOutcome::NotExecuted:
        return isRepeatable(*request.route) || request.sends.proveNotRun();
    case AttemptOutcome::Moved:
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
                                    {"parts", toShortText(request.sharedParts)},
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

// Runs the attempt until its outcome is known.
asio::awaitable<AttemptOutcome> runAttempt(RelayContext &context, RelayRequest &request,
                                           RelayProgress &progress, EndpointAttempt &attempt)
{
    progress.hasBegun = false;
    progress.isConnectionLost = false;
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    if (attempt.isWritten) {
        outcome = co_await relayResponse(context, request, progress, attempt);
    } else {
        progress.lastReason = "the request could not be written";
        progress.isConnectionLost = true;
    }
    if (attempt.connection.channel->isEvicted()) {
        progress.lastReason = "the memory for answers is used up";
        progress.isConnectionLost = false;
        outcome = AttemptOutcome::OutOfMemory;
    }
    endAttempt(context, request, attempt, outcome);
    co_return outcome;
}

// Waits for a moment if a stream that has begun, and whose endpoint is lost, may still get a place
// at another one before its caller gives up.
asio::awaitable<bool> waitForPlace(RelayContext &context, const RelayRequest &request,
                                   const RelayProgress &progress)
{
    const TimePoint now = RuntimeClock::now();
    const bool mayWait = progress.isResponseHeadSent && isRepeatable(*request.route)
                         && progress.sendCount < request.route->maxAttempts
                         && !progress.isQuarantined && !context.channel->isEnded()
                         && now < progress.lastForwardedAt + MaxResumptionDelay;
    if (mayWait)
        co_await context.signal.wait(
                std::min(now + PlaceRetryInterval, lastMomentOf(context.state, request.deadline)));
    co_return mayWait;
}

// Returns the attempt that goes on: the takeover of a stream, or else a new one. Returns null when
// there is none; the outcome of `progress` is then set.
asio::awaitable<EndpointAttemptPointer> nextAttempt(RelayContext &context, RelayRequest &request,
                                                    RelayProgress &progress, bool &mayContinue)
{
    mayContinue = false;
    if (progress.takeover)
        co_return std::move(progress.takeover);
    const auto placement = chooseEndpoint(context, request, progress);
    if (!placement) {
        mayContinue = co_await waitForPlace(context, request, progress);
        co_return nullptr;
    }
    progress.lastEndpoint = placement->endpoint;
    progress.hasBegun = false;
    progress.isConnectionLost = false;
    auto attempt = co_await startAttempt(context, request, progress, *placement);
    if (attempt)
        co_return attempt;
    progress.lastOutcome = context.channel->isEnded() ? AttemptOutcome::CallerDisconnected
                                                      : AttemptOutcome::NotExecuted;
    recordAttemptOutcome(context, request, progress, *placement);
    mayContinue = mayRetry(request, progress);
    co_return nullptr;
}

} // namespace

asio::awaitable<bool> tryNextEndpoint(RelayContext &context, RelayRequest &request,
                                      RelayProgress &progress)
{
    if (RuntimeClock::now() >= lastMomentOf(context.state, request.deadline)) {
        cancelTakeover(context, request, progress);
        progress.lastOutcome = AttemptOutcome::TimedOut;
        co_return false;
    }
    bool mayContinue = false;
    const EndpointAttemptPointer attempt =
            co_await nextAttempt(context, request, progress, mayContinue);
    if (!attempt)
        co_return mayContinue;
    const Placement placement = attempt->placement;
    progress.lastEndpoint = placement.endpoint;
    progress.lastOutcome = co_await runAttempt(context, request, progress, *attempt);
    recordAttemptOutcome(context, request, progress, placement);
    if (progress.isConnectionLost)
        co_await checkEngine(context, request, progress, placement);
    mayContinue = mayRetry(request, progress);
    if (!mayContinue)
        cancelTakeover(context, request, progress);
    co_return mayContinue;
}

} // namespace Trefoil
