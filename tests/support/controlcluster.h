#pragma once

#include "libnode/node.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Several control seats with fake disks, a fake network and drifting clocks, all in virtual time.
// Checks the promises of the replicated log after every step and throws Violation.

namespace Trefoil {

class Violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ClusterOptions
{
    std::size_t seats = 3;
    std::uint64_t seed = 1;
    std::uint64_t entriesBetweenSnapshots = 12;
};

class ControlCluster
{
public:
    explicit ControlCluster(const ClusterOptions &options);

    // Faults and load. Seat numbers are taken modulo the number of seats.
    void advance(Duration span);
    void propose(const std::string &operatorName, std::uint64_t number, std::uint32_t variant);
    void read(std::size_t seat);
    void cut(std::size_t from, std::size_t to, bool bothWays);
    void heal();
    void setLoss(double rate);
    void crash(std::size_t seat, std::size_t survivingWrites);
    void restart(std::size_t seat);
    void pause(std::size_t seat, Duration span);
    void slowDisk(std::size_t seat, int factor);
    void losePower(); // all seats at once, then back
    void wipe(std::size_t seat);
    void changeSeats();

    // Ends all faults and checks that the seats agree, serve, and still give first answers.
    void settle();

    std::size_t committed() const { return history_.size(); }
    std::size_t leaderChanges() const { return leaders_.size(); }

private:
    struct DurableLog
    {
        HardState hardState;
        std::shared_ptr<const RaftSnapshot> snapshot;
        std::vector<LogEntry> entries;
    };

    struct PendingWrite
    {
        SeatDiskWork work;
        TimePoint doneAt;
    };

    struct SimSeat
    {
        SeatId id = NoSeat;
        SeatSet initialSeats;
        ControlSeatState core;
        DurableLog durable;
        std::vector<PendingWrite> writes;
        bool isUp = true;
        bool isMember = true;
        double clockRate = 1;
        int syncFactor = 1;
        TimePoint pausedUntil{};
        std::vector<RaftMessage> heldMessages; // received while paused
    };

    struct Flight
    {
        TimePoint at;
        std::size_t to;
        RaftMessage message;
    };

    struct Ticket
    {
        CommandIdentity identity;
        std::size_t seat;
        std::uint64_t proposalId;
    };

    TimePoint localTime(const SimSeat &seat) const;
    void step();
    void deliver();
    void take(std::size_t seat, ControlSeatOutput &out);
    void send(std::size_t from, const RaftMessage &message);
    void completeWrites(std::size_t seat);
    void persist(DurableLog &durable, const RaftDiskWrite &write);
    void bootSeat(SimSeat &seat);
    void checkAnswer(const Ticket &proposalId, const CommandReply &reply);
    void checkHistory(std::size_t seat);
    void checkLeaders();
    std::optional<std::size_t> actingLeader() const;
    bool isQuorumIntact() const;
    bool chance(double probability);

    ClusterOptions options_;
    std::mt19937_64 rng_;
    TimePoint now_;
    std::vector<SimSeat> seats_;
    std::vector<Flight> flights_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    double loss_ = 0;
    SeatId nextSeatId_ = 100;
    std::vector<Ticket> tickets_;
    LogIndex toldIndex_ = 0; // highest version that a client was told
    std::map<LogIndex, std::pair<Term, std::string>> history_; // first applied entry at each index
    std::map<Term, SeatId> leaders_;
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::uint64_t, CommandReply>> answers_;
};

} // namespace Trefoil
