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

// Input beyond the head that a connection reads ahead.
constexpr std::size_t ReadAheadBytes = 16 * 1024;

// Bodies that are larger are received through larger buffers of the kernel.
constexpr std::size_t LargeBodyBytes = 32 * 1024;

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

// Counts the memory of a request that arrives. Returns false when it is refused.
bool holdArriving(Channel &channel, const HttpParser &parser)
{
    const bool isLarge =
            parser.isHeadDone() && !parser.isDone()
            && std::max<std::uint64_t>(parser.announcedBodyBytes(), parser.untakenBodyBytes())
                       > LargeBodyBytes;
    if (isLarge)
        channel.extendBuffers();
    return channel.hold(parser.memoryUse());
}

enum class ReadResult : std::uint8_t { Complete, Ended, Malformed, Late, Evicted };

// Receives the next request. `error` is set when it is malformed.
asio::awaitable<ReadResult> receiveRequest(RelayContext &context, RelayRequest &request,
                                           HttpParseError &error)
{
    const RequestLimits limits = requestLimits(context);
    Channel &channel = *context.channel;
    channel.setInputCapacity(limits.maxHeaderBytes + ReadAheadBytes);
    HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, limits.maxBodyBytes);
    const TimePoint idleSince = RuntimeClock::now();
    TimePoint startedAt{};
    bool isHeadSeen = false;
    while (true) {
        const bool isParsed = parser.consume(channel.input());
        if (parser.hasStarted() && startedAt == TimePoint{}) {
            startedAt = RuntimeClock::now();
            channel.setUse(MemoryUse::Arriving);
        }
        if (!isParsed) {
            error = parser.error();
            co_return ReadResult::Malformed;
        }
        if (parser.isDone())
            break;
        holdArriving(channel, parser);
        channel.resumeReading();
        if (channel.isEnded())
            co_return channel.isEvicted() && parser.hasStarted() ? ReadResult::Evicted
                                                                 : ReadResult::Ended;
        const bool isHeadNew = parser.isHeadDone() && !isHeadSeen;
        isHeadSeen = parser.isHeadDone();
        if (isHeadNew && findField(parser.head(), "expect")) {
            co_await channel.write("HTTP/1.1 100 Continue\r\n\r\n",
                                   RuntimeClock::now() + CallerWriteTimeout);
        }
        const TimePoint deadline = readDeadline(context, parser, idleSince, startedAt, limits);
        if (RuntimeClock::now() >= deadline)
            co_return parser.hasStarted() ? ReadResult::Late : ReadResult::Ended;
        co_await context.signal.wait(deadline);
    }
    request.keepsAlive = parser.keepsAlive();
    request.memoryBytes = parser.memoryUse();
    request.head = parser.takeHead();
    request.body = parser.takeBody();
    request.arrivedAt = startedAt;
    channel.restoreBuffers();
    channel.hold(request.memoryBytes);
    // While the request runs, input is only read to notice the end of the connection.
    channel.setInputCapacity(KeptInputBytes);
    channel.resumeReading();
    co_return ReadResult::Complete;
}

// Reads the next request, or refuses it when it cannot be read to its end. Returns false when there
// is none.
asio::awaitable<bool> readRequest(RelayContext &context, RelayRequest &request)
{
    HttpParseError error = HttpParseError::None;
    const ReadResult result = co_await receiveRequest(context, request, error);
    switch (result) {
    case ReadResult::Complete:
        co_return true;
    case ReadResult::Ended:
        break;
    case ReadResult::Malformed:
        co_await refuseMalformed(context, error);
        break;
    case ReadResult::Late:
        co_await refuseUnread(context,
                              promiseIfProven(NotRunStatus::RequestTimeout, request.sends, 400),
                              "the request did not arrive in time");
        break;
    case ReadResult::Evicted:
        co_await refuseEvicted(context, request);
        break;
    }
    co_return false;
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

// Returns the parts of all header fields with parts. A list may be spread over several.
std::vector<PromptPart> readPromptParts(const RelayContext &context, const HttpHead &head)
{
    const Dialect &dialect = context.state.dialect;
    std::vector<PromptPart> parts;
    for (const HttpField &field : head.fields) {
        if (!equalsIgnoringCase(field.name, dialect.headers.promptParts))
            continue;
        const std::vector<PromptPart> more = dialect.decodePromptParts(field.value);
        parts.insert(parts.end(), more.begin(), more.end());
    }
    return parts;
}

void setParts(RelayRequest &request, const std::vector<PromptPart> &parts)
{
    if (parts.empty())
        return;
    request.sharedParts = sharedParts(parts);
    request.contentKey = requestKey(parts);
    request.memoryBytes += request.sharedParts.capacity() * sizeof(PromptPartId);
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
    setParts(request, readPromptParts(context, request.head));
}

// Finds the route, workspace, service and deadlines of the request. Returns 0, or the status
// with which the request is refused; `reason` then says why.
std::uint32_t resolveRequest(RelayContext &context, RelayRequest &request, std::string_view &reason)
{
    request.config = context.state.config;
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
    if (context.channel->isEvicted() && !progress.isResponseHeadSent) {
        progress.lastReason = "the memory for requests is used up";
        co_return co_await refuseAfterAttempts(
                context, request, progress,
                promiseIfProven(NotRunStatus::ServiceUnavailable, request.sends, 502), {});
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
    const auto proof = request.sends.proveNotRun();
    if (progress.failureHead) {
        logRequestEnd(context, request, progress, progress.failureHead->status,
                      "failed by the endpoint");
        co_return co_await forwardResponse(context, request, *progress.failureHead,
                                           progress.failureBody);
    }
    if (proof) {
        const Duration remaining = request.deadline - RuntimeClock::now();
        const Duration maxWait = progress.isQuarantined ? progress.retryAfter : remaining / 3;
        const Duration wait = std::clamp(progress.retryAfter, Duration::zero(),
                                         std::max(maxWait, Duration::zero()));
        co_return co_await refuseAfterAttempts(
                context, request, progress, ErrorStatus(NotRunStatus::ServiceUnavailable, *proof),
                wait);
    }
    const std::uint32_t status = progress.lastOutcome == AttemptOutcome::TimedOut ? 504 : 502;
    co_return co_await refuseAfterAttempts(context, request, progress, ErrorStatus(status),
                                           std::nullopt);
}

asio::awaitable<bool> serveRequest(RelayContext &context, RelayRequest &request)
{
    if (const std::string *id = findField(request.head, context.state.dialect.headers.requestId))
        request.id = *id;
    const ErrorStatus unavailable =
            promiseIfProven(NotRunStatus::ServiceUnavailable, request.sends, 502);
    if (!context.state.config)
        co_return co_await refuseRequest(context, request, unavailable,
                                         "no configuration is known yet", DefaultRetryAfter);
    std::string_view reason;
    const std::uint32_t refusalStatus = resolveRequest(context, request, reason);
    if (refusalStatus != 0)
        co_return co_await refuseRequest(context, request, ErrorStatus(refusalStatus), reason);
    recordRequest(retryBudget(context.state, request.service), entryCount(context.state.roster),
                  RuntimeClock::now());
    if (!takesRequests(context.state))
        co_return co_await refuseRequest(context, request, unavailable, "the entry stops",
                                         Duration(DefaultRetryAfter));
    context.channel->hold(request.memoryBytes);
    if (!context.channel->tryRun())
        co_return co_await refuseRequest(context, request, unavailable,
                                         "the memory for requests is used up",
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
        request = {};
        channel->setUse(MemoryUse::Arriving);
        channel->hold(0);
    }
}

} // namespace Trefoil
