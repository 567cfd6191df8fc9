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
    WindowedRetryBudget retryBudget;
    EndpointPool pool;
    Metrics metrics;
    std::set<Signal *> sessionSignals;          // notified when a planned stop begins
    std::map<EndpointId, TimePoint> progressAt; // last event or answer of each endpoint
    std::map<EndpointId, TimePoint> stalledAt;  // heads at which requests stood still
    std::map<std::string, double> sequences;    // requests in progress, by model
    std::function<void()> reportStall;          // tells control at once
    std::size_t activeRequests = 0;
    std::uint64_t requests = 0;
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
    void linkMessage(const std::string &address, LinkMessage &&message);
    void takeDocument(const ConfigurationDocument &document);
    void requestConfiguration();
    LinkHello ownHello() const;

    void receiveDigests();
    void takeDigest(const LoadDigest &digest);
    Duration digestInterval() const;
    void sendDigests(TimePoint now);
    void refreshPeers();

    bool isReady() const;
    boost::asio::awaitable<ServerResponse> handleMetrics(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleReadiness(ServerRequest request);
    void checkStopped();

    boost::asio::io_context &context_;
    EntryState state_;
    std::string internalAddress_;
    std::uint64_t process_;
    std::unique_ptr<ChannelListener> callerListener_;
    std::unique_ptr<ChannelListener> readinessListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    boost::asio::ip::udp::socket digests_;
    RuntimeTimer tickTimer_;
    ControlLinks controls_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers_; // other entries by name
    std::uint64_t digestSequence_ = 0;
    TimePoint nextDigest_{};
    TimePoint nextHello_{};
    bool wasLoaded_ = false;
    std::uint64_t requestedVersion_ = 0;
    TimePoint requestedAt_{};
    TimePoint nextConfiguration_{}; // no other one is asked for until then
    std::function<void()> stopped_;
};

} // namespace Trefoil
