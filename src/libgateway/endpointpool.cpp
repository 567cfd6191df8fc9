#include "libgateway/endpointpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <charconv>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto DefaultIdleLifetime = std::chrono::seconds(10);
constexpr auto KeepAliveMargin = std::chrono::milliseconds(400); // for the way to the endpoint
constexpr std::size_t AnswerCapacity = 256 * 1024;
constexpr std::size_t ServerCapacity = 1024 * 1024;
constexpr std::size_t MaxAnswerHeader = 64 * 1024;
constexpr std::size_t MaxIdlePerEndpoint = 64;

std::string requestText(const HttpCall &call)
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

std::string responseText(const ServerResponse &response, bool keepsAlive)
{
    HttpHead head;
    head.status = response.status;
    head.reason = std::string(reasonOf(response.status));
    head.fields = response.fields;
    if (!response.body.empty())
        head.fields.push_back({"Content-Type", response.contentType});
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    if (!keepsAlive)
        head.fields.push_back({"Connection", "close"});
    return toText(head) + response.body;
}

// Status for a request that could not be parsed.
std::uint32_t statusOf(HttpParseError error)
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

// Reads one whole request. False when the connection ended or failed.
asio::awaitable<bool> readRequest(Channel &channel, AsyncCondition &signal, HttpParser &parser,
                                  const ServerLimits &limits)
{
    const TimePoint idleUntil = RuntimeClock::now() + limits.idleTimeout;
    TimePoint requestUntil{};
    bool isContinued = false;
    while (true) {
        const bool parsed = parser.consume(channel.input());
        if (!parsed || parser.isDone())
            co_return true;
        channel.resume();
        const std::string *expects = findField(parser.head(), "expect");
        if (parser.isHeadDone() && expects && !isContinued) {
            isContinued = true;
            co_await channel.write("HTTP/1.1 100 Continue\r\n\r\n", idleUntil);
        }
        if (channel.isEnded())
            co_return false;
        const TimePoint now = RuntimeClock::now();
        if (parser.hasStarted() && requestUntil == TimePoint{})
            requestUntil = now + limits.requestTimeout;
        const TimePoint until = parser.hasStarted() ? requestUntil : idleUntil;
        if (now >= until)
            co_return false;
        co_await signal.wait(until);
    }
}

} // namespace

std::optional<EndpointConnection> EndpointPool::take(const std::string &endpoint,
                                                     std::uint64_t startedAtMs, TimePoint now)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return std::nullopt;
    auto &connections = found->second;
    while (!connections.empty()) {
        EndpointConnection connection = std::move(connections.back());
        connections.pop_back();
        const bool usable = connection.startedAtMs == startedAtMs && now < connection.idleUntil
                            && !connection.channel->isEnded()
                            && connection.channel->input().empty();
        if (usable)
            return connection;
        connection.channel->close();
    }
    idle_.erase(found);
    return std::nullopt;
}

void EndpointPool::put(EndpointConnection connection, TimePoint now)
{
    connection.channel->setListener(nullptr);
    connection.isReused = true;
    auto &connections = idle_[connection.endpoint];
    if (connection.idleUntil <= now || connections.size() >= MaxIdlePerEndpoint) {
        connection.channel->close();
        return;
    }
    connections.push_back(std::move(connection));
}

void EndpointPool::expire(TimePoint now)
{
    for (auto &[endpoint, connections] : idle_) {
        std::erase_if(connections, [now](EndpointConnection &connection) {
            const bool over = connection.idleUntil <= now || connection.channel->isEnded();
            if (over)
                connection.channel->close();
            return over;
        });
    }
    std::erase_if(idle_, [](const auto &item) { return item.second.empty(); });
}

std::size_t EndpointPool::size() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, connections] : idle_)
        count += connections.size();
    return count;
}

Duration idleLifetime(const HttpHead &head)
{
    const std::string *keepAlive = findField(head, "keep-alive");
    if (!keepAlive)
        return DefaultIdleLifetime;
    const std::size_t place = keepAlive->find("timeout=");
    if (place == std::string::npos)
        return DefaultIdleLifetime;
    int seconds = 0;
    const char *start = keepAlive->data() + place + std::string_view("timeout=").size();
    std::from_chars(start, keepAlive->data() + keepAlive->size(), seconds);
    return std::chrono::seconds(seconds) - KeepAliveMargin;
}

asio::awaitable<HttpAnswer> callHttp(HttpCall call)
{
    HttpAnswer answer;
    const TimePoint until = RuntimeClock::now() + call.timeout;
    const ChannelPointer channel =
            co_await connectChannel(call.address, call.timeout, AnswerCapacity, answer.error);
    if (!channel)
        co_return answer;
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setListener(&signal);
    HttpParser parser(HttpMessageKind::Response, MaxAnswerHeader, AnswerCapacity);
    const std::string request = requestText(call);
    bool isOpen = co_await channel->write(request, until);
    while (isOpen) {
        isOpen = parser.consume(channel->input());
        channel->resume();
        if (channel->isEnded() && !channel->isReset())
            parser.finishInput();
        if (!isOpen || parser.isDone() || channel->isEnded() || RuntimeClock::now() >= until)
            break;
        co_await signal.wait(until);
    }
    channel->setListener(nullptr);
    channel->close();
    if (!parser.isDone()) {
        answer.error = RuntimeClock::now() >= until ? "timed out" : "the connection ended";
        co_return answer;
    }
    answer.head = parser.head();
    answer.status = parser.head().status;
    answer.body = parser.takeBody();
    co_return answer;
}

std::unique_ptr<ChannelListener> serveHttp(asio::io_context &context, const std::string &address,
                                           ServerHandler handler)
{
    return std::make_unique<ChannelListener>(
            context, address, ServerCapacity, [&context, handler](ChannelPointer channel) {
                asio::co_spawn(context,
                               serveConnection(std::move(channel), ServerLimits{}, handler),
                               asio::detached);
            });
}

asio::awaitable<void> serveConnection(ChannelPointer channel, ServerLimits limits,
                                      ServerHandler handler)
{
    AsyncCondition signal(co_await asio::this_coro::executor);
    channel->setListener(&signal);
    bool keepsAlive = true;
    while (keepsAlive) {
        HttpParser parser(HttpMessageKind::Request, limits.maxHeaderBytes, limits.maxBodyBytes);
        const bool isRead = co_await readRequest(*channel, signal, parser, limits);
        if (!isRead)
            break;
        ServerResponse response;
        if (parser.error() != HttpParseError::None) {
            response.status = statusOf(parser.error());
            keepsAlive = false;
        } else {
            keepsAlive = parser.keepsAlive();
            ServerRequest request{parser.head(), parser.takeBody(), channel->remoteAddress()};
            response = co_await handler(std::move(request));
        }
        const std::string text = responseText(response, keepsAlive);
        const bool isWritten =
                co_await channel->write(text, RuntimeClock::now() + limits.requestTimeout);
        keepsAlive = keepsAlive && isWritten;
    }
    channel->setListener(nullptr);
    channel->close();
}

} // namespace Trefoil
