#include "libgateway/endpointpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <charconv>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto DefaultKeepAliveTime = std::chrono::seconds(10);

// Subtracted from the keep-alive time that an endpoint announces, because a request needs time to
// reach the endpoint.
constexpr auto KeepAliveMargin = std::chrono::milliseconds(400);

constexpr std::size_t ResponseInputCapacity = 32 * 1024;
constexpr std::size_t RequestInputCapacity = 32 * 1024;
constexpr std::size_t MaxResponseHeaderBytes = 16 * 1024;

// Limit of bodies of all requests, whatever their heads are.
constexpr std::size_t MaxRequestBodyBytes = 8 * 1024 * 1024;

// Bodies that are larger are received through larger buffers of the kernel.
constexpr std::size_t LargeBodyBytes = 64 * 1024;

constexpr std::size_t MaxIdlePerEndpoint = 64;

// A connection with this many refusals is closed.
constexpr std::size_t MaxRefusedIds = 64;

std::string makeRequestText(const HttpCall &call)
{
    HttpHead head;
    head.method = call.method;
    head.target = call.target;
    head.fields = call.fields;
    head.fields.push_back({"Host", call.address});
    head.fields.push_back({"Connection", "close"});
    if (!call.body.empty())
        head.fields.push_back({"Content-Type", "application/json"});
    head.fields.push_back({"Content-Length", std::to_string(call.body.size())});
    return toText(head) + call.body;
}

std::string makeResponseText(const ServerResponse &response, bool keepsAlive)
{
    HttpHead head;
    head.status = response.status;
    head.reason = std::string(reasonPhrase(response.status));
    head.fields = response.fields;
    if (!response.body.empty())
        head.fields.push_back({"Content-Type", response.contentType});
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    if (!keepsAlive)
        head.fields.push_back({"Connection", "close"});
    return toText(head) + response.body;
}

// Returns the response status for a request that could not be parsed.
std::uint32_t errorStatus(HttpParseError error)
{
    switch (error) {
    case HttpParseError::HeaderTooLarge:
        return 431;
    case HttpParseError::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}

// Returns the limit of the body of the request that arrives.
std::size_t bodyLimit(const HttpParser &parser, const ServerLimits &limits)
{
    const std::size_t ofHead = limits.maxBodyBytesOf ? limits.maxBodyBytesOf(parser.head()) : 0;
    return std::max(limits.maxBodyBytes, ofHead);
}

// Returns the status with which the request that arrives is refused, 0 for none.
std::uint32_t refusalStatus(const HttpParser &parser, const ServerLimits &limits)
{
    if (parser.error() != HttpParseError::None)
        return errorStatus(parser.error());
    if (!parser.isHeadDone())
        return 0;
    const std::uint64_t bodyBytes =
            std::max<std::uint64_t>(parser.announcedBodyBytes(), parser.untakenBodyBytes());
    return bodyBytes > bodyLimit(parser, limits) ? 413 : 0;
}

struct ReceivedRequest
{
    // False when the connection ended or timed out.
    bool isComplete = false;

    // Status with which the request is refused unread, 0 for none.
    std::uint32_t refusal = 0;

    bool keepsAlive = false;
    ServerRequest request;
    std::size_t memoryBytes = 0;
};

asio::awaitable<ReceivedRequest> receiveRequest(Channel &channel, AsyncCondition &signal,
                                                const ServerLimits &limits)
{
    ReceivedRequest received;
    HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, MaxRequestBodyBytes);
    const TimePoint idleDeadline = RuntimeClock::now() + limits.idleTimeout;
    TimePoint requestDeadline{};
    bool isContinueSent = false;
    while (true) {
        parser.consume(channel.input());
        received.refusal = refusalStatus(parser, limits);
        if (received.refusal != 0)
            co_return received;
        if (parser.isDone())
            break;
        const TimePoint now = RuntimeClock::now();
        if (parser.hasStarted() && requestDeadline == TimePoint{}) {
            requestDeadline = now + limits.requestTimeout;
            channel.setUse(MemoryUse::Arriving);
        }
        if (parser.untakenBodyBytes() > LargeBodyBytes)
            channel.extendBuffers();
        channel.hold(parser.memoryUse());
        channel.resumeReading();
        if (channel.isEnded()) {
            received.refusal = channel.isEvicted() && parser.hasStarted() ? 503 : 0;
            co_return received;
        }
        const std::string *expectation = findField(parser.head(), "expect");
        if (parser.isHeadDone() && expectation && !isContinueSent) {
            isContinueSent = true;
            co_await channel.write("HTTP/1.1 100 Continue\r\n\r\n", idleDeadline);
        }
        const TimePoint deadline = parser.hasStarted() ? requestDeadline : idleDeadline;
        if (now >= deadline)
            co_return received;
        co_await signal.wait(deadline);
    }
    received.isComplete = true;
    received.keepsAlive = parser.keepsAlive();
    received.memoryBytes = parser.memoryUse();
    received.request = {parser.takeHead(), parser.takeBody(), channel.remoteAddress()};
    channel.restoreBuffers();
    channel.hold(received.memoryBytes);
    if (!channel.tryRun())
        received.refusal = 503;
    co_return received;
}

} // namespace

std::optional<EndpointConnection> EndpointConnectionPool::takeIdle(const std::string &endpoint,
                                                                   std::uint64_t startedAtMs,
                                                                   const std::string &request,
                                                                   TimePoint now)
{
    const auto found = idleConnections_.find(endpoint);
    if (found == idleConnections_.end())
        return std::nullopt;
    auto &connections = found->second;
    std::erase_if(connections, [startedAtMs, now](const EndpointConnection &connection) {
        const bool isOpen = connection.startedAtMs == startedAtMs && now < connection.idleDeadline
                            && !connection.channel->isEnded()
                            && connection.channel->input().empty();
        if (!isOpen)
            connection.channel->close();
        return !isOpen;
    });
    const auto usable = std::find_if(
            connections.rbegin(), connections.rend(), [&request](const EndpointConnection &item) {
                return std::find(item.refusedIds.begin(), item.refusedIds.end(), request)
                       == item.refusedIds.end();
            });
    if (usable == connections.rend())
        return std::nullopt;
    EndpointConnection connection = std::move(*usable);
    connections.erase(std::next(usable).base());
    return connection;
}

void EndpointConnectionPool::putIdle(EndpointConnection connection, TimePoint now)
{
    connection.channel->setChangeSignal(nullptr);
    connection.channel->setUse(MemoryUse::Arriving);
    connection.channel->restoreBuffers();
    connection.channel->hold(0);
    connection.isReused = true;
    auto &connections = idleConnections_[connection.endpoint];
    const bool isUnusable = connection.isLast || connection.idleDeadline <= now
                            || connection.channel->isEnded()
                            || connections.size() >= MaxIdlePerEndpoint
                            || connection.refusedIds.size() >= MaxRefusedIds;
    if (isUnusable) {
        connection.channel->close();
        return;
    }
    connections.push_back(std::move(connection));
}

void EndpointConnectionPool::closeExpired(TimePoint now)
{
    for (auto &[endpoint, connections] : idleConnections_) {
        std::erase_if(connections, [now](EndpointConnection &connection) {
            // Bytes that no request waits for belong to no answer.
            const bool isExpired = connection.idleDeadline <= now || connection.channel->isEnded()
                                   || !connection.channel->input().empty();
            if (isExpired)
                connection.channel->close();
            return isExpired;
        });
    }
    std::erase_if(idleConnections_, [](const auto &item) { return item.second.empty(); });
}

void EndpointConnectionPool::closeDeparted(const DepartureTable &departures)
{
    for (auto &[endpoint, connections] : idleConnections_) {
        std::erase_if(connections, [&departures](EndpointConnection &connection) {
            const bool isDeparted =
                    hasDeparted(departures, connection.endpoint, connection.startedAtMs);
            if (isDeparted)
                connection.channel->close();
            return isDeparted;
        });
    }
}

std::size_t EndpointConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, connections] : idleConnections_)
        count += connections.size();
    return count;
}

Duration keepAliveTime(const HttpHead &head)
{
    const std::string *keepAlive = findField(head, "keep-alive");
    if (!keepAlive)
        return DefaultKeepAliveTime;
    const std::size_t position = keepAlive->find("timeout=");
    if (position == std::string::npos)
        return DefaultKeepAliveTime;
    int seconds = 0;
    const char *start = keepAlive->data() + position + std::string_view("timeout=").size();
    std::from_chars(start, keepAlive->data() + keepAlive->size(), seconds);
    return std::chrono::seconds(seconds) - KeepAliveMargin;
}

asio::awaitable<HttpCallResult> callHttp(HttpCall call, ChannelLimits limits)
{
    HttpCallResult result;
    const TimePoint deadline = RuntimeClock::now() + call.timeout;
    const ChannelPointer channel = co_await connectChannel(
            call.address, call.timeout, ResponseInputCapacity, result.error, std::move(limits));
    if (!channel)
        co_return result;
    channel->setUse(MemoryUse::Running);
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setChangeSignal(&signal);
    HttpParser parser(HttpMessageKind::Response, MaxResponseHeaderBytes, call.maxResponseBytes);
    const std::string request = makeRequestText(call);
    bool isOpen = co_await channel->write(request, deadline);
    while (isOpen) {
        isOpen = parser.consume(channel->input()) && channel->hold(parser.memoryUse());
        channel->resumeReading();
        if (channel->isEnded() && !channel->isEndedByError())
            parser.finishInput();
        if (!isOpen || parser.isDone() || channel->isEnded() || RuntimeClock::now() >= deadline)
            break;
        co_await signal.wait(deadline);
    }
    channel->setChangeSignal(nullptr);
    channel->close();
    if (!parser.isDone()) {
        result.error = RuntimeClock::now() >= deadline ? "timed out" : "the connection ended";
        co_return result;
    }
    result.head = parser.head();
    result.status = parser.head().status;
    result.body = parser.takeBody();
    co_return result;
}

std::unique_ptr<ChannelListener> serveHttp(asio::io_context &context, const std::string &address,
                                           ServerHandler handler, ChannelLimits channelLimits,
                                           ServerLimits limits)
{
    return std::make_unique<ChannelListener>(
            context, address, RequestInputCapacity,
            [&context, handler, limits](ChannelPointer channel) {
                asio::co_spawn(context, serveConnection(std::move(channel), limits, handler),
                               asio::detached);
            },
            std::move(channelLimits));
}

asio::awaitable<void> serveConnection(ChannelPointer channel, ServerLimits limits,
                                      ServerHandler handler)
{
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setChangeSignal(&signal);
    bool keepsAlive = true;
    while (keepsAlive) {
        ReceivedRequest received = co_await receiveRequest(*channel, signal, limits);
        if (!received.isComplete && received.refusal == 0)
            break;
        ServerResponse response;
        if (received.refusal != 0) {
            response.status = received.refusal;
            keepsAlive = false;
        } else {
            keepsAlive = received.keepsAlive;
            response = co_await handler(std::move(received.request));
        }
        const std::string text = makeResponseText(response, keepsAlive);
        response = {};
        channel->hold(text.capacity());
        const bool isWritten =
                co_await channel->write(text, RuntimeClock::now() + limits.requestTimeout);
        if (isWritten && !received.isComplete)
            co_await channel->linger();
        keepsAlive = keepsAlive && isWritten;
        channel->setUse(MemoryUse::Arriving);
        channel->hold(0);
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

} // namespace Trefoil
