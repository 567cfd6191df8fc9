#pragma once

#include "trefoilrund/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Trefoil {

// Destination of the streamed response of an attempt: the session of a caller at this entry, or the
// entry that received the request.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;

    virtual void writeHead(std::uint32_t status, const std::string &contentType) = 0;

    // Passes on complete events. Waits while the reader is slow. Returns false when the reader is
    // gone or exceeds the write timeout.
    virtual boost::asio::awaitable<bool> write(std::string events) = 0;
};

// Idle HTTP connections to endpoints, by address.
class ConnectionPool
{
public:
    struct Connection
    {
        explicit Connection(const boost::asio::any_io_executor &executor)
            : stream(executor)
        {}

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        bool isReused = false;
        TimePoint idleSince{};
    };
    using Handle = std::unique_ptr<Connection>;

    // Returns an idle connection, or null.
    Handle take(const std::string &address);

    // Keeps the connection for reuse, or closes it when there are enough idle ones for the address.
    void put(const std::string &address, Handle connection);

private:
    std::map<std::string, std::vector<Handle>> idleConnections_;
};

// One attempt of a request on an endpoint.
class UpstreamAttempt
{
public:
    UpstreamAttempt(StartAttempt start, std::shared_ptr<ResponseSink> sink, ConnectionPool &pool,
                    const HttpLimits &limits, std::function<void(std::uint64_t)> reportTokens);

    const StartAttempt &start() const { return start_; }

    // Runs the attempt until it ends. Never throws; failures are part of the result.
    boost::asio::awaitable<AttemptEnd> run();

    // Closes the connection, which ends run().
    void cancel();

private:
    struct Response;

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> sendAndReceive(AttemptEnd &end);
    boost::asio::awaitable<bool> sendRequest(AttemptEnd &end);
    boost::asio::awaitable<void> readResponse(AttemptEnd &end);
    boost::asio::awaitable<void> streamEvents(Response &response, AttemptEnd &end);
    boost::asio::awaitable<void> collectBody(Response &response, AttemptEnd &end);
    boost::asio::awaitable<bool> forwardEvents(std::string &pending, bool &hasEndMark,
                                               AttemptEnd &end);
    void countTokens(std::uint64_t tokens);
    void flushTokenCount();
    void classifyResponse(Response &response, AttemptEnd &end);

    StartAttempt start_;
    std::shared_ptr<ResponseSink> sink_;
    ConnectionPool &pool_;
    const HttpLimits &limits_;
    std::function<void(std::uint64_t)> reportTokens_;
    ConnectionPool::Handle connection_;
    bool isCancelled_ = false;
    // The endpoint received the request, so a retry could run it twice.
    bool isRetryUnsafe_ = false;
    std::uint64_t unreportedTokens_ = 0;
};

// Sends an order to an engine. Returns true when the engine accepted it.
boost::asio::awaitable<bool> sendOrder(const EngineOrder &order, Duration timeout);

} // namespace Trefoil
