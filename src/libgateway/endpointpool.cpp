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

constexpr std::size_t ResponseInputCapacity = 256 * 1024;
constexpr std::size_t RequestInputCapacity = 1024 * 1024;
constexpr std::size_t MaxResponseHeaderBytes = 64 * 1024;
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

// Reads one request. Returns true when the request is complete or cannot be parsed, and false when
// the connection ended or timed out.
asio::awaitable<bool> readRequest(Channel &channel, AsyncCondition &signal, HttpParser &parser,
                                  const ServerLimits &limits)
{
    const TimePoint idleDeadline = RuntimeClock::now() + limits.idleTimeout;
    TimePoint requestDeadline{};
    bool isContinueSent = false;
    while (true) {
        const bool isParsed = parser.consume(channel.input());
        if (!isParsed || parser.isDone())
            co_return true;
        channel.resumeReading();
        const std::string *expectation = findField(parser.head(), "expect");
        if (parser.isHeadDone() && expectation && !isContinueSent) {
            isContinueSent = true;
            co_await channel.write("HTTP/1.1 100 Continue\r\n\r\n", idleDeadline);
        }
        if (channel.isEnded())
            co_return false;
        const TimePoint now = RuntimeClock::now();
        if (parser.hasStarted() && requestDeadline == TimePoint{})
            requestDeadline = now + limits.requestTimeout;
        const TimePoint deadline = parser.hasStarted() ? requestDeadline : idleDeadline;
        if (now >= deadline)
            co_return false;
        co_await signal.wait(deadline);
    }
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
    connection.isReused = true;
    auto &connections = idleConnections_[connection.endpoint];
    const bool isUnusable = connection.isLast || connection.idleDeadline <= now
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
            const bool isExpired = connection.idleDeadline <= now || connection.channel->isEnded();
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

asio::awaitable<HttpCallResult> callHttp(HttpCall call)
{
    HttpCallResult result;
    const TimePoint deadline = RuntimeClock::now() + call.timeout;
    const ChannelPointer channel = co_await connectChannel(call.address, call.timeout,
                                                           ResponseInputCapacity, result.error);
    if (!channel)
        co_return result;
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setChangeSignal(&signal);
    HttpParser parser(HttpMessageKind::Response, MaxResponseHeaderBytes, ResponseInputCapacity);
    const std::string request = makeRequestText(call);
    bool isOpen = co_await channel->write(request, deadline);
    while (isOpen) {
        isOpen = parser.consume(channel->input());
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
                                           ServerHandler handler)
{
    return std::make_unique<ChannelListener>(
            context, address, RequestInputCapacity, [&context, handler](ChannelPointer channel) {
                asio::co_spawn(context,
                               serveConnection(std::move(channel), ServerLimits{}, handler),
                               asio::detached);
            });
}

asio::awaitable<void> serveConnection(ChannelPointer channel, ServerLimits limits,
                                      ServerHandler handler)
{
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setChangeSignal(&signal);
    bool keepsAlive = true;
    while (keepsAlive) {
        HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, limits.maxBodyBytes);
        const bool isRead = co_await readRequest(*channel, signal, parser, limits);
        if (!isRead)
            break;
        ServerResponse response;
        if (parser.error() != HttpParseError::None) {
            response.status = errorStatus(parser.error());
            keepsAlive = false;
        } else {
            keepsAlive = parser.keepsAlive();
            ServerRequest request{parser.head(), parser.takeBody(), channel->remoteAddress()};
            response = co_await handler(std::move(request));
        }
        const std::string text = makeResponseText(response, keepsAlive);
        const bool isWritten =
                co_await channel->write(text, RuntimeClock::now() + limits.requestTimeout);
        keepsAlive = keepsAlive && isWritten;
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

} // namespace Trefoil
