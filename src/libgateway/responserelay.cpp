#include "libgateway/responserelay.h"

#include "libgateway/endpointattempt.h"
#include "libgateway/entryanswers.h"
#include "libgateway/entryquarantine.h"
#include "libgateway/entrystalls.h"
#include "libgateway/entrystop.h"
#include "libruntime/clock.h"

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

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

constexpr const char *StreamStalled = "no event for too long";

constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;
constexpr std::size_t MaxResponseBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxEventBytes = 256 * 1024;

// Answers that are larger are received through larger buffers of the kernel.
constexpr std::size_t LargeAnswerBytes = 32 * 1024;

// Maximum number of interim responses and late responses to earlier requests that an attempt skips.
constexpr std::uint32_t MaxUnrelatedResponses = 32;

// Returns whether the request should be taken back from its engine. Requests with parts that
// were answered before stay, since their answers show when a verdict is wrong.
bool mustWithdraw(const RelayContext &context, const RelayRequest &request,
                  const RelayProgress &progress)
{
    if (progress.hasBegun || progress.isTrial)
        return false;
    const auto verdict = findVerdict(context.state.quarantine, request.sharedParts);
    return verdict && !verdict->verdict.hadAnswer;
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
StallDeadlines computeStallDeadlines(const RelayContext &context, const RelayRequest &request,
                                     const RelayProgress &progress, const Placement &placement)
{
    const bool canMoveStream = request.route->kind == RouteKind::Stream
                               && isRepeatable(*request.route)
                               && progress.sendCount < request.route->maxAttempts;
    if (!canMoveStream)
        return {};
    const auto predictedFirst =
            std::chrono::duration_cast<Duration>(placement.estimate.firstEvent * FirstEventFactor);
    const Duration limit =
            progress.hasBegun
                    ? std::max<Duration>(MinEventGapLimit, 4 * placement.estimate.eventGap)
                    : std::max<Duration>(MinFirstEventLimit, predictedFirst);
    const auto lastProgress = context.state.lastProgressAt.find(placement.endpoint);
    const TimePoint endpointProgressAt =
            lastProgress == context.state.lastProgressAt.end()
                    ? progress.lastEventAt
                    : std::max(progress.lastEventAt, lastProgress->second);
    return {endpointProgressAt + limit,
            progress.lastEventAt + std::max<Duration>(MinRequestStallLimit, 2 * limit)};
}

// Stores the reason of the stall and returns the outcome of the attempt.
AttemptOutcome recordStall(RelayProgress &progress, bool isEndpointStalled)
{
    progress.lastReason = "no first event";
    return isEndpointStalled ? AttemptOutcome::EndpointStalled : AttemptOutcome::RequestStalled;
}

// True for a success that the endpoint itself produced, which has a digest and no content
// encoding.
bool isVerifiedSuccess(const RelayContext &context, const HttpHead &head)
{
    return head.status >= 200 && head.status < 300
           && findField(head, context.state.dialect.headers.answerDigest)
           && !findField(head, "content-encoding");
}

// Returns whether a stream whose response has ended is incomplete: it ended inside an event, or
// only the end of the connection ended it and it had no event.
bool isBrokenOff(const RelayProgress &progress, const HttpParser &parser, bool hasEvents)
{
    const bool isEmpty = !hasEvents && !progress.eventFilter.lastEventId;
    return !progress.eventFilter.incompleteEvent.empty()
           || (isEmpty && parser.endsWithConnection());
}

std::string makeStreamHead(const RelayContext &context, RelayRequest &request,
                           const HttpHead &response)
{
    HttpHead head = response;
    const HopByHopFields hopByHopFields(response);
    std::erase_if(head.fields, [&hopByHopFields](const HttpField &field) {
        return hopByHopFields.contains(field.name);
    });
    if (request.head.isHttp11)
        head.fields.push_back({"Transfer-Encoding", "chunked"});
    else
        request.keepsAlive = false; // HTTP/1.0: closing the connection ends the response.
    if (!keepsConnectionOpen(context, request))
        head.fields.push_back({"Connection", "close"});
    return toText(head);
}

// Forwards complete events as they arrive. Returns false when the caller has disconnected.
asio::awaitable<bool> forwardEvents(RelayContext &context, RelayRequest &request,
                                    RelayProgress &progress, const HttpParser &parser,
                                    std::string_view bytes, const Placement &placement,
                                    EndpointLoad &load)
{
    const std::string events = filterEvents(progress.eventFilter, bytes);
    const bool isComplete =
            parser.isDone() && !isBrokenOff(progress, parser, progress.hasBegun || !events.empty());
    if (events.empty() && !isComplete)
        co_return true;
    std::string text;
    if (!progress.isResponseHeadSent) {
        text = makeStreamHead(context, request, parser.head());
        progress.isResponseHeadSent = true;
    }
    if (!events.empty()) {
        const TimePoint now = RuntimeClock::now();
        if (!progress.hasBegun && !progress.firstByteAt)
            recordFirstEvent(context.state.placement.overheads[request.model], placement.estimate,
                             now - progress.lastEventAt);
        if (!progress.hasBegun) {
            addEvidence(context.state,
                        recordBegunAnswer(context.state.quarantine, request.sharedParts, now));
            removeLoad(context.state.placement, placement.endpoint, {0, load.pendingPromptTokens});
            load.pendingPromptTokens = 0;
        }
        progress.hasBegun = true;
        progress.lastEventAt = now;
        context.state.lastProgressAt[placement.endpoint] = now;
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
    co_return co_await context.channel->write(text, RuntimeClock::now() + CallerWriteTimeout);
}

// Determines the outcome of a complete response and forwards it unless it is a stream, whose
// events have been forwarded already.
asio::awaitable<AttemptOutcome> processResponse(RelayContext &context, RelayRequest &request,
                                                RelayProgress &progress, HttpParser &parser,
                                                EndpointAttempt &attempt)
{
    EndpointConnection &connection = attempt.connection;
    const HttpHead &head = parser.head();
    const bool mayReuse = parser.keepsAlive() && connection.channel->input().empty()
                          && !connection.channel->isEnded();
    connection.idleDeadline = mayReuse ? RuntimeClock::now() + keepAliveTime(head) : TimePoint{};
    attempt.refusal = readEndpointRefusal(context, request, connection, head);
    if (attempt.refusal) {
        progress.lastReason = "refused by the endpoint with " + std::to_string(head.status);
        recordAttempt(context.state.placement, connection.endpoint, EndpointResult::Refused, {},
                      RuntimeClock::now());
        co_return AttemptOutcome::NotExecuted;
    }
    if (isEventStream(context, request, head))
        co_return AttemptOutcome::Answered;
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !isVerifiedSuccess(context, head)) {
        progress.lastReason = "a success without digest";
        connection.idleDeadline = TimePoint{};
        co_return AttemptOutcome::Unknown;
    }
    std::string body = parser.takeBody();
    // From here on the body waits for the caller.
    connection.channel->hold(0);
    const bool isHeld = context.channel->hold(request.memoryBytes + body.capacity()
                                              + progress.failureBody.capacity());
    if (!isSuccess) {
        progress.lastReason = "status " + std::to_string(head.status);
        if (isNotRunStatus(head.status)) {
            progress.lastReason += " without proof that the request has not run";
        } else {
            progress.failureHead = head;
            progress.failureBody = std::move(body);
        }
        co_return AttemptOutcome::Failed;
    }
    if (!isHeld)
        co_return AttemptOutcome::CallerDisconnected;
    progress.hasBegun = true;
    addEvidence(context.state, recordBegunAnswer(context.state.quarantine, request.sharedParts,
                                                 RuntimeClock::now()));
    progress.firstByteAt = RuntimeClock::now();
    progress.isResponseHeadSent = true;
    const bool isForwarded = co_await forwardResponse(context, request, head, body);
    const bool isCallerGone = !isForwarded && context.channel->isEnded();
    co_return isCallerGone ? AttemptOutcome::CallerDisconnected : AttemptOutcome::Answered;
}

// Counts the memory of an answer that arrives. Returns false when it is refused.
bool holdAnswer(Channel &endpoint, const RelayProgress &progress, const HttpParser &parser)
{
    const bool isLarge =
            parser.isHeadDone() && !parser.isDone()
            && std::max<std::uint64_t>(parser.announcedBodyBytes(), parser.untakenBodyBytes())
                       > LargeAnswerBytes;
    if (isLarge)
        endpoint.extendBuffers();
    return endpoint.hold(parser.memoryUse() + progress.eventFilter.incompleteEvent.capacity());
}

} // namespace

HttpParser makeResponseParser(const RelayRequest &request)
{
    HttpParser parser(HttpMessageKind::Response, MaxResponseHeaderBytes, MaxResponseBodyBytes);
    if (request.head.method == "HEAD")
        parser.expectNoBody();
    return parser;
}

bool isUnrelatedResponse(const RelayContext &context, const RelayRequest &request,
                         const HttpHead &head)
{
    if (head.status < 200)
        return true;
    const std::string *id = findField(head, context.state.dialect.headers.requestId);
    return id && *id != request.id;
}

std::optional<EndpointRefusal> readEndpointRefusal(const RelayContext &context,
                                                   const RelayRequest &request,
                                                   const EndpointConnection &connection,
                                                   const HttpHead &response)
{
    const HeaderNames &headers = context.state.dialect.headers;
    const std::string *id = findField(response, headers.requestId);
    AnswerFacts answer;
    answer.status = response.status;
    answer.saysNotExecuted = findField(response, headers.notExecuted) != nullptr;
    answer.isToThisRequest = id ? *id == request.id : !connection.isReused;
    return readRefusal(answer);
}

bool isEventStream(const RelayContext &context, const RelayRequest &request, const HttpHead &head)
{
    return request.route->kind == RouteKind::Stream && isVerifiedSuccess(context, head);
}

asio::awaitable<AttemptOutcome> relayResponse(RelayContext &context, RelayRequest &request,
                                              RelayProgress &progress, EndpointAttempt &attempt)
{
    const Placement &placement = attempt.placement;
    EndpointConnection &connection = attempt.connection;
    Channel &endpoint = *connection.channel;
    const TimePoint sentAt = attempt.sentAt;
    progress.lastEventAt = sentAt;
    progress.eventFilter.incompleteEvent.clear();
    std::optional<TimePoint> overdueSince;
    std::uint32_t unrelatedResponses = 0;
    bool isHeadRecorded = false;
    bool isStallReported = false;
    HttpParser parser = makeResponseParser(request);
    while (true) {
        const bool isParsed = parser.consume(endpoint.input());
        if (!holdAnswer(endpoint, progress, parser))
            co_return AttemptOutcome::OutOfMemory;
        endpoint.resumeReading();
        if (endpoint.isEnded() && !endpoint.isEndedByError() && endpoint.input().empty())
            parser.finishInput();
        if (isParsed && parser.isDone() && isUnrelatedResponse(context, request, parser.head())) {
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
        const bool isOwnHead =
                parser.isHeadDone() && !isUnrelatedResponse(context, request, parser.head());
        if (isOwnHead && !isHeadRecorded) {
            isHeadRecorded = true;
            recordAnswer(context.state, request, placement, connection, parser.head(), sentAt);
        }
        const bool isStream = isOwnHead && isEventStream(context, request, parser.head());
        if (isParsed && isStream) {
            const std::string bytes = parser.takeBody();
            const bool isForwarded = co_await forwardEvents(context, request, progress, parser,
                                                            bytes, placement, attempt.load);
            if (!isForwarded)
                co_return AttemptOutcome::CallerDisconnected;
            if (progress.takeover && progress.lastEventAt > progress.takeover->sentAt)
                cancelTakeover(context, request, progress);
        }
        if (isParsed && parser.isDone() && isStream
            && isBrokenOff(progress, parser, progress.hasBegun)) {
            progress.lastReason = "the stream ended before an event did";
            co_return AttemptOutcome::Unknown;
        }
        if (isParsed && parser.isDone())
            co_return co_await processResponse(context, request, progress, parser, attempt);
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
        if (context.channel->isEnded())
            co_return AttemptOutcome::CallerDisconnected;
        if (mustWithdraw(context, request, progress)) {
            progress.lastReason = "engines ended with a part of the prompt";
            co_return AttemptOutcome::Withdrawn;
        }
        const TimePoint now = RuntimeClock::now();
        const TimePoint lastMoment = lastMomentOf(context.state, request.deadline);
        if (now >= lastMoment) {
            progress.lastReason = now < request.deadline ? "the entry stops" : "the time is over";
            co_return AttemptOutcome::TimedOut;
        }
        if (isTakenOver(context, request, progress)) {
            if (!isStallReported)
                recordAttempt(context.state.placement, placement.endpoint, EndpointResult::Failed,
                              {}, now);
            co_return AttemptOutcome::Moved;
        }
        const StallDeadlines stall = computeStallDeadlines(context, request, progress, placement);
        const TimePoint stallDeadline = std::min(stall.endpointStalledAt, stall.requestStalledAt);
        // If this process was paused, data that arrived meanwhile is read before a stall
        // counts.
        if (now < stallDeadline)
            overdueSince.reset();
        else if (!overdueSince)
            overdueSince = now;
        else if (now >= *overdueSince + StallConfirmationDelay) {
            // A stream that has begun stays at its endpoint until another one has taken it. Before
            // its first event the attempt ends, so that its caller can try elsewhere.
            const bool isOverdue = now >= stall.requestStalledAt;
            const bool isEndpointOverdue = now >= stall.endpointStalledAt;
            const bool isMovable =
                    !progress.takeover
                    && canMove(context.state, makePlacementRequest(request, progress, now), now);
            const bool hasStreamBegun = progress.hasBegun || progress.isResponseHeadSent;
            if (!hasStreamBegun && (isOverdue || isMovable))
                co_return recordStall(progress, isEndpointOverdue);
            if (isEndpointOverdue && (isOverdue || isMovable) && !isStallReported) {
                isStallReported = true;
                reportStall(context.state, placement.endpoint, request.id, StreamStalled, now);
            }
            overdueSince = now;
            if (isMovable) {
                progress.lastReason = StreamStalled;
                co_await startTakeover(context, request, progress);
                continue;
            }
        }
        co_await context.signal.wait(std::min(
                lastMoment, overdueSince ? *overdueSince + StallConfirmationDelay : stallDeadline));
    }
}

asio::awaitable<bool> forwardResponse(RelayContext &context, const RelayRequest &request,
                                      const HttpHead &response, const std::string &body)
{
    HttpHead head = response;
    const std::string *length = findField(response, "content-length");
    const std::string declaredLength = length ? *length : "0";
    const HopByHopFields hopByHopFields(response);
    std::erase_if(head.fields, [&hopByHopFields](const HttpField &field) {
        return hopByHopFields.contains(field.name);
    });
    const bool hasNoBody = response.status == 204 || response.status == 304;
    const bool isHeadRequest = request.head.method == "HEAD";
    if (!hasNoBody)
        head.fields.push_back(
                {"Content-Length", isHeadRequest ? declaredLength : std::to_string(body.size())});
    if (!keepsConnectionOpen(context, request))
        head.fields.push_back({"Connection", "close"});
    const std::string headText = toText(head);
    const bool isWritten = co_await context.channel->write(
            headText, body, RuntimeClock::now() + CallerWriteTimeout);
    co_return isWritten &&keepsConnectionOpen(context, request);
}

} // namespace Trefoil
