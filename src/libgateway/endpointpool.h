#pragma once

#include "libfleet/departures.h"
#include "libgateway/channel.h"
#include "libgateway/httpmessage.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil {

// A connection to one incarnation of an endpoint.
struct EndpointConnection
{
    ChannelPointer channel;
    std::string address;

    // Id and start time of the endpoint. A connection is never used for a later endpoint at the
    // same address.
    std::string endpoint;
    std::uint64_t startedAtMs = 0;

    // Unix time at which the connection was opened, in milliseconds.
    std::uint64_t connectedAtMs = 0;

    // The connection is not used after this time, because the endpoint may close it.
    TimePoint idleDeadline{};

    bool isReused = false;

    // The endpoint leaves, so the connection is closed after its request.
    bool isLast = false;

    // Ids of the requests that the endpoint refused on this connection. A faulty endpoint may write
    // such a refusal again, and only the id tells whose it is, so a request that is sent once more
    // takes another connection.
    std::vector<std::string> refusedIds;
};

// Holds idle connections by endpoint. The most recently used one is taken first.
class EndpointConnectionPool
{
public:
    // Returns an idle connection that is still open and may carry this request, or nothing.
    std::optional<EndpointConnection> takeIdle(const std::string &endpoint,
                                               std::uint64_t startedAtMs,
                                               const std::string &request, TimePoint now);

    void putIdle(EndpointConnection connection, TimePoint now);

    // Closes connections that are past their idle deadline or ended.
    void closeExpired(TimePoint now);

    // Closes connections to endpoints that have announced that they leave.
    void closeDeparted(const DepartureTable &departures);

    std::size_t idleCount() const;

private:
    std::map<std::string, std::vector<EndpointConnection>> idleConnections_;
};

// Returns how long an idle connection may be used after a response with this head.
Duration keepAliveTime(const HttpHead &head);

// One HTTP request over a new connection, with its response held in memory.
struct HttpCall
{
    std::string address;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::vector<HttpField> fields;
    Duration timeout = std::chrono::seconds(1);
    std::size_t maxResponseBytes = 256 * 1024;
};

struct HttpCallResult
{
    // 0 when no response arrived in time; `error` then says why.
    std::uint32_t status = 0;
    std::string body;
    std::string error;
    HttpHead head;
};

// Sends the request and waits for the complete response.
boost::asio::awaitable<HttpCallResult> callHttp(HttpCall call, ChannelLimits limits = {});

// A request to the control, metrics, readiness or entry list interface.
struct ServerRequest
{
    HttpHead head;
    std::string body;
    std::string callerAddress; // IP address without port
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
    std::size_t maxBodyBytes = 64 * 1024;

    // Limit of bodies of requests with this head instead, if it is set and larger.
    std::function<std::size_t(const HttpHead &)> maxBodyBytesOf;

    Duration requestTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(30);
};

// Accepts connections on the address and serves their requests with the handler. Throws when it
// cannot listen.
std::unique_ptr<ChannelListener> serveHttp(boost::asio::io_context &context,
                                           const std::string &address, ServerHandler handler,
                                           ChannelLimits channelLimits = {},
                                           ServerLimits limits = {});

// Serves the requests of one connection until it ends.
boost::asio::awaitable<void> serveConnection(ChannelPointer channel, ServerLimits limits,
                                             ServerHandler handler);

} // namespace Trefoil
