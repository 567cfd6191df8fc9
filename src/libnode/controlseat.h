#pragma once

#include "libcoord/coord.h"
#include "libserving/serving.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

// A seat is a replica of the Raft log. This module joins it with the control state that results
// from the applied log entries. It performs no I/O: disk writes and messages are returned to the
// caller.

namespace Trefoil {

struct ControlSeatOptions
{
    RaftOptions raft;
    std::uint64_t entriesBetweenSnapshots = 4096; // log entries
};

// A proposal whose log entry is not applied yet.
struct PendingProposal
{
    Term term = 0;
    std::uint64_t proposalId = 0;
};

struct ControlSeatState
{
    ControlSeatOptions options;
    RaftState raft;
    ControlState control;
    LogIndex appliedIndex = 0;
    std::map<LogIndex, PendingProposal> pendingProposals;
    std::uint64_t nextProposalId = 1;
};

// A disk write and the messages that may be sent only after it is synced.
struct SeatDiskWork
{
    RaftDiskWrite write;
    std::vector<RaftMessage> sendAfterSync;
    LogIndex lastIndex = 0; // last entry of the log when this write was made
    Term lastTerm = 0;      // term of that entry
};

struct ProposalResult
{
    std::uint64_t proposalId = 0;
    // False if this seat lost the leadership before the entry was applied. The command may still be
    // committed.
    bool isApplied = false;
    CommandReply reply;
};

struct ControlSeatOutput
{
    std::vector<RaftMessage> send;
    std::vector<SeatDiskWork> disk;
    std::vector<ProposalResult> results;
    std::vector<FeedItem> configChanges;      // newly applied changes of the configuration
    std::vector<DepartedEndpoint> departures; // newly applied, or all of a snapshot
    // Configuration from a snapshot. It replaces the held one before `configChanges` are applied.
    std::optional<Configuration> restoredConfig;
};

ControlSeatState makeControlSeat(const RecoveredLog &recovered, const ControlSeatOptions &options,
                                 std::uint64_t seed, TimePoint now);

// Runs the timers of the seat: elections, heartbeats and resends.
void tickControlSeat(ControlSeatState &seat, TimePoint now, ControlSeatOutput &out);
void receiveRaftMessage(ControlSeatState &seat, const RaftMessage &message, TimePoint now,
                        ControlSeatOutput &out);

// Handles the end of a disk write. `index` and `term` are the lastIndex and lastTerm of its
// SeatDiskWork.
void handleSeatSynced(ControlSeatState &seat, LogIndex index, Term term, TimePoint now,
                      ControlSeatOutput &out);

// Both functions return the id under which the result is reported, or nothing if this seat cannot
// accept a proposal, for example because it does not lead.
std::optional<std::uint64_t> proposeCommand(ControlSeatState &seat, const Proposal &proposal,
                                            TimePoint now, ControlSeatOutput &out);
std::optional<std::uint64_t> proposeSeats(ControlSeatState &seat, SeatSet seats, TimePoint now,
                                          ControlSeatOutput &out);

// True while this seat leads, has committed an entry in its term and holds the leader lease.
bool isActingLeader(const ControlSeatState &seat, TimePoint now);

// Returns the departures in log entries, committed or not. An endpoint has announced each of them,
// so they hold even if their entry is never committed.
std::vector<DepartedEndpoint> departuresInEntries(std::span<const LogEntry> entries);

// Ids and seats for the first start of a system. Every entry derives the same ones from the entry
// ids.
SeatId initialSeatId(const EntryId &entry);
SeatSet initialSeats(std::span<const EntryId> entries);

// Returns the newest configuration version in the seat's log, committed or not.
ConfigVersion newestVersionInLog(const ControlSeatState &seat);

} // namespace Trefoil
