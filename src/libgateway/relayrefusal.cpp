#include "libgateway/relayrefusal.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace asio = boost::asio;

asio::awaitable<bool> sendErrorResponse(RelayContext &context, ErrorStatus status,
                                        std::string_view text, std::vector<HttpField> fields,
                                        bool keepsAlive)
{
    HttpHead head;
    head.status = status.value();
    head.reason = std::string(reasonPhrase(head.status));
    head.fields = std::move(fields);
    const std::string body = context.state.dialect.encodeError(text);
    head.fields.push_back({"Content-Type", "application/json"});
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    if (!keepsAlive)
        head.fields.push_back({"Connection", "close"});
    const std::string message = toText(head) + body;
    const bool isWritten =
            co_await context.channel->write(message, RuntimeClock::now() + CallerWriteTimeout);
    co_return isWritten &&keepsAlive;
}

asio::awaitable<void> refuseUnread(RelayContext &context, ErrorStatus status, std::string_view text)
{
    context.channel->hold(0);
    co_await sendErrorResponse(context, status, text, {}, false);
    co_await context.channel->linger();
}

asio::awaitable<void> refuseMalformed(RelayContext &context, HttpParseError error)
{
    context.state.metrics.incrementCounter("trefoil_malformed_requests_total", "");
    if (error == HttpParseError::HeaderTooLarge)
        co_await refuseUnread(context, ErrorStatus(431), "the header is too large");
    else if (error == HttpParseError::BodyTooLarge)
        co_await refuseUnread(context, ErrorStatus(413), "the body is too large");
    else
        co_await refuseUnread(context, ErrorStatus(400), "the request is not valid HTTP");
}

asio::awaitable<void> refuseEvicted(RelayContext &context, const RelayRequest &request)
{
    std::vector<HttpField> fields;
    fields.push_back({"Retry-After", secondsText(DefaultRetryAfter)});
    co_await sendErrorResponse(
            context, promiseIfProven(NotRunStatus::ServiceUnavailable, request.sends, 502),
            "the memory for requests is used up", std::move(fields), false);
}

asio::awaitable<bool> refuseRequest(RelayContext &context, const RelayRequest &request,
                                    ErrorStatus status, std::string_view text,
                                    std::optional<Duration> retryAfter)
{
    std::vector<HttpField> fields;
    if (!request.id.empty())
        fields.push_back({context.state.dialect.headers.requestId, request.id});
    if (retryAfter)
        fields.push_back({"Retry-After", secondsText(*retryAfter)});
    logRequestEnd(context, request, RelayProgress{}, status.value(), text);
    co_return co_await sendErrorResponse(context, status, text, std::move(fields),
                                         keepsConnectionOpen(context, request));
}

asio::awaitable<bool> refuseAfterAttempts(RelayContext &context, const RelayRequest &request,
                                          const RelayProgress &progress, ErrorStatus status,
                                          std::optional<Duration> retryAfter)
{
    std::vector<HttpField> fields;
    fields.push_back({context.state.dialect.headers.requestId, request.id});
    if (retryAfter)
        fields.push_back({"Retry-After", secondsText(*retryAfter)});
    logRequestEnd(context, request, progress, status.value(), progress.lastReason);
    co_return co_await sendErrorResponse(context, status, progress.lastReason, std::move(fields),
                                         keepsConnectionOpen(context, request));
}

void logRequestEnd(RelayContext &context, const RelayRequest &request,
                   const RelayProgress &progress, std::uint32_t status, std::string_view outcome)
{
    const TimePoint now = RuntimeClock::now();
    const std::string workspace = request.workspace ? request.workspace->name : "";
    const std::string route = request.route ? request.route->name : "";
    context.state.metrics.incrementCounter(
            "trefoil_requests_total", "workspace=\"" + workspace + "\",class=\"" + route
                                              + "\",status=\"" + std::to_string(status) + "\"");
    context.state.metrics.recordTotalTime(workspace, route, now - request.arrivedAt);
    if (progress.firstByteAt)
        context.state.metrics.recordFirstByteTime(workspace, route,
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
              {"parts", toShortText(request.sharedParts)},
              {"configuration", std::to_string(request.config ? request.config->version : 0)}});
}

} // namespace Trefoil
