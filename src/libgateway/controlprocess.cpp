#include "libgateway/controlprocess.h"

#include "libgateway/documentpacking.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"
#include "libruntime/structuredlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(50);
constexpr auto PlanInterval = std::chrono::milliseconds(100);
constexpr auto FirstStartTime = std::chrono::seconds(20);
constexpr auto LeastPlanInterval = std::chrono::milliseconds(25);
constexpr auto NewsDelay = std::chrono::milliseconds(5); // gathers changes into one message
constexpr auto SignInterval = std::chrono::milliseconds(500);
constexpr auto HelloInterval = std::chrono::milliseconds(500);
constexpr auto LinkTimeout = std::chrono::milliseconds(2000);
constexpr auto EntrySilence = std::chrono::milliseconds(1500); // then it leaves the entry list
constexpr auto EndpointRetention = std::chrono::minutes(5);
constexpr auto OrderTimeout = std::chrono::milliseconds(1000);
constexpr auto PublishTimeout = std::chrono::milliseconds(3000);
constexpr auto StopDelay = std::chrono::milliseconds(300);
constexpr auto SeatChangeInterval = std::chrono::milliseconds(400);
constexpr std::size_t ChannelCapacity = 1024 * 1024;
constexpr std::size_t MaxEndpointsOfOneReceiver = 400; // beyond it reports stay spread
constexpr std::size_t MaxListedEntries = 64;

std::uint32_t toMs(Duration duration)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 0));
}

KnownNode toKnownNode(const LinkHello &hello)
{
    KnownNode node;
    node.kind = hello.kind;
    node.name = hello.name;
    node.domain = hello.domain;
    node.internalAddress = hello.internalAddress;
    node.publicAddress = hello.publicAddress;
    node.process = hello.process;
    node.isReady = hello.isReady;
    return node;
}

std::string joinTexts(std::span<const std::string> texts)
{
    std::string joined;
    for (const std::string &text : texts)
        joined += (joined.empty() ? "" : ",") + text;
    return joined;
}

OrderOutcome outcomeOf(const HttpAnswer &answer)
{
    switch (answer.status) {
    case 200:
    case 202:
        return OrderOutcome::Accepted;
    case 400:
    case 409:
        return OrderOutcome::WrongState;
    case 412:
        return OrderOutcome::Outdated;
    case 421:
        return OrderOutcome::WrongEndpoint;
    default:
        return OrderOutcome::Unanswered;
    }
}

} // namespace

ControlProcess::ControlProcess(asio::io_context &context, GatewaySettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , dialect_(*findDialect(settings_.dialect))
    , internalAddress_(linkAddress(settings_))
    , process_(wallTimeMs())
    , tickTimer_(context)
    , newsTimer_(context)
    , peers_(
              context, internalAddress_, ChannelCapacity, [this] { return ownHello(); },
              [this](const std::string & /*address*/, Link &link, LinkMessage &&message) {
                  linkMessage(link, std::move(message));
              })
    , rng_(std::random_device{}())
{}

ControlProcess::~ControlProcess() = default;

void ControlProcess::start()
{
    ControlSeatKeeper::Handlers handlers;
    handlers.send = [this](RaftMessage message) { sendRaft(std::move(message)); };
    handlers.changed = [this] { seatChanged(); };
    seat_ = std::make_unique<ControlSeatKeeper>(context_, settings_, std::move(handlers));
    linkListener_ = std::make_unique<ChannelListener>(
            context_, internalAddress_, ChannelCapacity,
            [this](ChannelPointer channel) { accepted(std::move(channel)); });
    const auto serve = [this](const std::string &address, auto handler) {
        return serveHttp(context_, address, [this, handler](ServerRequest request) {
            return (this->*handler)(std::move(request));
        });
    };
    controlListener_ = serve(settings_.controlListen, &ControlProcess::handleControl);
    if (!settings_.entryListListen.empty())
        entryListListener_ = serve(settings_.entryListListen, &ControlProcess::handleEntryList);
    if (!settings_.metricsListen.empty())
        metricsListener_ = serve(settings_.metricsListen, &ControlProcess::handleMetrics);
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
    peers_.setSeeds(seedLinkAddresses(settings_));
}

void ControlProcess::tick()
{
    const TimePoint now = RuntimeClock::now();
    compensatePause(table_, std::max(now - tickTimer_.expiry(), Duration::zero()), now);
    seat_->tick();
    peers_.connect();
    if (now >= nextHello_) {
        nextHello_ = now + HelloInterval;
        peers_.sendHello();
        broadcastTopology();
        removeExpiredEndpoints(table_, EndpointRetention, now);
        flushStructuredLog();
    }
    if (now >= nextSigns_) {
        nextSigns_ = now + SignInterval;
        flushNews();
    }
    lead();
    tickTimer_.expires_at(now + TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

// ---- Links

void ControlProcess::accepted(ChannelPointer channel)
{
    auto link = std::make_shared<Link>(
            std::move(channel), LinkTimeout,
            [this](Link &from, LinkMessage &&message) { linkMessage(from, std::move(message)); },
            [this](Link &from, const std::string &reason) { linkEnded(from, reason); });
    accepted_[link.get()] = link;
    link->start();
    link->send(topology());
    link->send(wholeTable());
    link->send(ConfigurationOffer{seat_->services().version});
}

void ControlProcess::linkMessage(Link &link, LinkMessage &&message)
{
    if (auto *hello = std::get_if<LinkHello>(&message)) {
        link.hello = std::move(*hello);
        link.hasHello = true;
        hasTraffic_ = hasTraffic_ || link.hello.requests > 0;
        takeEntryFacts(link.hello);
        if (link.hello.kind == NodeKind::Control) {
            peers_.learnPublic(link.hello.internalAddress, link.hello.publicAddress);
        }
        // The answer keeps the link alive in the other direction.
        link.send(ConfigurationOffer{seat_->services().version});
    } else if (auto *raft = std::get_if<RaftEnvelope>(&message)) {
        for (const RaftMessage &item : raft->messages)
            seat_->receive(item);
    } else if (auto *news = std::get_if<EndpointNews>(&message)) {
        takeNews(*news);
    } else if (auto *known = std::get_if<Topology>(&message)) {
        for (const KnownNode &node : known->nodes) {
            if (node.kind != NodeKind::Control)
                continue;
            peers_.learnPublic(node.internalAddress, node.publicAddress);
        }
    } else if (std::get_if<ConfigurationRequest>(&message)) {
        const PublishedServices &services = seat_->services();
        if (services.version > 0)
            link.send(ConfigurationDocument{services.version, services.document});
    }
}

// Signs of endpoints that an entry saw, and the leader that it knows of.
void ControlProcess::takeEntryFacts(const LinkHello &hello)
{
    const TimePoint now = RuntimeClock::now();
    for (const LinkHello::Progress &progress : hello.progress) {
        const Duration age = std::chrono::milliseconds(progress.ageMs);
        recordGroupProgress(table_, progress.endpoint, progress.startedAtMs, age, now);
        if (planner_)
            recordProgress(*planner_, progress.endpoint, now - age);
    }
    if (planner_) {
        for (const EndpointId &head : hello.stalled)
            recordStall(*planner_, head, now);
        if (!hello.stalled.empty())
            nextPlan_ = TimePoint{};
    }
    if (hello.leaderTerm > hintedTerm_) {
        hintedTerm_ = hello.leaderTerm;
        hintedLeader_ = hello.leaderAddress;
    }
}

// Where endpoints report to, so that the leader hears of them also while control is parted. Empty
// for here.
std::string ControlProcess::reportAddress() const
{
    if (seat_->isActingLeader() || table_.endpoints.size() > MaxEndpointsOfOneReceiver)
        return {};
    if (hintedTerm_ >= seat_->term() && hintedLeader_ != settings_.controlListen)
        return hintedLeader_;
    return {};
}

void ControlProcess::linkEnded(Link &link, const std::string &reason)
{
    if (link.hasHello)
        logEvent(Event::LinkLost, {{"peer", link.hello.name}, {"reason", reason}});
    accepted_.erase(&link);
}

LinkHello ControlProcess::ownHello() const
{
    LinkHello hello;
    hello.kind = NodeKind::Control;
    hello.name = settings_.name;
    hello.domain = settings_.domain;
    hello.internalAddress = internalAddress_;
    hello.publicAddress = settings_.controlListen;
    hello.process = process_;
    hello.seat = seat_->id();
    hello.isReady = !isStopping_ && !seat_->isFailed();
    return hello;
}

Topology ControlProcess::topology() const
{
    Topology topology;
    topology.nodes.push_back(toKnownNode(ownHello()));
    topology.nodes.back().leadsInTerm = seat_->isActingLeader() ? seat_->term() : 0;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[pointer, link] : accepted_) {
        if (link->hasHello && now - link->lastHeard < EntrySilence)
            topology.nodes.push_back(toKnownNode(link->hello));
    }
    return topology;
}

void ControlProcess::broadcastTopology()
{
    Topology current = topology();
    if (current.nodes == lastTopology_.nodes)
        return;
    lastTopology_ = current;
    broadcast(current);
}

void ControlProcess::broadcast(const LinkMessage &message)
{
    const auto links = accepted_; // a link that fails removes itself
    const std::string frame = linkFrame(message);
    for (const auto &[pointer, link] : links)
        link->sendFrame(frame);
}

void ControlProcess::sendRaft(RaftMessage message)
{
    for (const Seat &seat : seat_->seats()) {
        if (seat.id != message.to)
            continue;
        const ControlLinks::Peer *peer = peers_.find(seat.entry);
        if (!peer)
            peers_.learn(seat.entry, false);
        else if (peer->link)
            peer->link->send(RaftEnvelope{{std::move(message)}});
        return;
    }
    // A vote or reply may go to a seat that is not in the own seat set yet.
    for (auto &[address, peer] : peers_.peers()) {
        if (peer.link && peer.link->hasHello && peer.link->hello.seat == message.to) {
            peer.link->send(RaftEnvelope{{std::move(message)}});
            return;
        }
    }
    for (auto &[pointer, link] : accepted_) {
        const bool isTarget = link->hasHello && link->hello.seat == message.to;
        if (!isTarget)
            continue;
        const ControlLinks::Peer *peer = peers_.find(link->hello.internalAddress);
        if (peer && peer->link)
            peer->link->send(RaftEnvelope{{std::move(message)}});
        return;
    }
}

void ControlProcess::seatChanged()
{
    if (!seat_)
        return;
    const std::uint64_t version = seat_->services().version;
    if (version <= offeredVersion_)
        return;
    offeredVersion_ = version;
    logEvent(Event::ConfigurationApplied, {{"version", std::to_string(version)}});
    broadcast(ConfigurationOffer{version});
}

// ---- Endpoints

ServerResponse ControlProcess::heartbeat(const SystemCall &call, const std::string &body)
{
    auto decoded = dialect_.decodeHeartbeat(call.endpoint, body);
    if (const auto *error = std::get_if<std::string>(&decoded)) {
        logEvent(Event::EndpointReportInvalid, {{"endpoint", call.endpoint}, {"error", *error}});
        return failure(400, *error);
    }
    const auto &report = std::get<EndpointReport>(decoded);
    ServerResponse response;
    response.body = dialect_.encodeHeartbeatReply(reportAddress());
    // A report of a service that no configuration names is acknowledged and not used: it may come
    // from another writer and must not replace the endpoint at its address. A control VM that has
    // just started knows no configuration yet; without the reports its entries would serve nobody.
    const ServiceConfiguration *config = configuration();
    if (config && !findService(*config, report.service)) {
        logEvent(Event::EndpointReportInvalid,
                 {{"endpoint", call.endpoint}, {"error", "unknown service " + report.service}});
        return response;
    }
    const ReportOutcome outcome =
            applyReport(table_, report, Duration::zero(), RuntimeClock::now());
    if (outcome == ReportOutcome::Changed)
        noteChanged(report.id);
    else if (outcome == ReportOutcome::Refreshed)
        noteSign(report.id);
    return response;
}

ServerResponse ControlProcess::departure(const SystemCall &call, const std::string &body)
{
    const std::uint64_t startedAt = dialect_.decodeDeparture(body);
    if (applyDeparture(table_, call.endpoint, startedAt, RuntimeClock::now()))
        noteChanged(call.endpoint);
    ServerResponse response;
    response.body = dialect_.encodeHeartbeatReply({});
    return response;
}

void ControlProcess::noteChanged(const EndpointId &endpoint)
{
    const Endpoint *known = findEndpoint(table_, endpoint);
    const auto &membership = known->report.membership;
    logEvent(Event::EndpointChanged,
             {{"endpoint", endpoint},
              {"service", known->report.service},
              {"address", known->report.address},
              {"draining", known->report.isDraining ? "yes" : "no"},
              {"left", known->isLeaving ? "yes" : "no"},
              {"fabric", known->report.fabric},
              {"staged", joinTexts(known->report.stagedModels)},
              {"group", membership ? membership->group : ""},
              {"phase", membership ? std::to_string(static_cast<int>(membership->phase)) : ""}});
    changed_.insert(endpoint);
    nextPlan_ = TimePoint{};
    if (isNewsDue_)
        return;
    isNewsDue_ = true;
    newsTimer_.expires_after(NewsDelay);
    newsTimer_.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        flushNews();
        lead();
    });
}

void ControlProcess::noteSign(const EndpointId &endpoint)
{
    heard_.insert(endpoint);
}

void ControlProcess::flushNews()
{
    isNewsDue_ = false;
    if (changed_.empty() && heard_.empty())
        return;
    const TimePoint now = RuntimeClock::now();
    EndpointNews news;
    for (const EndpointId &id : changed_) {
        if (const Endpoint *known = findEndpoint(table_, id))
            news.items.push_back({known->report, toMs(now - known->lastHeard), known->isLeaving});
    }
    for (const EndpointId &id : heard_) {
        const Endpoint *known = findEndpoint(table_, id);
        if (known && !changed_.contains(id))
            news.signs.push_back({id, known->report.startedAtMs, toMs(now - known->lastHeard)});
    }
    changed_.clear();
    heard_.clear();
    broadcast(news);
}

EndpointNews ControlProcess::wholeTable() const
{
    EndpointNews news;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[id, known] : table_.endpoints)
        news.items.push_back({known.report, toMs(now - known.lastHeard), known.isLeaving});
    return news;
}

void ControlProcess::takeNews(const EndpointNews &news)
{
    applyNews(table_, news, configuration(), RuntimeClock::now());
    nextPlan_ = TimePoint{};
}

// ---- Operators and callers

ServerResponse ControlProcess::failure(std::uint32_t status, const std::string &text) const
{
    ServerResponse response;
    response.status = status;
    response.body = dialect_.encodeError(text);
    return response;
}

asio::awaitable<ServerResponse> ControlProcess::handleControl(ServerRequest request)
{
    const SystemCall call = dialect_.parseCall(request.head.method, request.head.target);
    switch (call.kind) {
    case CallKind::Heartbeat:
        co_return heartbeat(call, request.body);
    case CallKind::Departure:
        co_return departure(call, request.body);
    case CallKind::ReadConfiguration:
        co_return readConfiguration(request);
    case CallKind::PublishConfiguration: {
        ServerResponse response = co_await publish(std::move(request));
        co_return response;
    }
    case CallKind::EntryList:
        co_return entryList(call);
    default:
        break;
    }
    co_return failure(404, "no such call");
}

asio::awaitable<ServerResponse> ControlProcess::handleMetrics(ServerRequest request)
{
    if (request.head.target != MetricsPath)
        co_return failure(404, "metrics are at /metrics");
    co_return metrics();
}

asio::awaitable<ServerResponse> ControlProcess::handleEntryList(ServerRequest request)
{
    const SystemCall call = dialect_.parseCall(request.head.method, request.head.target);
    if (call.kind != CallKind::EntryList)
        co_return failure(404, "no such call");
    co_return entryList(call);
}

ServerResponse ControlProcess::entryList(const SystemCall & /*call*/)
{
    std::vector<std::string> addresses;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[pointer, link] : accepted_) {
        const bool usable = link->hasHello && link->hello.kind == NodeKind::Entry
                            && link->hello.isReady && now - link->lastHeard < EntrySilence;
        if (usable)
            addresses.push_back(link->hello.publicAddress);
    }
    ++entryLists_;
    if (addresses.empty())
        return failure(503, "no entry is ready");
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
        const ControlLinks::Peer *peer = peers_.find(seat.entry);
        const bool known = peer && peer->link && !peer->publicAddress.empty();
        if (!known)
            break;
        ServerResponse response;
        response.status = 307;
        response.fields.push_back(
                {"Location", "http://" + peer->publicAddress + request.head.target});
        return response;
    }
    return failure(503, "no leader is known");
}

ServerResponse ControlProcess::readConfiguration(const ServerRequest &request)
{
    if (!seat_->isActingLeader())
        return redirectToLeader(request);
    const PublishedServices &services = seat_->services();
    if (services.version == 0)
        return failure(503, "no configuration has been published");
    auto document = unpackDocument(services.document);
    if (!document) {
        logEvent(Event::ConfigurationRefused,
                 {{"version", std::to_string(services.version)}, {"findings", BrokenDocument}});
        return failure(503, BrokenDocument);
    }
    ServerResponse response;
    response.body = std::move(*document);
    return response;
}

asio::awaitable<ServerResponse> ControlProcess::publish(ServerRequest request)
{
    const DecodedConfiguration decoded = dialect_.decodeConfiguration(request.body);
    if (!decoded.config) {
        const std::string findings = toText(decoded.findings);
        logEvent(Event::ConfigurationRefused, {{"findings", findings}});
        co_return failure(400, findings);
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
    struct Waiting
    {
        explicit Waiting(const asio::any_io_executor &executor)
            : signal(executor)
        {}
        Signal signal;
        bool isDone = false;
        bool isApplied = false;
    };
    auto waiting = std::make_shared<Waiting>(context_.get_executor());
    const bool isProposed =
            seat_->publish(version, packDocument(request.body), [waiting](bool isApplied) {
                waiting->isDone = true;
                waiting->isApplied = isApplied;
                waiting->signal.notify();
            });
    const TimePoint until = RuntimeClock::now() + PublishTimeout;
    while (isProposed && !waiting->isDone && RuntimeClock::now() < until)
        co_await waiting->signal.wait(until);
    const bool isAccepted = waiting->isApplied;
    logEvent(Event::ConfigurationPublished,
             {{"version", std::to_string(version)},
              {"outcome", isAccepted ? "accepted" : "not confirmed"}});
    if (!isAccepted)
        co_return failure(503, "the configuration could not be confirmed");
    co_return ServerResponse{};
}

ServerResponse ControlProcess::metrics() const
{
    std::string text;
    const auto gauge = [&text](const std::string &name, double value) {
        text += "trefoil_" + name + " " + std::to_string(value) + "\n";
    };
    std::size_t usable = 0;
    const TimePoint now = RuntimeClock::now();
    for (const auto &[id, endpoint] : table_.endpoints)
        usable += isUsable(endpoint, lossTimeout(), now) ? 1 : 0;
    std::map<GroupState, int> stages;
    std::size_t inGroups = 0;
    if (planner_) {
        for (const auto &[name, group] : planner_->groups) {
            ++stages[group.state];
            inGroups += group.members.size();
        }
    }
    gauge("configuration_version", static_cast<double>(seat_->services().version));
    gauge("is_leader", seat_->isActingLeader() ? 1 : 0);
    gauge("term", static_cast<double>(seat_->term()));
    gauge("seats", static_cast<double>(seat_->seats().size()));
    gauge("links_accepted", static_cast<double>(accepted_.size()));
    gauge("endpoints_known", static_cast<double>(table_.endpoints.size()));
    gauge("endpoints_usable", static_cast<double>(usable));
    gauge("vms_in_groups", static_cast<double>(inGroups));
    gauge("groups_forming", stages[GroupState::Forming]);
    gauge("groups_opening", stages[GroupState::Opening]);
    gauge("groups_open", stages[GroupState::Open]);
    gauge("groups_closing", stages[GroupState::Closing]);
    gauge("orders_sent_total", static_cast<double>(ordersSent_));
    gauge("orders_unanswered_total", static_cast<double>(ordersUnanswered_));
    gauge("entry_lists_total", static_cast<double>(entryLists_));
    ServerResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(text);
    return response;
}

// ---- Leader

Duration ControlProcess::lossTimeout() const
{
    return settings_.heartbeat * 5 / 2;
}

const ServiceConfiguration *ControlProcess::configuration()
{
    const PublishedServices &services = seat_->services();
    if (services.version != decodedVersion_) {
        decodedVersion_ = services.version;
        const bool isFirst = !decoded_;
        const auto document = unpackDocument(services.document);
        decoded_.reset();
        if (document)
            decoded_ = dialect_.decodeConfiguration(*document).config;
        else
            logEvent(Event::ConfigurationRefused,
                     {{"version", std::to_string(services.version)}, {"findings", BrokenDocument}});
        if (isFirst && decoded_)
            removeUnknownServices(table_, *decoded_);
    }
    return decoded_ ? &*decoded_ : nullptr;
}

void ControlProcess::lead()
{
    const TimePoint now = RuntimeClock::now();
    const bool leads = seat_->isActingLeader();
    if (leads != wasLeader_) {
        wasLeader_ = leads;
        logEvent(leads ? Event::LeaderElected : Event::LeaderLost,
                 {{"term", std::to_string(seat_->term())}});
        // A leader that regains its lease in the same term goes on; its epochs must not begin
        // again.
        if (leads && (!planner_ || planner_->term != seat_->term())) {
            GroupPlannerOptions options;
            options.lossTimeout = lossTimeout();
            options.stalledLossTimeout = settings_.heartbeat * 11 / 8;
            options.reportGatheringTime = settings_.heartbeat * 3 / 2;
            planner_ = makeGroupPlanner(options, seat_->term(), now);
        }
    }
    if (!leads || now < std::max(nextPlan_, lastPlan_ + LeastPlanInterval))
        return;
    nextPlan_ = now + PlanInterval;
    lastPlan_ = now;
    manageSeats(now);
    const ServiceConfiguration *config = configuration();
    if (!config)
        return;
    // Loads are cheap only before the first request of a system that starts for the first time.
    const bool mayBeUnused = settings_.isFirstStart && now - startedAt_ < FirstStartTime;
    planner_->hasTraffic = hasTraffic_ || !mayBeUnused;
    planner_->demandByModel.clear();
    for (const auto &[pointer, link] : accepted_) {
        for (const auto &[model, count] : link->hello.demand)
            planner_->demandByModel[model] += count;
    }
    for (GroupOrder &order : planGroups(*planner_, table_, *config, now)) {
        logEvent(Event::GroupOrdered, {{"order", toString(order.kind)},
                                       {"endpoint", order.endpoint},
                                       {"group", order.group},
                                       {"epoch", std::to_string(order.epoch)},
                                       {"members", joinTexts(order.members)},
                                       {"why", order.reason}});
        ++ordersSent_;
        asio::co_spawn(context_, execute(std::move(order)), asio::detached);
    }
}

void ControlProcess::manageSeats(TimePoint now)
{
    std::vector<SeatCandidate> candidates;
    candidates.push_back({seat_->id(), internalAddress_, settings_.domain});
    for (const auto &[pointer, link] : accepted_) {
        const LinkHello &hello = link->hello;
        const bool usable = link->hasHello && hello.kind == NodeKind::Control && hello.isReady
                            && hello.seat != NoSeat;
        if (usable)
            candidates.push_back({hello.seat, hello.internalAddress, hello.domain});
    }
    SeatPlanOptions options;
    options.seatCount = 2 * settings_.toleratedLosses + 1;
    const SeatSet current = seat_->seats();
    const auto contacts = seat_->contacts();
    auto next = planSeats(current, seat_->id(), contacts, candidates, options, now);
    if (!next || now < nextSeatChange_)
        return;
    nextSeatChange_ = now + SeatChangeInterval;
    std::string names;
    for (const Seat &seat : *next)
        names += (names.empty() ? "" : ",") + seat.entry + (seat.isVoter ? "" : "(learner)");
    logEvent(Event::SeatsChanged, {{"seats", names}});
    seat_->changeSeats(std::move(*next));
}

asio::awaitable<void> ControlProcess::execute(GroupOrder order)
{
    HttpCall call;
    call.address = order.address;
    call.target = dialect_.orderPath;
    call.body = dialect_.encodeOrder(order);
    call.fields.push_back({dialect_.headers.expectEndpoint, order.endpoint});
    call.timeout = OrderTimeout;
    const HttpAnswer answer = co_await callHttp(std::move(call));
    const OrderOutcome outcome = outcomeOf(answer);
    ordersUnanswered_ += outcome == OrderOutcome::Unanswered ? 1 : 0;
    logEvent(Event::OrderAnswered, {{"order", toString(order.kind)},
                                    {"endpoint", order.endpoint},
                                    {"group", order.group},
                                    {"status", std::to_string(answer.status)},
                                    {"error", answer.error}});
    if (!planner_ || planner_->term != order.term)
        co_return;
    recordOrderOutcome(*planner_, order.endpoint, order.number, outcome);
    nextPlan_ = TimePoint{};
}

} // namespace Trefoil
