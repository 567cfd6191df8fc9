#include "controlcluster.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr auto StepSpan = std::chrono::milliseconds(20);
constexpr auto MinDelay = std::chrono::milliseconds(1);
constexpr auto MaxDelay = std::chrono::milliseconds(30);
constexpr double DuplicateRate = 0.05;
constexpr double MaxDrift = 0.01;

std::string describe(const CommandIdentity &identity)
{
    return identity.operatorName + "/" + std::to_string(identity.number);
}

} // namespace

ControlCluster::ControlCluster(const ClusterOptions &options)
    : options_(options)
    , rng_(options.seed)
    , now_(std::chrono::hours(1))
{
    SeatSet seats;
    for (std::size_t i = 0; i < options.seats; ++i)
        seats.push_back({i + 1, "entry-" + std::to_string(i), true});
    std::uniform_real_distribution<double> drift(1 - MaxDrift, 1 + MaxDrift);
    for (std::size_t i = 0; i < options.seats; ++i) {
        SimSeat seat;
        seat.id = i + 1;
        seat.initialSeats = seats;
        seat.clockRate = drift(rng_);
        seat.durable.snapshot = std::make_shared<RaftSnapshot>();
        seats_.push_back(std::move(seat));
        bootSeat(seats_.back());
    }
}

TimePoint ControlCluster::localTime(const SimSeat &seat) const
{
    const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed * seat.clockRate)));
}

bool ControlCluster::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(rng_) < probability;
}

void ControlCluster::bootSeat(SimSeat &seat)
{
    RecoveredLog recovered;
    recovered.seat = seat.id;
    recovered.initialSeats = seat.initialSeats;
    recovered.hardState = seat.durable.hardState;
    recovered.snapshot = seat.durable.snapshot;
    recovered.entries = seat.durable.entries;
    ControlSeatOptions options;
    options.entriesBetweenSnapshots = options_.entriesBetweenSnapshots;
    options.raft.snapshotChunkBytes = 512;
    seat.core = makeControlSeat(recovered, options, rng_(), localTime(seat));
    seat.writes.clear();
    seat.heldMessages.clear();
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
    now_ += StepSpan;
    deliver();
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        SimSeat &seat = seats_[i];
        if (!seat.isUp || now_ < seat.pausedUntil)
            continue;
        for (const RaftMessage &message : std::exchange(seat.heldMessages, {})) {
            ControlSeatOutput out;
            receiveRaftMessage(seat.core, message, localTime(seat), out);
            take(i, out);
        }
        completeWrites(i);
        ControlSeatOutput out;
        tickControlSeat(seat.core, localTime(seat), out);
        take(i, out);
    }
    checkLeaders();
}

void ControlCluster::deliver()
{
    std::vector<Flight> due;
    std::erase_if(flights_, [&](Flight &flight) {
        if (flight.at > now_)
            return false;
        due.push_back(std::move(flight));
        return true;
    });
    std::shuffle(due.begin(), due.end(), rng_);
    for (Flight &flight : due) {
        SimSeat &seat = seats_[flight.to];
        if (!seat.isUp)
            continue;
        if (now_ < seat.pausedUntil) {
            seat.heldMessages.push_back(std::move(flight.message));
            continue;
        }
        ControlSeatOutput out;
        receiveRaftMessage(seat.core, flight.message, localTime(seat), out);
        take(flight.to, out);
    }
}

void ControlCluster::send(std::size_t from, const RaftMessage &message)
{
    const auto target = std::find_if(seats_.begin(), seats_.end(),
                                     [&](const SimSeat &s) { return s.id == message.to; });
    if (target == seats_.end())
        return;
    const auto to = static_cast<std::size_t>(target - seats_.begin());
    if (cuts_.contains({from, to}) || chance(loss_))
        return;
    std::uniform_int_distribution<Duration::rep> delay(Duration(MinDelay).count(),
                                                       Duration(MaxDelay).count());
    flights_.push_back({now_ + Duration(delay(rng_)), to, message});
    if (chance(DuplicateRate))
        flights_.push_back({now_ + 3 * Duration(delay(rng_)), to, message});
}

void ControlCluster::take(std::size_t index, ControlSeatOutput &out)
{
    SimSeat &seat = seats_[index];
    for (const RaftMessage &message : out.send)
        send(index, message);
    std::uniform_int_distribution<int> syncMs(1, 40);
    for (SeatDiskWork &work : out.disk) {
        TimePoint doneAt = now_ + std::chrono::milliseconds(syncMs(rng_) * seat.syncFactor);
        if (!seat.writes.empty())
            doneAt = std::max(doneAt, seat.writes.back().doneAt);
        seat.writes.push_back({std::move(work), doneAt});
    }
    checkHistory(index);
    for (const ProposalResult &result : out.results) {
        const auto proposalId =
                std::find_if(tickets_.begin(), tickets_.end(), [&](const Ticket &t) {
                    return t.seat == index && t.proposalId == result.proposalId;
                });
        if (proposalId == tickets_.end())
            continue;
        if (result.isApplied)
            checkAnswer(*proposalId, result.reply);
        tickets_.erase(proposalId);
    }
    completeWrites(index);
}

void ControlCluster::persist(DurableLog &durable, const RaftDiskWrite &write)
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
        throw Violation("the durable log has a gap");
}

void ControlCluster::completeWrites(std::size_t index)
{
    SimSeat &seat = seats_[index];
    while (!seat.writes.empty() && seat.writes.front().doneAt <= now_) {
        const SeatDiskWork work = std::move(seat.writes.front().work);
        seat.writes.erase(seat.writes.begin());
        persist(seat.durable, work.write);
        for (const RaftMessage &message : work.sendAfterSync)
            send(index, message);
        ControlSeatOutput out;
        handleSeatSynced(seat.core, work.lastIndex, work.lastTerm, localTime(seat), out);
        take(index, out);
    }
}

// The command goes to every seat that believes to lead, deposed leaders included.
void ControlCluster::propose(const std::string &operatorName, std::uint64_t number,
                             std::uint32_t variant)
{
    for (std::size_t index = 0; index < seats_.size(); ++index) {
        SimSeat &seat = seats_[index];
        if (!seat.isUp || now_ < seat.pausedUntil)
            continue;
        Proposal proposal;
        proposal.identity = {operatorName, number, variant + 1};
        proposal.command = SetWorkspace{{"w" + std::to_string(number % 5), variant + 1.0}};
        ControlSeatOutput out;
        const auto proposalId = proposeCommand(seat.core, proposal, localTime(seat), out);
        if (proposalId)
            tickets_.push_back({proposal.identity, index, *proposalId});
        take(index, out);
    }
}

// One answer for each identity; a reused number is refused for every text but the first.
void ControlCluster::checkAnswer(const Ticket &proposalId, const CommandReply &reply)
{
    const CommandIdentity &identity = proposalId.identity;
    auto &byDigest = answers_[{identity.operatorName, identity.number}];
    if (reply.code == ReplyCode::NumberReused) {
        const auto own = byDigest.find(identity.digest);
        if (own != byDigest.end() && own->second.code != ReplyCode::NumberReused)
            throw Violation("the first answer of " + describe(identity) + " was forgotten");
        byDigest[identity.digest] = reply;
        return;
    }
    for (const auto &[digest, earlier] : byDigest) {
        if (earlier.code == ReplyCode::NumberReused)
            continue;
        if (digest != identity.digest)
            throw Violation("two commands were accepted as " + describe(identity));
        if (earlier != reply)
            throw Violation("another answer for " + describe(identity));
    }
    const auto own = byDigest.find(identity.digest);
    if (own != byDigest.end() && own->second.code == ReplyCode::NumberReused)
        throw Violation(describe(identity) + " was refused before it was accepted");
    byDigest[identity.digest] = reply;
    toldIndex_ = std::max(toldIndex_, reply.version);
}

// All seats apply the same entries, and an applied entry never changes.
void ControlCluster::checkHistory(std::size_t index)
{
    const ControlSeatState &core = seats_[index].core;
    const LogIndex first = std::max(core.raft.snapshot->index + 1,
                                    core.appliedIndex > 64 ? core.appliedIndex - 64 : 1);
    for (LogIndex at = first; at <= core.appliedIndex; ++at) {
        const LogEntry *entry = entryAt(core.raft, at);
        if (!entry)
            continue;
        const auto [known, added] = history_.try_emplace(at, entry->term, entry->payload);
        if (!added && known->second != std::make_pair(entry->term, entry->payload))
            throw Violation("entry " + std::to_string(at) + " was committed twice");
    }
}

void ControlCluster::checkLeaders()
{
    std::size_t acting = 0;
    for (const SimSeat &seat : seats_) {
        if (!seat.isUp)
            continue;
        const RaftState &raft = seat.core.raft;
        if (raft.role == RaftRole::Leader) {
            const auto [known, added] = leaders_.try_emplace(raft.hardState.term, seat.id);
            if (!added && known->second != seat.id)
                throw Violation("two leaders in term " + std::to_string(raft.hardState.term));
        }
        // A paused seat answers nothing; its lease is checked when it runs again.
        if (now_ >= seat.pausedUntil && isActingLeader(seat.core, localTime(seat)))
            ++acting;
    }
    if (acting > 1)
        throw Violation("two seats hold a leader lease");
}

void ControlCluster::read(std::size_t seatNumber)
{
    const SimSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp || now_ < seat.pausedUntil)
        return;
    // A lease read answers at once from the applied state.
    if (!isActingLeader(seat.core, localTime(seat)))
        return;
    if (seat.core.control.config.version < toldIndex_)
        throw Violation("a read missed version " + std::to_string(toldIndex_));
}

void ControlCluster::cut(std::size_t from, std::size_t to, bool bothWays)
{
    from %= seats_.size();
    to %= seats_.size();
    cuts_.insert({from, to});
    if (bothWays)
        cuts_.insert({to, from});
}

void ControlCluster::heal()
{
    cuts_.clear();
    loss_ = 0;
}

void ControlCluster::setLoss(double rate)
{
    loss_ = rate;
}

void ControlCluster::crash(std::size_t seatNumber, std::size_t survivingWrites)
{
    SimSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp)
        return;
    for (std::size_t i = 0; i < std::min(survivingWrites, seat.writes.size()); ++i)
        persist(seat.durable, seat.writes[i].work.write);
    seat.writes.clear();
    seat.heldMessages.clear();
    seat.isUp = false;
    std::erase_if(tickets_, [&](const Ticket &t) { return t.seat == seatNumber % seats_.size(); });
}

void ControlCluster::restart(std::size_t seatNumber)
{
    SimSeat &seat = seats_[seatNumber % seats_.size()];
    if (!seat.isUp)
        bootSeat(seat);
}

void ControlCluster::slowDisk(std::size_t seatNumber, int factor)
{
    seats_[seatNumber % seats_.size()].syncFactor = factor;
}

void ControlCluster::losePower()
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

// Loses a seat's data folder. It comes back with a new identity, which no seat set names.
void ControlCluster::wipe(std::size_t seatNumber)
{
    const std::size_t index = seatNumber % seats_.size();
    const bool earlierWipe =
            std::any_of(seats_.begin(), seats_.end(), [](const SimSeat &s) { return !s.isMember; });
    if (earlierWipe)
        return;
    crash(index, 0);
    SimSeat &seat = seats_[index];
    seat.id = nextSeatId_++;
    seat.initialSeats.clear();
    seat.durable = DurableLog{};
    seat.durable.snapshot = std::make_shared<RaftSnapshot>();
    seat.isMember = false;
    bootSeat(seat);
}

// Asks a leader to replace a wiped seat: first the old identity goes, then the new one comes.
void ControlCluster::changeSeats()
{
    const auto acting = actingLeader();
    if (!acting)
        return;
    SimSeat &leader = seats_[*acting];
    SeatSet next = leader.core.raft.seats;
    const auto orphan = std::find_if(next.begin(), next.end(), [this](const Seat &known) {
        return std::none_of(seats_.begin(), seats_.end(),
                            [&](const SimSeat &seat) { return seat.id == known.id; });
    });
    if (orphan != next.end()) {
        next.erase(orphan);
    } else {
        const auto newcomer = std::find_if(seats_.begin(), seats_.end(), [&](const SimSeat &seat) {
            return std::none_of(next.begin(), next.end(),
                                [&](const Seat &known) { return known.id == seat.id; });
        });
        if (newcomer == seats_.end())
            return;
        next.push_back({newcomer->id, "entry-new", false});
        newcomer->isMember = true;
    }
    ControlSeatOutput out;
    proposeSeats(leader.core, std::move(next), localTime(leader), out);
    take(*acting, out);
}

std::optional<std::size_t> ControlCluster::actingLeader() const
{
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        if (seats_[i].isUp && now_ >= seats_[i].pausedUntil
            && isActingLeader(seats_[i].core, localTime(seats_[i])))
            return i;
    }
    return std::nullopt;
}

// True when a quorum of every seat set that is in force somewhere still has its memory.
bool ControlCluster::isQuorumIntact() const
{
    return std::all_of(seats_.begin(), seats_.end(), [this](const SimSeat &seat) {
        const SeatSet &set = seat.core.raft.seats;
        const auto alive = std::count_if(set.begin(), set.end(), [this](const Seat &known) {
            return known.isVoter
                   && std::any_of(seats_.begin(), seats_.end(),
                                  [&](const SimSeat &s) { return s.id == known.id; });
        });
        return set.empty() || static_cast<std::size_t>(alive) >= quorumSize(set);
    });
}

void ControlCluster::settle()
{
    heal();
    for (std::size_t i = 0; i < seats_.size(); ++i) {
        restart(i);
        seats_[i].pausedUntil = {};
        seats_[i].syncFactor = 1;
    }
    advance(std::chrono::seconds(8));
    if (!isQuorumIntact())
        return;
    const auto leader = actingLeader();
    if (!leader)
        throw Violation("no leader after the faults ended");
    const std::size_t before = answers_.size();
    propose("last", 1, 1);
    // Every first answer must still be given.
    for (const auto &[key, byDigest] : std::map(answers_)) {
        for (const auto &[digest, reply] : byDigest)
            propose(key.first, key.second, static_cast<std::uint32_t>(digest - 1));
    }
    advance(std::chrono::seconds(3));
    if (answers_.size() != before + 1)
        throw Violation("the last command was not accepted");
    const SimSeat &reference = seats_[*leader];
    if (reference.core.control.config.version < toldIndex_)
        throw Violation("an accepted version was lost");
    for (const SimSeat &seat : seats_) {
        if (!isVoter(reference.core.raft, seat.id))
            continue;
        if (seat.core.appliedIndex != reference.core.appliedIndex)
            throw Violation("a seat did not catch up");
        if (!(seat.core.control.config == reference.core.control.config)
            || !(seat.core.control.replies == reference.core.control.replies))
            throw Violation("the states differ");
    }
}

} // namespace Trefoil
