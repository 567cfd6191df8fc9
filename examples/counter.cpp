#include "libcoord/coord.h"

#include <filesystem>
#include <iostream>
#include <map>

// Embeds libcoord: three seats in one process replicate a counter on real files. The leader is then
// dropped without notice, and the others go on.

using namespace Trefoil;

namespace {

constexpr std::uint64_t Increments = 100;
constexpr auto Step = std::chrono::milliseconds(20);

struct CounterSeat
{
    std::unique_ptr<LogStore> store;
    RaftState raft;
    std::uint64_t count = 0;
    bool isUp = true;
};

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

    SeatId awaitLeader()
    {
        while (true) {
            advance();
            for (const auto &[id, seat] : seats_) {
                if (seat.isUp && isLeaderReady(seat.raft) && hasLeaderLease(seat.raft, now_))
                    return id;
            }
        }
    }

    void increment(SeatId leader)
    {
        RaftOutput out;
        raftPropose(seats_.at(leader).raft, "+1", now_, out);
        take(leader, out);
        advance();
    }

    void drop(SeatId seat) { seats_.at(seat).isUp = false; }
    std::uint64_t count(SeatId seat) const { return seats_.at(seat).count; }

private:
    void advance()
    {
        now_ += Step;
        for (auto &[id, seat] : seats_) {
            if (!seat.isUp)
                continue;
            RaftOutput out;
            raftTick(seat.raft, now_, out);
            take(id, out);
        }
        while (!network_.empty()) {
            const RaftMessage message = network_.front();
            network_.pop_front();
            if (!seats_.at(message.to).isUp)
                continue;
            RaftOutput out;
            raftReceive(seats_.at(message.to).raft, message, now_, out);
            take(message.to, out);
        }
    }

    void take(SeatId id, RaftOutput &out)
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
            take(id, next);
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
    const SeatId first = cluster.awaitLeader();
    for (std::uint64_t i = 0; i < Increments; ++i)
        cluster.increment(first);
    cluster.drop(first);
    const SeatId second = cluster.awaitLeader();
    cluster.increment(second);
    std::cout << "seat " << first << " led, then seat " << second << "; the count is "
              << cluster.count(second) << "\n";
    std::filesystem::remove_all(folder);
    return cluster.count(second) == Increments + 1 ? 0 : 1;
}
