#pragma once

#include "libcoord/coord.h"
#include "libserving/serving.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

// A seat of the replicated log together with the control state that it applies. Pure: disk writes
// and messages are returned to the caller.

namespace Trefoil {

struct ControlSeatOptions
{
    RaftOptions raft;
    std::uint64_t compactEvery = 4096; // log entries between snapshots
};

// A proposal whose entry is not applied yet.
struct PendingProposal
{
    Term term = 0;
    std::uint64_t ticket = 0;
};

struct ControlSeatState
{
    ControlSeatOptions options;
    RaftState raft;
    ControlState control;
    LogIndex appliedIndex = 0;
    std::map<LogIndex, PendingProposal> pending;
    std::uint64_t nextTicket = 1;
};

// Disk writes, and messages that may leave once they are synced.
struct SeatDiskWork
{
    RaftDiskWrite write;
    std::vector<RaftMessage> sendAfterSync;
    LogIndex lastIndex = 0; // own log end and its term when the work was made
    Term lastTerm = 0;
};

struct ProposalResult
{
    std::uint64_t ticket = 0;
    bool isApplied = false; // false when leadership was lost first; the command may still commit
    CommandReply reply;
};

struct ControlSeatOutput
{
    std::vector<RaftMessage> send;
    std::vector<SeatDiskWork> disk;
    std::vector<ProposalResult> results;
    std::vector<FeedItem> feed;            // newly accepted changes of the configuration
    std::optional<Configuration> restored; // replaces the configuration, before `feed`
};

ControlSeatState makeControlSeat(const RecoveredLog &recovered, const ControlSeatOptions &options,
                                 std::uint64_t seed, TimePoint now);

void seatTick(ControlSeatState &seat, TimePoint now, ControlSeatOutput &out);
void seatReceive(ControlSeatState &seat, const RaftMessage &message, TimePoint now,
                 ControlSeatOutput &out);
void seatSynced(ControlSeatState &seat, LogIndex index, Term term, TimePoint now,
                ControlSeatOutput &out);

// Returns the ticket under which the result is reported, or nothing when this seat is not a leader
// that can accept.
std::optional<std::uint64_t> seatPropose(ControlSeatState &seat, const Proposal &proposal,
                                         TimePoint now, ControlSeatOutput &out);
std::optional<std::uint64_t> seatProposeSeats(ControlSeatState &seat, SeatSet seats, TimePoint now,
                                              ControlSeatOutput &out);

// True while this seat leads, has committed in its term and holds the lease.
bool isActingLeader(const ControlSeatState &seat, TimePoint now);

// Seats of a system that starts for the first time. Every entry derives the same ones.
SeatId initialSeatId(const EntryId &entry);
SeatSet initialSeats(std::span<const EntryId> entries);

// Newest configuration version in the seat's log, committed or not.
ConfigVersion newestVersionInLog(const ControlSeatState &seat);

} // namespace Trefoil
