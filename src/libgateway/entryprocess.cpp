#include "libgateway/entryprocess.h"

#include "libgateway/documentpacking.h"
#include "libgateway/relaysession.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"
#include "libruntime/networkendpoint.h"
#include "libruntime/structuredlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(50);
constexpr auto LongestLateness = 9 * TickInterval; // of a tick without a log line
constexpr auto HelloInterval = std::chrono::milliseconds(500);
constexpr auto EndpointRetention = std::chrono::minutes(5);
// Pause after a document, by its size, so that reading a series of them leaves time for requests.
constexpr auto ConfigurationPausePerByte = std::chrono::microseconds(1);
constexpr auto ConfigurationRetry = std::chrono::milliseconds(400);
constexpr auto ShortestDigestInterval = std::chrono::milliseconds(100);
constexpr auto DigestIntervalPerPeer = std::chrono::milliseconds(3);
constexpr auto StopMargin = std::chrono::milliseconds(500); // before the bound of a planned stop
constexpr auto LeastStopTime = std::chrono::milliseconds(4500); // until callers know of the stop
constexpr auto ProgressRetention = std::chrono::seconds(2);     // of signs of endpoints
constexpr auto StallRetention = std::chrono::milliseconds(1000);
constexpr auto LeastHelloInterval = std::chrono::milliseconds(100);
constexpr std::size_t ChannelCapacity = 256 * 1024;
constexpr std::size_t LinkCapacity = 4 * 1024 * 1024;
constexpr std::size_t MaxDatagram = 32 * 1024;
constexpr std::size_t ReservedDescriptors = 260; // of files, links and listeners
constexpr double SessionShare = 0.6;             // of the descriptors, the rest is for endpoints

PlacementState makePlacement(const GatewaySettings &settings)
{
    PlacementState placement;
    placement.domain = settings.domain;
    placement.options.heartbeatTimeout = settings.heartbeat * 5 / 2;
    placement.rng.seed(std::random_device{}());
    return placement;
}

WindowedRetryBudget makeRetryBudget(const GatewaySettings &settings)
{
    WindowedRetryBudget budget;
    budget.options = settings.retryBudget;
    budget.options.usableShare = WindowedRetryBudgetOptions{}.usableShare;
    return budget;
}

} // namespace

EntryState::EntryState(asio::io_context &ioContext, GatewaySettings gatewaySettings)
    : context(ioContext)
    , settings(std::move(gatewaySettings))
    , dialect(*findDialect(settings.dialect))
    , placement(makePlacement(settings))
    , retryBudget(makeRetryBudget(settings))
{}

EntryProcess::EntryProcess(asio::io_context &context, GatewaySettings settings)
    : context_(context)
    , state_(context, std::move(settings))
    , internalAddress_(linkAddress(state_.settings))
    , process_(wallTimeMs())
    , digests_(context, toEndpoint<udp>(internalAddress_))
    , tickTimer_(context)
    , controls_(
              context, internalAddress_, LinkCapacity, [this] { return ownHello(); },
              [this](const std::string &address, Link & /*link*/, LinkMessage &&message) {
                  linkMessage(address, std::move(message));
              })
{}

EntryProcess::~EntryProcess() = default;

void EntryProcess::start()
{
    digests_.non_blocking(true);
    receiveDigests();
    reload(state_.settings);
    const auto maxSessions = static_cast<std::size_t>(
            SessionShare
            * static_cast<double>(
                    std::max<std::size_t>(state_.settings.maxConnections, ReservedDescriptors + 16)
                    - ReservedDescriptors));
    callerListener_ = std::make_unique<ChannelListener>(
            context_, state_.settings.callerListen, ChannelCapacity,
            [this, maxSessions](ChannelPointer channel) {
                if (state_.sessionSignals.size() >= maxSessions) {
                    state_.metrics.addCount("trefoil_connections_refused_total", "");
                    channel->close();
                    return;
                }
                asio::co_spawn(context_, runRelaySession(state_, std::move(channel)),
                               asio::detached);
            });
    if (!state_.settings.readinessListen.empty())
        readinessListener_ =
                serveHttp(context_, state_.settings.readinessListen, [this](ServerRequest request) {
                    return handleReadiness(std::move(request));
                });
    if (!state_.settings.metricsListen.empty())
        metricsListener_ =
                serveHttp(context_, state_.settings.metricsListen, [this](ServerRequest request) {
                    return handleMetrics(std::move(request));
                });
    tickTimer_.expires_at(RuntimeClock::now());
    state_.reportStall = [this] {
        nextHello_ = std::min(nextHello_, RuntimeClock::now() + LeastHelloInterval);
    };
    tick();
    logEvent(Event::Started, {{"role", "entry"}, {"address", state_.settings.callerListen}});
}

void EntryProcess::stop(std::function<void()> done)
{
    if (state_.isDraining)
        return; // a second signal does not hurry the stop
    logEvent(Event::Stopping, {{"active_requests", std::to_string(state_.activeRequests)}});
    stopped_ = std::move(done);
    state_.isDraining = true;
    state_.drainingSince = RuntimeClock::now();
    controls_.sendHello();
    for (Signal *signal : state_.sessionSignals)
        signal->notify();
}

void EntryProcess::reload(const GatewaySettings &settings)
{
    state_.settings.seeds = settings.seeds;
    controls_.setSeeds(seedLinkAddresses(state_.settings));
}

void EntryProcess::tick()
{
    const TimePoint now = RuntimeClock::now();
    const Duration lateness = std::max(now - tickTimer_.expiry(), Duration::zero());
    if (lateness > LongestLateness)
        logEvent(Event::Paused,
                 {{"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                lateness + TickInterval)
                                                .count())}});
    compensatePause(state_.placement.table, lateness, now);
    controls_.connect();
    requestConfiguration();
    if (now >= nextHello_) {
        nextHello_ = now + HelloInterval;
        controls_.sendHello();
        for (const auto &[id, at] : state_.progressAt) {
            if (const Endpoint *endpoint = findEndpoint(state_.placement.table, id))
                recordGroupProgress(state_.placement.table, id, endpoint->report.startedAtMs,
                                    now - at, now);
        }
        std::erase_if(state_.stalledAt,
                      [now](const auto &item) { return now - item.second > StallRetention; });
        std::erase_if(state_.progressAt,
                      [now](const auto &item) { return now - item.second > ProgressRetention; });
        removeExpiredEndpoints(state_.placement.table, EndpointRetention, now);
        state_.pool.expire(now);
        flushStructuredLog();
    }
    if (now >= nextDigest_)
        sendDigests(now);
    checkStopped();
    tickTimer_.expires_at(now + TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

// ---- Control VMs

void EntryProcess::linkMessage(const std::string &address, LinkMessage &&message)
{
    ControlLinks::Peer *control = controls_.find(address);
    if (!control)
        return;
    if (auto *news = std::get_if<EndpointNews>(&message)) {
        applyNews(state_.placement.table, *news, state_.config.get(), RuntimeClock::now());
    } else if (auto *known = std::get_if<Topology>(&message)) {
        control->nodes = std::move(known->nodes);
        for (const KnownNode &node : control->nodes) {
            if (node.kind == NodeKind::Control)
                controls_.learn(node.internalAddress, false);
        }
        refreshPeers();
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&message)) {
        control->offered = offer->version;
        requestConfiguration();
    } else if (const auto *document = std::get_if<ConfigurationDocument>(&message)) {
        takeDocument(*document);
    }
}

// Asks one of the control VMs that offer the newest version.
void EntryProcess::requestConfiguration()
{
    std::uint64_t newest = state_.config ? state_.config->version : 0;
    ControlLinks::Peer *best = nullptr;
    for (auto &[address, control] : controls_.peers()) {
        if (control.link && control.offered > newest) {
            newest = control.offered;
            best = &control;
        }
    }
    const TimePoint now = RuntimeClock::now();
    if (now < nextConfiguration_)
        return; // versions that follow each other quickly are skipped, the newest one is fetched
    const bool isUnderWay = requestedVersion_ == newest && now - requestedAt_ < ConfigurationRetry;
    if (!best || isUnderWay)
        return;
    requestedVersion_ = newest;
    requestedAt_ = now;
    best->link->send(ConfigurationRequest{newest});
    // Another control VM may answer the repeated request.
    best->offered = 0;
}

void EntryProcess::takeDocument(const ConfigurationDocument &document)
{
    if (state_.config && document.version <= state_.config->version)
        return;
    const auto text = unpackDocument(document.document);
    if (!text) {
        logEvent(Event::ConfigurationRefused,
                 {{"version", std::to_string(document.version)}, {"findings", BrokenDocument}});
        return;
    }
    DecodedConfiguration decoded = state_.dialect.decodeConfiguration(*text);
    if (!decoded.config) {
        logEvent(Event::ConfigurationRefused, {{"version", std::to_string(document.version)},
                                               {"findings", toText(decoded.findings)}});
        return;
    }
    if (!state_.config)
        removeUnknownServices(state_.placement.table, *decoded.config);
    state_.config = std::make_shared<const ServiceConfiguration>(std::move(*decoded.config));
    nextConfiguration_ =
            RuntimeClock::now() + ConfigurationPausePerByte * static_cast<int>(text->size());
    logEvent(Event::ConfigurationApplied,
             {{"version", std::to_string(document.version)},
              {"routes", std::to_string(state_.config->routes.size())}});
}

LinkHello EntryProcess::ownHello() const
{
    LinkHello hello;
    hello.kind = NodeKind::Entry;
    hello.name = state_.settings.name;
    hello.domain = state_.settings.domain;
    hello.internalAddress = internalAddress_;
    hello.publicAddress = state_.settings.callerListen;
    hello.process = process_;
    hello.isReady = isReady();
    hello.requests = state_.requests;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[id, at] : state_.progressAt) {
        const Endpoint *endpoint = findEndpoint(state_.placement.table, id);
        if (endpoint && now - at < ProgressRetention)
            hello.progress.push_back(
                    {id, endpoint->report.startedAtMs,
                     static_cast<std::uint32_t>((now - at) / std::chrono::milliseconds(1))});
    }
    for (const auto &[id, at] : state_.stalledAt) {
        if (now - at < StallRetention)
            hello.stalled.push_back(id);
    }
    for (const auto &[model, inProgress] : state_.sequences)
        hello.demand[model] = estimateModelDemand(state_.placement, model, inProgress, now);
    for (const auto &[address, control] : controls_.peers()) {
        for (const KnownNode &node : control.nodes) {
            if (!control.link || node.leadsInTerm <= hello.leaderTerm)
                continue;
            hello.leaderTerm = node.leadsInTerm;
            hello.leaderAddress = node.publicAddress;
        }
    }
    return hello;
}

// ---- Loads of the other entries

void EntryProcess::refreshPeers()
{
    peers_.clear();
    for (const auto &[address, control] : controls_.peers()) {
        if (!control.link)
            continue;
        for (const KnownNode &node : control.nodes) {
            if (node.kind != NodeKind::Entry || node.name == state_.settings.name)
                continue;
            try {
                peers_[node.name] = toEndpoint<udp>(node.internalAddress);
            } catch (const std::exception &invalid) {
                logEvent(Event::PeerMessageInvalid,
                         {{"peer", node.name}, {"error", invalid.what()}});
            }
        }
    }
    state_.placement.entryCount = peers_.size() + 1;
    state_.placement.peerLoadAge = digestInterval();
}

Duration EntryProcess::digestInterval() const
{
    return std::max<Duration>(ShortestDigestInterval,
                              DigestIntervalPerPeer * static_cast<int>(peers_.size()));
}

void EntryProcess::sendDigests(TimePoint now)
{
    nextDigest_ = now + digestInterval();
    const bool isLoaded = !state_.placement.ownLoads.empty();
    if (!isLoaded && !wasLoaded_)
        return;
    wasLoaded_ = isLoaded;
    LoadDigest digest;
    digest.entry = state_.settings.name;
    digest.process = process_;
    digest.sequence = ++digestSequence_;
    for (const auto &[endpoint, load] : state_.placement.ownLoads)
        digest.items.push_back({endpointHash(endpoint), static_cast<float>(load.requests),
                                static_cast<float>(load.pendingPromptTokens)});
    const std::string bytes = encodeLoadDigest(digest);
    for (const auto &[name, endpoint] : peers_) {
        boost::system::error_code ignored; // a digest may be lost; the next one replaces it
        digests_.send_to(asio::buffer(bytes), endpoint, 0, ignored);
    }
}

void EntryProcess::receiveDigests()
{
    digests_.async_wait(udp::socket::wait_read, [this](const boost::system::error_code &error) {
        if (error)
            return;
        static std::array<char, MaxDatagram> bytes;
        while (true) {
            udp::endpoint sender;
            boost::system::error_code failure;
            const std::size_t size = digests_.receive_from(asio::buffer(bytes), sender, 0, failure);
            if (failure)
                break;
            try {
                takeDigest(decodeLoadDigest(std::string_view(bytes.data(), size)));
            } catch (const std::exception &invalid) {
                logEvent(Event::PeerMessageInvalid,
                         {{"peer", sender.address().to_string()}, {"error", invalid.what()}});
            }
        }
        receiveDigests();
    });
}

void EntryProcess::takeDigest(const LoadDigest &digest)
{
    PeerLoads &peer = state_.placement.peers[digest.entry];
    const bool isOld = digest.process < peer.process
                       || (digest.process == peer.process && digest.sequence <= peer.sequence);
    if (isOld)
        return;
    peer.process = digest.process;
    peer.sequence = digest.sequence;
    peer.receivedAt = RuntimeClock::now();
    peer.loads.clear();
    for (const LoadDigest::Item &item : digest.items)
        peer.loads[item.endpoint] = {item.requests, item.pendingPromptTokens};
}

// ---- Readiness, metrics and the planned stop

bool EntryProcess::isReady() const
{
    return state_.config && !state_.isDraining;
}

asio::awaitable<ServerResponse> EntryProcess::handleMetrics(ServerRequest request)
{
    ServerResponse response;
    if (request.head.target != MetricsPath) {
        response.status = 404;
        response.body = state_.dialect.encodeError("metrics are at /metrics");
        co_return response;
    }
    const TimePoint now = RuntimeClock::now();
    Metrics &metrics = state_.metrics;
    std::size_t usable = 0;
    for (const auto &[id, endpoint] : state_.placement.table.endpoints)
        usable += isUsable(endpoint, state_.placement.options.heartbeatTimeout, now) ? 1 : 0;
    std::size_t links = 0;
    for (const auto &[address, control] : controls_.peers())
        links += control.link ? 1 : 0;
    const auto set = [&metrics](const std::string &name, double value) {
        metrics.setGauge("trefoil_" + name, "", value);
    };
    set("active_requests", static_cast<double>(state_.activeRequests));
    set("sessions", static_cast<double>(state_.sessionSignals.size()));
    set("idle_endpoint_connections", static_cast<double>(state_.pool.size()));
    set("entries", static_cast<double>(state_.placement.entryCount));
    set("control_links", static_cast<double>(links));
    set("endpoints_usable", static_cast<double>(usable));
    set("configuration_version", state_.config ? static_cast<double>(state_.config->version) : 0);
    response.contentType = "text/plain; version=0.0.4";
    response.body = metrics.prometheusText();
    co_return response;
}

asio::awaitable<ServerResponse> EntryProcess::handleReadiness(ServerRequest request)
{
    ServerResponse response;
    const SystemCall call = state_.dialect.parseCall(request.head.method, request.head.target);
    if (call.kind != CallKind::Readiness) {
        response.status = 404;
        response.body = state_.dialect.encodeError("no such call");
    } else if (!isReady()) {
        response.status = 503;
        response.body = state_.dialect.encodeError(
                state_.isDraining ? "the entry stops" : "no configuration is known yet");
    }
    co_return response;
}

void EntryProcess::checkStopped()
{
    if (!stopped_)
        return;
    const Duration elapsed = RuntimeClock::now() - state_.drainingSince;
    const bool isIdle = state_.activeRequests == 0 && elapsed > LeastStopTime;
    const bool isOverdue = elapsed > state_.settings.stopBound - StopMargin;
    if (!isIdle && !isOverdue)
        return;
    if (!isIdle)
        logEvent(Event::StopOverdue, {{"lost", std::to_string(state_.activeRequests)}});
    logEvent(Event::Stopped);
    flushStructuredLog();
    std::exchange(stopped_, nullptr)();
}

} // namespace Trefoil
