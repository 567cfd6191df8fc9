#include "libcoord/coord.h"

#include <filesystem>
#include <iostream>
#include <map>

// Example of an application that embeds libcoord. Three seats (Raft replicas) in one process
// replicate a counter to real files. Then the leader stops without notice, and the others elect a
// new one.

using namespace Trefoil;

namespace {

constexpr std::uint64_t Increments = 100;
constexpr auto TickInterval = std::chrono::milliseconds(20);

// One replica of the counter.
struct CounterSeat
{
    std::unique_ptr<LogStore> store;
    RaftState raft;
    std::uint64_t count = 0;
    bool isRunning = true;
};

// Three replicas with a virtual clock and an in-memory network.
class CounterCluster
{
public:
    explicit CounterCluster(const std::string &folder)
        : now_(std::chrono::hours(1))
    {
        const SeatSet seats = {{1, "a", true}, {2, "b", true}, {3, "c", true}};
        for (const Seat &seat : seats) {
            CounterSeat &member = seats_[seat.id];
            member.store = std::make_unique<LogStore>(openPosixFolder(folder + "/" + seat.entry));
            member.store->createIdentity(seat.id, seats);
            const RecoveredLog log = member.store->recover();
            member.raft = makeRaft(log.seat, {}, log.hardState, log.snapshot, log.entries,
                                   log.initialSeats, seat.id, now_);
        }
    }

    // Advances the clock until a seat leads and holds the lease.
    SeatId waitForLeader()
    {
        while (true) {
            advance();
            for (const auto &[id, seat] : seats_) {
                if (seat.isRunning && isLeaderReady(seat.raft) && hasLeaderLease(seat.raft, now_))
                    return id;
            }
        }
    }

    void increment(SeatId leader)
    {
        RaftOutput out;
        raftPropose(seats_.at(leader).raft, "+1", now_, out);
        applyOutput(leader, out);
        advance();
    }

    void stopSeat(SeatId seat) { seats_.at(seat).isRunning = false; }
    std::uint64_t count(SeatId seat) const { return seats_.at(seat).count; }

private:
    // Advances the clock by one tick and delivers all messages.
    void advance()
    {
        now_ += TickInterval;
        for (auto &[id, seat] : seats_) {
            if (!seat.isRunning)
                continue;
            RaftOutput out;
            raftTick(seat.raft, now_, out);
            applyOutput(id, out);
        }
        while (!network_.empty()) {
            const RaftMessage message = network_.front();
            network_.pop_front();
            if (!seats_.at(message.to).isRunning)
                continue;
            RaftOutput out;
            raftReceive(seats_.at(message.to).raft, message, now_, out);
            applyOutput(message.to, out);
        }
    }

    // Sends the messages, counts the committed commands and writes the log to disk.
    void applyOutput(SeatId id, RaftOutput &out)
    {
        CounterSeat &seat = seats_.at(id);
        network_.insert(network_.end(), out.send.begin(), out.send.end());
        for (const LogEntry &entry : out.committed)
            seat.count += entry.kind == EntryKind::Command ? 1 : 0;
        if (!out.disk.isEmpty()) {
            seat.store->write(std::span(&out.disk, 1));
            RaftOutput next;
            const LogIndex last = lastLogIndex(seat.raft);
            raftConfirmSync(seat.raft, last, termAt(seat.raft, last), now_, next);
            applyOutput(id, next);
        }
        network_.insert(network_.end(), out.sendAfterSync.begin(), out.sendAfterSync.end());
    }

    TimePoint now_;
    std::map<SeatId, CounterSeat> seats_;
    std::deque<RaftMessage> network_;
};

} // namespace

int main()
{
    const std::string folder = std::filesystem::temp_directory_path() / "trefoil-counter";
    std::filesystem::remove_all(folder);
    CounterCluster cluster(folder);
    const SeatId firstLeader = cluster.waitForLeader();
    for (std::uint64_t i = 0; i < Increments; ++i)
        cluster.increment(firstLeader);
    cluster.stopSeat(firstLeader);
    const SeatId secondLeader = cluster.waitForLeader();
    cluster.increment(secondLeader);
    std::cout << "seat " << firstLeader << " led, then seat " << secondLeader << "; the count is "
              << cluster.count(secondLeader) << "\n";
    std::filesystem::remove_all(folder);
    return cluster.count(secondLeader) == Increments + 1 ? 0 : 1;
}
