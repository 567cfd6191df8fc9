#pragma once

#include "libgateway/channel.h"
#include "libgateway/httpmessage.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Trefoil {

// A connection to one life of an endpoint.
struct EndpointConnection
{
    ChannelPointer channel;
    std::string address;
    std::string endpoint;          // id, so that a connection is never used for a successor
    std::uint64_t startedAtMs = 0; // of that endpoint
    TimePoint idleDeadline{};      // not used after this, the endpoint may close it
    bool isReused = false;
};

// Idle connections by endpoint, most recently used first.
class EndpointConnectionPool
{
public:
    // An idle connection that is still open, or nothing.
    std::optional<EndpointConnection> takeIdle(const std::string &endpoint,
                                               std::uint64_t startedAtMs, TimePoint now);

    void putIdle(EndpointConnection connection, TimePoint now);

    // Closes connections that were not used for long.
    void closeExpired(TimePoint now);

    std::size_t idleCount() const;

private:
    std::map<std::string, std::vector<EndpointConnection>> idleConnections_;
};

// How long an idle connection may be used after an answer with this head.
Duration keepAliveTime(const HttpHead &head);

// One small exchange with an HTTP server over a new connection. The answer is empty when there was
// none in time; `error` then says why.
struct HttpCall
{
    std::string address;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::vector<HttpField> fields;
    Duration timeout = std::chrono::seconds(1);
};

struct HttpCallResult
{
    std::uint32_t status = 0; // 0 when no answer came
    std::string body;
    std::string error;
    HttpHead head;
};

boost::asio::awaitable<HttpCallResult> callHttp(HttpCall call);

// A request to one of the system's own interfaces.
struct ServerRequest
{
    HttpHead head;
    std::string body;
    std::string peer; // IP number of the caller
};

struct ServerResponse
{
    std::uint32_t status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<HttpField> fields;
};

using ServerHandler = std::function<boost::asio::awaitable<ServerResponse>(ServerRequest)>;

constexpr std::string_view MetricsPath = "/metrics";

struct ServerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    Duration requestTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(30);
};

// Accepts connections on the address and answers their requests with the handler. Throws when it
// cannot listen.
std::unique_ptr<ChannelListener> serveHttp(boost::asio::io_context &context,
                                           const std::string &address, ServerHandler handler);

// Answers the requests of one connection until it ends.
boost::asio::awaitable<void> serveConnection(ChannelPointer channel, ServerLimits limits,
                                             ServerHandler handler);

} // namespace Trefoil
