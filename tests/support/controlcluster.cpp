#include "controlcluster.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr auto StepDuration = std::chrono::milliseconds(20);
constexpr auto MinMessageDelay = std::chrono::milliseconds(1);
constexpr auto MaxMessageDelay = std::chrono::milliseconds(30);
constexpr double MessageDuplicationRate = 0.05;
constexpr double MaxClockDrift = 0.01;

// Largest message that a seat takes. A larger one is lost.
constexpr std::size_t MaxMessageBytes = 4 * 1024;

std::size_t messageBytes(const RaftMessage &message)
{
    std::size_t bytes = message.chunk.size();
    for (const LogEntry &entry : message.entries)
        bytes += entry.payload.size();
    return bytes;
}

// Returns an endpoint's id. Some are larger than a message.
std::string departedEndpoint(std::uint64_t number)
{
    const std::size_t length = number % 4 == 0 ? MaxMessageBytes + 1000 : 0;
    return "e" + std::to_string(number) + std::string(length, 'x');
}

std::string describe(const CommandIdentity &identity)
{
    return identity.operatorName + "/" + std::to_string(identity.number);
}

} // namespace

ControlCluster::ControlCluster(const ControlClusterOptions &options)
    : options_(options)
    , rng_(options.seed)
    , now_(std::chrono::hours(1))
{
    SeatSet seats;
    for (std::size_t i = 0; i < options.seats; ++i)
        seats.push_back({i + 1, "entry-" + std::to_string(i), true});
    std::uniform_real_distribution<double> drift(1 - MaxClockDrift, 1 + MaxClockDrift);
    for (std::size_t i = 0; i < options.seats; ++i) {
        SimulatedSeat seat;
        seat.id = i + 1;
        seat.initialSeats = seats;
        seat.clockRate = drift(rng_);
        seat.durable.snapshot = std::make_shared<RaftSnapshot>();
        seats_.push_back(std::move(seat));
        startSeat(seats_.back());
    }
}

TimePoint ControlCluster::localTimeOf(const SimulatedSeat &seat) const
{
    const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed * seat.clockRate)));
}

bool ControlCluster::drawChance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(rng_) < probability;
}

void ControlCluster::startSeat(SimulatedSeat &seat)
{
    RecoveredLog recovered;
    recovered.seat = seat.id;
    recovered.initialSeats = seat.initialSeats;
    recovered.hardState = seat.durable.hardState;
    recovered.snapshot = seat.durable.snapshot;
    recovered.entries = seat.durable.entries;
    ControlSeatOptions options;
    options.entriesBetweenSnapshots = options_.entriesBetweenSnapshots;
    options.raft.snapshotChunkBytes = 2048;
    options.raft.maxBytesPerMessage = 1024;
    seat.state = makeControlSeat(recovered, options, rng_(), localTimeOf(seat));
    seat.writes.clear();
    seat.messagesWhilePaused.clear();
    seat.isUp = true;
}

void ControlCluster::advance(Duration span)
{
    const TimePoint end = now_ + span;
    while (now_ < end)
        step();
}

void ControlCluster::step()
{
    now_ += StepDuration;
    deliverMessages();
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        SimulatedSeat &seat = seats_[i];
        if (!seat.isUp || now_ < seat.pausedUntil)
            continue;
        for (const RaftMessage &message : std::exchange(seat.messagesWhilePaused, {})) {
            ControlSeatOutput out;
            receiveRaftMessage(seat.state, message, localTimeOf(seat), out);
            processOutput(i, out);
        }
        completeWrites(i);
        ControlSeatOutput out;
        tickControlSeat(seat.state, localTimeOf(seat), out);
        processOutput(i, out);
    }
    checkLeaders();
}

void ControlCluster::deliverMessages()
{
    std::vector<InTransitMessage> due;
    std::erase_if(messagesInTransit_, [&](InTransitMessage &inTransit) {
        if (inTransit.at > now_)
            return false;
        due.push_back(std::move(inTransit));
        return true;
    });
    std::shuffle(due.begin(), due.end(), rng_);
    for (InTransitMessage &inTransit : due) {
        SimulatedSeat &seat = seats_[inTransit.to];
        if (!seat.isUp)
            continue;
        if (now_ < seat.pausedUntil) {
            seat.messagesWhilePaused.push_back(std::move(inTransit.message));
            continue;
        }
        ControlSeatOutput out;
        receiveRaftMessage(seat.state, inTransit.message, localTimeOf(seat), out);
        processOutput(inTransit.to, out);
    }
}

void ControlCluster::sendMessage(std::size_t from, const RaftMessage &message)
{
    const auto target = std::find_if(seats_.begin(), seats_.end(),
                                     [&](const SimulatedSeat &s) { return s.id == message.to; });
    if (target == seats_.end())
        return;
    const auto to = static_cast<std::size_t>(target - seats_.begin());
    if (blockedLinks_.contains({from, to}) || drawChance(messageLossRate_)
        || messageBytes(message) > MaxMessageBytes)
        return;
    std::uniform_int_distribution<Duration::rep> delay(Duration(MinMessageDelay).count(),
                                                       Duration(MaxMessageDelay).count());
    messagesInTransit_.push_back({now_ + Duration(delay(rng_)), to, message});
    if (drawChance(MessageDuplicationRate))
        messagesInTransit_.push_back({now_ + 3 * Duration(delay(rng_)), to, message});
}

void ControlCluster::processOutput(std::size_t index, ControlSeatOutput &out)
{
    SimulatedSeat &seat = seats_[index];
    for (const RaftMessage &message : out.send)
        sendMessage(index, message);
    std::uniform_int_distribution<int> syncMs(1, 40);
    for (SeatDiskWork &work : out.disk) {
        TimePoint doneAt = now_ + std::chrono::milliseconds(syncMs(rng_) * seat.diskSlowdown);
        if (!seat.writes.empty())
            doneAt = std::max(doneAt, seat.writes.back().doneAt);
        seat.writes.push_back({std::move(work), doneAt});
    }
    checkAppliedEntries(index);
    for (const ProposalResult &result : out.results) {
        const auto submitted =
                std::find_if(submittedProposals_.begin(), submittedProposals_.end(),
                             [&](const SubmittedProposal &t) {
                                 return t.seat == index && t.proposalId == result.proposalId;
                             });
        if (submitted == submittedProposals_.end())
            continue;
        if (result.isApplied && !submitted->departed.empty())
            acknowledgedDepartures_.insert(submitted->departed);
        else if (result.isApplied)
            checkReply(*submitted, result.reply);
        submittedProposals_.erase(submitted);
    }
    completeWrites(index);
}

void ControlCluster::applyDiskWrite(DurableLog &durable, const RaftDiskWrite &write)
{
    if (write.hardState)
        durable.hardState = *write.hardState;
    if (write.snapshot) {
        durable.snapshot = write.snapshot;
        durable.entries = write.append;
        return;
    }
    if (write.truncateFrom)
        std::erase_if(durable.entries,
                      [&](const LogEntry &e) { return e.index >= *write.truncateFrom; });
    durable.entries.insert(durable.entries.end(), write.append.begin(), write.append.end());
    const LogIndex expected = durable.snapshot->index + durable.entries.size();
    if (!durable.entries.empty() && durable.entries.back().index != expected)
        throw ControlViolation("the durable log has a gap");
}

void ControlCluster::completeWrites(std::size_t index)
{
    SimulatedSeat &seat = seats_[index];
    while (!seat.writes.empty() && seat.writes.front().doneAt <= now_) {
        const SeatDiskWork work = std::move(seat.writes.front().work);
        seat.writes.erase(seat.writes.begin());
        applyDiskWrite(seat.durable, work.write);
        for (const RaftMessage &message : work.sendAfterSync)
            sendMessage(index, message);
        ControlSeatOutput out;
        handleSeatSynced(seat.state, work.lastIndex, work.lastTerm, localTimeOf(seat), out);
        processOutput(index, out);
    }
}

// Proposes a command on every seat that accepts it. That includes deposed leaders that do not know
// yet that they were replaced.
void ControlCluster::propose(const std::string &operatorName, std::uint64_t number,
                             std::uint32_t variant)
{
    for (std::size_t index = 0; index < seats_.size(); ++index) {
        SimulatedSeat &seat = seats_[index];
        if (!seat.isUp || now_ < seat.pausedUntil)
            continue;
        Proposal proposal;
        proposal.identity = {operatorName, number, variant + 1};
        proposal.command = SetWorkspace{{"w" + std::to_string(number % 5), variant + 1.0}};
        ControlSeatOutput out;
        const auto proposalId = proposeCommand(seat.state, proposal, localTimeOf(seat), out);
        if (proposalId)
            submittedProposals_.push_back({proposal.identity, index, *proposalId, {}});
        processOutput(index, out);
    }
}

// Checks that all replies to the same command are equal, and that a command number that is reused
// for another text is refused.
void ControlCluster::proposeDeparture(std::uint64_t number)
{
    const std::string endpoint = departedEndpoint(number);
    for (std::size_t index = 0; index < seats_.size(); ++index) {
        SimulatedSeat &seat = seats_[index];
        if (!seat.isUp || now_ < seat.pausedUntil)
            continue;
        Proposal proposal;
        proposal.command = RecordDepartures{{{endpoint, number, 0}}};
        ControlSeatOutput out;
        const auto proposalId = proposeCommand(seat.state, proposal, localTimeOf(seat), out);
        if (proposalId)
            submittedProposals_.push_back({proposal.identity, index, *proposalId, endpoint});
        processOutput(index, out);
    }
}

void ControlCluster::checkReply(const SubmittedProposal &submitted, const CommandReply &reply)
{
    const CommandIdentity &identity = submitted.identity;
    auto &byDigest = replies_[{identity.operatorName, identity.number}];
    if (reply.code == ReplyCode::NumberReused) {
        const auto own = byDigest.find(identity.digest);
        if (own != byDigest.end() && own->second.code != ReplyCode::NumberReused)
            throw ControlViolation("the first reply to " + describe(identity) + " was forgotten");
        byDigest[identity.digest] = reply;
        return;
    }
    for (const auto &[digest, earlier] : byDigest) {
        if (earlier.code == ReplyCode::NumberReused)
            continue;
        if (digest != identity.digest)
            throw ControlViolation("two commands were accepted as " + describe(identity));
        if (earlier != reply)
            throw ControlViolation("two different replies to " + describe(identity));
    }
    const auto own = byDigest.find(identity.digest);
    if (own != byDigest.end() && own->second.code == ReplyCode::NumberReused)
        throw ControlViolation(describe(identity) + " was refused before it was accepted");
    byDigest[identity.digest] = reply;
    highestReportedVersion_ = std::max(highestReportedVersion_, reply.version);
}

// Checks that all seats apply the same entry at each index.
void ControlCluster::checkAppliedEntries(std::size_t index)
{
    const ControlSeatState &state = seats_[index].state;
    const LogIndex first = std::max(state.raft.snapshot->index + 1,
                                    state.appliedIndex > 64 ? state.appliedIndex - 64 : 1);
    for (LogIndex at = first; at <= state.appliedIndex; ++at) {
        const LogEntry *entry = entryAt(state.raft, at);
        if (!entry)
            continue;
        const auto [known, added] = appliedEntries_.try_emplace(at, entry->term, entry->payload);
        if (!added && known->second != std::make_pair(entry->term, entry->payload))
            throw ControlViolation("two entries were applied at index " + std::to_string(at));
    }
}

void ControlCluster::checkLeaders()
{
    std::size_t acting = 0;
    for (const SimulatedSeat &seat : seats_) {
        if (!seat.isUp)
            continue;
        const RaftState &raft = seat.state.raft;
        if (raft.role == RaftRole::Leader) {
            const auto [known, added] = leaderByTerm_.try_emplace(raft.hardState.term, seat.id);
            if (!added && known->second != seat.id)
                throw ControlViolation("two leaders in term "
                                       + std::to_string(raft.hardState.term));
        }
        // A paused seat serves nothing. Its lease is checked when it runs again.
        if (now_ >= seat.pausedUntil && isActingLeader(seat.state, localTimeOf(seat)))
            ++acting;
    }
    if (acting > 1)
        throw ControlViolation("two seats hold a leader lease");
}

void ControlCluster::checkLeaseRead(std::size_t seatNumber)
{
    const SimulatedSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp || now_ < seat.pausedUntil)
        return;
    // A leader with a lease answers reads from its applied state without asking the other seats.
    if (!isActingLeader(seat.state, localTimeOf(seat)))
        return;
    if (seat.state.control.config.version < highestReportedVersion_)
        throw ControlViolation("a lease read missed version "
                               + std::to_string(highestReportedVersion_));
}

void ControlCluster::blockLink(std::size_t from, std::size_t to, bool bothWays)
{
    from %= seats_.size();
    to %= seats_.size();
    blockedLinks_.insert({from, to});
    if (bothWays)
        blockedLinks_.insert({to, from});
}

void ControlCluster::heal()
{
    blockedLinks_.clear();
    messageLossRate_ = 0;
}

void ControlCluster::setMessageLossRate(double rate)
{
    messageLossRate_ = rate;
}

void ControlCluster::crash(std::size_t seatNumber, std::size_t survivingWrites)
{
    SimulatedSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp)
        return;
    for (std::size_t i = 0; i < std::min(survivingWrites, seat.writes.size()); ++i)
        applyDiskWrite(seat.durable, seat.writes[i].work.write);
    seat.writes.clear();
    seat.messagesWhilePaused.clear();
    seat.isUp = false;
    std::erase_if(submittedProposals_,
                  [&](const SubmittedProposal &t) { return t.seat == seatNumber % seats_.size(); });
}

void ControlCluster::restart(std::size_t seatNumber)
{
    SimulatedSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp)
        startSeat(seat);
}

void ControlCluster::setDiskSlowdown(std::size_t seatNumber, int factor)
{
    seats_[seatNumber % seats_.size()].diskSlowdown = factor;
}

void ControlCluster::powerCycleAllSeats()
{
    for (std::size_t i = 0; i < seats_.size(); ++i)
        crash(i, 0);
    for (std::size_t i = 0; i < seats_.size(); ++i)
        restart(i);
}

void ControlCluster::pause(std::size_t seatNumber, Duration span)
{
    seats_[seatNumber % seats_.size()].pausedUntil = now_ + span;
}

// Deletes the data folder of a seat. The seat starts again with a new id that is in no seat set.
void ControlCluster::wipeSeat(std::size_t seatNumber)
{
    const std::size_t index = seatNumber % seats_.size();
    const bool hasWipedSeat = std::any_of(seats_.begin(), seats_.end(),
                                          [](const SimulatedSeat &s) { return !s.isMember; });
    if (hasWipedSeat)
        return;
    crash(index, 0);
    SimulatedSeat &seat = seats_[index];
    seat.id = nextSeatId_++;
    seat.initialSeats.clear();
    seat.durable = DurableLog{};
    seat.durable.snapshot = std::make_shared<RaftSnapshot>();
    seat.isMember = false;
    startSeat(seat);
}

// Asks the leader to replace a wiped seat. The first call removes the old seat id, the second adds
// the new one.
void ControlCluster::replaceWipedSeat()
{
    const auto acting = findActingLeader();
    if (!acting)
        return;
    SimulatedSeat &leader = seats_[*acting];
    SeatSet next = leader.state.raft.seats;
    const auto wipedSeat = std::find_if(next.begin(), next.end(), [this](const Seat &known) {
        return std::none_of(seats_.begin(), seats_.end(),
                            [&](const SimulatedSeat &seat) { return seat.id == known.id; });
    });
    if (wipedSeat != next.end()) {
        next.erase(wipedSeat);
    } else {
        const auto newSeat =
                std::find_if(seats_.begin(), seats_.end(), [&](const SimulatedSeat &seat) {
                    return std::none_of(next.begin(), next.end(),
                                        [&](const Seat &known) { return known.id == seat.id; });
                });
        if (newSeat == seats_.end())
            return;
        next.push_back({newSeat->id, "entry-new", false});
        newSeat->isMember = true;
    }
    ControlSeatOutput out;
    proposeSeats(leader.state, std::move(next), localTimeOf(leader), out);
    processOutput(*acting, out);
}

std::optional<std::size_t> ControlCluster::findActingLeader() const
{
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        if (seats_[i].isUp && now_ >= seats_[i].pausedUntil
            && isActingLeader(seats_[i].state, localTimeOf(seats_[i])))
            return i;
    }
    return std::nullopt;
}

// Returns whether every seat set that some seat uses still has a quorum of seats that were not
// wiped.
bool ControlCluster::hasIntactQuorums() const
{
    return std::all_of(seats_.begin(), seats_.end(), [this](const SimulatedSeat &seat) {
        const SeatSet &set = seat.state.raft.seats;
        const auto presentCount = std::count_if(set.begin(), set.end(), [this](const Seat &known) {
            return known.isVoter
                   && std::any_of(seats_.begin(), seats_.end(),
                                  [&](const SimulatedSeat &s) { return s.id == known.id; });
        });
        return set.empty() || static_cast<std::size_t>(presentCount) >= quorumSize(set);
    });
}

void ControlCluster::settle()
{
    heal();
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        restart(i);
        seats_[i].pausedUntil = {};
        seats_[i].diskSlowdown = 1;
    }
    advance(std::chrono::seconds(8));
    if (!hasIntactQuorums())
        return;
    const auto leader = findActingLeader();
    if (!leader)
        throw ControlViolation("no leader was elected after the faults ended");
    const std::size_t before = replies_.size();
    propose("last", 1, 1);
    // Resends all commands. Each must get its first reply again.
    for (const auto &[key, byDigest] : std::map(replies_)) {
        for (const auto &[digest, reply] : byDigest)
            propose(key.first, key.second, static_cast<std::uint32_t>(digest - 1));
    }
    advance(std::chrono::seconds(3));
    if (replies_.size() != before + 1)
        throw ControlViolation("the last command was not accepted");
    const SimulatedSeat &reference = seats_[*leader];
    if (reference.state.control.config.version < highestReportedVersion_)
        throw ControlViolation("an accepted version was lost");
    for (const SimulatedSeat &seat : seats_) {
        if (!isVoter(reference.state.raft, seat.id))
            continue;
        if (seat.state.appliedIndex != reference.state.appliedIndex)
            throw ControlViolation("a seat has not applied all entries");
        if (!(seat.state.control.config == reference.state.control.config)
            || !(seat.state.control.replies == reference.state.control.replies))
            throw ControlViolation("the control states of two seats differ");
        for (const std::string &endpoint : acknowledgedDepartures_) {
            if (!seat.state.control.departures.contains(endpoint))
                throw ControlViolation("a seat has forgotten that " + endpoint + " left");
        }
    }
}

} // namespace Trefoil
