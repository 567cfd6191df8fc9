#pragma once

#include "libgateway/controllinks.h"
#include "libgateway/controlseatkeeper.h"
#include "libgateway/endpointpool.h"
#include "libgateway/gatewaysettings.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Trefoil {

// One control VM: takes endpoints' reports, holds a seat of the replicated log, tells entries what
// it knows and, while it leads, publishes configurations and forms serving groups.
class ControlProcess
{
public:
    ControlProcess(boost::asio::io_context &context, GatewaySettings settings);
    ~ControlProcess();

    // Throws when it cannot listen or open its data folder.
    void start();

    // Begins a planned stop; `done` is called when the process may end.
    void stop(std::function<void()> done);

    // Uses the seeds of settings that were read again.
    void reload(const GatewaySettings &settings);

private:
    // Timers.
    void tick();

    // Links.
    void accepted(ChannelPointer channel);
    void linkMessage(Link &link, LinkMessage &&message);
    void takeEntryFacts(const LinkHello &hello);
    std::string reportAddress() const;
    void linkEnded(Link &link, const std::string &reason);
    LinkHello ownHello() const;
    Topology topology() const;
    void broadcastTopology();
    void broadcast(const LinkMessage &message);
    void sendRaft(RaftMessage message);
    void seatChanged();

    // Endpoints.
    ServerResponse heartbeat(const SystemCall &call, const std::string &body);
    ServerResponse departure(const SystemCall &call, const std::string &body);
    void noteChanged(const EndpointId &endpoint);
    void noteSign(const EndpointId &endpoint);
    void flushNews();
    EndpointNews wholeTable() const;
    void takeNews(const EndpointNews &news);

    // Operators and callers.
    boost::asio::awaitable<ServerResponse> handleControl(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleMetrics(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleEntryList(ServerRequest request);
    boost::asio::awaitable<ServerResponse> publish(ServerRequest request);
    ServerResponse readConfiguration(const ServerRequest &request);
    ServerResponse redirectToLeader(const ServerRequest &request);
    ServerResponse entryList(const SystemCall &call);
    ServerResponse metrics() const;
    ServerResponse failure(std::uint32_t status, const std::string &text) const;

    // Leader.
    void lead();
    void manageSeats(TimePoint now);
    boost::asio::awaitable<void> execute(GroupOrder order);
    const ServiceConfiguration *configuration();
    Duration lossTimeout() const; // silence after which an endpoint is lost

    boost::asio::io_context &context_;
    GatewaySettings settings_;
    const Dialect &dialect_;
    std::string internalAddress_;
    std::uint64_t process_;
    std::unique_ptr<ControlSeatKeeper> seat_;
    std::unique_ptr<ChannelListener> linkListener_;
    std::unique_ptr<ChannelListener> controlListener_;
    std::unique_ptr<ChannelListener> entryListListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    RuntimeTimer tickTimer_;
    RuntimeTimer newsTimer_;

    ControlLinks peers_;                     // to other control VMs
    std::map<Link *, LinkPointer> accepted_; // links from entries and control VMs
    Topology lastTopology_;
    EndpointTable table_;
    std::set<EndpointId> changed_; // to be told to the subscribers
    std::set<EndpointId> heard_;
    bool isNewsDue_ = false;
    TimePoint nextSigns_{};
    TimePoint nextHello_{};
    TimePoint startedAt_{};
    TimePoint nextPlan_{};
    TimePoint lastPlan_{};
    std::uint64_t offeredVersion_ = 0;

    std::uint64_t decodedVersion_ = 0;
    std::optional<ServiceConfiguration> decoded_;
    std::optional<GroupPlanner> planner_; // while this seat leads
    bool wasLeader_ = false;
    bool hasTraffic_ = false;
    Term hintedTerm_ = 0; // of the latest leader that an entry told of
    std::string hintedLeader_;
    bool isStopping_ = false;
    TimePoint nextSeatChange_{};
    std::uint64_t ordersSent_ = 0;
    std::uint64_t ordersUnanswered_ = 0;
    std::uint64_t entryLists_ = 0;
    std::mt19937_64 rng_;
};

} // namespace Trefoil
