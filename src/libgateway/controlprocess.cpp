#include "libgateway/controlprocess.h"

#include "libgateway/documentpacking.h"
#include "libgateway/messageparts.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"
#include "libruntime/structuredlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(50);
constexpr auto PlanInterval = std::chrono::milliseconds(100);

// At its first start, a system counts as unused for this long unless an entry receives a request.
constexpr auto FirstStartPeriod = std::chrono::seconds(20);

constexpr auto MinPlanInterval = std::chrono::milliseconds(25);

constexpr auto HelloInterval = std::chrono::milliseconds(500);
constexpr auto LinkTimeout = std::chrono::milliseconds(2000);

// A node that is silent for longer is left out of the topology and the entry list.
constexpr auto NodeTimeout = std::chrono::milliseconds(1500);

constexpr auto PublishTimeout = std::chrono::milliseconds(3000);
constexpr auto StopDelay = std::chrono::milliseconds(300);
constexpr auto MinSeatChangeInterval = std::chrono::milliseconds(400);
constexpr std::size_t LinkInputCapacity = 1024 * 1024;

// Size of the first message of a node, which says who it is.
constexpr std::size_t FirstMessageCapacity = MaxLinkMessageBytes;

// Larger names and addresses in a hello come from another program.
constexpr std::size_t MaxHelloTextBytes = 1024;

constexpr std::size_t DocumentPartBytes = MaxLinkMessageBytes / 2;

// Rows that were received from a node longer ago may have expired.
constexpr auto MaxReceivedAge = std::chrono::seconds(60);

// Up to this number, all endpoints send their heartbeats to the leader. With more, the heartbeats
// stay spread over the control VMs.
constexpr std::size_t MaxEndpointsReportingToLeader = 400;

constexpr std::size_t MaxListedEntries = 64;
constexpr std::size_t MaxConfigurationBytes = 8 * 1024 * 1024;

KnownNode toKnownNode(const LinkHello &hello)
{
    KnownNode node;
    node.kind = hello.kind;
    node.name = hello.name;
    node.domain = hello.domain;
    node.internalAddress = hello.internalAddress;
    node.publicAddress = hello.publicAddress;
    node.processStartMs = hello.processStartMs;
    node.isReady = hello.isReady;
    return node;
}

} // namespace

ControlProcess::ControlProcess(asio::io_context &context, GatewaySettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , dialect_(*findDialect(settings_.dialect))
    , internalAddress_(linkAddress(settings_))
    , processStartMs_(wallTimeMs())
    , ledger_(makeMemoryLedger(settings_))
    , tickTimer_(context)
    , controlLinks_(
              context, internalAddress_, LinkInputCapacity, [this] { return makeHello(); },
              [this](const std::string & /*address*/, Link &link, LinkMessage &&message) {
                  handleLinkMessage(link, std::move(message));
              },
              linkLimits(ledger_))
    , reports_(context, dialect_, processStartMs_, makeReportHandlers())
    , groups_(context, dialect_, reports_, makeGroupHandlers(), {ledger_})
    , rng_(std::random_device{}())
{}

ControlProcess::~ControlProcess() = default;

EndpointReports::Handlers ControlProcess::makeReportHandlers()
{
    EndpointReports::Handlers handlers;
    handlers.refreshConfiguration = [this] { currentConfiguration(); };
    handlers.reportAddress = [this] { return reportAddress(); };
    handlers.propose = [this](RecordDepartures command, auto onDone) {
        return seat_->isActingLeader() && seat_->propose(std::move(command), std::move(onDone));
    };
    handlers.broadcast = [this](const LinkMessage &message) { broadcast(message); };
    handlers.onStateChanged = [this] {
        for (const auto &[pointer, link] : acceptedLinks_)
            link->notifyState();
    };
    handlers.onChanged = [this] { nextPlanAt_ = TimePoint{}; };
    handlers.onChangeSent = [this] { runLeaderTasks(); };
    return handlers;
}

GroupLeader::Handlers ControlProcess::makeGroupHandlers()
{
    GroupLeader::Handlers handlers;
    handlers.propose = [this](RecordGroups command, auto onDone) {
        return seat_->isActingLeader() && seat_->propose(std::move(command), std::move(onDone));
    };
    handlers.onChanged = [this] { nextPlanAt_ = TimePoint{}; };
    handlers.onRecorded = [this] {
        nextPlanAt_ = lastPlanAt_ = TimePoint{};
        asio::post(context_, [this] { runLeaderTasks(); });
    };
    return handlers;
}

void ControlProcess::start()
{
    ControlSeatKeeper::Handlers handlers;
    handlers.sendMessage = [this](RaftMessage message) { sendRaftMessage(std::move(message)); };
    handlers.onChanged = [this] { handleSeatChange(); };
    handlers.onDepartures = [this](std::span<const DepartedEndpoint> departures, bool isCommitted) {
        reports_.applyLog(departures, isCommitted);
    };
    seat_ = std::make_unique<ControlSeatKeeper>(context_, settings_, std::move(handlers));
    linkListener_ = std::make_unique<ChannelListener>(
            context_, internalAddress_, FirstMessageCapacity,
            [this](ChannelPointer channel) { acceptLink(std::move(channel)); },
            linkLimits(ledger_));
    const auto serve = [this](const std::string &address, auto handler, ServerLimits limits) {
        return serveHttp(
                context_, address,
                [this, handler](ServerRequest request) {
                    return (this->*handler)(std::move(request));
                },
                {ledger_}, std::move(limits));
    };
    ServerLimits controlLimits;
    controlLimits.maxBodyBytesOf = [this](const HttpHead &head) {
        const SystemCall call = dialect_.parseCall(head.method, head.target);
        return call.kind == CallKind::PublishConfiguration ? MaxConfigurationBytes : 0;
    };
    controlListener_ = serve(settings_.controlListenAddress, &ControlProcess::handleControlRequest,
                             controlLimits);
    if (!settings_.entryListListenAddress.empty())
        entryListListener_ = serve(settings_.entryListListenAddress,
                                   &ControlProcess::handleEntryListRequest, ServerLimits{});
    if (!settings_.metricsListenAddress.empty())
        metricsListener_ = serve(settings_.metricsListenAddress,
                                 &ControlProcess::handleMetricsRequest, ServerLimits{});
    startedAt_ = RuntimeClock::now();
    reload(settings_);
    tickTimer_.expires_at(startedAt_);
    tick();
    logEvent(Event::Started, {{"role", "control"}, {"address", internalAddress_}});
}

void ControlProcess::stop(std::function<void()> done)
{
    isStopping_ = true;
    logEvent(Event::Stopping);
    auto timer = std::make_shared<RuntimeTimer>(context_, RuntimeClock::now() + StopDelay);
    timer->async_wait([timer, done = std::move(done)](const boost::system::error_code &) {
        logEvent(Event::Stopped);
        flushStructuredLog();
        done();
    });
}

void ControlProcess::reload(const GatewaySettings &settings)
{
    settings_.seeds = settings.seeds;
    controlLinks_.setSeeds(seedLinkAddresses(settings_));
}

void ControlProcess::tick()
{
    const TimePoint now = RuntimeClock::now();
    compensatePause(reports_.table(), std::max(now - tickTimer_.expiry(), Duration::zero()), now);
    seat_->tick();
    controlLinks_.maintainLinks();
    if (now >= nextHelloAt_) {
        nextHelloAt_ = now + HelloInterval;
        controlLinks_.broadcastHello();
        broadcastTopology();
        removeExpiredEntries(roster_, now);
        std::erase_if(receivedStates_,
                      [now](const auto &item) { return now - item.second.at > MaxReceivedAge; });
        flushStructuredLog();
    }
    reports_.tick(now);
    runLeaderTasks();
    tickTimer_.expires_at(now + TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void ControlProcess::acceptLink(ChannelPointer channel)
{
    auto link = std::make_shared<Link>(
            std::move(channel), LinkTimeout,
            [this](Link &sender, LinkMessage &&message) {
                handleAcceptedMessage(sender, std::move(message));
            },
            [this](Link &ended, const std::string &reason) { handleLinkEnd(ended, reason); });
    acceptedLinks_[link.get()] = link;
    link->start();
}

// Tells a node that has connected what this control VM knows.
void ControlProcess::greet(Link &link)
{
    link.protect(LinkInputCapacity);
    for (const Topology &part : divide(makeTopology()))
        link.send(part);
    link.setStateSource([this, reader = reports_.makeReader(link.peerHello.received)]() mutable {
        return reports_.nextFrame(reader);
    });
}

// Anybody may connect to this control VM, so a node first says who it is. The peers of the links
// that this control VM opened are known by their addresses and send no hello there.
void ControlProcess::handleAcceptedMessage(Link &link, LinkMessage &&message)
{
    if (!link.hasHello && !std::holds_alternative<LinkHello>(message))
        return;
    const auto *update = std::get_if<EndpointUpdate>(&message);
    if (update && update->position.process != 0)
        receivedStates_[link.peerHello.name] = {update->position, RuntimeClock::now()};
    handleLinkMessage(link, std::move(message));
}

StatePosition ControlProcess::receivedPosition(const LinkHello &hello) const
{
    const auto found = receivedStates_.find(hello.name);
    return found == receivedStates_.end() ? StatePosition{} : found->second.position;
}

void ControlProcess::recordHello(Link &link, LinkHello &&hello)
{
    for (const std::string *text : {&hello.name, &hello.domain, &hello.internalAddress,
                                    &hello.publicAddress, &hello.leaderAddress}) {
        if (text->size() > MaxHelloTextBytes) {
            logEvent(Event::PeerMessageInvalid, {{"error", "a text in a hello is too long"}});
            return;
        }
    }
    if (hello.isContinuation && link.hasHello)
        mergeHello(link.peerHello, std::move(hello));
    else
        link.peerHello = std::move(hello);
    if (!std::exchange(link.hasHello, true))
        greet(link);
    hasSeenRequests_ = hasSeenRequests_ || link.peerHello.requestCount > 0;
    applyEntryHello(link.peerHello);
    if (link.peerHello.kind == NodeKind::Control) {
        controlLinks_.addPeerWithPublicAddress(link.peerHello.internalAddress,
                                               link.peerHello.publicAddress);
    }
    // The reply keeps the link alive, because the peer ends a link on which it receives nothing
    // for the link timeout.
    link.send(ConfigurationOffer{seat_->services().version, receivedPosition(link.peerHello)});
}

void ControlProcess::sendDocument(Link &link, const ConfigurationRequest &request)
{
    const PublishedServices &services = seat_->services();
    if (services.version == 0)
        return;
    ConfigurationDocument document;
    document.version = services.version;
    if (!request.takesParts) {
        document.document = services.document;
        link.send(document);
        return;
    }
    document.totalBytes = services.document.size();
    if (request.version == services.version && request.offset < document.totalBytes)
        document.offset = request.offset;
    document.document = services.document.substr(document.offset, DocumentPartBytes);
    link.send(document);
}

void ControlProcess::handleLinkMessage(Link &link, LinkMessage &&message)
{
    if (auto *hello = std::get_if<LinkHello>(&message)) {
        recordHello(link, std::move(*hello));
    } else if (auto *raft = std::get_if<RaftEnvelope>(&message)) {
        for (const RaftMessage &raftMessage : raft->messages)
            seat_->receive(raftMessage);
    } else if (auto *update = std::get_if<EndpointUpdate>(&message)) {
        reports_.applyUpdate(*update);
    } else if (auto *topology = std::get_if<Topology>(&message)) {
        recordEntries(roster_, *topology, RuntimeClock::now());
        for (const KnownNode &node : topology->nodes) {
            if (node.kind != NodeKind::Control)
                continue;
            controlLinks_.addPeerWithPublicAddress(node.internalAddress, node.publicAddress);
        }
    } else if (const auto *request = std::get_if<ConfigurationRequest>(&message)) {
        sendDocument(link, *request);
    }
}

// Records what the hello of an entry reports: progress and stalls of endpoints, and the latest
// leader that the entry knows of.
void ControlProcess::applyEntryHello(const LinkHello &hello)
{
    const TimePoint now = RuntimeClock::now();
    GroupPlanner *planner = groups_.planner();
    for (const LinkHello::EndpointProgress &progress : hello.progress) {
        const Duration age = std::chrono::milliseconds(progress.ageMs);
        recordGroupProgress(reports_.table(), progress.endpoint, progress.startedAtMs, age, now);
        if (planner)
            recordProgress(*planner, progress.endpoint, now - age);
    }
    if (planner) {
        for (const EndpointId &head : hello.stalledHeads)
            recordStall(*planner, head, now);
        if (!hello.stalledHeads.empty())
            nextPlanAt_ = TimePoint{};
    }
    if (hello.leaderTerm > reportedLeaderTerm_) {
        reportedLeaderTerm_ = hello.leaderTerm;
        reportedLeaderAddress_ = hello.leaderAddress;
    }
}

std::string ControlProcess::reportAddress() const
{
    if (seat_->isActingLeader() || endpointCount(reports_.table()) > MaxEndpointsReportingToLeader)
        return {};
    if (reportedLeaderTerm_ >= seat_->term()
        && reportedLeaderAddress_ != settings_.controlListenAddress)
        return reportedLeaderAddress_;
    return {};
}

void ControlProcess::handleLinkEnd(Link &link, const std::string &reason)
{
    if (link.hasHello)
        logEvent(Event::LinkLost, {{"peer", link.peerHello.name}, {"reason", reason}});
    acceptedLinks_.erase(&link);
}

LinkHello ControlProcess::makeHello() const
{
    LinkHello hello;
    hello.kind = NodeKind::Control;
    hello.name = settings_.name;
    hello.domain = settings_.domain;
    hello.internalAddress = internalAddress_;
    hello.publicAddress = settings_.controlListenAddress;
    hello.processStartMs = processStartMs_;
    hello.seat = seat_->id();
    hello.isReady = !isStopping_ && !seat_->isFailed();
    return hello;
}

Topology ControlProcess::makeTopology() const
{
    Topology topology;
    topology.nodes.push_back(toKnownNode(makeHello()));
    topology.nodes.back().leadsInTerm = seat_->isActingLeader() ? seat_->term() : 0;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[pointer, link] : acceptedLinks_) {
        if (link->hasHello && now - link->lastReceivedAt < NodeTimeout)
            topology.nodes.push_back(toKnownNode(link->peerHello));
    }
    std::set<std::string> connected;
    for (const KnownNode &node : topology.nodes)
        connected.insert(node.name);
    for (const auto &[name, seenAt] : roster_.lastSeen) {
        const auto ageMs =
                static_cast<std::uint32_t>((now - seenAt) / std::chrono::milliseconds(1));
        if (!connected.contains(name))
            topology.rememberedEntries.push_back({name, ageMs});
    }
    return topology;
}

void ControlProcess::broadcastTopology()
{
    Topology current = makeTopology();
    recordEntries(roster_, current, RuntimeClock::now());
    if (current.nodes == lastBroadcastTopology_.nodes)
        return;
    lastBroadcastTopology_ = current;
    for (const Topology &part : divide(current))
        broadcast(part);
}

void ControlProcess::broadcast(const LinkMessage &message)
{
    const auto links = acceptedLinks_; // A link that fails removes itself from the map.
    const std::string frame = encodeLinkFrame(message);
    for (const auto &[pointer, link] : links) {
        if (link->hasHello)
            link->sendFrame(frame);
    }
}

void ControlProcess::sendRaftMessage(RaftMessage message)
{
    for (const Seat &seat : seat_->seats()) {
        if (seat.id != message.to)
            continue;
        const ControlLinks::Peer *peer = controlLinks_.findPeer(seat.entry);
        if (!peer)
            controlLinks_.addPeer(seat.entry, false);
        else if (peer->link)
            peer->link->send(RaftEnvelope{{std::move(message)}});
        return;
    }
    // The recipient of a vote or a reply may be missing from the seat set of this VM. Its link is
    // then found by the seat id in the hello of the peer.
    for (auto &[address, peer] : controlLinks_.peers()) {
        if (peer.link && peer.link->hasHello && peer.link->peerHello.seat == message.to) {
            peer.link->send(RaftEnvelope{{std::move(message)}});
            return;
        }
    }
    for (auto &[pointer, link] : acceptedLinks_) {
        const bool isTarget = link->hasHello && link->peerHello.seat == message.to;
        if (!isTarget)
            continue;
        const ControlLinks::Peer *peer = controlLinks_.findPeer(link->peerHello.internalAddress);
        if (peer && peer->link)
            peer->link->send(RaftEnvelope{{std::move(message)}});
        return;
    }
}

void ControlProcess::handleSeatChange()
{
    if (!seat_)
        return;
    const std::uint64_t version = seat_->services().version;
    if (version <= offeredVersion_)
        return;
    offeredVersion_ = version;
    logEvent(Event::ConfigurationApplied, {{"version", std::to_string(version)}});
    broadcast(ConfigurationOffer{version, {}});
}

ServerResponse ControlProcess::makeErrorResponse(std::uint32_t status,
                                                 const std::string &text) const
{
    ServerResponse response;
    response.status = status;
    response.body = dialect_.encodeError(text);
    return response;
}

asio::awaitable<ServerResponse> ControlProcess::handleControlRequest(ServerRequest request)
{
    const SystemCall call = dialect_.parseCall(request.head.method, request.head.target);
    switch (call.kind) {
    case CallKind::Heartbeat: {
        ServerResponse response =
                co_await reports_.handleHeartbeat(call.endpoint, std::move(request.body));
        co_return response;
    }
    case CallKind::Departure: {
        ServerResponse response =
                co_await reports_.handleDeparture(call.endpoint, std::move(request.body));
        co_return response;
    }
    case CallKind::ReadConfiguration:
        co_return readConfiguration(request);
    case CallKind::PublishConfiguration: {
        ServerResponse response = co_await publishConfiguration(std::move(request));
        co_return response;
    }
    case CallKind::EntryList:
        co_return makeEntryListResponse(call);
    default:
        break;
    }
    co_return makeErrorResponse(404, "no such call");
}

asio::awaitable<ServerResponse> ControlProcess::handleMetricsRequest(ServerRequest request)
{
    if (request.head.target != MetricsPath)
        co_return makeErrorResponse(404, "metrics are at /metrics");
    co_return makeMetricsResponse();
}

asio::awaitable<ServerResponse> ControlProcess::handleEntryListRequest(ServerRequest request)
{
    const SystemCall call = dialect_.parseCall(request.head.method, request.head.target);
    if (call.kind != CallKind::EntryList)
        co_return makeErrorResponse(404, "no such call");
    co_return makeEntryListResponse(call);
}

ServerResponse ControlProcess::makeEntryListResponse(const SystemCall & /*call*/)
{
    std::vector<std::string> addresses;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[pointer, link] : acceptedLinks_) {
        const bool isEligible = link->hasHello && link->peerHello.kind == NodeKind::Entry
                                && link->peerHello.isReady
                                && now - link->lastReceivedAt < NodeTimeout;
        if (isEligible)
            addresses.push_back(link->peerHello.publicAddress);
    }
    ++entryListRequests_;
    if (addresses.empty())
        return makeErrorResponse(503, "no entry is ready");
    std::shuffle(addresses.begin(), addresses.end(), rng_);
    addresses.resize(std::min(addresses.size(), MaxListedEntries));
    ServerResponse response;
    response.body = dialect_.encodeEntryList(addresses, settings_.entryListLifetime);
    return response;
}

ServerResponse ControlProcess::redirectToLeader(const ServerRequest &request)
{
    const SeatId leader = seat_->leader();
    for (const Seat &seat : seat_->seats()) {
        if (seat.id != leader || leader == seat_->id())
            continue;
        const ControlLinks::Peer *peer = controlLinks_.findPeer(seat.entry);
        const bool isReachable = peer && peer->link && !peer->publicAddress.empty();
        if (!isReachable)
            break;
        ServerResponse response;
        response.status = 307;
        response.fields.push_back(
                {"Location", "http://" + peer->publicAddress + request.head.target});
        return response;
    }
    return makeErrorResponse(503, "no leader is known");
}

ServerResponse ControlProcess::readConfiguration(const ServerRequest &request)
{
    if (!seat_->isActingLeader())
        return redirectToLeader(request);
    const PublishedServices &services = seat_->services();
    if (services.version == 0)
        return makeErrorResponse(503, "no configuration has been published");
    auto document = decompressDocument(services.document);
    if (!document) {
        logEvent(Event::ConfigurationRefused, {{"version", std::to_string(services.version)},
                                               {"findings", InvalidDocumentFinding}});
        return makeErrorResponse(503, InvalidDocumentFinding);
    }
    ServerResponse response;
    response.body = std::move(*document);
    return response;
}

asio::awaitable<ServerResponse> ControlProcess::publishConfiguration(ServerRequest request)
{
    const DecodedConfiguration decoded = dialect_.decodeConfiguration(request.body);
    if (!decoded.config) {
        const std::string findings = toText(decoded.findings);
        logEvent(Event::ConfigurationRefused, {{"findings", findings}});
        co_return makeErrorResponse(400, findings);
    }
    if (!seat_->isActingLeader())
        co_return redirectToLeader(request);
    const std::uint64_t version = decoded.config->version;
    if (version <= seat_->services().version) {
        logEvent(Event::ConfigurationPublished,
                 {{"version", std::to_string(version)},
                  {"current", std::to_string(seat_->services().version)},
                  {"outcome", "unchanged"}});
        co_return ServerResponse{};
    }
    struct PendingPublication
    {
        explicit PendingPublication(const asio::any_io_executor &executor)
            : signal(executor)
        {}
        AsyncCondition signal;
        bool isDone = false;
        bool isApplied = false;
    };
    auto pending = std::make_shared<PendingPublication>(context_.get_executor());
    const bool isProposed = seat_->propose(PublishServices{version, compressDocument(request.body)},
                                           [pending](bool isApplied) {
                                               pending->isDone = true;
                                               pending->isApplied = isApplied;
                                               pending->signal.notify();
                                           });
    const TimePoint deadline = RuntimeClock::now() + PublishTimeout;
    while (isProposed && !pending->isDone && RuntimeClock::now() < deadline)
        co_await pending->signal.wait(deadline);
    const bool isAccepted = pending->isApplied;
    logEvent(Event::ConfigurationPublished,
             {{"version", std::to_string(version)},
              {"outcome", isAccepted ? "accepted" : "not confirmed"}});
    if (!isAccepted)
        co_return makeErrorResponse(503, "the configuration could not be confirmed");
    co_return ServerResponse{};
}

ServerResponse ControlProcess::makeMetricsResponse() const
{
    std::string text;
    const auto gauge = [&text](const std::string &name, double value) {
        text += "trefoil_" + name + " " + std::to_string(value) + "\n";
    };
    std::size_t usableEndpoints = 0;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[id, endpoint] : reports_.table().endpoints)
        usableEndpoints += isUsable(endpoint, lossTimeout(), now) ? 1 : 0;
    const DepartureTable &departures = reports_.table().departures;
    std::map<GroupState, int> groupsByStage;
    std::size_t groupedVms = 0;
    if (const GroupPlanner *planner = groups_.planner()) {
        for (const auto &[name, group] : planner->groups) {
            ++groupsByStage[group.state];
            groupedVms += group.members.size();
        }
    }
    gauge("configuration_version", static_cast<double>(seat_->services().version));
    gauge("is_leader", seat_->isActingLeader() ? 1 : 0);
    gauge("term", static_cast<double>(seat_->term()));
    gauge("seats", static_cast<double>(seat_->seats().size()));
    gauge("buffer_bytes", static_cast<double>(ledger_->budget().usedBytes));
    gauge("buffer_bytes_limit", static_cast<double>(ledger_->budget().maxBytes));
    gauge("memory_evictions_total", static_cast<double>(ledger_->evictedCount()));
    gauge("memory_refusals_total", static_cast<double>(ledger_->refusedCount()));
    gauge("connections_refused_total", static_cast<double>(ledger_->refusedConnectionCount()));
    gauge("links_accepted", static_cast<double>(acceptedLinks_.size()));
    gauge("endpoints_known", static_cast<double>(reports_.table().endpoints.size()));
    gauge("endpoints_unconfigured", static_cast<double>(reports_.table().unconfigured.size()));
    gauge("endpoints_usable", static_cast<double>(usableEndpoints));
    gauge("departures_known", static_cast<double>(departures.byEndpoint.size()));
    gauge("departures_not_committed", static_cast<double>(departures.notDurable.size()));
    gauge("vms_in_groups", static_cast<double>(groupedVms));
    gauge("groups_inherited", groupsByStage[GroupState::Inherited]);
    gauge("groups_forming", groupsByStage[GroupState::Forming]);
    gauge("groups_opening", groupsByStage[GroupState::Opening]);
    gauge("groups_open", groupsByStage[GroupState::Open]);
    gauge("groups_closing", groupsByStage[GroupState::Closing]);
    gauge("quarantined_part_sets", static_cast<double>(activeVerdictCount(reports_.quarantine())));
    gauge("orders_sent_total", static_cast<double>(groups_.ordersSent()));
    gauge("orders_unanswered_total", static_cast<double>(groups_.ordersUnanswered()));
    gauge("entry_lists_total", static_cast<double>(entryListRequests_));
    ServerResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(text);
    return response;
}

Duration ControlProcess::lossTimeout() const
{
    return settings_.heartbeatInterval * 5 / 2;
}

const ServiceConfiguration *ControlProcess::currentConfiguration()
{
    const PublishedServices &services = seat_->services();
    if (services.version != decodedVersion_) {
        decodedVersion_ = services.version;
        const auto document = decompressDocument(services.document);
        decodedConfiguration_.reset();
        if (document)
            decodedConfiguration_ = dialect_.decodeConfiguration(*document).config;
        else
            logEvent(Event::ConfigurationRefused, {{"version", std::to_string(services.version)},
                                                   {"findings", InvalidDocumentFinding}});
        if (decodedConfiguration_)
            reports_.applyServices(*decodedConfiguration_, RuntimeClock::now());
    }
    return decodedConfiguration_ ? &*decodedConfiguration_ : nullptr;
}

void ControlProcess::runLeaderTasks()
{
    const TimePoint now = RuntimeClock::now();
    const bool isLeader = seat_->isActingLeader();
    if (isLeader != wasLeader_) {
        wasLeader_ = isLeader;
        logEvent(isLeader ? Event::LeaderElected : Event::LeaderLost,
                 {{"term", std::to_string(seat_->term())}});
        if (isLeader) {
            GroupPlannerOptions options;
            options.lossTimeout = lossTimeout();
            options.stalledLossTimeout = settings_.heartbeatInterval * 11 / 8;
            options.reportGatheringTime = settings_.heartbeatInterval * 3 / 2;
            groups_.lead(options, seat_->term(), seat_->groups(), now);
        }
    }
    if (!isLeader || now < std::max(nextPlanAt_, lastPlanAt_ + MinPlanInterval))
        return;
    nextPlanAt_ = now + PlanInterval;
    lastPlanAt_ = now;
    updateSeats(now);
    const ServiceConfiguration *config = currentConfiguration();
    if (!config)
        return;
    // Loading models is cheap only while a system that has been started for the first time has not
    // yet received a request.
    const bool mayBeUnused = settings_.isFirstStart && now - startedAt_ < FirstStartPeriod;
    GroupPlanner &planner = *groups_.planner();
    planner.hasTraffic = hasSeenRequests_ || !mayBeUnused;
    planner.demandByModel.clear();
    planner.limitedSlotsByHead.clear();
    for (const auto &[pointer, link] : acceptedLinks_) {
        for (const auto &[model, count] : link->peerHello.demandByModel)
            planner.demandByModel[model] += count;
        for (const LinkHello::LimitedHead &head : link->peerHello.limitedHeads) {
            double &slots = planner.limitedSlotsByHead[head.endpoint];
            slots = std::max(slots, head.slots);
        }
    }
    groups_.plan(*config, now);
}

void ControlProcess::updateSeats(TimePoint now)
{
    std::vector<SeatCandidate> candidates;
    candidates.push_back({seat_->id(), internalAddress_, settings_.domain});
    for (const auto &[pointer, link] : acceptedLinks_) {
        const LinkHello &hello = link->peerHello;
        if (link->hasHello && hello.kind == NodeKind::Control)
            candidates.push_back(
                    {hello.isReady ? hello.seat : NoSeat, hello.internalAddress, hello.domain});
    }
    SeatPlanOptions options;
    options.seatCount = 2 * settings_.toleratedLosses + 1;
    const SeatSet current = seat_->seats();
    const auto contacts = seat_->contacts();
    auto next = planSeats(current, seat_->id(), contacts, candidates, options, now);
    if (!next || now < nextSeatChangeAt_)
        return;
    nextSeatChangeAt_ = now + MinSeatChangeInterval;
    std::string names;
    for (const Seat &seat : *next)
        names += (names.empty() ? "" : ",") + seat.entry + (seat.isVoter ? "" : "(learner)");
    logEvent(Event::SeatsChanged, {{"seats", names}});
    seat_->changeSeats(std::move(*next));
}

} // namespace Trefoil
