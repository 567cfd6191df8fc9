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

// Where the answer of an attempt goes: a session here, or the origin entry.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    virtual void head(std::uint32_t status, const std::string &contentType) = 0;

    // Passes whole events on. Waits while the reader is slow. False when nobody reads any more.
    virtual boost::asio::awaitable<bool> write(std::string events) = 0;
};

// Idle connections to endpoints.
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
    void put(const std::string &address, Handle connection);

private:
    std::map<std::string, std::vector<Handle>> idle_;
};

// One attempt of a request on an endpoint.
class UpstreamAttempt
{
public:
    UpstreamAttempt(StartAttempt start, std::shared_ptr<AnswerSink> sink, ConnectionPool &pool,
                    const HttpLimits &limits, std::function<void(std::uint64_t)> progress);

    const StartAttempt &start() const { return start_; }

    // Runs to the end. Never throws; what happened is in the result.
    boost::asio::awaitable<AttemptEnd> run();

    // Closes the connection; run() then ends.
    void cancel();

private:
    struct Response;

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> exchange(AttemptEnd &end);
    boost::asio::awaitable<bool> sendRequest(AttemptEnd &end);
    boost::asio::awaitable<void> readResponse(AttemptEnd &end);
    boost::asio::awaitable<void> relayEvents(Response &response, AttemptEnd &end);
    boost::asio::awaitable<void> collectBody(Response &response, AttemptEnd &end);
    boost::asio::awaitable<bool> passEvents(std::string &pending, bool &isDone, AttemptEnd &end);
    void countTokens(std::uint64_t tokens);
    void flushTokens();
    void judgeStatus(Response &response, AttemptEnd &end);

    StartAttempt start_;
    std::shared_ptr<AnswerSink> sink_;
    ConnectionPool &pool_;
    const HttpLimits &limits_;
    std::function<void(std::uint64_t)> progress_;
    ConnectionPool::Handle connection_;
    bool isCancelled_ = false;
    bool hasResponse_ = false;
    std::uint64_t pendingTokens_ = 0;
};

// Sends an order to an engine. True when the engine took it.
boost::asio::awaitable<bool> sendOrder(const EngineOrder &order, Duration timeout);

} // namespace Trefoil
