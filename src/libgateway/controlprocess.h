#pragma once

#include "libgateway/controllinks.h"
#include "libgateway/controlseatkeeper.h"
#include "libgateway/endpointpool.h"
#include "libgateway/endpointreports.h"
#include "libgateway/gatewaysettings.h"
#include "libgateway/groupleader.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>

namespace Trefoil {

// Runs one control VM: receives the endpoints' heartbeats, holds a seat of the replicated log,
// sends its knowledge to the entries and, as leader, publishes configurations and forms serving
// groups.
class ControlProcess
{
public:
    ControlProcess(boost::asio::io_context &context, GatewaySettings settings);
    ~ControlProcess();

    // Throws when it cannot listen. Disk errors are logged and retried.
    void start();

    // Begins a planned stop. Calls `done` when the process may end.
    void stop(std::function<void()> done);

    // Applies the seeds of settings that were read again.
    void reload(const GatewaySettings &settings);

private:
    void tick();
    EndpointReports::Handlers makeReportHandlers();
    GroupLeader::Handlers makeGroupHandlers();

    // Links to entries and other control VMs.
    void acceptLink(ChannelPointer channel);
    void greet(Link &link);
    void handleAcceptedMessage(Link &link, LinkMessage &&message);
    void handleLinkMessage(Link &link, LinkMessage &&message);
    void applyEntryHello(const LinkHello &hello);

    // Returns the address to which endpoints send their next heartbeats, or an empty string for
    // this control VM. Up to a maximum number of endpoints this is the address of the leader, so
    // that the leader receives their heartbeats even while control VMs are partitioned from each
    // other.
    std::string reportAddress() const;

    void handleLinkEnd(Link &link, const std::string &reason);
    void recordHello(Link &link, LinkHello &&hello);
    void sendDocument(Link &link, const ConfigurationRequest &request);

    // Returns how far the state of the node was received.
    StatePosition receivedPosition(const LinkHello &hello) const;
    LinkHello makeHello() const;
    Topology makeTopology() const;
    void broadcastTopology();
    void broadcast(const LinkMessage &message);
    void sendRaftMessage(RaftMessage message);
    void handleSeatChange();

    // Requests on the listen addresses.
    boost::asio::awaitable<ServerResponse> handleControlRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleMetricsRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleEntryListRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> publishConfiguration(ServerRequest request);
    ServerResponse readConfiguration(const ServerRequest &request);
    ServerResponse redirectToLeader(const ServerRequest &request);
    ServerResponse makeEntryListResponse(const SystemCall &call);
    ServerResponse makeMetricsResponse() const;
    ServerResponse makeErrorResponse(std::uint32_t status, const std::string &text) const;

    // Tasks of the leader.
    void runLeaderTasks();
    void updateSeats(TimePoint now);

    // Returns the published configuration, or null. Each version is decoded once.
    const ServiceConfiguration *currentConfiguration();

    // Returns how long an endpoint may be silent before it counts as lost.
    Duration lossTimeout() const;

    boost::asio::io_context &context_;
    GatewaySettings settings_;
    const Dialect &dialect_;
    std::string internalAddress_;
    std::uint64_t processStartMs_;

    // Counts the memory of all connections.
    std::shared_ptr<MemoryLedger> ledger_;

    std::unique_ptr<ControlSeatKeeper> seat_;
    std::unique_ptr<ChannelListener> linkListener_;
    std::unique_ptr<ChannelListener> controlListener_;
    std::unique_ptr<ChannelListener> entryListListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    RuntimeTimer tickTimer_;

    // Links that this process opened to other control VMs.
    ControlLinks controlLinks_;

    // Links that entries and control VMs opened to this process.
    std::map<Link *, LinkPointer> acceptedLinks_;

    // How far the state of each entry was received, by name, and the time of its last part.
    struct ReceivedState
    {
        StatePosition position;
        TimePoint at{};
    };
    std::map<std::string, ReceivedState> receivedStates_;

    Topology lastBroadcastTopology_;

    // Entries that are or were connected to a control VM.
    EntryRoster roster_;

    EndpointReports reports_;
    GroupLeader groups_;

    TimePoint nextHelloAt_{};
    TimePoint startedAt_{};
    TimePoint nextPlanAt_{};
    TimePoint lastPlanAt_{};
    std::uint64_t offeredVersion_ = 0;

    std::uint64_t decodedVersion_ = 0;
    std::optional<ServiceConfiguration> decodedConfiguration_;

    bool wasLeader_ = false;

    // Whether any entry has received a request.
    bool hasSeenRequests_ = false;

    // Latest leader that an entry reported.
    Term reportedLeaderTerm_ = 0;
    std::string reportedLeaderAddress_;

    bool isStopping_ = false;
    TimePoint nextSeatChangeAt_{};
    std::uint64_t entryListRequests_ = 0;
    std::mt19937_64 rng_;
};

} // namespace Trefoil
