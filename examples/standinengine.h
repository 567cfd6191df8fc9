#pragma once

#include "standinclient.h"
#include "trefoilrund/httplistener.h"

#include <map>
#include <set>

// A stand-in of a model engine and of a plain service, for the demonstration and the tests. It
// keeps a ledger of what it ran.

namespace Trefoil {

struct StandinBehavior
{
    Duration tokenInterval = std::chrono::milliseconds(5);
    Duration loadTime = std::chrono::milliseconds(300);
    Duration callTime = std::chrono::milliseconds(1); // of a plain call
    std::uint32_t defaultTokens = 24;
};

class StandinEngine
{
public:
    StandinEngine(EndpointFacts facts, const StandinBehavior &behavior);

    EndpointReport report() const;
    bool isSilent() const { return isSilent_; }
    bool isIdle() const { return inFlight_ == 0; }

    boost::asio::awaitable<bool> handle(HttpConnection &connection, const HttpRequest &request);

private:
    boost::asio::awaitable<bool> handleOrder(HttpConnection &connection,
                                             const HttpRequest &request);
    boost::asio::awaitable<bool> handleChat(HttpConnection &connection, const HttpRequest &request);
    boost::asio::awaitable<bool> handleCall(HttpConnection &connection, const HttpRequest &request);
    boost::asio::awaitable<bool> handleLedger(HttpConnection &connection,
                                              const HttpRequest &request);
    boost::asio::awaitable<bool> handleControl(HttpConnection &connection,
                                               const HttpRequest &request);
    boost::asio::awaitable<bool> streamTokens(HttpConnection &connection,
                                              const HttpRequest &request, std::uint32_t tokens);
    boost::asio::awaitable<bool> reply(HttpConnection &connection, const HttpRequest &request,
                                       unsigned status, std::string body);
    boost::asio::awaitable<bool> refuseUnrun(HttpConnection &connection, const HttpRequest &request,
                                             unsigned status);

    std::string ledgerText() const;

    EndpointFacts facts_;
    StandinBehavior behavior_;
    HttpLimits limits_;
    std::uint64_t group_ = 0;
    std::uint64_t highestFence_ = 0;
    TimePoint readyAt_{};
    std::set<std::string> weights_;
    std::uint32_t inFlight_ = 0;
    bool isSilent_ = false;
    std::uint64_t dropAfter_ = 0;               // tokens after which the next stream is cut
    std::map<std::string, std::uint32_t> runs_; // by request id, or by body of a plain call
    std::uint64_t refused_ = 0;
};

} // namespace Trefoil
