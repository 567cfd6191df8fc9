#include "trefoilrund/upstream.h"

#include "libruntime/signal.h"
#include "trefoilrund/frontjson.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace Trefoil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBufferBytes = 32 * 1024;
constexpr std::size_t MaxIdleConnectionsPerAddress = 64;
constexpr auto MaxIdleTime = std::chrono::seconds(20);
constexpr std::size_t MaxEventBytes = 1024 * 1024;
constexpr std::uint64_t TokensPerReport = 32;
constexpr std::string_view EventTerminator = "\n\n";
constexpr std::string_view EndMarkEvent = "data: [DONE]";

tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address)
        return {};
    return {asio::ip::make_address(address->host), address->port};
}

// Statuses from 200 to 499 count as completed: the endpoint processed the request, and its response
// goes to the caller.
bool isCompletedStatus(unsigned status)
{
    return status >= 200 && status < 500;
}

http::request<http::string_body> makeEndpointRequest(const StartAttempt &start)
{
    const DispatchRequest &request = start.request;
    const CallPayload &payload = *request.payload;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(payload.method);
    message.target(payload.path);
    message.set(http::field::host, start.address);
    if (!payload.contentType.empty())
        message.set(http::field::content_type, payload.contentType);
    message.set("Trefoil-Request-Id", toString(request.id));
    message.set("Trefoil-Attempt", std::to_string(request.attempt));
    message.set("Trefoil-Workspace", request.workspace);
    message.set("Trefoil-Priority",
                RequestClassNames[static_cast<std::size_t>(request.requestClass)]);
    if (start.group > 0) {
        message.set("Trefoil-Group", std::to_string(start.group));
        message.set("Trefoil-Resume-From", std::to_string(request.resumeFrom));
    }
    message.body() = payload.body;
    message.prepare_payload();
    return message;
}

} // namespace

ConnectionPool::Handle ConnectionPool::take(const std::string &address)
{
    std::vector<Handle> &idle = idleConnections_[address];
    while (!idle.empty()) {
        Handle connection = std::move(idle.back());
        idle.pop_back();
        if (RuntimeClock::now() - connection->idleSince < MaxIdleTime) {
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

void ConnectionPool::put(const std::string &address, Handle connection)
{
    std::vector<Handle> &idle = idleConnections_[address];
    if (idle.size() >= MaxIdleConnectionsPerAddress)
        return;
    connection->idleSince = RuntimeClock::now();
    idle.push_back(std::move(connection));
}

struct UpstreamAttempt::Response
{
    http::response_parser<http::buffer_body> parser;
    std::array<char, ReadBufferBytes> chunk{};

    unsigned status() { return parser.get().result_int(); }

    std::string header(std::string_view name)
    {
        return std::string(parser.get()[beast::string_view(name.data(), name.size())]);
    }
};

UpstreamAttempt::UpstreamAttempt(StartAttempt start, std::shared_ptr<ResponseSink> sink,
                                 ConnectionPool &pool, const HttpLimits &limits,
                                 std::function<void(std::uint64_t)> reportTokens)
    : start_(std::move(start))
    , sink_(std::move(sink))
    , pool_(pool)
    , limits_(limits)
    , reportTokens_(std::move(reportTokens))
{}

void UpstreamAttempt::cancel()
{
    isCancelled_ = true;
    if (connection_)
        connection_->stream.close();
}

asio::awaitable<AttemptEnd> UpstreamAttempt::run()
{
    AttemptEnd end;
    end.id = start_.request.id;
    end.attempt = start_.request.attempt;
    end.result = AttemptResult::NotStarted;
    end.reason = Reason::ConnectFailed;
    // A non-idempotent request gets a new connection, because a broken idle connection is detected
    // only after the request was written to it.
    if (start_.request.isIdempotent)
        connection_ = pool_.take(start_.address);
    const bool isReused = connection_ != nullptr;
    if (!isReused) {
        const bool isConnected = co_await connect();
        if (!isConnected)
            co_return end;
    }
    co_await sendAndReceive(end);
    // The reused connection may have been broken already, so the request is sent again on a new
    // one. The failure counts against the endpoint only if the new connection fails too.
    if (isReused && !isRetryUnsafe_ && !isCancelled_) {
        end.result = AttemptResult::Lost;
        end.reason = Reason::ConnectionLost;
        const bool isConnected = co_await connect();
        if (!isConnected)
            co_return end;
        co_await sendAndReceive(end);
    }
    flushTokenCount();
    if (isCancelled_) {
        end.reason = Reason::CallerGone;
        if (end.result != AttemptResult::NotStarted)
            end.result = AttemptResult::Lost;
    }
    co_return end;
}

asio::awaitable<bool> UpstreamAttempt::connect()
{
    const auto executor = co_await asio::this_coro::executor;
    connection_ = std::make_unique<ConnectionPool::Connection>(executor);
    connection_->stream.expires_after(limits_.connectTimeout);
    const auto [error] =
            co_await connection_->stream.async_connect(parseEndpoint(start_.address), AsTuple);
    if (error || isCancelled_)
        co_return false;
    beast::error_code ignored;
    connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

// Sends the request and reads the response.
asio::awaitable<void> UpstreamAttempt::sendAndReceive(AttemptEnd &end)
{
    const bool isSent = co_await sendRequest(end);
    if (isSent)
        co_await readResponse(end);
}

asio::awaitable<bool> UpstreamAttempt::sendRequest(AttemptEnd &end)
{
    if (isCancelled_)
        co_return false;
    const auto message = makeEndpointRequest(start_);
    connection_->stream.expires_after(limits_.writeTimeout);
    // Once the first byte is sent, the endpoint may run the request.
    end.result = AttemptResult::Lost;
    end.reason = Reason::ConnectionLost;
    const auto [error, bytes] = co_await http::async_write(connection_->stream, message, AsTuple);
    co_return !error;
}

asio::awaitable<void> UpstreamAttempt::readResponse(AttemptEnd &end)
{
    Response response;
    response.parser.body_limit(boost::none);
    connection_->stream.expires_after(limits_.firstByteTimeout);
    const auto [error, bytes] = co_await http::async_read_header(
            connection_->stream, connection_->buffer, response.parser, AsTuple);
    if (error) {
        if (error == beast::error::timeout) {
            end.reason = Reason::Silent;
            // A timeout, unlike a stale connection, does not rule out that the endpoint runs the
            // request. A retry could run it twice.
            isRetryUnsafe_ = true;
        }
        co_return;
    }
    isRetryUnsafe_ = true;
    end.status = response.status();
    end.contentType = response.header("Content-Type");
    const bool isEventStream = end.contentType.starts_with("text/event-stream")
                               && isCompletedStatus(end.status) && !start_.request.isAnswerBuffered;
    if (isEventStream)
        co_await streamEvents(response, end);
    else
        co_await collectBody(response, end);
    if (response.parser.is_done() && response.parser.keep_alive()
        && end.result == AttemptResult::Completed && !isCancelled_) {
        connection_->stream.expires_never();
        pool_.put(start_.address, std::move(connection_));
    }
}

namespace {

// Reads the next part of the body into `chunk`. Returns the number of bytes, or nothing on an
// error.
template <class Response>
asio::awaitable<std::optional<std::size_t>> readSome(ConnectionPool::Connection &connection,
                                                     Response &response, Duration timeout,
                                                     AttemptEnd &end)
{
    auto &body = response.parser.get().body();
    body.data = response.chunk.data();
    body.size = response.chunk.size();
    connection.stream.expires_after(timeout);
    auto [error, bytes] = co_await http::async_read_some(connection.stream, connection.buffer,
                                                         response.parser, AsTuple);
    if (error == http::error::need_buffer)
        error = {};
    if (error) {
        end.reason = error == beast::error::timeout ? Reason::Silent : Reason::ConnectionLost;
        co_return std::nullopt;
    }
    co_return response.chunk.size() - body.size;
}

} // namespace

asio::awaitable<void> UpstreamAttempt::streamEvents(Response &response, AttemptEnd &end)
{
    sink_->writeHead(end.status, end.contentType);
    std::string pending;
    bool hasEndMark = false;
    while (!response.parser.is_done()) {
        const auto size = co_await readSome(*connection_, response, limits_.progressTimeout, end);
        if (!size)
            co_return;
        pending.append(response.chunk.data(), *size);
        const bool isForwarded = co_await forwardEvents(pending, hasEndMark, end);
        if (!isForwarded) {
            end.reason = Reason::CallerGone;
            co_return;
        }
        if (pending.size() > MaxEventBytes) {
            end.reason = Reason::EndpointFailed;
            co_return;
        }
    }
    // A stream without its end mark is incomplete, even if the connection was closed cleanly.
    if (hasEndMark) {
        end.result = AttemptResult::Completed;
        end.reason = Reason::None;
    }
}

// Passes on the complete events in `pending` and keeps the rest.
asio::awaitable<bool> UpstreamAttempt::forwardEvents(std::string &pending, bool &hasEndMark,
                                                     AttemptEnd &end)
{
    std::string events;
    std::size_t eventStart = 0;
    std::uint64_t eventCount = 0;
    for (std::size_t eventEnd = pending.find(EventTerminator); eventEnd != std::string::npos;
         eventEnd = pending.find(EventTerminator, eventStart)) {
        const std::string_view event =
                std::string_view(pending).substr(eventStart, eventEnd - eventStart);
        eventStart = eventEnd + EventTerminator.size();
        if (event.starts_with(EndMarkEvent)) {
            hasEndMark = true;
            continue;
        }
        if (event.find("\"usage\"") != std::string_view::npos && event.starts_with("data: ")) {
            if (const auto usage = parseUsage(event.substr(6))) {
                end.generatedTokens = usage->generatedTokens;
                end.cachedPromptTokens = usage->cachedPromptTokens;
            }
        }
        events.append(event).append(EventTerminator);
        ++eventCount;
    }
    pending.erase(0, eventStart);
    if (events.empty())
        co_return true;
    countTokens(eventCount);
    const std::size_t bytes = events.size();
    const bool isWritten = co_await sink_->write(std::move(events));
    if (!isWritten)
        co_return false;
    end.relayedEvents += eventCount;
    end.relayedBytes += bytes;
    co_return true;
}

asio::awaitable<void> UpstreamAttempt::collectBody(Response &response, AttemptEnd &end)
{
    while (!response.parser.is_done()) {
        const auto size = co_await readSome(*connection_, response, limits_.progressTimeout, end);
        if (!size)
            co_return;
        end.body.append(response.chunk.data(), *size);
        if (end.body.size() > limits_.maxBufferedResponseBytes) {
            end.body.clear();
            end.reason = Reason::EndpointFailed;
            co_return;
        }
    }
    classifyResponse(response, end);
    if (const auto usage = parseUsage(end.body)) {
        end.generatedTokens = usage->generatedTokens;
        end.cachedPromptTokens = usage->cachedPromptTokens;
    }
}

void UpstreamAttempt::classifyResponse(Response &response, AttemptEnd &end)
{
    if (response.header("Trefoil-Ran") == "no") {
        end.result = AttemptResult::NotStarted;
        end.reason = Reason::EndpointRefused;
        return;
    }
    const bool isCompleted = isCompletedStatus(end.status);
    end.result = isCompleted ? AttemptResult::Completed : AttemptResult::Failed;
    end.reason = isCompleted ? Reason::None : Reason::EndpointFailed;
}

void UpstreamAttempt::countTokens(std::uint64_t tokens)
{
    unreportedTokens_ += tokens;
    if (unreportedTokens_ >= TokensPerReport)
        flushTokenCount();
}

void UpstreamAttempt::flushTokenCount()
{
    if (unreportedTokens_ > 0)
        reportTokens_(unreportedTokens_);
    unreportedTokens_ = 0;
}

asio::awaitable<bool> sendOrder(const EngineOrder &order, Duration timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const auto [connectError] =
            co_await stream.async_connect(parseEndpoint(order.address), AsTuple);
    if (connectError)
        co_return false;
    http::request<http::string_body> request(http::verb::post, "/v1/engine/order", 11);
    request.set(http::field::host, order.address);
    request.set(http::field::content_type, "application/json");
    request.set("Trefoil-Fence", std::to_string(order.group));
    request.body() = orderJson(order);
    request.prepare_payload();
    const auto [writeError, written] = co_await http::async_write(stream, request, AsTuple);
    if (writeError)
        co_return false;
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [readError, read] = co_await http::async_read(stream, buffer, response, AsTuple);
    co_return !readError && response.result_int() / 100 == 2;
}

} // namespace Trefoil
