#include "libgateway/relaysession.h"

#include "libgateway/engineends.h"
#include "libgateway/entryquarantine.h"
#include "libgateway/eventstream.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto EndpointConnectTimeout = std::chrono::milliseconds(500);
constexpr auto RequestWriteTimeout = std::chrono::seconds(2);

// A write to a caller that does not read its response fails after this time.
constexpr auto CallerWriteTimeout = std::chrono::seconds(10);

constexpr auto BodyReadTimeout = std::chrono::seconds(10);

// During a planned stop, idle connections stay open for DrainIdlePeriod, and new requests are
// accepted for DrainAcceptPeriod.
constexpr auto DrainIdlePeriod = std::chrono::seconds(3);
constexpr auto DrainAcceptPeriod = std::chrono::seconds(4);

// An endpoint is stalled when its first event does not arrive within MinFirstEventLimit, or a later
// one within MinEventGapLimit, or within a multiple of the predicted time if that is longer.
// FirstEventFactor is the multiple for the first event.
constexpr auto MinEventGapLimit = std::chrono::milliseconds(450);
constexpr auto MinFirstEventLimit = std::chrono::milliseconds(600);
constexpr double FirstEventFactor = 2.5;

// A request is stalled when it receives no event for at least this time while other requests at
// the same endpoint make progress.
constexpr auto MinRequestStallLimit = std::chrono::milliseconds(1500);

// A stall counts only if it lasts this long after it was noticed, so that data which has already
// arrived is read first.
constexpr auto StallConfirmationDelay = std::chrono::milliseconds(50);

constexpr std::size_t ResponseInputCapacity = 256 * 1024;
constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;
constexpr std::size_t MaxResponseBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxEventBytes = 256 * 1024;

// Maximum number of interim responses and late responses to earlier requests that an attempt skips.
constexpr std::uint32_t MaxUnrelatedResponses = 32;

// Engines get priorities above this value as this value.
constexpr std::uint32_t LowestEnginePriority = 4;

constexpr auto DefaultRetryAfter = std::chrono::milliseconds(500);

struct RelayRequest
{
    HttpHead head;
    std::string body;
    std::string id;

    // Owns the objects that `route` and `workspace` point to.
    std::shared_ptr<const ServiceConfiguration> config;
    const Route *route = nullptr;
    const WorkspaceKeys *workspace = nullptr;

    std::string service;
    std::string model;
    RequestSize size;

    // Parts of the prompt that other requests may share.
    PartSet sharedParts;

    // Equal for the repeats of a request.
    std::uint64_t contentKey = 0;

    TimePoint arrivedAt{};

    // The earlier of the deadline of the caller and the timeout of the route.
    TimePoint deadline{};

    // A response after this time misses the target latency of the route.
    TimePoint targetDeadline{};

    bool keepsAlive = true;
};

// Result of one attempt to have an endpoint serve the request.
enum class AttemptOutcome : std::uint8_t {
    // The whole response was forwarded.
    Answered,

    // The endpoint executed the request and returned an error.
    Failed,

    // No connection could be opened, or the endpoint confirmed that it did not execute the request.
    NotExecuted,

    // The endpoint may have executed the request.
    Unknown,

    // No request of this entry makes progress at the endpoint.
    EndpointStalled,

    // This request makes no progress, but others at the endpoint do.
    RequestStalled,

    // The request was taken back before its answer began, because its parts end engines.
    Withdrawn,

    // The deadline of the caller or the route passed.
    TimedOut,

    CallerDisconnected,
};

// Names of the outcomes in the log.
constexpr const char *AttemptOutcomeNames[] = {"answered",  "failed",    "not run",
                                               "unknown",   "stalled",   "stuck",
                                               "withdrawn", "timed out", "caller gone"};

// State of a request across all its attempts.
struct RelayProgress
{
    std::uint32_t sendCount = 0;
    std::set<EndpointId> triedEndpoints;
    EventFilter eventFilter;
    bool isResponseHeadSent = false;
    std::optional<TimePoint> firstByteAt;

    // Whether the current attempt received an event or a whole answer.
    bool hasBegun = false;

    // Whether the connection of the last attempt ended before its answer did.
    bool isConnectionLost = false;

    // Whether an engine ended before it began to answer, and the request was not repeated since.
    bool isSuspect = false;

    // Whether the request tries parts that are quarantined.
    bool isTrial = false;

    // Whether the request is refused because of its parts.
    bool isQuarantined = false;

    TimePoint lastEventAt{};

    // Time at which the latest event was forwarded to the caller, and the longest time between two
    // forwarded events.
    TimePoint lastForwardedAt{};
    Duration longestEventGap{};

    // Error response of an endpoint, forwarded if no other attempt succeeds.
    std::optional<HttpHead> failureHead;
    std::string failureBody;

    AttemptOutcome lastOutcome = AttemptOutcome::NotExecuted;
    bool mayHaveExecuted = false;
    std::string lastEndpoint;
    std::string lastReason;
    Duration retryAfter = DefaultRetryAfter;
    TimingEstimate estimate;
    std::size_t candidateCount = 0;
};

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(static_cast<std::int64_t>(toMilliseconds(duration)));
}

std::string secondsText(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

std::optional<double> parseNumber(std::string_view text)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || value < 0)
        return std::nullopt;
    return value;
}

std::string_view requestPath(const HttpHead &head)
{
    const std::string_view target = head.target;
    return target.substr(0, target.find('?'));
}

// Returns the bearer token of a request, or an empty view when there is none.
std::string_view callerKey(const HttpHead &head)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string *authorization = findField(head, "authorization");
    if (!authorization || authorization->size() <= scheme.size())
        return {};
    const std::string_view value = *authorization;
    if (!equalsIgnoringCase(value.substr(0, scheme.size()), scheme))
        return {};
    return value.substr(scheme.size());
}

// Serves the requests of one caller connection, one after the other.
class RelaySession
{
public:
    RelaySession(EntryState &state, ChannelPointer channel)
        : state_(state)
        , channel_(std::move(channel))
        , signal_(channel_->executor())
    {
        channel_->setChangeSignal(&signal_);
        state_.sessionSignals.insert(&signal_);
    }

    ~RelaySession()
    {
        state_.sessionSignals.erase(&signal_);
        channel_->setChangeSignal(nullptr);
        channel_->close();
    }

    RelaySession(const RelaySession &) = delete;
    RelaySession &operator=(const RelaySession &) = delete;

    asio::awaitable<void> run()
    {
        bool keepsConnectionOpen = true;
        while (keepsConnectionOpen) {
            RelayRequest request;
            const bool isRead = co_await readRequest(request);
            if (!isRead)
                break;
            ++state_.activeRequests;
            ++state_.requestCount;
            keepsConnectionOpen = co_await serveRequest(request);
            --state_.activeRequests;
        }
    }

private:
    RequestLimits requestLimits() const
    {
        return state_.config ? state_.config->limits : RequestLimits{};
    }

    // Returns when reading the current request must be complete, or when an idle connection closes.
    TimePoint readDeadline(const HttpParser &parser, TimePoint idleSince, TimePoint startedAt,
                           const RequestLimits &limits) const
    {
        if (parser.isHeadDone())
            return startedAt + limits.headerTimeout + BodyReadTimeout;
        if (parser.hasStarted())
            return startedAt + limits.headerTimeout;
        if (state_.isDraining)
            return std::min(idleSince + limits.idleTimeout, state_.drainingSince + DrainIdlePeriod);
        return idleSince + limits.idleTimeout;
    }

    // Reads the next request. Returns false when the connection ended, timed out or sent invalid
    // HTTP.
    asio::awaitable<bool> readRequest(RelayRequest &request)
    {
        const RequestLimits limits = requestLimits();
        HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, limits.maxBodyBytes);
        const TimePoint idleSince = RuntimeClock::now();
        TimePoint startedAt{};
        bool isContinueSent = false;
        while (true) {
            const bool isParsed = parser.consume(channel_->input());
            if (parser.hasStarted() && startedAt == TimePoint{})
                startedAt = RuntimeClock::now();
            if (!isParsed) {
                co_await refuseMalformed(parser.error());
                co_return false;
            }
            if (parser.isDone())
                break;
            channel_->resumeReading();
            if (channel_->isEnded())
                co_return false;
            const bool expectsContinue = parser.isHeadDone() && findField(parser.head(), "expect");
            if (expectsContinue && !isContinueSent) {
                isContinueSent = true;
                co_await channel_->write("HTTP/1.1 100 Continue\r\n\r\n",
                                         RuntimeClock::now() + CallerWriteTimeout);
            }
            const TimePoint deadline = readDeadline(parser, idleSince, startedAt, limits);
            if (RuntimeClock::now() >= deadline) {
                if (parser.hasStarted())
                    co_await sendErrorResponse(408, "the request did not arrive in time", {},
                                               false);
                co_return false;
            }
            co_await signal_.wait(deadline);
        }
        channel_->resumeReading();
        request.head = parser.head();
        request.body = parser.takeBody();
        request.keepsAlive = parser.keepsAlive();
        request.arrivedAt = startedAt;
        co_return true;
    }

    asio::awaitable<void> refuseMalformed(HttpParseError error)
    {
        state_.metrics.incrementCounter("trefoil_malformed_requests_total", "");
        if (error == HttpParseError::HeaderTooLarge)
            co_await sendErrorResponse(431, "the header is too large", {}, false);
        else if (error == HttpParseError::BodyTooLarge)
            co_await sendErrorResponse(413, "the body is too large", {}, false);
        else
            co_await sendErrorResponse(400, "the request is not valid HTTP", {}, false);
    }

    // Sends a response of the entry itself. Returns whether the connection stays open.
    asio::awaitable<bool> sendErrorResponse(std::uint32_t status, std::string_view text,
                                            std::vector<HttpField> fields, bool keepsAlive)
    {
        HttpHead head;
        head.status = status;
        head.reason = std::string(reasonPhrase(status));
        head.fields = std::move(fields);
        const std::string body = state_.dialect.encodeError(text);
        head.fields.push_back({"Content-Type", "application/json"});
        head.fields.push_back({"Content-Length", std::to_string(body.size())});
        if (!keepsAlive)
            head.fields.push_back({"Connection", "close"});
        const std::string message = toText(head) + body;
        const bool isWritten =
                co_await channel_->write(message, RuntimeClock::now() + CallerWriteTimeout);
        co_return isWritten &&keepsAlive;
    }

    bool keepsConnectionOpen(const RelayRequest &request) const
    {
        return request.keepsAlive && !state_.isDraining;
    }

    asio::awaitable<bool> refuseRequest(const RelayRequest &request, std::uint32_t status,
                                        std::string_view text,
                                        std::optional<Duration> retryAfter = {})
    {
        std::vector<HttpField> fields;
        if (!request.id.empty())
            fields.push_back({state_.dialect.headers.requestId, request.id});
        if (retryAfter)
            fields.push_back({"Retry-After", secondsText(*retryAfter)});
        logRequestEnd(request, RelayProgress{}, status, text);
        co_return co_await sendErrorResponse(status, text, std::move(fields),
                                             keepsConnectionOpen(request));
    }

    // Finds the route, workspace, service and deadlines of the request. Returns 0, or the status
    // with which the request is refused; `reason` then says why.
    std::uint32_t resolveRequest(RelayRequest &request, std::string_view &reason)
    {
        const HeaderNames &headerNames = state_.dialect.headers;
        if (const std::string *id = findField(request.head, headerNames.requestId))
            request.id = *id;
        request.config = state_.config;
        if (!request.config) {
            reason = "no configuration is known yet";
            return 503;
        }
        const std::string *host = findField(request.head, "host");
        if (!host || !request.head.target.starts_with('/')) {
            reason = "the host or the path is missing";
            return 400;
        }
        request.route = matchRoute(*request.config, *host, requestPath(request.head));
        if (!request.route) {
            reason = "no route matches";
            return 404;
        }
        request.workspace = findWorkspace(*request.config, callerKey(request.head));
        if (request.config->requiresKeys && !request.route->isPublic && !request.workspace) {
            reason = "the key is not known";
            return 401;
        }
        setDeadlines(request);
        setServiceAndSize(request);
        return 0;
    }

    void setDeadlines(RelayRequest &request) const
    {
        request.deadline = request.arrivedAt + request.route->timeout;
        request.targetDeadline = request.arrivedAt + request.route->targetLatency;
        const std::string *remaining = findField(request.head, state_.dialect.headers.timeLeft);
        const auto ms = remaining ? parseNumber(*remaining) : std::nullopt;
        if (!ms)
            return;
        const Duration duration = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(std::min(*ms, 1e9)));
        request.deadline = std::min(request.deadline, request.arrivedAt + duration);
    }

    void setServiceAndSize(RelayRequest &request)
    {
        std::uniform_real_distribution<double> unitInterval(0, 1);
        request.service = pickService(*request.route, unitInterval(state_.placement.rng));
        const HeaderNames &headerNames = state_.dialect.headers;
        // Only services with an engine have models. For other services the name is ignored, because
        // callers may send any name and the tables by model would grow with each new one.
        const Service *service = findService(*request.config, request.service);
        const std::string *model = findField(request.head, headerNames.model);
        if (model && service && service->engine)
            request.model = *model;
        if (const std::string *tokens = findField(request.head, headerNames.tokenCount)) {
            const std::size_t comma = tokens->find(',');
            request.size.promptTokens =
                    parseNumber(std::string_view(*tokens).substr(0, comma)).value_or(0);
            if (comma != std::string::npos)
                request.size.outputTokens =
                        parseNumber(std::string_view(*tokens).substr(comma + 1)).value_or(0);
        }
        if (const std::string *parts = findField(request.head, headerNames.promptParts))
            setParts(request, state_.dialect.decodePromptParts(*parts));
    }

    static void setParts(RelayRequest &request, const std::vector<PromptPart> &parts)
    {
        request.sharedParts = sharedParts(parts);
        request.contentKey = requestKey(parts);
    }

    asio::awaitable<bool> serveRequest(RelayRequest &request)
    {
        std::string_view reason;
        const std::uint32_t refusalStatus = resolveRequest(request, reason);
        if (refusalStatus == 503)
            co_return co_await refuseRequest(request, refusalStatus, reason, DefaultRetryAfter);
        if (refusalStatus != 0)
            co_return co_await refuseRequest(request, refusalStatus, reason);
        recordRequest(state_.retryBudget, RuntimeClock::now());
        const bool isAcceptPeriodOver =
                state_.isDraining && RuntimeClock::now() - state_.drainingSince > DrainAcceptPeriod;
        if (isAcceptPeriodOver)
            co_return co_await refuseRequest(request, 503, "the entry stops",
                                             Duration(DefaultRetryAfter));
        RelayProgress progress;
        if (const std::string *lastEventIdField =
                    findField(request.head, state_.dialect.headers.lastEventId)) {
            if (const auto id = parseNumber(*lastEventIdField))
                progress.eventFilter.lastEventId = static_cast<std::uint64_t>(*id);
        }
        while (true) {
            const bool mayContinue = co_await tryNextEndpoint(request, progress);
            if (!mayContinue)
                break;
        }
        co_return co_await finishRequest(request, progress);
    }

    // Makes one attempt at the best endpoint. Returns true when another attempt may follow.
    asio::awaitable<bool> tryNextEndpoint(RelayRequest &request, RelayProgress &progress)
    {
        const TimePoint now = RuntimeClock::now();
        if (now >= request.deadline) {
            progress.lastOutcome = AttemptOutcome::TimedOut;
            co_return false;
        }
        if (isRefusedByParts(request, progress, now))
            co_return false;
        const Placement placement = placeNextAttempt(request, progress, now);
        progress.candidateCount = placement.candidateCount;
        progress.retryAfter = placement.retryAfter;
        progress.estimate = placement.estimate;
        if (placement.verdict == PlacementVerdict::NoEndpoint) {
            progress.lastReason = "no endpoint takes the request";
            co_return false;
        }
        if (placement.verdict == PlacementVerdict::Overloaded) {
            progress.lastReason = "overloaded";
            co_return false;
        }
        if (progress.sendCount > 0) {
            const bool mayRepeat =
                    progress.sendCount < request.route->maxAttempts
                    && (!progress.isSuspect
                        || tryTakeRepeatAfterEnd(state_.quarantine, request.sharedParts, now));
            if (!mayRepeat || !takeRetry(request, now))
                co_return false;
            progress.isSuspect = false;
            state_.metrics.incrementCounter("trefoil_repeats_total", "");
        }
        progress.triedEndpoints.insert(placement.endpoint);
        progress.lastEndpoint = placement.endpoint;
        progress.lastOutcome = co_await runAttempt(request, progress, placement);
        recordAttemptOutcome(request, progress, placement);
        if (progress.isConnectionLost)
            co_await checkEngine(request, progress, placement);
        co_return mayRetry(request, progress);
    }

    // Takes a retry out of the budget of the entry. Returns false when none is left.
    bool takeRetry(const RelayRequest &request, TimePoint now)
    {
        const std::size_t entryCount = state_.placement.entryCount;
        if (tryTakeRetry(state_.retryBudget, entryCount, now))
            return true;
        const RetryBudgetUsage usage = retryBudgetUsage(state_.retryBudget, entryCount, now);
        state_.metrics.incrementCounter("trefoil_repeats_denied_total", "");
        logEvent(Event::RetryDenied, {{"id", request.id},
                                      {"service", request.service},
                                      {"requests", std::to_string(usage.requests)},
                                      {"retries", std::to_string(usage.retries)},
                                      {"limit", std::to_string(usage.limit)},
                                      {"entries", std::to_string(entryCount)}});
        return false;
    }

    // Returns whether the request is refused because its parts end engines.
    bool isRefusedByParts(const RelayRequest &request, RelayProgress &progress, TimePoint now)
    {
        const auto verdict = findRefusal(state_, request.sharedParts, progress.isTrial);
        if (!verdict)
            return false;
        progress.isQuarantined = true;
        progress.lastReason =
                "engines ended with the part " + toText(verdict->parts) + " of the prompt";
        progress.retryAfter = std::max(verdict->verdict.nextTrialAt - now, Duration::zero());
        state_.metrics.incrementCounter("trefoil_quarantine_refusals_total", "");
        return true;
    }

    Placement placeNextAttempt(const RelayRequest &request, const RelayProgress &progress,
                               TimePoint now)
    {
        return placeRequest(state_.placement, makePlacementRequest(request, progress, now), now);
    }

    static PlacementRequest makePlacementRequest(const RelayRequest &request,
                                                 const RelayProgress &progress, TimePoint now)
    {
        PlacementRequest placementRequest;
        placementRequest.config = request.config.get();
        placementRequest.route = request.route;
        placementRequest.service = request.service;
        placementRequest.model = request.model;
        placementRequest.size = request.size;
        placementRequest.timeLeft = request.deadline - now;
        placementRequest.targetTimeLeft = request.targetDeadline - now;
        placementRequest.triedEndpoints = progress.triedEndpoints;
        placementRequest.isResumption = progress.sendCount > 0;
        return placementRequest;
    }

    static bool mayRetry(const RelayRequest &request, const RelayProgress &progress)
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
        case AttemptOutcome::TimedOut:
        case AttemptOutcome::CallerDisconnected:
            return false;
        }
        return false;
    }

    void recordAttemptOutcome(const RelayRequest &request, RelayProgress &progress,
                              const Placement &placement)
    {
        const TimePoint now = RuntimeClock::now();
        switch (progress.lastOutcome) {
        case AttemptOutcome::Answered:
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Served,
                          now - request.arrivedAt, now);
            return;
        case AttemptOutcome::EndpointStalled:
            ejectEndpoint(state_.placement, placement.endpoint, now);
            reportStall(placement.endpoint, now);
            logEvent(Event::EndpointEjected, {{"endpoint", placement.endpoint},
                                              {"id", request.id},
                                              {"reason", progress.lastReason}});
            break;
        case AttemptOutcome::Failed:
        case AttemptOutcome::RequestStalled:
        case AttemptOutcome::Unknown:
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Failed, {}, now);
            break;
        default:
            break;
        }
        if (progress.lastOutcome == AttemptOutcome::CallerDisconnected)
            return;
        logEvent(Event::AttemptFailed,
                 {{"id", request.id},
                  {"endpoint", placement.endpoint},
                  {"end", AttemptOutcomeNames[static_cast<std::size_t>(progress.lastOutcome)]},
                  {"reason", progress.lastReason},
                  {"begun", progress.hasBegun ? "yes" : "no"},
                  {"parts", toText(request.sharedParts)},
                  {"elapsed_ms", millisecondsText(now - request.arrivedAt)}});
    }

    // Finds out whether the engine ended or only the connection to it.
    asio::awaitable<void> checkEngine(const RelayRequest &request, RelayProgress &progress,
                                      const Placement &placement)
    {
        const bool hasEnded = co_await hasEngineEnded(state_, placement);
        if (!hasEnded)
            co_return;
        progress.isSuspect = !progress.hasBegun;
        if (progress.isSuspect)
            addEvidence(state_,
                        recordEngineEnd(state_.quarantine,
                                        incarnationKey(placement.endpoint, placement.startedAtMs),
                                        {request.contentKey, request.sharedParts},
                                        RuntimeClock::now()));
        state_.metrics.incrementCounter("trefoil_requests_at_engine_end_total", "");
        logEvent(Event::EngineEnded,
                 {{"endpoint", placement.endpoint},
                  {"id", request.id},
                  {"workspace", request.workspace ? request.workspace->name : std::string()},
                  {"begun", progress.hasBegun ? "yes" : "no"},
                  {"parts", toText(request.sharedParts)}});
    }

    // Reports to the leader that the endpoint is stalled.
    void reportStall(const EndpointId &endpoint, TimePoint now)
    {
        state_.stalledAt[endpoint] = now;
        state_.sendStallReport();
    }

    // Responds to the caller after the last attempt. Returns whether the connection stays open.
    asio::awaitable<bool> finishRequest(RelayRequest &request, RelayProgress &progress)
    {
        if (progress.lastOutcome == AttemptOutcome::Answered) {
            logRequestEnd(request, progress, 200, "answered");
            co_return keepsConnectionOpen(request);
        }
        if (progress.lastOutcome == AttemptOutcome::CallerDisconnected || channel_->isEnded()) {
            logRequestEnd(request, progress, 0, "caller gone");
            co_return false;
        }
        if (progress.isResponseHeadSent) {
            // The connection is closed without the last chunk, which tells the caller that the
            // stream is incomplete.
            logRequestEnd(request, progress, 0, "stream cut: " + progress.lastReason);
            co_return false;
        }
        if (progress.failureHead) {
            logRequestEnd(request, progress, progress.failureHead->status,
                          "failed by the endpoint");
            co_return co_await forwardResponse(request, *progress.failureHead,
                                               progress.failureBody);
        }
        if (!progress.mayHaveExecuted) {
            const Duration remaining = request.deadline - RuntimeClock::now();
            const Duration maxWait = progress.isQuarantined ? progress.retryAfter : remaining / 3;
            const Duration wait = std::clamp(progress.retryAfter, Duration::zero(),
                                             std::max(maxWait, Duration::zero()));
            co_return co_await refuseAfterAttempts(request, progress, 503, wait);
        }
        const std::uint32_t status = progress.lastOutcome == AttemptOutcome::TimedOut ? 504 : 502;
        co_return co_await refuseAfterAttempts(request, progress, status, std::nullopt);
    }

    asio::awaitable<bool> refuseAfterAttempts(const RelayRequest &request,
                                              const RelayProgress &progress, std::uint32_t status,
                                              std::optional<Duration> retryAfter)
    {
        std::vector<HttpField> fields;
        fields.push_back({state_.dialect.headers.requestId, request.id});
        if (retryAfter)
            fields.push_back({"Retry-After", secondsText(*retryAfter)});
        logRequestEnd(request, progress, status, progress.lastReason);
        co_return co_await sendErrorResponse(status, progress.lastReason, std::move(fields),
                                             keepsConnectionOpen(request));
    }

    void logRequestEnd(const RelayRequest &request, const RelayProgress &progress,
                       std::uint32_t status, std::string_view outcome)
    {
        const TimePoint now = RuntimeClock::now();
        const std::string workspace = request.workspace ? request.workspace->name : "";
        const std::string route = request.route ? request.route->name : "";
        state_.metrics.incrementCounter("trefoil_requests_total",
                                        "workspace=\"" + workspace + "\",class=\"" + route
                                                + "\",status=\"" + std::to_string(status) + "\"");
        state_.metrics.recordTotalTime(workspace, route, now - request.arrivedAt);
        if (progress.firstByteAt)
            state_.metrics.recordFirstByteTime(workspace, route,
                                               *progress.firstByteAt - request.arrivedAt);
        logEvent(Event::RequestEnded,
                 {{"id", request.id},
                  {"route", route},
                  {"workspace", workspace},
                  {"service", request.service},
                  {"model", request.model},
                  {"endpoint", progress.lastEndpoint},
                  {"attempts", std::to_string(progress.sendCount)},
                  {"status", std::to_string(status)},
                  {"outcome", std::string(outcome)},
                  {"first_ms", progress.firstByteAt
                                       ? millisecondsText(*progress.firstByteAt - request.arrivedAt)
                                       : ""},
                  {"longest_gap_ms", millisecondsText(progress.longestEventGap)},
                  {"total_ms", millisecondsText(now - request.arrivedAt)},
                  {"predicted_first_ms", millisecondsText(progress.estimate.firstEvent)},
                  {"candidates", std::to_string(progress.candidateCount)},
                  {"parts", toText(request.sharedParts)},
                  {"configuration", std::to_string(request.config ? request.config->version : 0)}});
    }

    // Takes an idle connection or opens a new one. Returns nothing and sets `error` on failure.
    asio::awaitable<std::optional<EndpointConnection>>
    connectEndpoint(const RelayRequest &request, const Placement &placement, std::string &error)
    {
        const TimePoint now = RuntimeClock::now();
        auto idle = state_.connectionPool.takeIdle(placement.endpoint, placement.startedAtMs, now);
        if (idle)
            co_return idle;
        state_.metrics.incrementCounter("trefoil_endpoint_connections_total", "");
        const Duration timeout = std::min<Duration>(EndpointConnectTimeout, request.deadline - now);
        ChannelPointer channel =
                co_await connectChannel(placement.address, timeout, ResponseInputCapacity, error);
        if (!channel)
            co_return std::nullopt;
        EndpointConnection connection;
        connection.channel = std::move(channel);
        connection.address = placement.address;
        connection.endpoint = placement.endpoint;
        connection.startedAtMs = placement.startedAtMs;
        co_return connection;
    }

    // Encodes the request for the endpoint. The caller's key and hop-by-hop fields are left out,
    // and the fields that the entry sets are replaced.
    std::string makeRequestText(const RelayRequest &request, const RelayProgress &progress,
                                const Placement &placement) const
    {
        const HeaderNames &headerNames = state_.dialect.headers;
        const bool isResumption = progress.isResponseHeadSent;
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
            if (!isKey && !isSetByEntry && !isHopByHopField(request.head, field.name))
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
        return toText(head) + request.body;
    }

    // Returns the priority for the engine, which admits lower values first. The priority of the
    // workspace or route decides; among equals, requests that can still meet the target latency go
    // before late ones.
    static std::uint32_t enginePriority(const RelayRequest &request)
    {
        const std::uint32_t priority = request.workspace && request.workspace->priority
                                               ? *request.workspace->priority
                                               : request.route->priority;
        const bool isLate = RuntimeClock::now() >= request.targetDeadline;
        return 2 * std::min(priority, LowestEnginePriority) + (isLate ? 1 : 0);
    }

    asio::awaitable<AttemptOutcome> runAttempt(RelayRequest &request, RelayProgress &progress,
                                               const Placement &placement)
    {
        progress.hasBegun = false;
        progress.isConnectionLost = false;
        std::string error;
        auto connection = co_await connectEndpoint(request, placement, error);
        if (!connection) {
            progress.lastReason = "cannot connect: " + error;
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Failed, {},
                          RuntimeClock::now());
            co_return AttemptOutcome::NotExecuted;
        }
        if (channel_->isEnded()) {
            state_.connectionPool.putIdle(std::move(*connection), RuntimeClock::now());
            co_return AttemptOutcome::CallerDisconnected;
        }
        EndpointLoad load{1, request.size.promptTokens};
        addLoad(state_.placement, placement.endpoint, load);
        state_.activeRequestsByModel[request.model] += 1;
        connection->channel->setChangeSignal(&signal_);
        ++progress.sendCount;
        const bool mayHaveExecutedBefore = progress.mayHaveExecuted;
        progress.mayHaveExecuted = true;
        const std::string text = makeRequestText(request, progress, placement);
        const bool isWritten = co_await connection->channel->write(
                text,
                std::min<TimePoint>(request.deadline, RuntimeClock::now() + RequestWriteTimeout));
        AttemptOutcome outcome = AttemptOutcome::Unknown;
        if (isWritten)
            outcome = co_await relayResponse(request, progress, placement, *connection, load);
        else {
            progress.lastReason = "the request could not be written";
            progress.isConnectionLost = true;
        }
        if (outcome == AttemptOutcome::NotExecuted)
            progress.mayHaveExecuted = mayHaveExecutedBefore;
        connection->channel->setChangeSignal(nullptr);
        if (outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Failed
            && outcome != AttemptOutcome::NotExecuted)
            connection->channel->close();
        else
            state_.connectionPool.putIdle(std::move(*connection), RuntimeClock::now());
        removeLoad(state_.placement, placement.endpoint, load);
        state_.activeRequestsByModel[request.model] -= 1;
        co_return outcome;
    }

    // Reads the endpoint's response and forwards it to the caller.
    asio::awaitable<AttemptOutcome> relayResponse(RelayRequest &request, RelayProgress &progress,
                                                  const Placement &placement,
                                                  EndpointConnection &connection,
                                                  EndpointLoad &load)
    {
        Channel &endpoint = *connection.channel;
        const TimePoint sentAt = RuntimeClock::now();
        progress.lastEventAt = sentAt;
        progress.eventFilter.incompleteEvent.clear();
        std::optional<TimePoint> overdueSince;
        std::uint32_t unrelatedResponses = 0;
        HttpParser parser = makeResponseParser(request);
        while (true) {
            const bool isParsed = parser.consume(endpoint.input());
            endpoint.resumeReading();
            if (endpoint.isEnded() && !endpoint.isEndedByError() && endpoint.input().empty())
                parser.finishInput();
            if (isParsed && parser.isDone() && isUnrelatedResponse(request, parser.head())) {
                // This is an interim response or a late one to an earlier request; the response
                // to this request may still follow.
                if (++unrelatedResponses > MaxUnrelatedResponses) {
                    progress.lastReason = "too many answers that are not to this request";
                    co_return AttemptOutcome::Unknown;
                }
                parser = makeResponseParser(request);
                if (!endpoint.isEnded() || !endpoint.input().empty())
                    continue;
            }
            const bool isStream = parser.isHeadDone() && isEventStream(request, parser.head())
                                  && !isUnrelatedResponse(request, parser.head());
            if (isParsed && isStream) {
                const std::string bytes = parser.takeBody();
                const bool isForwarded =
                        co_await forwardEvents(request, progress, parser, bytes, placement, load);
                if (!isForwarded)
                    co_return AttemptOutcome::CallerDisconnected;
            }
            if (isParsed && parser.isDone() && isStream
                && isBrokenOff(progress, parser, progress.hasBegun)) {
                progress.lastReason = "the stream ended before an event did";
                co_return AttemptOutcome::Unknown;
            }
            if (isParsed && parser.isDone())
                co_return co_await processResponse(request, progress, parser, connection);
            const bool isOversized = endpoint.input().size() >= ResponseInputCapacity
                                     || progress.eventFilter.incompleteEvent.size() > MaxEventBytes;
            if (isOversized) {
                progress.lastReason = "a part of the answer has no end";
                co_return AttemptOutcome::Unknown;
            }
            if (!isParsed || endpoint.isEnded()) {
                progress.lastReason = isParsed ? "the connection ended" : "the answer is no HTTP";
                progress.isConnectionLost = isParsed;
                co_return AttemptOutcome::Unknown;
            }
            if (channel_->isEnded())
                co_return AttemptOutcome::CallerDisconnected;
            if (mustWithdraw(request, progress)) {
                progress.lastReason = "engines ended with a part of the prompt";
                co_return AttemptOutcome::Withdrawn;
            }
            const TimePoint now = RuntimeClock::now();
            if (now >= request.deadline) {
                progress.lastReason = "the time is over";
                co_return AttemptOutcome::TimedOut;
            }
            const StallDeadlines stall = computeStallDeadlines(request, progress, placement);
            const TimePoint stallDeadline =
                    std::min(stall.endpointStalledAt, stall.requestStalledAt);
            // If this process was paused, data that arrived meanwhile is read before a stall
            // counts.
            if (now < stallDeadline)
                overdueSince.reset();
            else if (!overdueSince)
                overdueSince = now;
            else if (now >= *overdueSince + StallConfirmationDelay) {
                // Until requestStalledAt, a stalled stream is moved only if another endpoint can
                // take it.
                const bool mustMove =
                        now >= stall.requestStalledAt
                        || hasUntriedEndpoint(state_.placement,
                                              makePlacementRequest(request, progress, now), now);
                if (mustMove)
                    co_return recordStall(progress, now >= stall.endpointStalledAt);
                overdueSince = now;
            }
            co_await signal_.wait(
                    std::min(request.deadline, overdueSince ? *overdueSince + StallConfirmationDelay
                                                            : stallDeadline));
        }
    }

    // Returns whether the request should be taken back from its engine. Requests with parts that
    // were answered before stay, since their answers show when a verdict is wrong.
    bool mustWithdraw(const RelayRequest &request, const RelayProgress &progress) const
    {
        if (progress.hasBegun || progress.isTrial)
            return false;
        const auto verdict = findVerdict(state_.quarantine, request.sharedParts);
        return verdict && !verdict->verdict.hadAnswer;
    }

    HttpParser makeResponseParser(const RelayRequest &request) const
    {
        HttpParser parser(HttpMessageKind::Response, MaxResponseHeaderBytes, MaxResponseBodyBytes);
        if (request.head.method == "HEAD")
            parser.expectNoBody();
        return parser;
    }

    struct StallDeadlines
    {
        // The endpoint is stalled if no request of this entry makes progress at the endpoint until
        // this time.
        TimePoint endpointStalledAt = TimePoint::max();

        // The request is stalled if it receives no event until this time, even if other requests
        // make progress.
        TimePoint requestStalledAt = TimePoint::max();
    };

    // Returns the times at which the attempt counts as stalled. They are finite only for a stream
    // that another endpoint may resume.
    StallDeadlines computeStallDeadlines(const RelayRequest &request, const RelayProgress &progress,
                                         const Placement &placement) const
    {
        const bool canMoveStream = request.route->kind == RouteKind::Stream
                                   && isRepeatable(*request.route)
                                   && progress.sendCount < request.route->maxAttempts;
        if (!canMoveStream)
            return {};
        const auto predictedFirst = std::chrono::duration_cast<Duration>(
                placement.estimate.firstEvent * FirstEventFactor);
        const Duration limit =
                progress.hasBegun
                        ? std::max<Duration>(MinEventGapLimit, 4 * placement.estimate.eventGap)
                        : std::max<Duration>(MinFirstEventLimit, predictedFirst);
        const auto lastProgress = state_.lastProgressAt.find(placement.endpoint);
        const TimePoint endpointProgressAt =
                lastProgress == state_.lastProgressAt.end()
                        ? progress.lastEventAt
                        : std::max(progress.lastEventAt, lastProgress->second);
        return {endpointProgressAt + limit,
                progress.lastEventAt + std::max<Duration>(MinRequestStallLimit, 2 * limit)};
    }

    // Stores the reason of the stall and returns the outcome of the attempt.
    static AttemptOutcome recordStall(RelayProgress &progress, bool isEndpointStalled)
    {
        progress.lastReason = progress.hasBegun ? "no event for too long" : "no first event";
        return isEndpointStalled ? AttemptOutcome::EndpointStalled : AttemptOutcome::RequestStalled;
    }

    // True for an interim response and for a late response to an earlier request.
    bool isUnrelatedResponse(const RelayRequest &request, const HttpHead &head) const
    {
        if (head.status < 200)
            return true;
        const std::string *id = findField(head, state_.dialect.headers.requestId);
        return id && *id != request.id;
    }

    // True for a success that the endpoint itself produced, which has a digest and no content
    // encoding.
    bool isVerifiedSuccess(const HttpHead &head) const
    {
        return head.status >= 200 && head.status < 300
               && findField(head, state_.dialect.headers.answerDigest)
               && !findField(head, "content-encoding");
    }

    bool isEventStream(const RelayRequest &request, const HttpHead &head) const
    {
        return request.route->kind == RouteKind::Stream && isVerifiedSuccess(head);
    }

    // Returns whether a stream whose response has ended is incomplete: it ended inside an event, or
    // only the end of the connection ended it and it had no event.
    static bool isBrokenOff(const RelayProgress &progress, const HttpParser &parser, bool hasEvents)
    {
        const bool isEmpty = !hasEvents && !progress.eventFilter.lastEventId;
        return !progress.eventFilter.incompleteEvent.empty()
               || (isEmpty && parser.endsWithConnection());
    }

    // Forwards complete events as they arrive. Returns false when the caller has disconnected.
    asio::awaitable<bool> forwardEvents(RelayRequest &request, RelayProgress &progress,
                                        const HttpParser &parser, std::string_view bytes,
                                        const Placement &placement, EndpointLoad &load)
    {
        const std::string events = filterEvents(progress.eventFilter, bytes);
        const bool isComplete =
                parser.isDone()
                && !isBrokenOff(progress, parser, progress.hasBegun || !events.empty());
        if (events.empty() && !isComplete)
            co_return true;
        std::string text;
        if (!progress.isResponseHeadSent) {
            text = makeStreamHead(request, parser.head());
            progress.isResponseHeadSent = true;
        }
        if (!events.empty()) {
            const TimePoint now = RuntimeClock::now();
            if (!progress.hasBegun && !progress.firstByteAt)
                recordFirstEvent(state_.placement.overheads[request.model], placement.estimate,
                                 now - progress.lastEventAt);
            if (!progress.hasBegun) {
                addEvidence(state_, recordBegunAnswer(state_.quarantine, request.sharedParts, now));
                removeLoad(state_.placement, placement.endpoint, {0, load.pendingPromptTokens});
                load.pendingPromptTokens = 0;
            }
            progress.hasBegun = true;
            progress.lastEventAt = now;
            state_.lastProgressAt[placement.endpoint] = now;
            if (!progress.firstByteAt)
                progress.firstByteAt = now;
            else
                progress.longestEventGap =
                        std::max(progress.longestEventGap, now - progress.lastForwardedAt);
            progress.lastForwardedAt = now;
            text += request.head.isHttp11 ? toChunk(events) : events;
        }
        if (isComplete && request.head.isHttp11)
            text += "0\r\n\r\n";
        co_return co_await channel_->write(text, RuntimeClock::now() + CallerWriteTimeout);
    }

    std::string makeStreamHead(RelayRequest &request, const HttpHead &response) const
    {
        HttpHead head = response;
        std::erase_if(head.fields, [&response](const HttpField &field) {
            return isHopByHopField(response, field.name);
        });
        if (request.head.isHttp11)
            head.fields.push_back({"Transfer-Encoding", "chunked"});
        else
            request.keepsAlive = false; // HTTP/1.0: closing the connection ends the response.
        if (!keepsConnectionOpen(request))
            head.fields.push_back({"Connection", "close"});
        return toText(head);
    }

    // Determines the outcome of a complete response and forwards it unless it is a stream, whose
    // events have been forwarded already.
    asio::awaitable<AttemptOutcome> processResponse(RelayRequest &request, RelayProgress &progress,
                                                    HttpParser &parser,
                                                    EndpointConnection &connection)
    {
        const HttpHead &head = parser.head();
        const bool mayReuse = parser.keepsAlive() && connection.channel->input().empty()
                              && !connection.channel->isEnded();
        connection.idleDeadline =
                mayReuse ? RuntimeClock::now() + keepAliveTime(head) : TimePoint{};
        if (findField(head, state_.dialect.headers.notExecuted) || head.status == 421) {
            progress.lastReason = "refused by the endpoint with " + std::to_string(head.status);
            recordAttempt(state_.placement, connection.endpoint, EndpointResult::Refused, {},
                          RuntimeClock::now());
            co_return AttemptOutcome::NotExecuted;
        }
        if (isEventStream(request, head))
            co_return AttemptOutcome::Answered;
        const bool isSuccess = head.status >= 200 && head.status < 300;
        if (isSuccess && !isVerifiedSuccess(head)) {
            progress.lastReason = "a success without digest";
            connection.idleDeadline = TimePoint{};
            co_return AttemptOutcome::Unknown;
        }
        std::string body = parser.takeBody();
        if (!isSuccess) {
            progress.lastReason = "status " + std::to_string(head.status);
            progress.failureHead = head;
            progress.failureBody = std::move(body);
            co_return AttemptOutcome::Failed;
        }
        progress.hasBegun = true;
        addEvidence(state_,
                    recordBegunAnswer(state_.quarantine, request.sharedParts, RuntimeClock::now()));
        progress.firstByteAt = RuntimeClock::now();
        progress.isResponseHeadSent = true;
        const bool isForwarded = co_await forwardResponse(request, head, body);
        const bool isCallerGone = !isForwarded && channel_->isEnded();
        co_return isCallerGone ? AttemptOutcome::CallerDisconnected : AttemptOutcome::Answered;
    }

    // Forwards a response with its complete body. Returns whether the connection stays open.
    asio::awaitable<bool> forwardResponse(const RelayRequest &request, const HttpHead &response,
                                          const std::string &body)
    {
        HttpHead head = response;
        const std::string *length = findField(response, "content-length");
        const std::string declaredLength = length ? *length : "0";
        std::erase_if(head.fields, [&response](const HttpField &field) {
            return isHopByHopField(response, field.name);
        });
        const bool hasNoBody = response.status == 204 || response.status == 304;
        const bool isHeadRequest = request.head.method == "HEAD";
        if (!hasNoBody)
            head.fields.push_back({"Content-Length",
                                   isHeadRequest ? declaredLength : std::to_string(body.size())});
        if (!keepsConnectionOpen(request))
            head.fields.push_back({"Connection", "close"});
        const std::string text = toText(head) + body;
        const bool isWritten =
                co_await channel_->write(text, RuntimeClock::now() + CallerWriteTimeout);
        co_return isWritten &&keepsConnectionOpen(request);
    }

    EntryState &state_;
    ChannelPointer channel_;
    AsyncCondition signal_;
};

} // namespace

asio::awaitable<void> runRelaySession(EntryState &state, ChannelPointer channel)
{
    RelaySession session(state, std::move(channel));
    co_await session.run();
}

} // namespace Trefoil
