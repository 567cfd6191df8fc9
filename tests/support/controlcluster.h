#pragma once

#include "libnode/node.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// A simulated cluster of control seats with fake disks, a fake network and drifting clocks in
// virtual time. Checks the invariants of the replicated log after every step and throws
// ControlViolation if one is violated.

namespace Trefoil {

class ControlViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct ControlClusterOptions
{
    std::size_t seats = 3;
    std::uint64_t seed = 1;
    std::uint64_t entriesBetweenSnapshots = 12;
};

class ControlCluster
{
public:
    explicit ControlCluster(const ControlClusterOptions &options);

    // The following functions advance time, generate load or inject faults. Seat numbers are taken
    // modulo the number of seats.
    void advance(Duration span);
    void propose(const std::string &operatorName, std::uint64_t number, std::uint32_t variant);

    // Proposes that an endpoint has left. Once this is reported as applied, no seat may forget it.
    void proposeDeparture(std::uint64_t number);

    // Checks that a read on a seat with the leader lease returns every version reported to a
    // client.
    void checkLeaseRead(std::size_t seat);

    void blockLink(std::size_t from, std::size_t to, bool bothWays);
    void heal();
    void setMessageLossRate(double rate);

    // Stops a seat. `survivingWrites` of its pending disk writes still become durable.
    void crash(std::size_t seat, std::size_t survivingWrites);

    void restart(std::size_t seat);
    void pause(std::size_t seat, Duration span);
    void setDiskSlowdown(std::size_t seat, int factor);
    void powerCycleAllSeats();
    void wipeSeat(std::size_t seat);
    void replaceWipedSeat();

    // Ends all faults. Then checks that the seats agree, that they accept commands, and that a
    // resent command gets its first reply.
    void settle();

    std::size_t committedEntryCount() const { return appliedEntries_.size(); }
    std::size_t leaderTermCount() const { return leaderByTerm_.size(); }

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

    struct SimulatedSeat
    {
        SeatId id = NoSeat;
        SeatSet initialSeats;
        ControlSeatState state;
        DurableLog durable;
        std::vector<PendingWrite> writes;
        bool isUp = true;
        bool isMember = true;
        double clockRate = 1;
        int diskSlowdown = 1;
        TimePoint pausedUntil{};
        std::vector<RaftMessage> messagesWhilePaused;
    };

    struct InTransitMessage
    {
        TimePoint at;
        std::size_t to;
        RaftMessage message;
    };

    struct SubmittedProposal
    {
        CommandIdentity identity;
        std::size_t seat;
        std::uint64_t proposalId;
        std::string departed; // endpoint of a departure, otherwise empty
    };

    TimePoint localTimeOf(const SimulatedSeat &seat) const;
    void step();
    void deliverMessages();
    void processOutput(std::size_t seat, ControlSeatOutput &out);
    void sendMessage(std::size_t from, const RaftMessage &message);
    void completeWrites(std::size_t seat);
    void applyDiskWrite(DurableLog &durable, const RaftDiskWrite &write);
    void startSeat(SimulatedSeat &seat);
    void checkReply(const SubmittedProposal &submitted, const CommandReply &reply);
    void checkAppliedEntries(std::size_t seat);
    void checkLeaders();
    std::optional<std::size_t> findActingLeader() const;
    bool hasIntactQuorums() const;
    bool drawChance(double probability);

    ControlClusterOptions options_;
    std::mt19937_64 rng_;
    TimePoint now_;
    std::vector<SimulatedSeat> seats_;
    std::vector<InTransitMessage> messagesInTransit_;
    std::set<std::pair<std::size_t, std::size_t>> blockedLinks_;
    double messageLossRate_ = 0;
    SeatId nextSeatId_ = 100;
    std::vector<SubmittedProposal> submittedProposals_;
    std::set<std::string> acknowledgedDepartures_;
    LogIndex highestReportedVersion_ = 0;                             // to a client
    std::map<LogIndex, std::pair<Term, std::string>> appliedEntries_; // by index, as first applied
    std::map<Term, SeatId> leaderByTerm_;
    std::map<std::pair<std::string, std::uint64_t>, std::map<std::uint64_t, CommandReply>> replies_;
};

} // namespace Trefoil
