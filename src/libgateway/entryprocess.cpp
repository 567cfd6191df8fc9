#include "libgateway/entryprocess.h"

#include "libgateway/documentpacking.h"
#include "libgateway/entrydepartures.h"
#include "libgateway/entrylimits.h"
#include "libgateway/entryquarantine.h"
#include "libgateway/messageparts.h"
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

// A tick that is later than this is logged as a pause of the process.
constexpr auto MaxUnloggedTickDelay = 9 * TickInterval;

constexpr auto HelloInterval = std::chrono::milliseconds(500);

// Longer than that of the control VMs, since they do not repeat a report that they still know.
constexpr auto EndpointRetention = std::chrono::minutes(6);

// Pause after each applied configuration, per byte of its text, so that decoding a series of
// configurations leaves time for requests.
constexpr auto ConfigurationPausePerByte = std::chrono::microseconds(1);

constexpr auto ConfigurationRetryDelay = std::chrono::milliseconds(400);
constexpr auto MinDigestInterval = std::chrono::milliseconds(100);
constexpr auto DigestIntervalPerPeer = std::chrono::milliseconds(3);

// A planned stop takes at least this long, so that callers learn of it.
constexpr auto MinStopTime = std::chrono::milliseconds(4500);

// Each hello to the control VMs contains the progress and the stalls of endpoints that are not
// older than these times.
constexpr auto ProgressRetention = std::chrono::seconds(2);
constexpr auto StallRetention = std::chrono::milliseconds(1000);

// Stalls that occur within this time are reported together.
constexpr auto StallReportDelay = std::chrono::milliseconds(100);

// Evidence about parts of prompts that arrives within this time is evaluated and sent together.
constexpr auto EvidenceDelay = std::chrono::milliseconds(4);

constexpr std::size_t CallerInputCapacity = 32 * 1024;
constexpr std::size_t LinkInputCapacity = 4 * 1024 * 1024;
constexpr std::size_t MaxDatagramBytes = 32 * 1024;

// Number of callers that wait to be accepted.
constexpr int CallerBacklog = 512;

PlacementState makePlacement(const GatewaySettings &settings)
{
    PlacementState placement;
    placement.domain = settings.domain;
    placement.table.services.emplace();
    placement.options.heartbeatTimeout = settings.heartbeatInterval * 5 / 2;
    placement.rng.seed(std::random_device{}());
    placement.limits.entryName = settings.name;
    placement.limits.startedAt = RuntimeClock::now();
    return placement;
}

} // namespace

EntryState::EntryState(asio::io_context &ioContext, GatewaySettings gatewaySettings)
    : context(ioContext)
    , settings(std::move(gatewaySettings))
    , dialect(*findDialect(settings.dialect))
    , placement(makePlacement(settings))
    , ledger(makeMemoryLedger(settings))
{}

WindowedRetryBudget &retryBudget(EntryState &state, const std::string &service)
{
    const auto [budget, isNew] = state.retryBudgets.try_emplace(service);
    if (isNew)
        budget->second.options = state.settings.retryBudget;
    return budget->second;
}

EntryProcess::EntryProcess(asio::io_context &context, GatewaySettings settings)
    : context_(context)
    , state_(context, std::move(settings))
    , internalAddress_(linkAddress(state_.settings))
    , processStartMs_(wallTimeMs())
    , digestSocket_(context, toEndpoint<udp>(internalAddress_))
    , tickTimer_(context)
    , evidenceTimer_(context)
    , controlLinks_(
              context, internalAddress_, LinkInputCapacity, [this] { return makeHello(); },
              [this](const std::string &address, Link & /*link*/, LinkMessage &&message) {
                  handleLinkMessage(address, std::move(message));
              },
              linkLimits(state_.ledger))
{
    state_.feed.process = processStartMs_;
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::start()
{
    digestSocket_.non_blocking(true);
    receiveDigests();
    reload(state_.settings);
    ChannelLimits callerLimits{state_.ledger};
    callerLimits.backlog = CallerBacklog;
    callerListener_ = std::make_unique<ChannelListener>(
            context_, state_.settings.callerListenAddress, CallerInputCapacity,
            [this](ChannelPointer channel) {
                asio::co_spawn(context_, runRelaySession(state_, std::move(channel)),
                               asio::detached);
            },
            callerLimits);
    if (!state_.settings.readinessListenAddress.empty())
        readinessListener_ = serveHttp(context_, state_.settings.readinessListenAddress,
                                       [this](ServerRequest request) {
                                           return handleReadinessRequest(std::move(request));
                                       },
                                       {state_.ledger});
    if (!state_.settings.metricsListenAddress.empty())
        metricsListener_ = serveHttp(
                context_, state_.settings.metricsListenAddress,
                [this](ServerRequest request) { return handleMetricsRequest(std::move(request)); },
                {state_.ledger});
    tickTimer_.expires_at(RuntimeClock::now());
    state_.sendStallReport = [this] {
        nextHelloAt_ = std::min(nextHelloAt_, RuntimeClock::now() + StallReportDelay);
    };
    state_.scheduleEvidence = [this] { scheduleEvidence(); };
    state_.sendState = [this] {
        const StatePosition position = lastPosition(state_.feed);
        if (position == std::exchange(announcedPosition_, position))
            return;
        stateFrames_.reset();
        controlLinks_.notifyState();
    };
    tick();
    logEvent(Event::Started, {{"role", "entry"}, {"address", state_.settings.callerListenAddress}});
}

void EntryProcess::stop(std::function<void()> done)
{
    if (state_.stop)
        return; // A second signal does not shorten the planned stop.
    logEvent(Event::Stopping, {{"active_requests", std::to_string(state_.activeRequests)}});
    onStopped_ = std::move(done);
    state_.stop = StopPlan{RuntimeClock::now(), state_.settings.maxStopTime};
    controlLinks_.broadcastHello();
    for (AsyncCondition *signal : state_.sessionSignals)
        signal->notify();
}

void EntryProcess::reload(const GatewaySettings &settings)
{
    state_.settings.seeds = settings.seeds;
    controlLinks_.setSeeds(seedLinkAddresses(state_.settings));
}

void EntryProcess::tick()
{
    const TimePoint now = RuntimeClock::now();
    const Duration tickDelay = std::max(now - tickTimer_.expiry(), Duration::zero());
    if (tickDelay > MaxUnloggedTickDelay)
        logEvent(Event::Paused,
                 {{"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                tickDelay + TickInterval)
                                                .count())}});
    compensatePause(state_.placement.table, tickDelay, now);
    controlLinks_.maintainLinks();
    state_.isLinkedToControl =
            std::any_of(controlLinks_.peers().begin(), controlLinks_.peers().end(),
                        [](const auto &item) { return item.second.link != nullptr; });
    requestConfiguration();
    if (hasUnsettledEnd(state_.quarantine, now))
        sendEvidence();
    if (now >= nextHelloAt_) {
        nextHelloAt_ = now + HelloInterval;
        controlLinks_.broadcastHello();
        for (const auto &[id, at] : state_.lastProgressAt) {
            if (const Endpoint *endpoint = findEndpoint(state_.placement.table, id))
                recordGroupProgress(state_.placement.table, id, endpoint->report.startedAtMs,
                                    now - at, now);
        }
        std::erase_if(state_.stalledAt,
                      [now](const auto &item) { return now - item.second > StallRetention; });
        std::erase_if(state_.lastProgressAt,
                      [now](const auto &item) { return now - item.second > ProgressRetention; });
        removeExpiredEndpoints(state_.placement.table, EndpointRetention, now);
        removeExpiredDepartures(state_, now);
        removeUnknownLimits(state_.placement.limits, state_.placement.table, now);
        const auto isUnknown = [this](const auto &item) {
            return !findEndpoint(state_.placement.table, item.first);
        };
        std::erase_if(state_.invalidLimits, isUnknown);
        std::erase_if(state_.invalidHoldOffs, isUnknown);
        removeExpiredHoldOffs(state_.placement.holdOffs, now);
        state_.connectionPool.closeExpired(now);
        removeExpiredEvidence(state_.quarantine, now);
        removeMissingRows(state_.feed, stateTables(state_));
        updateRoster(now);
        logVerdictChanges(state_);
        flushStructuredLog();
    }
    if (now >= nextDigestAt_)
        sendDigests(now);
    finishStopWhenDue();
    tickTimer_.expires_at(now + TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void EntryProcess::handleLinkMessage(const std::string &address, LinkMessage &&message)
{
    ControlLinks::Peer *control = controlLinks_.findPeer(address);
    if (!control)
        return;
    if (auto *update = std::get_if<EndpointUpdate>(&message)) {
        applyDepartures(state_, update->departures);
        applyEndpointUpdate(state_.placement.table, *update, RuntimeClock::now());
        applyEvidence(state_, update->partEvidence);
    } else if (auto *topology = std::get_if<Topology>(&message)) {
        recordEntries(state_.roster, *topology, RuntimeClock::now());
        if (!topology->isContinuation)
            control->knownNodes.clear();
        std::move(topology->nodes.begin(), topology->nodes.end(),
                  std::back_inserter(control->knownNodes));
        for (const KnownNode &node : control->knownNodes) {
            if (node.kind == NodeKind::Control)
                controlLinks_.addPeer(node.internalAddress, false);
        }
        updatePeerEntries();
        updateRoster(RuntimeClock::now());
    } else if (const auto *offer = std::get_if<ConfigurationOffer>(&message)) {
        applyOffer(*control, *offer);
    } else if (const auto *document = std::get_if<ConfigurationDocument>(&message)) {
        if (control->link)
            receiveDocument(*control->link, *document);
    }
}

// The first offer on a link says what the control VM has received on earlier ones.
void EntryProcess::applyOffer(ControlLinks::Peer &control, const ConfigurationOffer &offer)
{
    if (control.link && !control.link->hasStateSource()) {
        control.link->setStateSource([this, reader = makeStateReader(state_.feed,
                                                                     offer.received)]() mutable {
            return stateFrames_.next(state_.feed, stateTables(state_), reader, RuntimeClock::now());
        });
    }
    control.offeredVersion = offer.version;
    requestConfiguration();
}

// Requests the newest configuration from one of the control VMs that offer it.
void EntryProcess::requestConfiguration()
{
    std::uint64_t newest = state_.config ? state_.config->version : 0;
    ControlLinks::Peer *source = nullptr;
    for (auto &[address, control] : controlLinks_.peers()) {
        if (control.link && control.offeredVersion > newest) {
            newest = control.offeredVersion;
            source = &control;
        }
    }
    const TimePoint now = RuntimeClock::now();
    if (now < nextConfigurationAt_)
        return; // Intermediate versions are skipped; the newest is requested after the pause.
    const bool isRequestPending =
            requestedVersion_ == newest && now - requestedAt_ < ConfigurationRetryDelay;
    if (!source || isRequestPending)
        return;
    requestedVersion_ = newest;
    requestedAt_ = now;
    const std::uint64_t offset = arrivingVersion_ == newest ? arrivingDocument_.size() : 0;
    source->link->send(ConfigurationRequest{newest, offset, true});
    // Forgets the offer, so that a repeated request goes to another control VM that offers this
    // version.
    source->offeredVersion = 0;
}

// Adds a part to the document that arrives. Requests the next one or applies the document.
void EntryProcess::receiveDocument(Link &link, const ConfigurationDocument &part)
{
    if (state_.config && part.version <= state_.config->version)
        return;
    if (part.totalBytes == 0) {
        applyDocument(part.version, part.document);
        return;
    }
    if (part.version > arrivingVersion_) {
        arrivingVersion_ = part.version;
        arrivingDocument_.clear();
    }
    if (part.version != arrivingVersion_ || part.offset != arrivingDocument_.size())
        return;
    arrivingDocument_ += part.document;
    if (arrivingDocument_.size() >= part.totalBytes) {
        applyDocument(part.version, std::exchange(arrivingDocument_, {}));
        return;
    }
    requestedVersion_ = part.version;
    requestedAt_ = RuntimeClock::now();
    link.send(ConfigurationRequest{part.version, arrivingDocument_.size(), true});
}

void EntryProcess::applyDocument(std::uint64_t version, const std::string &compressed)
{
    const auto text = decompressDocument(compressed);
    if (!text) {
        logEvent(Event::ConfigurationRefused,
                 {{"version", std::to_string(version)}, {"findings", InvalidDocumentFinding}});
        return;
    }
    DecodedConfiguration decoded = state_.dialect.decodeConfiguration(*text);
    if (!decoded.config) {
        logEvent(Event::ConfigurationRefused,
                 {{"version", std::to_string(version)}, {"findings", toText(decoded.findings)}});
        return;
    }
    setServices(state_.placement.table, *decoded.config, RuntimeClock::now());
    state_.config = std::make_shared<const ServiceConfiguration>(std::move(*decoded.config));
    std::erase_if(state_.retryBudgets, [this](const auto &item) {
        return findService(*state_.config, item.first) == nullptr;
    });
    nextConfigurationAt_ =
            RuntimeClock::now() + ConfigurationPausePerByte * static_cast<int>(text->size());
    logEvent(Event::ConfigurationApplied,
             {{"version", std::to_string(version)},
              {"routes", std::to_string(state_.config->routes.size())}});
}

LinkHello EntryProcess::makeHello() const
{
    LinkHello hello;
    hello.kind = NodeKind::Entry;
    hello.name = state_.settings.name;
    hello.domain = state_.settings.domain;
    hello.internalAddress = internalAddress_;
    hello.publicAddress = state_.settings.callerListenAddress;
    hello.processStartMs = processStartMs_;
    hello.isReady = isReady();
    hello.requestCount = state_.requestCount;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[id, at] : state_.lastProgressAt) {
        const Endpoint *endpoint = findEndpoint(state_.placement.table, id);
        if (endpoint && now - at < ProgressRetention)
            hello.progress.push_back(
                    {id, endpoint->report.startedAtMs,
                     static_cast<std::uint32_t>((now - at) / std::chrono::milliseconds(1))});
    }
    for (const auto &[id, at] : state_.stalledAt) {
        if (now - at < StallRetention)
            hello.stalledHeads.push_back(id);
    }
    for (const auto &[model, inProgress] : state_.activeRequestsByModel)
        hello.demandByModel[model] = estimateModelDemand(state_.placement, model, inProgress, now);
    hello.limitedHeads = findLimitedHeads(state_, now);
    for (const auto &[address, control] : controlLinks_.peers()) {
        for (const KnownNode &node : control.knownNodes) {
            if (!control.link || node.leadsInTerm <= hello.leaderTerm)
                continue;
            hello.leaderTerm = node.leadsInTerm;
            hello.leaderAddress = node.publicAddress;
        }
    }
    return hello;
}

void EntryProcess::scheduleEvidence()
{
    if (isEvidenceScheduled_)
        return;
    isEvidenceScheduled_ = true;
    evidenceTimer_.expires_after(EvidenceDelay);
    evidenceTimer_.async_wait([this](const boost::system::error_code &error) {
        isEvidenceScheduled_ = false;
        if (!error)
            sendEvidence();
    });
}

void EntryProcess::sendEvidence()
{
    evaluateEvidence(state_);
    state_.sendState();
}

void EntryProcess::updatePeerEntries()
{
    peerEntries_.clear();
    for (const auto &[address, control] : controlLinks_.peers()) {
        if (!control.link)
            continue;
        for (const KnownNode &node : control.knownNodes) {
            if (node.kind != NodeKind::Entry || node.name == state_.settings.name)
                continue;
            try {
                peerEntries_[node.name] = toEndpoint<udp>(node.internalAddress);
            } catch (const std::exception &error) {
                logEvent(Event::PeerMessageInvalid, {{"peer", node.name}, {"error", error.what()}});
            }
        }
    }
    state_.placement.entryCount = peerEntries_.size() + 1;
    state_.placement.peerLoadAge = digestInterval();
}

void EntryProcess::updateRoster(TimePoint now)
{
    std::size_t linkCount = 0;
    for (const auto &[address, control] : controlLinks_.peers()) {
        if (!control.link)
            continue;
        ++linkCount;
        for (const KnownNode &node : control.knownNodes) {
            if (node.kind == NodeKind::Entry)
                recordEntry(state_.roster, node.name, now);
        }
    }
    removeExpiredEntries(state_.roster, now);
    setEntries(state_.placement.limits, state_.roster);
    const std::size_t count = entryCount(state_.roster);
    if (count == loggedEntryCount_)
        return;
    logEvent(Event::RetryShareChanged,
             {{"entries", std::to_string(count)},
              {"entries_before", std::to_string(loggedEntryCount_)},
              {"connected", std::to_string(peerEntries_.size() + 1)},
              {"control_links", std::to_string(linkCount)},
              {"allowance", std::to_string(count == 0 ? 0
                                                      : state_.settings.retryBudget.allowance
                                                                / static_cast<double>(count))}});
    loggedEntryCount_ = count;
}

Duration EntryProcess::digestInterval() const
{
    return std::max<Duration>(MinDigestInterval,
                              DigestIntervalPerPeer * static_cast<int>(peerEntries_.size()));
}

void EntryProcess::sendDigests(TimePoint now)
{
    nextDigestAt_ = now + digestInterval();
    LoadDigest digest;
    addLimits(state_, digest, now);
    const bool hasLoads = !state_.placement.ownLoads.empty();
    const bool hasLimits =
            !digest.limits.empty() || !digest.neededEndpoints.empty() || !digest.grants.empty();
    if (!hasLoads && !hadLoads_ && !hasLimits)
        return;
    hadLoads_ = hasLoads;
    digest.entryName = state_.settings.name;
    digest.processStartMs = processStartMs_;
    digest.sequence = ++digestSequence_;
    for (const auto &[endpoint, load] : state_.placement.ownLoads)
        digest.loads.push_back({endpointHash(endpoint), static_cast<float>(load.requests),
                                static_cast<float>(load.pendingPromptTokens)});
    for (const LoadDigest &part : divide(digest)) {
        const std::string bytes = encodeLoadDigest(part);
        for (const auto &[name, endpoint] : peerEntries_) {
            boost::system::error_code ignored; // A lost digest is replaced by the next one.
            digestSocket_.send_to(asio::buffer(bytes), endpoint, 0, ignored);
        }
    }
}

void EntryProcess::receiveDigests()
{
    digestSocket_.async_wait(
            udp::socket::wait_read, [this](const boost::system::error_code &waitError) {
                if (waitError)
                    return;
                static std::array<char, MaxDatagramBytes> bytes;
                while (true) {
                    udp::endpoint sender;
                    boost::system::error_code failure;
                    const std::size_t size =
                            digestSocket_.receive_from(asio::buffer(bytes), sender, 0, failure);
                    if (failure)
                        break;
                    try {
                        applyDigest(decodeLoadDigest(std::string_view(bytes.data(), size)));
                    } catch (const std::exception &error) {
                        logEvent(Event::PeerMessageInvalid,
                                 {{"peer", sender.address().to_string()}, {"error", error.what()}});
                    }
                }
                receiveDigests();
            });
}

void EntryProcess::applyDigest(const LoadDigest &digest)
{
    if (!state_.roster.lastSeen.contains(digest.entryName))
        return; // Anyone can send digests, so only known entries take memory.
    PeerLoads &peer = state_.placement.peers[digest.entryName];
    const bool isNew =
            digest.processStartMs > peer.process
            || (digest.processStartMs == peer.process && digest.sequence > peer.sequence);
    const bool isNextPart = digest.processStartMs == peer.process
                            && digest.sequence == peer.sequence && digest.part == peer.nextPart;
    // After a lost part, the other ones of the digest are left out.
    if (!isNextPart && (!isNew || digest.part != 0))
        return;
    if (isNew) {
        peer.loads.clear();
        peer.neededEndpoints.clear();
    }
    peer.process = digest.processStartMs;
    peer.sequence = digest.sequence;
    peer.nextPart = digest.part + 1;
    peer.receivedAt = RuntimeClock::now();
    for (const LoadDigest::ReportedLoad &reported : digest.loads)
        peer.loads[reported.endpoint] = {reported.requests, reported.pendingPromptTokens};
    peer.neededEndpoints.insert(peer.neededEndpoints.end(), digest.neededEndpoints.begin(),
                                digest.neededEndpoints.end());
    applyLimits(state_, digest, peer.receivedAt);
}

bool EntryProcess::isReady() const
{
    return state_.config && !state_.stop;
}

asio::awaitable<ServerResponse> EntryProcess::handleMetricsRequest(ServerRequest request)
{
    ServerResponse response;
    if (request.head.target != MetricsPath) {
        response.status = 404;
        response.body = state_.dialect.encodeError("metrics are at /metrics");
        co_return response;
    }
    const TimePoint now = RuntimeClock::now();
    Metrics &metrics = state_.metrics;
    std::size_t usableEndpoints = 0;
    for (const auto &[id, endpoint] : state_.placement.table.endpoints)
        usableEndpoints +=
                isUsable(endpoint, state_.placement.options.heartbeatTimeout, now) ? 1 : 0;
    std::size_t openLinks = 0;
    for (const auto &[address, control] : controlLinks_.peers())
        openLinks += control.link ? 1 : 0;
    const auto set = [&metrics](const std::string &name, double value) {
        metrics.setGauge("trefoil_" + name, "", value);
    };
    set("active_requests", static_cast<double>(state_.activeRequests));
    set("sessions", static_cast<double>(state_.sessionSignals.size()));
    set("buffer_bytes", static_cast<double>(state_.ledger->budget().usedBytes));
    set("buffer_bytes_limit", static_cast<double>(state_.ledger->budget().maxBytes));
    set("memory_evictions_total", static_cast<double>(state_.ledger->evictedCount()));
    set("memory_refusals_total", static_cast<double>(state_.ledger->refusedCount()));
    set("connections_refused_total", static_cast<double>(state_.ledger->refusedConnectionCount()));
    set("idle_endpoint_connections", static_cast<double>(state_.connectionPool.idleCount()));
    set("entries", static_cast<double>(state_.placement.entryCount));
    set("control_links", static_cast<double>(openLinks));
    set("endpoints_usable", static_cast<double>(usableEndpoints));
    set("quarantined_part_sets", static_cast<double>(activeVerdictCount(state_.quarantine)));
    for (auto &[service, budget] : state_.retryBudgets) {
        const RetryBudgetUsage usage = retryBudgetUsage(budget, entryCount(state_.roster), now);
        metrics.setGauge("trefoil_retry_tokens", "service=\"" + service + "\"", usage.tokens);
        metrics.setGauge("trefoil_retry_token_limit", "service=\"" + service + "\"", usage.limit);
    }
    set("roster_entries", static_cast<double>(entryCount(state_.roster)));
    const auto &limits = state_.placement.limits.byEndpoint;
    set("held_off_endpoints", static_cast<double>(state_.placement.holdOffs.byEndpoint.size()));
    set("departures_known",
        static_cast<double>(state_.placement.table.departures.byEndpoint.size()));
    set("limited_endpoints",
        static_cast<double>(std::count_if(limits.begin(), limits.end(), [](const auto &item) {
            return item.second.perSecond.has_value();
        })));
    set("configuration_version", state_.config ? static_cast<double>(state_.config->version) : 0);
    response.contentType = "text/plain; version=0.0.4";
    response.body = metrics.prometheusText();
    co_return response;
}

asio::awaitable<ServerResponse> EntryProcess::handleReadinessRequest(ServerRequest request)
{
    ServerResponse response;
    const SystemCall call = state_.dialect.parseCall(request.head.method, request.head.target);
    if (call.kind != CallKind::Readiness) {
        response.status = 404;
        response.body = state_.dialect.encodeError("no such call");
    } else if (!isReady()) {
        response.status = 503;
        response.body = state_.dialect.encodeError(state_.stop ? "the entry stops"
                                                               : "no configuration is known yet");
    }
    co_return response;
}

void EntryProcess::finishStopWhenDue()
{
    if (!onStopped_)
        return;
    const TimePoint now = RuntimeClock::now();
    const bool isIdle = state_.activeRequests == 0 && now - state_.stop->startedAt > MinStopTime;
    const bool isOverdue = now > endOfStop(*state_.stop);
    if (!isIdle && !isOverdue)
        return;
    if (!isIdle)
        logEvent(Event::StopOverdue, {{"lost", std::to_string(state_.activeRequests)}});
    logEvent(Event::Stopped);
    flushStructuredLog();
    std::exchange(onStopped_, nullptr)();
}

} // namespace Trefoil
