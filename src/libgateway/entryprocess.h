#pragma once

#include "libgateway/controllinks.h"
#include "libgateway/endpointpool.h"
#include "libgateway/gatewaysettings.h"
#include "libgateway/statefeed.h"
#include "libruntime/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Trefoil {

// State that the relay sessions of an entry share.
struct EntryState
{
    EntryState(boost::asio::io_context &ioContext, GatewaySettings gatewaySettings);

    boost::asio::io_context &context;
    GatewaySettings settings;
    const Dialect &dialect;

    // Null until the first configuration arrives.
    std::shared_ptr<const ServiceConfiguration> config;

    PlacementState placement;

    // By service.
    std::map<std::string, WindowedRetryBudget> retryBudgets;

    EntryRoster roster;
    PartQuarantine quarantine;

    // What the control VMs are told of departures and of evidence about parts of prompts.
    StateFeed feed;

    // Sets of parts that the log named as quarantined.
    std::set<PartSet> loggedVerdicts;

    // Start of the last incarnation of each endpoint whose invalid limit was reported.
    std::map<EndpointId, std::uint64_t> invalidLimits;

    // The same for times for which endpoints wanted no request.
    std::map<EndpointId, std::uint64_t> invalidHoldOffs;

    // Whether a control VM passes evidence on to the other entries.
    bool isLinkedToControl = false;

    // Counts the memory of all connections.
    std::shared_ptr<MemoryLedger> ledger;

    EndpointConnectionPool connectionPool;
    Metrics metrics;

    // Signals of all sessions, notified when a planned stop begins.
    std::set<AsyncCondition *> sessionSignals;

    // Time of the last event that each endpoint sent.
    std::map<EndpointId, TimePoint> lastProgressAt;

    // Time at which a request last stalled at each head of a group.
    std::map<EndpointId, TimePoint> stalledAt;

    std::map<std::string, double> activeRequestsByModel;

    // Reports `stalledAt` to the control VMs without waiting for the next hello.
    std::function<void()> sendStallReport;

    // Tells the control VMs of changes of `feed`.
    std::function<void()> sendState;

    // Evaluates and sends new evidence after a short delay.
    std::function<void()> scheduleEvidence;

    std::size_t activeRequests = 0;

    // Number of requests that arrived since the start.
    std::uint64_t requestCount = 0;

    // Set during a planned stop.
    std::optional<StopPlan> stop;
};

// Returns the retry budget of a service, which starts empty.
WindowedRetryBudget &retryBudget(EntryState &state, const std::string &service);

// Runs one entry, which relays callers' requests to endpoints.
class EntryProcess
{
public:
    EntryProcess(boost::asio::io_context &context, GatewaySettings settings);
    ~EntryProcess();

    // Throws when it cannot listen.
    void start();

    // Begins a planned stop. Calls `done` once no request is in progress or the maximum stop time
    // has nearly passed.
    void stop(std::function<void()> done);

    // Applies the seeds of settings that were read again.
    void reload(const GatewaySettings &settings);

private:
    void tick();

    // Links to control VMs.
    void handleLinkMessage(const std::string &address, LinkMessage &&message);
    void applyOffer(ControlLinks::Peer &control, const ConfigurationOffer &offer);
    void receiveDocument(Link &link, const ConfigurationDocument &part);
    void applyDocument(std::uint64_t version, const std::string &compressed);
    void requestConfiguration();
    LinkHello makeHello() const;

    // Evidence about parts of prompts.
    void scheduleEvidence();
    void sendEvidence();

    // Exchange of loads with the other entries.
    void receiveDigests();
    void applyDigest(const LoadDigest &digest);
    Duration digestInterval() const;
    void sendDigests(TimePoint now);
    void updatePeerEntries();

    // Keeps the entries that control VMs report in the roster.
    void updateRoster(TimePoint now);

    // Readiness, metrics and the planned stop.
    bool isReady() const;
    boost::asio::awaitable<ServerResponse> handleMetricsRequest(ServerRequest request);
    boost::asio::awaitable<ServerResponse> handleReadinessRequest(ServerRequest request);
    void finishStopWhenDue();

    boost::asio::io_context &context_;
    EntryState state_;
    std::string internalAddress_;
    std::uint64_t processStartMs_;
    StateFrames stateFrames_;
    StatePosition announcedPosition_;
    std::unique_ptr<ChannelListener> callerListener_;
    std::unique_ptr<ChannelListener> readinessListener_;
    std::unique_ptr<ChannelListener> metricsListener_;
    boost::asio::ip::udp::socket digestSocket_;
    RuntimeTimer tickTimer_;
    RuntimeTimer evidenceTimer_;
    bool isEvidenceScheduled_ = false;
    ControlLinks controlLinks_;

    // Other entries by name.
    std::map<std::string, boost::asio::ip::udp::endpoint> peerEntries_;

    // Number of entries in the roster that the log named last.
    std::size_t loggedEntryCount_ = 0;

    std::uint64_t digestSequence_ = 0;
    TimePoint nextDigestAt_{};
    TimePoint nextHelloAt_{};

    // Whether the last digest contained loads.
    bool hadLoads_ = false;

    std::uint64_t requestedVersion_ = 0;
    TimePoint requestedAt_{};

    // The parts of a configuration that have arrived, from any control VM.
    std::uint64_t arrivingVersion_ = 0;
    std::string arrivingDocument_;

    // No configuration is requested before this time.
    TimePoint nextConfigurationAt_{};

    // Set during a planned stop.
    std::function<void()> onStopped_;
};

} // namespace Trefoil
