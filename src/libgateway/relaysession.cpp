#include "libgateway/relaysession.h"

#include "libgateway/entrystop.h"
#include "libgateway/relayattempt.h"
#include "libgateway/relayrefusal.h"
#include "libgateway/responserelay.h"
#include "libruntime/clock.h"

#include <algorithm>
#include <charconv>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto BodyReadTimeout = std::chrono::seconds(10);

// During a planned stop, idle connections stay open for this time.
constexpr auto DrainIdlePeriod = std::chrono::seconds(3);

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

RequestLimits requestLimits(const RelayContext &context)
{
    return context.state.config ? context.state.config->limits : RequestLimits{};
}

// Returns when reading the current request must be complete, or when an idle connection closes.
TimePoint readDeadline(const RelayContext &context, const HttpParser &parser, TimePoint idleSince,
                       TimePoint startedAt, const RequestLimits &limits)
{
    if (parser.isHeadDone())
        return startedAt + limits.headerTimeout + BodyReadTimeout;
    if (parser.hasStarted())
        return startedAt + limits.headerTimeout;
    if (context.state.stop)
        return std::min(idleSince + limits.idleTimeout,
                        context.state.stop->startedAt + DrainIdlePeriod);
    return idleSince + limits.idleTimeout;
}

// Reads the next request. Returns false when the connection ended, timed out or sent invalid
// HTTP.
asio::awaitable<bool> readRequest(RelayContext &context, RelayRequest &request)
{
    const RequestLimits limits = requestLimits(context);
    HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, limits.maxBodyBytes);
    const TimePoint idleSince = RuntimeClock::now();
    TimePoint startedAt{};
    bool isContinueSent = false;
    while (true) {
        const bool isParsed = parser.consume(context.channel->input());
        if (parser.hasStarted() && startedAt == TimePoint{})
            startedAt = RuntimeClock::now();
        if (!isParsed) {
            co_await refuseMalformed(context, parser.error());
            co_return false;
        }
        if (parser.isDone())
            break;
        context.channel->resumeReading();
        if (context.channel->isEnded())
            co_return false;
        const bool expectsContinue = parser.isHeadDone() && findField(parser.head(), "expect");
        if (expectsContinue && !isContinueSent) {
            isContinueSent = true;
            co_await context.channel->write("HTTP/1.1 100 Continue\r\n\r\n",
                                            RuntimeClock::now() + CallerWriteTimeout);
        }
        const TimePoint deadline = readDeadline(context, parser, idleSince, startedAt, limits);
        if (RuntimeClock::now() >= deadline) {
            if (parser.hasStarted())
                co_await sendErrorResponse(context, 408, "the request did not arrive in time", {},
                                           false);
            co_return false;
        }
        co_await context.signal.wait(deadline);
    }
    context.channel->resumeReading();
    request.head = parser.head();
    request.body = parser.takeBody();
    request.keepsAlive = parser.keepsAlive();
    request.arrivedAt = startedAt;
    co_return true;
}

void setDeadlines(const RelayContext &context, RelayRequest &request)
{
    request.deadline = request.arrivedAt + request.route->timeout;
    request.targetDeadline = request.arrivedAt + request.route->targetLatency;
    const std::string *remaining = findField(request.head, context.state.dialect.headers.timeLeft);
    const auto ms = remaining ? parseNumber(*remaining) : std::nullopt;
    if (!ms)
        return;
    const Duration duration = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(std::min(*ms, 1e9)));
    request.deadline = std::min(request.deadline, request.arrivedAt + duration);
}

void setParts(RelayRequest &request, const std::vector<PromptPart> &parts)
{
    request.sharedParts = sharedParts(parts);
    request.contentKey = requestKey(parts);
}

void setServiceAndSize(RelayContext &context, RelayRequest &request)
{
    std::uniform_real_distribution<double> unitInterval(0, 1);
    request.service = pickService(*request.route, unitInterval(context.state.placement.rng));
    const HeaderNames &headerNames = context.state.dialect.headers;
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
        setParts(request, context.state.dialect.decodePromptParts(*parts));
}

// Finds the route, workspace, service and deadlines of the request. Returns 0, or the status
// with which the request is refused; `reason` then says why.
std::uint32_t resolveRequest(RelayContext &context, RelayRequest &request, std::string_view &reason)
{
    const HeaderNames &headerNames = context.state.dialect.headers;
    if (const std::string *id = findField(request.head, headerNames.requestId))
        request.id = *id;
    request.config = context.state.config;
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
    setDeadlines(context, request);
    setServiceAndSize(context, request);
    return 0;
}

// Responds to the caller after the last attempt. Returns whether the connection stays open.
asio::awaitable<bool> finishRequest(RelayContext &context, RelayRequest &request,
                                    RelayProgress &progress)
{
    if (progress.lastOutcome == AttemptOutcome::Answered) {
        logRequestEnd(context, request, progress, 200, "answered");
        co_return keepsConnectionOpen(context, request);
    }
    if (progress.lastOutcome == AttemptOutcome::CallerDisconnected || context.channel->isEnded()) {
        logRequestEnd(context, request, progress, 0, "caller gone");
        co_return false;
    }
    if (progress.isResponseHeadSent) {
        // The connection is closed without the last chunk, which tells the caller that the
        // stream is incomplete.
        logRequestEnd(context, request, progress, 0, "stream cut: " + progress.lastReason);
        co_return false;
    }
    if (progress.failureHead) {
        logRequestEnd(context, request, progress, progress.failureHead->status,
                      "failed by the endpoint");
        co_return co_await forwardResponse(context, request, *progress.failureHead,
                                           progress.failureBody);
    }
    if (!progress.mayHaveExecuted) {
        const Duration remaining = request.deadline - RuntimeClock::now();
        const Duration maxWait = progress.isQuarantined ? progress.retryAfter : remaining / 3;
        const Duration wait = std::clamp(progress.retryAfter, Duration::zero(),
                                         std::max(maxWait, Duration::zero()));
        co_return co_await refuseAfterAttempts(context, request, progress, 503, wait);
    }
    const std::uint32_t status = progress.lastOutcome == AttemptOutcome::TimedOut ? 504 : 502;
    co_return co_await refuseAfterAttempts(context, request, progress, status, std::nullopt);
}

asio::awaitable<bool> serveRequest(RelayContext &context, RelayRequest &request)
{
    std::string_view reason;
    const std::uint32_t refusalStatus = resolveRequest(context, request, reason);
    if (refusalStatus == 503)
        co_return co_await refuseRequest(context, request, refusalStatus, reason,
                                         DefaultRetryAfter);
    if (refusalStatus != 0)
        co_return co_await refuseRequest(context, request, refusalStatus, reason);
    recordRequest(retryBudget(context.state, request.service), entryCount(context.state.roster),
                  RuntimeClock::now());
    if (!takesRequests(context.state))
        co_return co_await refuseRequest(context, request, 503, "the entry stops",
                                         Duration(DefaultRetryAfter));
    RelayProgress progress;
    if (const std::string *lastEventIdField =
                findField(request.head, context.state.dialect.headers.lastEventId)) {
        if (const auto id = parseNumber(*lastEventIdField))
            progress.eventFilter.lastEventId = static_cast<std::uint64_t>(*id);
    }
    while (true) {
        const bool mayContinue = co_await tryNextEndpoint(context, request, progress);
        if (!mayContinue)
            break;
    }
    co_return co_await finishRequest(context, request, progress);
}

// Registers the signal of a session for the lifetime of the object, and closes the connection of
// the caller at the end.
class SessionRegistration
{
public:
    explicit SessionRegistration(RelayContext &context)
        : context_(context)
    {
        context_.channel->setChangeSignal(&context_.signal);
        context_.state.sessionSignals.insert(&context_.signal);
    }

    ~SessionRegistration()
    {
        context_.state.sessionSignals.erase(&context_.signal);
        context_.channel->setChangeSignal(nullptr);
        context_.channel->close();
    }

    SessionRegistration(const SessionRegistration &) = delete;
    SessionRegistration &operator=(const SessionRegistration &) = delete;

private:
    RelayContext &context_;
};

} // namespace

asio::awaitable<void> runRelaySession(EntryState &state, ChannelPointer channel)
{
    RelayContext context{state, channel, AsyncCondition(channel->executor())};
    const SessionRegistration registration(context);
    bool keepsConnectionOpen = true;
    while (keepsConnectionOpen) {
        RelayRequest request;
        const bool isRead = co_await readRequest(context, request);
        if (!isRead)
            break;
        ++state.activeRequests;
        ++state.requestCount;
        keepsConnectionOpen = co_await serveRequest(context, request);
        --state.activeRequests;
    }
}

} // namespace Trefoil
