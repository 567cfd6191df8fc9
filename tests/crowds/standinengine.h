#pragma once

#include "libgateway/channel.h"
#include "libgateway/httpmessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Trefoil {

class StandInEngine;

// Writes the answer to a request. Returns false when the connection must end.
using EngineAnswer =
        std::function<boost::asio::awaitable<bool>(StandInEngine &, Channel &, const HttpHead &)>;

// Engine that obeys the orders of groups at once and reports its state to one control VM, whatever
// other address it is told. Runs on the thread of its context.
class StandInEngine
{
public:
    StandInEngine(boost::asio::io_context &context, std::string id, std::string address);

    // Parts of a configuration: the service of the engines and routes for streams and for single
    // answers to it.
    static boost::json::object makeService();
    static boost::json::object makeRoute(const std::string &host, bool isStream);

    void start();

    // Changes the control VM that gets the reports; none when empty. May be called at any time.
    void reportTo(std::string address);

    // Set before the system starts. Write the answers to requests and to orders.
    EngineAnswer answer;
    EngineAnswer answerOrder;

    // Sent again and again on each new connection, before any request.
    std::string greeting;

    const std::string &id() const { return id_; }

    // Operations of the orders that were obeyed.
    std::vector<std::string> orders() const;

    // Requests that arrived, other than orders.
    std::atomic<int> requestCount{0};

private:
    struct Membership
    {
        std::string group;
        std::uint64_t epoch = 0;
        std::size_t rank = 0;
        std::string state;
    };

    boost::asio::awaitable<void> serve(ChannelPointer channel);
    boost::asio::awaitable<void> sendReports();
    std::uint32_t obey(const boost::json::object &order);
    std::string makeReport();

    boost::asio::io_context &context_;
    std::string id_;
    std::string address_;
    std::unique_ptr<ChannelListener> listener_;
    std::uint64_t startedAtMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::optional<Membership> membership_;

    mutable std::mutex mutex_; // guards the members below
    std::string reportAddress_;
    std::vector<std::string> orders_;
};

// Target of streams of the route.
constexpr std::string_view StreamTarget = "/draft/stream";
constexpr std::string_view SingleTarget = "/single/answer";
constexpr std::string_view StreamModel = "m1";

} // namespace Trefoil
