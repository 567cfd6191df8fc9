#include "nodeworld.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr auto StepDuration = std::chrono::milliseconds(20);
constexpr std::size_t UdpOverheadBytes = 28; // IP and UDP headers
constexpr std::size_t TcpOverheadBytes = 60; // frame, IP and TCP headers, and the acknowledgement
constexpr auto RequestDuration = std::chrono::milliseconds(120);
constexpr auto ModelLoadTime = std::chrono::milliseconds(400);
constexpr const char *DeploymentName = "desk-model";
constexpr const char *ServiceName = "ledger";

SeatSet initialSeats(std::size_t count)
{
    SeatSet seats;
    for (std::size_t i = 0; i < count; ++i)
        seats.push_back({i + 1, "entry-" + std::to_string(i), true});
    return seats;
}

} // namespace

NodeSimulation::NodeSimulation(const NodeSimulationOptions &options)
    : options_(options)
    , rng_(options.seed)
    , now_(std::chrono::hours(1))
{
    const std::size_t count = options.seats + options.entriesWithoutSeat;
    entries_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        Entry &entry = entries_[i];
        const std::string number = std::to_string(i);
        entry.settings.self.entry = "entry-" + number;
        entry.settings.self.peerAddress = "peer-" + number;
        entry.settings.self.callerAddress = "caller-" + number;
        entry.settings.self.domain = "domain-" + std::to_string(i % 3);
        for (std::size_t seed = 0; seed < options.seedEntries; ++seed)
            entry.settings.seeds.push_back("peer-" + std::to_string(seed));
        entryIndex_[entry.settings.self.entry] = i;
        addressIndex_[entry.settings.self.peerAddress] = i;
        addressIndex_[entry.settings.self.callerAddress] = i;
        entry.settings.freshnessBound = options.freshnessBound;
        entry.settings.entryListLifetime = std::chrono::seconds(2);
        if (options.adjustSettings)
            options.adjustSettings(entry.settings);
        if (i < options.seats) {
            entry.disk = std::make_shared<RecoveredLog>();
            entry.disk->seat = i + 1;
            entry.disk->initialSeats = initialSeats(options.seats);
            entry.disk->snapshot = std::make_shared<RaftSnapshot>();
        }
        startProcess(i);
    }
    for (std::size_t i = 0; i < options.engines + options.services; ++i) {
        const bool engine = i < options.engines;
        Endpoint endpoint;
        endpoint.vm.id = (engine ? "engine-" : "service-") + std::to_string(i);
        endpoint.vm.address = "vm-" + std::to_string(i);
        endpoint.vm.domain = "domain-" + std::to_string(i % 3);
        endpoint.vm.fabric = engine ? "fabric-" + std::to_string(i % options.fabrics) : "";
        endpoint.vm.role = engine ? VmRole::Engine : VmRole::Service;
        endpoint.vm.service = engine ? "" : ServiceName;
        endpoint.vm.accelerators = 4;
        endpoint.vm.slots = 4;
        endpoint.vm.incarnation = 1;
        endpoint.entry = i % count;
        endpoint.nextHeartbeat = now_ + std::chrono::seconds(2);
        endpoints_.push_back(endpoint);
    }
}

void NodeSimulation::startProcess(std::size_t index)
{
    Entry &entry = entries_[index];
    entry.settings.incarnation = entry.process;
    entry.settings.randomSeed = rng_();
    std::optional<ControlSeatState> seat;
    if (entry.disk) {
        ControlSeatOptions options;
        options.entriesBetweenSnapshots = 64;
        options.raft = options_.raft;
        seat = makeControlSeat(*entry.disk, options, rng_(), now_);
    }
    entry.node = makeNode(entry.settings, std::move(seat), now_);
    entry.deferredEvents.clear();
    entry.isUp = true;
}

Duration NodeSimulation::drawNetworkDelay()
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 5)(rng_));
}

void NodeSimulation::schedule(Duration span, std::function<void()> run)
{
    events_.push_back({now_ + span, nextEventNumber_++, std::move(run)});
    std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

bool NodeSimulation::isRunning(const Entry &entry) const
{
    return entry.isUp && now_ >= entry.pausedUntil;
}

std::size_t NodeSimulation::findEntryIndex(const EntryId &entry) const
{
    const auto found = entryIndex_.find(entry);
    return found == entryIndex_.end() ? entries_.size() : found->second;
}

std::size_t NodeSimulation::findEntryIndexByAddress(const std::string &address) const
{
    const auto found = addressIndex_.find(address);
    return found == addressIndex_.end() ? entries_.size() : found->second;
}

std::size_t NodeSimulation::countEntriesBehind(ConfigVersion version) const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(), [version](const Entry &entry) {
                return entry.isUp && entry.node.feed.config.version < version;
            }));
}

NodeSimulation::Endpoint *NodeSimulation::findEndpoint(const std::string &address)
{
    const auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                                    [&](const Endpoint &e) { return e.vm.address == address; });
    return found == endpoints_.end() ? nullptr : &*found;
}

void NodeSimulation::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (now_ < end) {
        now_ += StepDuration;
        while (!events_.empty() && events_.front().at <= now_) {
            std::pop_heap(events_.begin(), events_.end(), std::greater<>());
            const Event event = std::move(events_.back());
            events_.pop_back();
            event.run();
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!isRunning(entries_[i]))
                continue;
            for (const auto &run : std::exchange(entries_[i].deferredEvents, {}))
                run();
            NodeOutput out;
            tickNode(entries_[i].node, now_, out);
            processOutput(i, out);
        }
        for (Endpoint &endpoint : endpoints_) {
            if (now_ >= endpoint.nextHeartbeat && !endpoint.isSilent)
                sendHeartbeat(endpoint);
        }
        checkInvariants();
    }
}

// Runs an event handler on an entry. If the entry is paused, the handler runs when the pause ends.
void NodeSimulation::runOnEntry(std::size_t index, std::function<void(NodeOutput &)> handle)
{
    Entry &entry = entries_[index];
    if (!entry.isUp)
        return;
    const std::uint64_t process = entry.process;
    const auto run = [this, index, process, handle = std::move(handle)] {
        if (entries_[index].process != process)
            return;
        NodeOutput out;
        handle(out);
        processOutput(index, out);
    };
    if (now_ < entry.pausedUntil)
        entry.deferredEvents.push_back(run);
    else
        run();
}

void NodeSimulation::processOutput(std::size_t index, NodeOutput &out)
{
    for (const auto &[to, message] : out.peers)
        sendPeer(index, to, message);
    for (const GossipSend &gossip : out.gossip)
        sendGossip(index, gossip);
    const std::uint64_t process = entries_[index].process;
    for (const SeatDiskWork &work : out.disk) {
        schedule(std::chrono::milliseconds(2), [this, index, process, work] {
            if (entries_[index].process != process || !entries_[index].isUp)
                return;
            applyDiskWrite(*entries_[index].disk, work.write);
            runOnEntry(index, [this, index, work](NodeOutput &next) {
                for (const RaftMessage &message : work.sendAfterSync) {
                    for (const Seat &seat : entries_[index].node.seat->raft.seats) {
                        if (seat.id == message.to)
                            next.peers.emplace_back(seat.entry, message);
                    }
                }
                handleDiskSynced(entries_[index].node, work.lastIndex, work.lastTerm, now_, next);
            });
        });
    }
    for (const StartAttempt &start : out.start)
        runAttempt(index, start);
    for (const RequestId &id : out.attemptsToCancel)
        cancelled_.insert(id);
    for (const auto &[entry, report] : out.lostAttempts) {
        schedule(drawNetworkDelay(), [this, index, entry = entry, report = report] {
            runOnEntry(index, [this, index, entry, report](NodeOutput &next) {
                handlePeerMessage(entries_[index].node, entry, AttemptReportCall{report}, now_,
                                  next);
            });
        });
    }
    for (const SessionAnswer &answer : out.answers) {
        if (!answers_.emplace(answer.session, answer.finish).second)
            throw NodeViolation("a session got two answers");
    }
    for (const EngineOrder &order : out.engineOrders)
        executeOrder(index, order);
    for (const EndpointReply &reply : out.endpointReplies)
        handleEndpointReply(reply);
    for (const OperatorReply &reply : out.operatorReplies)
        operatorReplies_[reply.session] = reply;
}

void NodeSimulation::applyDiskWrite(RecoveredLog &disk, const RaftDiskWrite &write)
{
    if (write.hardState)
        disk.hardState = *write.hardState;
    if (write.snapshot) {
        disk.snapshot = write.snapshot;
        disk.entries = write.append;
        return;
    }
    if (write.truncateFrom)
        std::erase_if(disk.entries,
                      [&](const LogEntry &e) { return e.index >= *write.truncateFrom; });
    disk.entries.insert(disk.entries.end(), write.append.begin(), write.append.end());
}

void NodeSimulation::sendPeer(std::size_t from, const EntryId &to, const PeerMessage &message)
{
    const std::size_t index = findEntryIndex(to);
    if (index == entries_.size() || blockedLinks_.contains({from, index}))
        return;
    const std::string bytes = encodePeerMessage(message);
    peerBytes_ += bytes.size();
    entries_[from].bytesSent += bytes.size() + TcpOverheadBytes;
    const EntryId sender = entries_[from].settings.self.entry;
    schedule(drawNetworkDelay(), [this, index, sender, bytes] {
        runOnEntry(index, [this, index, sender, bytes](NodeOutput &out) {
            handlePeerMessage(entries_[index].node, sender, decodePeerMessage(bytes), now_, out);
        });
    });
}

void NodeSimulation::sendGossip(std::size_t from, const GossipSend &gossip)
{
    const std::size_t index = findEntryIndexByAddress(gossip.address);
    if (index == entries_.size() || blockedLinks_.contains({from, index}))
        return;
    const std::string bytes = encodeGossip(gossip.message);
    gossipBytes_ += bytes.size();
    entries_[from].bytesSent += bytes.size() + UdpOverheadBytes;
    const std::string sender = entries_[from].settings.self.peerAddress;
    schedule(drawNetworkDelay(), [this, index, sender, bytes] {
        runOnEntry(index, [this, index, sender, bytes](NodeOutput &out) {
            handleGossip(entries_[index].node, decodeGossip(bytes), sender, now_, out);
        });
    });
}

void NodeSimulation::runAttempt(std::size_t index, const StartAttempt &start)
{
    Endpoint *endpoint = findEndpoint(start.address);
    lastStartTimes_[endpoint->vm.id] = now_;
    AttemptEnd end;
    end.id = start.request.id;
    end.attempt = start.request.attempt;
    const bool refused =
            endpoint->isSilent
            || (start.group > 0 && (start.group != endpoint->group || now_ < endpoint->readyAt));
    if (!refused) {
        ++executionCounts_[start.request.payload->body];
        ++endpoint->inFlight;
    }
    end.result = refused ? AttemptResult::NotStarted : AttemptResult::Completed;
    end.reason = refused ? Reason::EndpointRefused : Reason::None;
    end.status = refused ? 0 : 200;
    end.body = start.request.payload->body;
    const std::string address = start.address;
    schedule(RequestDuration, [this, index, end, refused, address]() mutable {
        if (!refused)
            --findEndpoint(address)->inFlight;
        if (cancelled_.erase(end.id) > 0)
            end.result = AttemptResult::Lost;
        runOnEntry(index, [this, index, end](NodeOutput &out) {
            handleAttemptEnd(entries_[index].node, end, now_, out);
        });
    });
}

void NodeSimulation::executeOrder(std::size_t index, const EngineOrder &order)
{
    schedule(drawNetworkDelay(), [this, index, order] {
        Endpoint *endpoint = findEndpoint(order.address);
        EngineOrderResult end{order.vm, order.group, false};
        if (!endpoint->isSilent && order.group >= endpoint->group) {
            end.isAccepted = true;
            endpoint->group = order.group;
            endpoint->readyAt = now_ + ModelLoadTime;
        }
        runOnEntry(index, [this, index, end](NodeOutput &out) {
            handleOrderResult(entries_[index].node, end, now_, out);
        });
    });
}

void NodeSimulation::sendHeartbeat(Endpoint &endpoint)
{
    const std::size_t index = endpoint.entry;
    const std::uint64_t session = nextSession_++;
    endpointSessions_[session] = static_cast<std::size_t>(&endpoint - endpoints_.data());
    endpoint.nextHeartbeat = now_ + std::chrono::milliseconds(300);
    if (!isRunning(entries_[index])) {
        endpoint.entry = (index + 1) % entries_.size();
        return;
    }
    if (!endpoint.isAnnounced) {
        endpoint.nextHeartbeat = now_ + std::chrono::seconds(1);
        runOnEntry(index, [this, index, session, vm = endpoint.vm](NodeOutput &out) {
            handleVmAnnouncement(entries_[index].node, {session, vm}, now_, out);
        });
        return;
    }
    VmReport report;
    report.vm = endpoint.vm.id;
    report.incarnation = endpoint.vm.incarnation;
    report.group = endpoint.group;
    report.inFlight = endpoint.inFlight;
    if (endpoint.vm.role == VmRole::Service)
        report.state = EngineState::Ready;
    else if (endpoint.group > 0)
        report.state = now_ >= endpoint.readyAt ? EngineState::Ready : EngineState::Loading;
    runOnEntry(index, [this, index, session, report](NodeOutput &out) {
        handleHeartbeat(entries_[index].node, {session, report}, now_, out);
    });
}

void NodeSimulation::handleEndpointReply(const EndpointReply &reply)
{
    const auto found = endpointSessions_.find(reply.session);
    if (found == endpointSessions_.end())
        return;
    Endpoint &endpoint = endpoints_[found->second];
    endpointSessions_.erase(found);
    if (!reply.isAccepted) {
        endpoint.entry = (endpoint.entry + 1) % entries_.size();
        return;
    }
    endpoint.isAnnounced = !reply.mustAnnounce;
    const std::size_t next = findEntryIndexByAddress(reply.reportTo);
    if (next < entries_.size())
        endpoint.entry = next;
}

std::uint64_t NodeSimulation::submitModelRequest(std::size_t entryNumber)
{
    const std::size_t index = entryNumber % entries_.size();
    const std::uint64_t session = nextSession_++;
    SubmitRequest submit;
    submit.session = session;
    submit.request.workspace = "haldar";
    submit.request.pool = DeploymentName;
    submit.request.isIdempotent = true;
    submit.request.isAnswerBuffered = true;
    submit.request.deadline = now_ + std::chrono::seconds(8);
    submit.request.payload = std::make_shared<CallPayload>(
            CallPayload{"POST", "/", "", "draft-" + std::to_string(session)});
    runOnEntry(index, [this, index, submit](NodeOutput &out) {
        handleSubmitRequest(entries_[index].node, submit, now_, out);
    });
    return session;
}

std::uint64_t NodeSimulation::submitServiceCall(std::size_t entryNumber, const std::string &key)
{
    const std::size_t index = entryNumber % entries_.size();
    const std::uint64_t session = nextSession_++;
    SubmitRequest submit;
    submit.session = session;
    submit.request.workspace = "haldar";
    submit.request.pool = std::string("service/") + ServiceName;
    submit.request.isService = true;
    submit.request.isAnswerBuffered = true;
    submit.request.deadline = now_ + std::chrono::seconds(5);
    submit.key = key;
    const std::string body = key.empty() ? "call-" + std::to_string(session) : key;
    submit.request.payload = std::make_shared<CallPayload>(CallPayload{"POST", "/", "", body});
    runOnEntry(index, [this, index, submit](NodeOutput &out) {
        handleSubmitRequest(entries_[index].node, submit, now_, out);
    });
    return session;
}

std::uint64_t NodeSimulation::executeStatement(std::size_t entryNumber, const std::string &text,
                                               std::uint64_t number)
{
    const std::size_t index = entryNumber % entries_.size();
    const std::uint64_t session = nextSession_++;
    OperatorRequest request;
    request.session = session;
    request.operatorName = "ann";
    request.number = number;
    request.text = text;
    runOnEntry(index, [this, index, request](NodeOutput &out) {
        handleOperatorRequest(entries_[index].node, request, now_, out);
    });
    return session;
}

void NodeSimulation::blockLink(std::size_t from, std::size_t to, bool bothWays)
{
    from %= entries_.size();
    to %= entries_.size();
    blockedLinks_.insert({from, to});
    if (bothWays)
        blockedLinks_.insert({to, from});
}

void NodeSimulation::isolate(std::size_t entry)
{
    for (std::size_t other = 0; other < entries_.size(); ++other) {
        if (other != entry % entries_.size())
            blockLink(entry, other, true);
    }
}

void NodeSimulation::heal()
{
    blockedLinks_.clear();
}

void NodeSimulation::crash(std::size_t entryNumber)
{
    entries_[entryNumber % entries_.size()].isUp = false;
}

void NodeSimulation::restart(std::size_t entryNumber)
{
    Entry &entry = entries_[entryNumber % entries_.size()];
    if (entry.isUp)
        return;
    entry.process += 1;
    startProcess(entryNumber % entries_.size());
}

void NodeSimulation::pause(std::size_t entryNumber, Duration span)
{
    entries_[entryNumber % entries_.size()].pausedUntil = now_ + span;
}

void NodeSimulation::drain(std::size_t entryNumber)
{
    const std::size_t index = entryNumber % entries_.size();
    runOnEntry(index,
               [this, index](NodeOutput &out) { startDraining(entries_[index].node, now_, out); });
}

void NodeSimulation::setVmSilent(std::size_t engine, bool isSilent)
{
    endpoints_[engine % endpoints_.size()].isSilent = isSilent;
}

void NodeSimulation::restartVm(std::size_t engine)
{
    Endpoint &endpoint = endpoints_[engine % endpoints_.size()];
    endpoint.vm.incarnation += 1;
    endpoint.group = 0;
    endpoint.isAnnounced = false;
    endpoint.isSilent = false;
}

void NodeSimulation::sendVmLeave(const VmId &vm)
{
    const auto endpoint = std::find_if(endpoints_.begin(), endpoints_.end(),
                                       [&vm](const Endpoint &e) { return e.vm.id == vm; });
    const std::size_t index = endpoint->entry;
    const VmLeaveRequest request{nextSession_++, vm, endpoint->vm.incarnation};
    runOnEntry(index, [this, index, request](NodeOutput &out) {
        handleVmLeave(entries_[index].node, request, now_, out);
    });
}

std::optional<std::size_t> NodeSimulation::findLeader() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto &seat = entries_[i].node.seat;
        if (isRunning(entries_[i]) && seat && isActingLeader(*seat, now_))
            return i;
    }
    return std::nullopt;
}

std::size_t NodeSimulation::countOpenGates() const
{
    std::size_t open = 0;
    for (const Entry &entry : entries_) {
        if (!isRunning(entry))
            continue;
        open += static_cast<std::size_t>(
                std::count_if(entry.node.gates.begin(), entry.node.gates.end(),
                              [](const auto &gate) { return gate.second == GateStatus::Open; }));
    }
    return open;
}

TimePoint NodeSimulation::lastStartTime(const VmId &vm) const
{
    const auto found = lastStartTimes_.find(vm);
    return found == lastStartTimes_.end() ? TimePoint{} : found->second;
}

void NodeSimulation::checkInvariants()
{
    std::map<VmId, EntryId> users;
    for (const Entry &entry : entries_) {
        if (!isRunning(entry))
            continue;
        for (const auto &[id, gate] : entry.node.gates) {
            if (gate != GateStatus::Open)
                continue;
            const auto group = entry.node.feed.config.groups.find(id);
            if (group == entry.node.feed.config.groups.end())
                throw NodeViolation("a gate is open for a group that does not exist");
            for (const VmId &vm : group->second.vms) {
                const auto [user, added] = users.emplace(vm, entry.settings.self.entry);
                if (!added)
                    throw NodeViolation("VM " + vm + " is used by " + user->second + " and "
                                        + entry.settings.self.entry);
            }
        }
    }
}

} // namespace Trefoil
