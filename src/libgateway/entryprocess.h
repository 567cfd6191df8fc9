#pragma once

#include "libgateway/controllinks.h"
#include "libgateway/endpointpool.h"
#include "libgateway/gatewaysettings.h"
#include "libruntime/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Trefoil {

// What the sessions of callers share.
struct EntryState
{
    EntryState(boost::asio::io_context &ioContext, GatewaySettings gatewaySettings);

    boost::asio::io_context &context;
    GatewaySettings settings;
    const Dialect &dialect;
    std::shared_ptr<const ServiceConfiguration> config; // null until one is known
    PlacementState placement;
    WindowedBudget retryBudget;
    EndpointConnectionPool connectionPool;
    Metrics metrics;
    std::set<Signal *> sessionSignals;                   // notified when a planned stop begins
    std::map<EndpointId, TimePoint> lastProgressAt;      // last event or answer of each endpoint
    std::map<EndpointId, TimePoint> stalledAt;           // heads at which requests stood still
    std::map<std::string, double> activeRequestsByModel; // requests in progress, by model
    std::function<void()> sendStallReport;               // tells control at once
    std::size_t activeRequests = 0;
    std::uint64_t requestCount = 0;
    bool isDraining = false;
    TimePoint drainingSince{};
};

// One entry: relays callers' requests to endpoints.
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &context, GatewaySettings settings);
    ~EntryProcess();

    void start();

    // Begins a planned stop; `done` is called once no request is in progress or the bound passed.
    void stop(std::function<void()> done);

    void reload(const GatewaySettings &settings);

private:
    void tick();
    void handleLinkMessage(const std::string &address, LinkMessage &&message);
    void applyDocument(const ConfigurationDocument &document);
    void requestConfiguration();
    LinkHello makeHello() const;

    void receiveDigests();
    void applyDigest(const LoadDigest &digest);
    Duration digestInterval() const;
    void sendDigests(TimePoint now);
    void updatePeerEntries();

    bool isReady() const;
    boost::asio::awaitable<ServerResponse> handleMetricsRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleReadinessRequest(ServerRequest request);
    void finishStopWhenDue();

    boost::asio::io_context &context_;
    EntryState state_;
    std::string internalAddress_;
    std::uint64_t processStartMs_;
    std::unique_ptr<ChannelListener> callerListener_;
    std::unique_ptr<ChannelListener> readinessListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    boost::asio::ip::udp::socket digestSocket_;
    RuntimeTimer tickTimer_;
    ControlLinks controlLinks_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peerEntries_; // other entries by name
    std::uint64_t digestSequence_ = 0;
    TimePoint nextDigestAt_{};
    TimePoint nextHelloAt_{};
    bool hadLoads_ = false;
    std::uint64_t requestedVersion_ = 0;
    TimePoint requestedAt_{};
    TimePoint nextConfigurationAt_{}; // no other one is asked for until then
    std::function<void()> onStopped_;
};

} // namespace Trefoil
