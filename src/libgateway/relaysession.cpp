#include "libgateway/relaysession.h"

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
constexpr auto CallerWriteTimeout = std::chrono::seconds(10); // of a caller that does not read
constexpr auto BodyTimeout = std::chrono::seconds(10);
constexpr auto DrainIdleTime = std::chrono::seconds(3);   // idle connections stay open this long
constexpr auto DrainAcceptTime = std::chrono::seconds(4); // requests are taken this long
constexpr auto EventGapLimit = std::chrono::milliseconds(450);    // then the group stands still
constexpr auto FirstEventLimit = std::chrono::milliseconds(600);  // at least, for the first event
constexpr double FirstEventFactor = 2.5;                          // of the predicted time
constexpr auto StuckLimit = std::chrono::milliseconds(1500);      // while others go on there
constexpr auto StallConfirmation = std::chrono::milliseconds(50); // reads what has arrived first
constexpr std::size_t AnswerCapacity = 256 * 1024;
constexpr std::size_t MaxAnswerHeader = 64 * 1024;
constexpr std::size_t MaxAnswerBody = 8 * 1024 * 1024;
constexpr std::size_t MaxEventBytes = 256 * 1024; // of one event of a stream
constexpr std::uint32_t MaxOtherAnswers = 32;     // interim or late ones before the own answer
constexpr std::uint32_t LowestRank = 4;           // ranks below it are treated alike by engines
constexpr auto UnknownRetryAfter = std::chrono::milliseconds(500);

struct RelayRequest
{
    HttpHead head;
    std::string body;
    std::string id;
    std::shared_ptr<const ServiceConfiguration> config; // keeps route and workspace alive
    const Route *route = nullptr;
    const WorkspaceKeys *workspace = nullptr;
    std::string service;
    std::string model;
    RequestSize size;
    TimePoint arrivedAt{};
    TimePoint until{};       // the caller or the route gives up
    TimePoint targetUntil{}; // later answers are late
    bool keepsAlive = true;
};

// What became of one attempt at an endpoint.
enum class AttemptEnd : std::uint8_t {
    Answered, // the whole answer was passed on
    Failed,   // the endpoint ran the request and answered with a failure
    NotRun,   // the endpoint proved that it did not run the request, or nothing was sent
    Unknown,  // it may have run
    Stalled,  // the endpoint shows no progress, on no request of this entry
    Stuck,    // this request does not go on, others at the endpoint do
    TimedOut, // the caller's or the route's time is over
    CallerGone,
};

constexpr const char *EndNames[] = {"answered", "failed", "not run",   "unknown",
                                    "stalled",  "stuck",  "timed out", "caller gone"};

// Progress of a request over all its attempts.
struct Progress
{
    std::uint32_t sends = 0;
    std::set<EndpointId> triedEndpoints;
    EventFilter events;
    bool isHeadSent = false;
    std::optional<TimePoint> firstByteAt;
    TimePoint lastEventAt{};
    TimePoint lastPassedAt{};            // event that the caller got
    Duration longestGap{};               // between two of these
    std::optional<HttpHead> failureHead; // failure of an endpoint that is passed on if none helps
    std::string failureBody;
    AttemptEnd lastEnd = AttemptEnd::NotRun;
    bool mayHaveRun = false;
    std::string lastEndpoint;
    std::string lastReason;
    Duration retryAfter = UnknownRetryAfter;
    TimingEstimate estimate;
    std::size_t candidates = 0;
};

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string msText(Duration duration)
{
    return std::to_string(static_cast<std::int64_t>(toMs(duration)));
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

std::string_view pathOf(const HttpHead &head)
{
    const std::string_view target = head.target;
    return target.substr(0, target.find('?'));
}

// The key of a request, empty when there is none.
std::string_view keyOf(const HttpHead &head)
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

class RelaySession
{
public:
    RelaySession(EntryState &state, ChannelPointer channel)
        : state_(state)
        , channel_(std::move(channel))
        , signal_(channel_->executor())
    {
        channel_->setListener(&signal_);
        state_.sessionSignals.insert(&signal_);
    }

    ~RelaySession()
    {
        state_.sessionSignals.erase(&signal_);
        channel_->setListener(nullptr);
        channel_->close();
    }

    RelaySession(const RelaySession &) = delete;
    RelaySession &operator=(const RelaySession &) = delete;

    asio::awaitable<void> run()
    {
        bool keepsOpen = true;
        while (keepsOpen) {
            RelayRequest request;
            const bool isRead = co_await read(request);
            if (!isRead)
                break;
            ++state_.activeRequests;
            ++state_.requests;
            keepsOpen = co_await serve(request);
            --state_.activeRequests;
        }
    }

private:
    // ---- Reading

    RequestLimits limits() const { return state_.config ? state_.config->limits : RequestLimits{}; }

    TimePoint readDeadline(const HttpParser &parser, TimePoint idleSince, TimePoint startedAt,
                           const RequestLimits &limits) const
    {
        if (parser.isHeadDone())
            return startedAt + limits.headerTimeout + BodyTimeout;
        if (parser.hasStarted())
            return startedAt + limits.headerTimeout;
        if (state_.isDraining)
            return std::min(idleSince + limits.idleTimeout, state_.drainingSince + DrainIdleTime);
        return idleSince + limits.idleTimeout;
    }

    asio::awaitable<bool> read(RelayRequest &request)
    {
        const RequestLimits bounds = limits();
        HttpParser parser(HttpMessageKind::Request, bounds.maxHeaderBytes, bounds.maxBodyBytes);
        const TimePoint idleSince = RuntimeClock::now();
        TimePoint startedAt{};
        bool isContinued = false;
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
            channel_->resume();
            if (channel_->isEnded())
                co_return false;
            const bool expects = parser.isHeadDone() && findField(parser.head(), "expect");
            if (expects && !isContinued) {
                isContinued = true;
                co_await channel_->write("HTTP/1.1 100 Continue\r\n\r\n",
                                         RuntimeClock::now() + CallerWriteTimeout);
            }
            const TimePoint until = readDeadline(parser, idleSince, startedAt, bounds);
            if (RuntimeClock::now() >= until) {
                if (parser.hasStarted())
                    co_await respond(408, "the request did not arrive in time", {}, false);
                co_return false;
            }
            co_await signal_.wait(until);
        }
        channel_->resume();
        request.head = parser.head();
        request.body = parser.takeBody();
        request.keepsAlive = parser.keepsAlive();
        request.arrivedAt = startedAt;
        co_return true;
    }

    asio::awaitable<void> refuseMalformed(HttpParseError error)
    {
        state_.metrics.addCount("trefoil_malformed_requests_total", "");
        if (error == HttpParseError::HeaderTooLarge)
            co_await respond(431, "the header is too large", {}, false);
        else if (error == HttpParseError::BodyTooLarge)
            co_await respond(413, "the body is too large", {}, false);
        else
            co_await respond(400, "the request is not valid HTTP", {}, false);
    }

    // ---- Answers of the entry itself

    asio::awaitable<bool> respond(std::uint32_t status, std::string_view text,
                                  std::vector<HttpField> fields, bool keepsAlive)
    {
        HttpHead head;
        head.status = status;
        head.reason = std::string(reasonOf(status));
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

    bool keepsOpen(const RelayRequest &request) const
    {
        return request.keepsAlive && !state_.isDraining;
    }

    asio::awaitable<bool> refuse(const RelayRequest &request, std::uint32_t status,
                                 std::string_view text, std::optional<Duration> retryAfter = {})
    {
        std::vector<HttpField> fields;
        if (!request.id.empty())
            fields.push_back({state_.dialect.headers.requestId, request.id});
        if (retryAfter)
            fields.push_back({"Retry-After", secondsText(*retryAfter)});
        logEnd(request, Progress{}, status, text);
        co_return co_await respond(status, text, std::move(fields), keepsOpen(request));
    }

    // ---- Classification

    // Fills in what the configuration says of the request. Returns the status of a refusal, or 0.
    std::uint32_t classify(RelayRequest &request, std::string_view &why)
    {
        const HeaderNames &names = state_.dialect.headers;
        if (const std::string *id = findField(request.head, names.requestId))
            request.id = *id;
        request.config = state_.config;
        if (!request.config) {
            why = "no configuration is known yet";
            return 503;
        }
        const std::string *host = findField(request.head, "host");
        if (!host || !request.head.target.starts_with('/')) {
            why = "the host or the path is missing";
            return 400;
        }
        request.route = matchRoute(*request.config, *host, pathOf(request.head));
        if (!request.route) {
            why = "no route matches";
            return 404;
        }
        request.workspace = findWorkspace(*request.config, keyOf(request.head));
        if (request.config->requiresKeys && !request.route->isPublic && !request.workspace) {
            why = "the key is not known";
            return 401;
        }
        setTimes(request);
        setWork(request);
        return 0;
    }

    void setTimes(RelayRequest &request) const
    {
        request.until = request.arrivedAt + request.route->timeout;
        request.targetUntil = request.arrivedAt + request.route->targetLatency;
        const std::string *left = findField(request.head, state_.dialect.headers.timeLeft);
        const auto ms = left ? parseNumber(*left) : std::nullopt;
        if (!ms)
            return;
        const Duration duration = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(std::min(*ms, 1e9)));
        request.until = std::min(request.until, request.arrivedAt + duration);
    }

    void setWork(RelayRequest &request)
    {
        std::uniform_real_distribution<double> point(0, 1);
        request.service = pickService(*request.route, point(state_.placement.rng));
        const HeaderNames &names = state_.dialect.headers;
        // Plain services have no models; what callers name there must not reach the tables by
        // model.
        const Service *service = findService(*request.config, request.service);
        const std::string *model = findField(request.head, names.model);
        if (model && service && service->engine)
            request.model = *model;
        if (const std::string *tokens = findField(request.head, names.tokenCount)) {
            const std::size_t comma = tokens->find(',');
            request.size.promptTokens =
                    parseNumber(std::string_view(*tokens).substr(0, comma)).value_or(0);
            if (comma != std::string::npos)
                request.size.outputTokens =
                        parseNumber(std::string_view(*tokens).substr(comma + 1)).value_or(0);
        }
    }

    // ---- Serving

    asio::awaitable<bool> serve(RelayRequest &request)
    {
        std::string_view why;
        const std::uint32_t refusal = classify(request, why);
        if (refusal == 503)
            co_return co_await refuse(request, refusal, why, UnknownRetryAfter);
        if (refusal != 0)
            co_return co_await refuse(request, refusal, why);
        recordRequest(state_.retryBudget, RuntimeClock::now());
        const bool isLateInDrain =
                state_.isDraining && RuntimeClock::now() - state_.drainingSince > DrainAcceptTime;
        if (isLateInDrain)
            co_return co_await refuse(request, 503, "the entry stops", Duration(UnknownRetryAfter));
        Progress progress;
        if (const std::string *last = findField(request.head, state_.dialect.headers.lastEventId)) {
            if (const auto id = parseNumber(*last))
                progress.events.lastEvent = static_cast<std::uint64_t>(*id);
        }
        while (true) {
            const bool goesOn = co_await tryNext(request, progress);
            if (!goesOn)
                break;
        }
        co_return co_await finish(request, progress);
    }

    // Makes one more attempt. Returns true when another one may follow.
    asio::awaitable<bool> tryNext(RelayRequest &request, Progress &progress)
    {
        const TimePoint now = RuntimeClock::now();
        if (now >= request.until) {
            progress.lastEnd = AttemptEnd::TimedOut;
            co_return false;
        }
        const Placement placement = place(request, progress, now);
        progress.candidates = placement.candidateCount;
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
        if (progress.sends > 0) {
            const bool mayRepeat =
                    progress.sends < request.route->maxAttempts
                    && tryTakeRetry(state_.retryBudget, state_.placement.entryCount, now);
            if (!mayRepeat)
                co_return false;
            state_.metrics.addCount("trefoil_repeats_total", "");
        }
        progress.triedEndpoints.insert(placement.endpoint);
        progress.lastEndpoint = placement.endpoint;
        progress.lastEnd = co_await attempt(request, progress, placement);
        noteEnd(request, progress, placement);
        co_return mayTryAgain(request, progress);
    }

    Placement place(const RelayRequest &request, const Progress &progress, TimePoint now)
    {
        return placeRequest(state_.placement, placementRequest(request, progress, now), now);
    }

    static PlacementRequest placementRequest(const RelayRequest &request, const Progress &progress,
                                             TimePoint now)
    {
        PlacementRequest wanted;
        wanted.config = request.config.get();
        wanted.route = request.route;
        wanted.service = request.service;
        wanted.model = request.model;
        wanted.size = request.size;
        wanted.timeLeft = request.until - now;
        wanted.targetTimeLeft = request.targetUntil - now;
        wanted.triedEndpoints = progress.triedEndpoints;
        wanted.isResumption = progress.sends > 0;
        return wanted;
    }

    static bool mayTryAgain(const RelayRequest &request, const Progress &progress)
    {
        switch (progress.lastEnd) {
        case AttemptEnd::NotRun:
            return true;
        case AttemptEnd::Failed:
        case AttemptEnd::Unknown:
        case AttemptEnd::Stalled:
        case AttemptEnd::Stuck:
            return isRepeatable(*request.route);
        case AttemptEnd::Answered:
        case AttemptEnd::TimedOut:
        case AttemptEnd::CallerGone:
            return false;
        }
        return false;
    }

    void noteEnd(const RelayRequest &request, Progress &progress, const Placement &placement)
    {
        const TimePoint now = RuntimeClock::now();
        switch (progress.lastEnd) {
        case AttemptEnd::Answered:
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Served,
                          now - request.arrivedAt, now);
            return;
        case AttemptEnd::Stalled:
            ejectEndpoint(state_.placement, placement.endpoint, now);
            reportStall(placement.endpoint, now);
            logEvent(Event::EndpointEjected, {{"endpoint", placement.endpoint},
                                              {"id", request.id},
                                              {"reason", progress.lastReason}});
            break;
        case AttemptEnd::Failed:
        case AttemptEnd::Stuck:
        case AttemptEnd::Unknown:
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Failed, {}, now);
            break;
        default:
            break;
        }
        if (progress.lastEnd == AttemptEnd::CallerGone)
            return;
        logEvent(Event::AttemptFailed,
                 {{"id", request.id},
                  {"endpoint", placement.endpoint},
                  {"end", EndNames[static_cast<std::size_t>(progress.lastEnd)]},
                  {"reason", progress.lastReason},
                  {"elapsed_ms", msText(now - request.arrivedAt)}});
    }

    // Tells the leader that an endpoint stands still.
    void reportStall(const EndpointId &endpoint, TimePoint now)
    {
        state_.stalledAt[endpoint] = now;
        state_.reportStall();
    }

    // Ends the request towards the caller. Returns whether the connection stays open.
    asio::awaitable<bool> finish(RelayRequest &request, Progress &progress)
    {
        if (progress.lastEnd == AttemptEnd::Answered) {
            logEnd(request, progress, 200, "answered");
            co_return keepsOpen(request);
        }
        if (progress.lastEnd == AttemptEnd::CallerGone || channel_->isEnded()) {
            logEnd(request, progress, 0, "caller gone");
            co_return false;
        }
        if (progress.isHeadSent) {
            // A stream that cannot go on must not look complete.
            logEnd(request, progress, 0, "stream cut: " + progress.lastReason);
            co_return false;
        }
        if (progress.failureHead) {
            logEnd(request, progress, progress.failureHead->status, "failed by the endpoint");
            co_return co_await passWhole(request, *progress.failureHead, progress.failureBody);
        }
        if (!progress.mayHaveRun) {
            const Duration left = request.until - RuntimeClock::now();
            const Duration wait = std::clamp(progress.retryAfter, Duration::zero(),
                                             std::max(left / 3, Duration::zero()));
            co_return co_await refuseWithProgress(request, progress, 503, wait);
        }
        const std::uint32_t status = progress.lastEnd == AttemptEnd::TimedOut ? 504 : 502;
        co_return co_await refuseWithProgress(request, progress, status, std::nullopt);
    }

    asio::awaitable<bool> refuseWithProgress(const RelayRequest &request, const Progress &progress,
                                             std::uint32_t status,
                                             std::optional<Duration> retryAfter)
    {
        std::vector<HttpField> fields;
        fields.push_back({state_.dialect.headers.requestId, request.id});
        if (retryAfter)
            fields.push_back({"Retry-After", secondsText(*retryAfter)});
        logEnd(request, progress, status, progress.lastReason);
        co_return co_await respond(status, progress.lastReason, std::move(fields),
                                   keepsOpen(request));
    }

    void logEnd(const RelayRequest &request, const Progress &progress, std::uint32_t status,
                std::string_view outcome)
    {
        const TimePoint now = RuntimeClock::now();
        const std::string workspace = request.workspace ? request.workspace->name : "";
        const std::string route = request.route ? request.route->name : "";
        state_.metrics.addCount("trefoil_requests_total", "workspace=\"" + workspace + "\",class=\""
                                                                  + route + "\",status=\""
                                                                  + std::to_string(status) + "\"");
        state_.metrics.addTotal(workspace, route, now - request.arrivedAt);
        if (progress.firstByteAt)
            state_.metrics.addFirstByte(workspace, route,
                                        *progress.firstByteAt - request.arrivedAt);
        logEvent(Event::RequestEnded,
                 {{"id", request.id},
                  {"route", route},
                  {"workspace", workspace},
                  {"service", request.service},
                  {"model", request.model},
                  {"endpoint", progress.lastEndpoint},
                  {"attempts", std::to_string(progress.sends)},
                  {"status", std::to_string(status)},
                  {"outcome", std::string(outcome)},
                  {"first_ms",
                   progress.firstByteAt ? msText(*progress.firstByteAt - request.arrivedAt) : ""},
                  {"longest_gap_ms", msText(progress.longestGap)},
                  {"total_ms", msText(now - request.arrivedAt)},
                  {"predicted_first_ms", msText(progress.estimate.firstEvent)},
                  {"candidates", std::to_string(progress.candidates)},
                  {"configuration", std::to_string(request.config ? request.config->version : 0)}});
    }

    // ---- Attempts

    asio::awaitable<std::optional<EndpointConnection>>
    connect(const RelayRequest &request, const Placement &placement, std::string &error)
    {
        const TimePoint now = RuntimeClock::now();
        auto idle = state_.pool.take(placement.endpoint, placement.startedAtMs, now);
        if (idle)
            co_return idle;
        state_.metrics.addCount("trefoil_endpoint_connections_total", "");
        const Duration timeout = std::min<Duration>(EndpointConnectTimeout, request.until - now);
        ChannelPointer channel =
                co_await connectChannel(placement.address, timeout, AnswerCapacity, error);
        if (!channel)
            co_return std::nullopt;
        EndpointConnection connection;
        connection.channel = std::move(channel);
        connection.address = placement.address;
        connection.endpoint = placement.endpoint;
        connection.startedAtMs = placement.startedAtMs;
        co_return connection;
    }

    std::string requestText(const RelayRequest &request, const Progress &progress,
                            const Placement &placement) const
    {
        const HeaderNames &names = state_.dialect.headers;
        const bool isResumption = progress.isHeadSent;
        HttpHead head;
        head.method = request.head.method;
        head.target = request.head.target;
        for (const HttpField &field : request.head.fields) {
            const auto is = [&field](std::string_view name) {
                return equalsIgnoringCase(field.name, name);
            };
            const bool isKey = is("authorization") && request.config->requiresKeys;
            const bool isOurs = is(names.timeLeft) || is(names.expectEndpoint)
                                || is(names.workspace) || is(names.priority) || is("expect")
                                || (isResumption && is(names.lastEventId));
            if (!isKey && !isOurs && !isHopByHop(request.head, field.name))
                head.fields.push_back(field);
        }
        const Duration left = std::max(request.until - RuntimeClock::now(),
                                       Duration(std::chrono::milliseconds(1)));
        head.fields.push_back({names.timeLeft, msText(left)});
        head.fields.push_back({names.expectEndpoint, placement.endpoint});
        if (request.route->kind == RouteKind::Stream)
            head.fields.push_back({names.priority, std::to_string(enginePriority(request))});
        if (request.workspace)
            head.fields.push_back({names.workspace, request.workspace->name});
        if (isResumption && progress.events.lastEvent)
            head.fields.push_back({names.lastEventId, std::to_string(*progress.events.lastEvent)});
        const bool hadBody = findField(request.head, "content-length")
                             || findField(request.head, "transfer-encoding");
        if (hadBody || !request.body.empty())
            head.fields.push_back({"Content-Length", std::to_string(request.body.size())});
        return toText(head) + request.body;
    }

    // Engines admit lower values first: by the rank of the workspace or the route, and at the same
    // rank requests that can still be on time before those that are late already.
    static std::uint32_t enginePriority(const RelayRequest &request)
    {
        const std::uint32_t rank = request.workspace && request.workspace->priority
                                           ? *request.workspace->priority
                                           : request.route->priority;
        const bool isLate = RuntimeClock::now() >= request.targetUntil;
        return 2 * std::min(rank, LowestRank) + (isLate ? 1 : 0);
    }

    asio::awaitable<AttemptEnd> attempt(RelayRequest &request, Progress &progress,
                                        const Placement &placement)
    {
        std::string error;
        auto connection = co_await connect(request, placement, error);
        if (!connection) {
            progress.lastReason = "cannot connect: " + error;
            recordAttempt(state_.placement, placement.endpoint, EndpointResult::Failed, {},
                          RuntimeClock::now());
            co_return AttemptEnd::NotRun;
        }
        if (channel_->isEnded()) {
            state_.pool.put(std::move(*connection), RuntimeClock::now());
            co_return AttemptEnd::CallerGone;
        }
        EndpointLoad load{1, request.size.promptTokens};
        addLoad(state_.placement, placement.endpoint, load);
        state_.sequences[request.model] += 1;
        connection->channel->setListener(&signal_);
        ++progress.sends;
        const bool mayHaveRunBefore = progress.mayHaveRun;
        progress.mayHaveRun = true;
        const std::string text = requestText(request, progress, placement);
        const bool isWritten = co_await connection->channel->write(
                text,
                std::min<TimePoint>(request.until, RuntimeClock::now() + RequestWriteTimeout));
        AttemptEnd end = AttemptEnd::Unknown;
        if (isWritten)
            end = co_await exchange(request, progress, placement, *connection, load);
        else
            progress.lastReason = "the request could not be written";
        if (end == AttemptEnd::NotRun)
            progress.mayHaveRun = mayHaveRunBefore;
        connection->channel->setListener(nullptr);
        if (end != AttemptEnd::Answered && end != AttemptEnd::Failed && end != AttemptEnd::NotRun)
            connection->channel->close();
        else
            state_.pool.put(std::move(*connection), RuntimeClock::now());
        removeLoad(state_.placement, placement.endpoint, load);
        state_.sequences[request.model] -= 1;
        co_return end;
    }

    // Waits for the answer and passes it on.
    asio::awaitable<AttemptEnd> exchange(RelayRequest &request, Progress &progress,
                                         const Placement &placement, EndpointConnection &connection,
                                         EndpointLoad &load)
    {
        Channel &endpoint = *connection.channel;
        const TimePoint sentAt = RuntimeClock::now();
        progress.lastEventAt = sentAt;
        progress.events.pending.clear();
        bool hasProgress = false;
        std::optional<TimePoint> overdueSince;
        std::uint32_t otherAnswers = 0;
        HttpParser parser = newAnswerParser(request);
        while (true) {
            const bool isParsed = parser.consume(endpoint.input());
            endpoint.resume();
            if (endpoint.isEnded() && !endpoint.isReset() && endpoint.input().empty())
                parser.finishInput();
            if (isParsed && parser.isDone() && isForAnother(request, parser.head())) {
                // An extra answer to an earlier request; the own one may still follow.
                if (++otherAnswers > MaxOtherAnswers) {
                    progress.lastReason = "too many answers that are not to this request";
                    co_return AttemptEnd::Unknown;
                }
                parser = newAnswerParser(request);
                if (!endpoint.isEnded() || !endpoint.input().empty())
                    continue;
            }
            const bool isStream = parser.isHeadDone() && isEventStream(request, parser.head())
                                  && !isForAnother(request, parser.head());
            if (isParsed && isStream) {
                const std::string bytes = parser.takeBody();
                const bool isPassed = co_await passEvents(request, progress, parser, bytes,
                                                          placement, load, hasProgress);
                if (!isPassed)
                    co_return AttemptEnd::CallerGone;
            }
            if (isParsed && parser.isDone())
                co_return co_await takeAnswer(request, progress, parser, connection);
            const bool isOversized = endpoint.input().size() >= AnswerCapacity
                                     || progress.events.pending.size() > MaxEventBytes;
            if (isOversized) {
                progress.lastReason = "a part of the answer has no end";
                co_return AttemptEnd::Unknown;
            }
            if (!isParsed || endpoint.isEnded()) {
                progress.lastReason = isParsed ? "the connection ended" : "the answer is no HTTP";
                co_return AttemptEnd::Unknown;
            }
            if (channel_->isEnded())
                co_return AttemptEnd::CallerGone;
            const TimePoint now = RuntimeClock::now();
            if (now >= request.until) {
                progress.lastReason = "the time is over";
                co_return AttemptEnd::TimedOut;
            }
            const StallTimes stall = stallTimes(request, progress, placement, hasProgress);
            const TimePoint due = std::min(stall.endpointStalledAt, stall.requestStuckAt);
            // After a pause of this process, what has arrived meanwhile is read first.
            if (now < due)
                overdueSince.reset();
            else if (!overdueSince)
                overdueSince = now;
            else if (now >= *overdueSince + StallConfirmation) {
                // A slow stream that has nowhere to go is not cut as soon as others.
                const bool isLeft =
                        now >= stall.requestStuckAt
                        || hasUntriedEndpoint(state_.placement,
                                              placementRequest(request, progress, now), now);
                if (isLeft)
                    co_return noteNoProgress(progress, hasProgress, now >= stall.endpointStalledAt);
                overdueSince = now;
            }
            co_await signal_.wait(std::min(request.until,
                                           overdueSince ? *overdueSince + StallConfirmation : due));
        }
    }

    HttpParser newAnswerParser(const RelayRequest &request) const
    {
        HttpParser parser(HttpMessageKind::Response, MaxAnswerHeader, MaxAnswerBody);
        if (request.head.method == "HEAD")
            parser.expectNoBody();
        return parser;
    }

    struct StallTimes
    {
        TimePoint endpointStalledAt = TimePoint::max(); // no request of this entry went on there
        TimePoint requestStuckAt = TimePoint::max();    // this request did not, others may
    };

    // Only streams that another endpoint may go on with are moved.
    StallTimes stallTimes(const RelayRequest &request, const Progress &progress,
                          const Placement &placement, bool hasProgress) const
    {
        const bool mayMove = request.route->kind == RouteKind::Stream
                             && isRepeatable(*request.route)
                             && progress.sends < request.route->maxAttempts;
        if (!mayMove)
            return {};
        const auto predictedFirst = std::chrono::duration_cast<Duration>(
                placement.estimate.firstEvent * FirstEventFactor);
        const Duration limit =
                hasProgress ? std::max<Duration>(EventGapLimit, 4 * placement.estimate.eventGap)
                            : std::max<Duration>(FirstEventLimit, predictedFirst);
        const auto other = state_.progressAt.find(placement.endpoint);
        const TimePoint endpointSince = other == state_.progressAt.end()
                                                ? progress.lastEventAt
                                                : std::max(progress.lastEventAt, other->second);
        return {endpointSince + limit,
                progress.lastEventAt + std::max<Duration>(StuckLimit, 2 * limit)};
    }

    static AttemptEnd noteNoProgress(Progress &progress, bool hasProgress, bool isEndpointStalled)
    {
        progress.lastReason = hasProgress ? "no event for too long" : "no first event";
        return isEndpointStalled ? AttemptEnd::Stalled : AttemptEnd::Stuck;
    }

    // An interim answer, or a late one to an earlier request.
    bool isForAnother(const RelayRequest &request, const HttpHead &head) const
    {
        if (head.status < 200)
            return true;
        const std::string *id = findField(head, state_.dialect.headers.requestId);
        return id && *id != request.id;
    }

    // A success that is the endpoint's own answer.
    bool isSound(const HttpHead &head) const
    {
        return head.status >= 200 && head.status < 300
               && findField(head, state_.dialect.headers.answerDigest)
               && !findField(head, "content-encoding");
    }

    bool isEventStream(const RelayRequest &request, const HttpHead &head) const
    {
        return request.route->kind == RouteKind::Stream && isSound(head);
    }

    // Passes whole events on as they arrive. False when the caller is gone.
    asio::awaitable<bool> passEvents(RelayRequest &request, Progress &progress,
                                     const HttpParser &parser, std::string_view bytes,
                                     const Placement &placement, EndpointLoad &load,
                                     bool &hasProgress)
    {
        std::string events = takeEvents(progress.events, bytes);
        const bool isComplete = parser.isDone();
        if (isComplete)
            events += std::exchange(progress.events.pending, {});
        if (events.empty() && !isComplete)
            co_return true;
        std::string text;
        if (!progress.isHeadSent) {
            text = streamHeadText(request, parser.head());
            progress.isHeadSent = true;
        }
        if (!events.empty()) {
            const TimePoint now = RuntimeClock::now();
            if (!hasProgress && !progress.firstByteAt)
                recordFirstEvent(state_.placement.overheads[request.model], placement.estimate,
                                 now - progress.lastEventAt);
            if (!hasProgress) {
                removeLoad(state_.placement, placement.endpoint, {0, load.pendingPromptTokens});
                load.pendingPromptTokens = 0;
            }
            hasProgress = true;
            progress.lastEventAt = now;
            state_.progressAt[placement.endpoint] = now;
            if (!progress.firstByteAt)
                progress.firstByteAt = now;
            else
                progress.longestGap = std::max(progress.longestGap, now - progress.lastPassedAt);
            progress.lastPassedAt = now;
            text += request.head.isHttp11 ? toChunk(events) : events;
        }
        if (isComplete && request.head.isHttp11)
            text += "0\r\n\r\n";
        co_return co_await channel_->write(text, RuntimeClock::now() + CallerWriteTimeout);
    }

    std::string streamHeadText(RelayRequest &request, const HttpHead &answer) const
    {
        HttpHead head = answer;
        std::erase_if(head.fields,
                      [&answer](const HttpField &field) { return isHopByHop(answer, field.name); });
        if (request.head.isHttp11)
            head.fields.push_back({"Transfer-Encoding", "chunked"});
        else
            request.keepsAlive = false; // the end of the connection ends the answer
        if (!keepsOpen(request))
            head.fields.push_back({"Connection", "close"});
        return toText(head);
    }

    // Judges a whole answer. Streams have been passed on already.
    asio::awaitable<AttemptEnd> takeAnswer(RelayRequest &request, Progress &progress,
                                           HttpParser &parser, EndpointConnection &connection)
    {
        const HttpHead &head = parser.head();
        const bool mayReuse = parser.keepsAlive() && connection.channel->input().empty()
                              && !connection.channel->isEnded();
        connection.idleUntil = mayReuse ? RuntimeClock::now() + idleLifetime(head) : TimePoint{};
        if (findField(head, state_.dialect.headers.notExecuted) || head.status == 421) {
            progress.lastReason = "refused by the endpoint with " + std::to_string(head.status);
            recordAttempt(state_.placement, connection.endpoint, EndpointResult::Refused, {},
                          RuntimeClock::now());
            co_return AttemptEnd::NotRun;
        }
        if (isEventStream(request, head))
            co_return AttemptEnd::Answered;
        const bool isSuccess = head.status >= 200 && head.status < 300;
        if (isSuccess && !isSound(head)) {
            progress.lastReason = "a success without digest";
            connection.idleUntil = TimePoint{};
            co_return AttemptEnd::Unknown;
        }
        std::string body = parser.takeBody();
        if (!isSuccess) {
            progress.lastReason = "status " + std::to_string(head.status);
            progress.failureHead = head;
            progress.failureBody = std::move(body);
            co_return AttemptEnd::Failed;
        }
        progress.firstByteAt = RuntimeClock::now();
        progress.isHeadSent = true;
        const bool isPassed = co_await passWhole(request, head, body);
        const bool isGone = !isPassed && channel_->isEnded();
        co_return isGone ? AttemptEnd::CallerGone : AttemptEnd::Answered;
    }

    // Passes an answer with its whole body on. Returns whether the connection stays open.
    asio::awaitable<bool> passWhole(const RelayRequest &request, const HttpHead &answer,
                                    const std::string &body)
    {
        HttpHead head = answer;
        const std::string *length = findField(answer, "content-length");
        const std::string headLength = length ? *length : "0";
        std::erase_if(head.fields,
                      [&answer](const HttpField &field) { return isHopByHop(answer, field.name); });
        const bool hasNoBody = answer.status == 204 || answer.status == 304;
        const bool isHead = request.head.method == "HEAD";
        if (!hasNoBody)
            head.fields.push_back(
                    {"Content-Length", isHead ? headLength : std::to_string(body.size())});
        if (!keepsOpen(request))
            head.fields.push_back({"Connection", "close"});
        const std::string text = toText(head) + body;
        const bool isWritten =
                co_await channel_->write(text, RuntimeClock::now() + CallerWriteTimeout);
        co_return isWritten &&keepsOpen(request);
    }

    EntryState &state_;
    ChannelPointer channel_;
    Signal signal_;
};

} // namespace

asio::awaitable<void> runRelaySession(EntryState &state, ChannelPointer channel)
{
    RelaySession session(state, std::move(channel));
    co_await session.run();
}

} // namespace Trefoil
