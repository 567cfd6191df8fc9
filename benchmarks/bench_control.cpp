#include "libcoord/coord.h"
#include "libnode/controlseat.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <utility>

// Measures the replicated log on real files in one process: commits per second and their latency
// with three and five seats (Raft replicas), where each commit is synced to disk, and the time to
// recover a long log.

using namespace Trefoil;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t CommitCount = 2000;
constexpr std::size_t BatchSizes[] = {1, 16, 128};

// A control seat (Raft replica) and its log.
struct Seat
{
    std::unique_ptr<LogStore> store;
    ControlSeatState state;
};

// Seats in one process. Messages are delivered without delay, and every write is synced to disk
// before it is acknowledged.
class Cluster
{
public:
    Cluster(const std::string &folder, std::size_t count)
    {
        SeatSet seats;
        for (std::size_t i = 0; i < count; ++i)
            seats.push_back({i + 1, "entry", true});
        for (std::size_t i = 0; i < count; ++i) {
            Seat seat;
            seat.store = std::make_unique<LogStore>(openPosixFolder(
                    folder + "/" + std::to_string(count) + "-" + std::to_string(i)));
            seat.store->createIdentity(i + 1, seats);
            ControlSeatOptions options;
            options.entriesBetweenSnapshots = 1'000'000;
            seat.state = makeControlSeat(seat.store->recover(), options, i + 1, now());
            seats_.push_back(std::move(seat));
        }
        while (!leader())
            tickSeats();
    }

    // Commits a batch of commands and waits until all are committed.
    void commit(std::size_t batch)
    {
        tickSeats();
        while (!leader())
            tickSeats();
        const std::size_t index = *leader();
        std::size_t proposed = 0;
        ControlSeatOutput out;
        for (std::size_t i = 0; i < batch; ++i) {
            Proposal proposal;
            proposal.identity = {"bench", ++number_, 1};
            proposal.command = SetWorkspace{{"w" + std::to_string(number_ % 100), 2}};
            proposed += proposeCommand(seats_[index].state, proposal, now(), out) ? 1 : 0;
        }
        committed_ = 0;
        applyOutput(index, out);
        while (committed_ < proposed) {
            deliverMessages();
            if (queue_.empty() && committed_ < proposed)
                tickSeats();
        }
    }

private:
    static TimePoint now() { return Clock::now(); }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t i = 0; i < seats_.size(); ++i) {
            if (isActingLeader(seats_[i].state, now()))
                return i;
        }
        return std::nullopt;
    }

    void tickSeats()
    {
        for (std::size_t i = 0; i < seats_.size(); ++i) {
            ControlSeatOutput out;
            tickControlSeat(seats_[i].state, now(), out);
            applyOutput(i, out);
        }
        deliverMessages();
    }

    void deliverMessages()
    {
        // Messages that arrive together share one write, as on the daemon's disk thread.
        std::vector<ControlSeatOutput> outs(seats_.size());
        for (const RaftMessage &message : std::exchange(queue_, {}))
            receiveRaftMessage(seats_[message.to - 1].state, message, now(), outs[message.to - 1]);
        for (std::size_t i = 0; i < outs.size(); ++i)
            applyOutput(i, outs[i]);
    }

    // Sends messages, writes to disk and counts the committed commands.
    void applyOutput(std::size_t index, ControlSeatOutput &out)
    {
        committed_ += out.results.size();
        queue_.insert(queue_.end(), out.send.begin(), out.send.end());
        if (out.disk.empty())
            return;
        std::vector<RaftDiskWrite> writes;
        for (SeatDiskWork &work : out.disk)
            writes.push_back(std::move(work.write));
        seats_[index].store->write(writes);
        for (SeatDiskWork &work : out.disk)
            queue_.insert(queue_.end(), work.sendAfterSync.begin(), work.sendAfterSync.end());
        ControlSeatOutput next;
        handleSeatSynced(seats_[index].state, out.disk.back().lastIndex, out.disk.back().lastTerm,
                         now(), next);
        applyOutput(index, next);
    }

    std::vector<Seat> seats_;
    std::vector<RaftMessage> queue_;
    std::uint64_t number_ = 0;
    std::size_t committed_ = 0;
};

double toMilliseconds(Clock::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void measureCommits(const std::string &folder, std::size_t seats)
{
    Cluster cluster(folder, seats);
    for (std::size_t batch : BatchSizes) {
        std::vector<double> latencies;
        const auto start = Clock::now();
        for (std::size_t done = 0; done < CommitCount; done += batch) {
            const auto before = Clock::now();
            cluster.commit(batch);
            latencies.push_back(toMilliseconds(Clock::now() - before));
        }
        const double total = toMilliseconds(Clock::now() - start);
        std::sort(latencies.begin(), latencies.end());
        std::printf("| %zu | %zu | %.0f | %.2f | %.2f |\n", seats, batch,
                    1000 * static_cast<double>(CommitCount) / total,
                    latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100]);
    }
}

void measureRecovery(const std::string &folder, std::size_t entries)
{
    const std::string path = folder + "/recovery-" + std::to_string(entries);
    {
        LogStore store(openPosixFolder(path));
        store.createIdentity(1, {{1, "entry", true}});
        store.recover();
        RaftDiskWrite write;
        for (LogIndex index = 1; index <= entries; ++index) {
            LogEntry entry;
            entry.index = index;
            entry.term = 1;
            entry.kind = EntryKind::Command;
            Proposal proposal;
            proposal.identity = {"bench", index, 1};
            proposal.command = SetWorkspace{{"w" + std::to_string(index % 100), 2}};
            entry.payload = encodeProposal(proposal);
            write.append.push_back(std::move(entry));
        }
        store.write(std::span(&write, 1));
    }
    const auto start = Clock::now();
    LogStore store(openPosixFolder(path));
    ControlSeatState seat = makeControlSeat(store.recover(), {}, 1, Clock::now());
    ControlSeatOutput out;
    TimePoint now = Clock::now();
    while (seat.appliedIndex < entries) {
        now += std::chrono::seconds(1);
        tickControlSeat(seat, now, out);
        for (const SeatDiskWork &work : std::exchange(out.disk, {}))
            handleSeatSynced(seat, work.lastIndex, work.lastTerm, now, out);
    }
    std::printf("| %zu | %.0f |\n", entries, toMilliseconds(Clock::now() - start));
}

} // namespace

int main()
{
    const std::string folder = std::filesystem::temp_directory_path() / "trefoil-bench-control";
    std::filesystem::remove_all(folder);
    std::printf("| seats | commands in a batch | commits/s | p50 ms | p99 ms "
                "|\n|---|---|---|---|---|\n");
    measureCommits(folder, 3);
    measureCommits(folder, 5);
    std::printf("\n| changes in the log | read and applied in ms |\n|---|---|\n");
    measureRecovery(folder, 1'200);
    measureRecovery(folder, 100'000);
    std::filesystem::remove_all(folder);
    return 0;
}
