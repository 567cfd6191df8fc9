#pragma once

#include "standinclient.h"
#include "trefoilrund/httplistener.h"

#include <map>
#include <set>

// A stub of a model engine or of a plain service, for the demonstration and the system tests. It
// counts how often it ran each request, and serves the counts as a ledger.

namespace Trefoil {

// Simulated processing times.
struct StandinOptions
{
    Duration tokenInterval = std::chrono::milliseconds(5);
    Duration loadTime = std::chrono::milliseconds(300);

    // Processing time of a call to the plain service.
    Duration callTime = std::chrono::milliseconds(1);

    std::uint32_t defaultTokens = 24;
};

class StandinEngine
{
public:
    StandinEngine(EndpointInfo info, const StandinOptions &options);

    HeartbeatReport report() const;
    bool suppressesHeartbeats() const { return suppressesHeartbeats_; }
    bool isIdle() const { return inFlight_ == 0; }

    // Handles one request. Returns whether the connection stays open.
    boost::asio::awaitable<bool> handle(HttpConnection &connection, const HttpRequest &request);

private:
    boost::asio::awaitable<bool> handleOrder(HttpConnection &connection,
                                             const HttpRequest &request);
    boost::asio::awaitable<bool> handleChat(HttpConnection &connection, const HttpRequest &request);
    boost::asio::awaitable<bool> handleServiceCall(HttpConnection &connection,
                                                   const HttpRequest &request);
    boost::asio::awaitable<bool> handleLedger(HttpConnection &connection,
                                              const HttpRequest &request);
    boost::asio::awaitable<bool> handleControl(HttpConnection &connection,
                                               const HttpRequest &request);
    boost::asio::awaitable<bool> streamTokens(HttpConnection &connection,
                                              const HttpRequest &request, std::uint32_t tokens);
    boost::asio::awaitable<bool> writeJsonResponse(HttpConnection &connection,
                                                   const HttpRequest &request, unsigned status,
                                                   std::string body);

    // Responds that the request has not run, so that it can be sent to another endpoint.
    boost::asio::awaitable<bool> rejectWithoutRunning(HttpConnection &connection,
                                                      const HttpRequest &request, unsigned status);

    // Returns the state and the number of runs of each request as JSON.
    std::string formatLedger() const;

    EndpointInfo info_;
    StandinOptions options_;
    HttpLimits limits_;
    std::uint64_t group_ = 0;
    std::uint64_t highestFencingToken_ = 0;
    TimePoint readyAt_{};
    std::set<std::string> weights_;
    std::uint32_t inFlight_ = 0;
    bool suppressesHeartbeats_ = false;

    // The next stream is cut after this many tokens; 0 cuts none.
    std::uint64_t cutAfterTokens_ = 0;

    // Number of runs by request id, or by method, target and body of a plain call.
    std::map<std::string, std::uint32_t> runs_;

    std::uint64_t refused_ = 0;
};

} // namespace Trefoil
