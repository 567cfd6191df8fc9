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
    void acceptLink(ChannelPointer channel);
    void handleLinkMessage(Link &link, LinkMessage &&message);
    void applyEntryHello(const LinkHello &hello);
    std::string reportAddress() const;
    void handleLinkEnd(Link &link, const std::string &reason);
    LinkHello makeHello() const;
    Topology makeTopology() const;
    void broadcastTopology();
    void broadcast(const LinkMessage &message);
    void sendRaftMessage(RaftMessage message);
    void handleSeatChange();

    // Endpoints.
    ServerResponse handleHeartbeat(const SystemCall &call, const std::string &body);
    ServerResponse handleDeparture(const SystemCall &call, const std::string &body);
    void announceEndpointChange(const EndpointId &endpoint);
    void recordHeardEndpoint(const EndpointId &endpoint);
    void broadcastEndpointUpdate();
    EndpointUpdate makeFullUpdate() const;
    void handleEndpointUpdate(const EndpointUpdate &update);

    // Operators and callers.
    boost::asio::awaitable<ServerResponse> handleControlRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleMetricsRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleEntryListRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> publishConfiguration(ServerRequest request);
    ServerResponse readConfiguration(const ServerRequest &request);
    ServerResponse redirectToLeader(const ServerRequest &request);
    ServerResponse makeEntryListResponse(const SystemCall &call);
    ServerResponse makeMetricsResponse() const;
    ServerResponse makeErrorResponse(std::uint32_t status, const std::string &text) const;

    // Leader.
    void runLeaderTasks();
    void updateSeats(TimePoint now);
    boost::asio::awaitable<void> sendOrder(GroupOrder order);
    const ServiceConfiguration *currentConfiguration();
    Duration lossTimeout() const; // silence after which an endpoint is lost

    boost::asio::io_context &context_;
    GatewaySettings settings_;
    const Dialect &dialect_;
    std::string internalAddress_;
    std::uint64_t processStartMs_;
    std::unique_ptr<ControlSeatKeeper> seat_;
    std::unique_ptr<ChannelListener> linkListener_;
    std::unique_ptr<ChannelListener> controlListener_;
    std::unique_ptr<ChannelListener> entryListListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    RuntimeTimer tickTimer_;
    RuntimeTimer updateTimer_;

    ControlLinks controlLinks_;                   // to other control VMs
    std::map<Link *, LinkPointer> acceptedLinks_; // links from entries and control VMs
    Topology lastBroadcastTopology_;
    EndpointTable table_;
    std::set<EndpointId> changedEndpoints_; // to be told to the subscribers
    std::set<EndpointId> heardEndpoints_;
    bool isUpdateScheduled_ = false;
    TimePoint nextHeardUpdateAt_{};
    TimePoint nextHelloAt_{};
    TimePoint startedAt_{};
    TimePoint nextPlanAt_{};
    TimePoint lastPlanAt_{};
    std::uint64_t offeredVersion_ = 0;

    std::uint64_t decodedVersion_ = 0;
    std::optional<ServiceConfiguration> decodedConfiguration_;
    std::optional<GroupPlanner> planner_; // while this seat leads
    bool wasLeader_ = false;
    bool hasSeenRequests_ = false;
    Term reportedLeaderTerm_ = 0; // of the latest leader that an entry told of
    std::string reportedLeaderAddress_;
    bool isStopping_ = false;
    TimePoint nextSeatChangeAt_{};
    std::uint64_t ordersSent_ = 0;
    std::uint64_t ordersUnanswered_ = 0;
    std::uint64_t entryListRequests_ = 0;
    std::mt19937_64 rng_;
};

} // namespace Trefoil
