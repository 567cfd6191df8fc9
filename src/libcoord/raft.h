#pragma once

#include "libcoord/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

// Raft: leader election with pre-vote and check-quorum, log replication, leader lease, linearizable
// reads, single-step seat changes with learners, compaction and chunked snapshots.
//
// The implementation is a plain struct and free functions. It performs no I/O and reads no clock:
// every function takes the current time and appends what the caller must do to a RaftOutput.

namespace Trefoil {

using SeatId = std::uint64_t;
using Term = std::uint64_t;
using LogIndex = std::uint64_t;

constexpr SeatId NoSeat = 0;

// Member of the replicated log. Learners receive the log but do not vote.
struct Seat
{
    SeatId id = NoSeat;
    std::string entry;
    bool isVoter = true; // false for learners

    bool operator==(const Seat &) const = default;
};

using SeatSet = std::vector<Seat>;

enum class EntryKind : std::uint8_t {
    Noop,    // a new leader appends it to commit entries of earlier terms
    Command, // carries a payload of the embedding application
    Seats,   // carries a new seat set, which takes effect once appended
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string payload;
    SeatSet seats;

    bool operator==(const LogEntry &) const = default;
};

// Term and vote of a seat, which must survive a restart.
struct HardState
{
    Term term = 0;
    SeatId votedFor = NoSeat;

    bool operator==(const HardState &) const = default;
};

// Application state after the entry at `index`.
struct RaftSnapshot
{
    LogIndex index = 0;
    Term term = 0;
    SeatSet seats;
    std::shared_ptr<const std::string> data = std::make_shared<std::string>();
};

enum class RaftMessageKind : std::uint8_t {
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    EntryChunk, // part of the payload of an entry that is too large for an append
    EntryReply,
};

// Message between seats. Fields that a kind does not use keep their defaults.
struct RaftMessage
{
    RaftMessageKind kind = RaftMessageKind::AppendRequest;
    SeatId from = NoSeat;
    SeatId to = NoSeat;
    Term term = 0;
    // Last log index of a candidate, previous index of an append or of the entry of a chunk, match
    // index of a reply, or index of a snapshot.
    LogIndex index = 0;
    Term logTerm = 0; // term of the entry at `index`
    LogIndex commit = 0;
    std::uint64_t round = 0; // heartbeat round of the leader, echoed by replies
    bool granted = false;
    std::vector<LogEntry> entries; // of a chunk, the entry without its payload
    SeatSet seats;                 // seat set of a snapshot
    // Byte offset of a chunk, offset of the next byte that a follower needs, or previous index of a
    // rejected append.
    std::uint64_t offset = 0;
    std::string chunk;
    bool isLastChunk = false;
};

struct RaftOptions
{
    // Minimum of the election timeout. A random part adds up to as much again.
    Duration electionTimeout = std::chrono::milliseconds(600);
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    // Largest relative difference between the rates of two seats' clocks.
    double maxClockDrift = 0.01;
    std::size_t maxEntriesPerMessage = 256;
    // Bound of the entries in one message. Entries with a larger payload are sent in chunks.
    std::size_t maxBytesPerMessage = 128 * 1024;
    std::size_t snapshotChunkBytes = 64 * 1024;
    // A learner that is at most this many entries behind the leader becomes a voter.
    std::uint64_t maxPromotionLag = 64;
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

// Changes that must reach the disk, in the order of the members.
struct RaftDiskWrite
{
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    std::shared_ptr<const RaftSnapshot> snapshot; // replaces the whole log

    bool isEmpty() const { return !hardState && !truncateFrom && append.empty() && !snapshot; }
};

// Actions that the caller must carry out after a call.
struct RaftOutput
{
    RaftDiskWrite disk;
    std::vector<RaftMessage> send;          // messages that may be sent at once
    std::vector<RaftMessage> sendAfterSync; // messages that may be sent only once `disk` is synced
    std::vector<LogEntry> committed;        // entries to apply, in order
    // Replaces the application state before `committed` is applied.
    std::shared_ptr<const RaftSnapshot> restore;
    std::vector<std::uint64_t> readsReady;  // reads that the applied state may answer
    std::vector<std::uint64_t> readsFailed; // reads to retry with the current leader
};

// State of the replication to one follower, kept by the leader.
struct FollowerProgress
{
    LogIndex nextIndex = 1;
    LogIndex matchIndex = 0;
    std::uint64_t ackedRound = 0;
    TimePoint lastContact{};
    std::shared_ptr<const RaftSnapshot> outgoingSnapshot;
    std::uint64_t snapshotOffset = 0;
    std::uint64_t requestedSnapshotOffset = 0; // next byte that the follower requested last
    TimePoint lastSnapshotSend{};
    LogIndex chunkedIndex = 0; // entry that is sent in chunks, 0 for none
    std::uint64_t chunkOffset = 0;
    std::uint64_t requestedChunkOffset = 0; // next byte that the follower requested last
    TimePoint lastChunkSend{};
    bool isProbing = true; // sends one append at a time until the match index is known
    TimePoint lastAppendSend{};
};

// Linearizable read that waits until a quorum has acknowledged its heartbeat round and its index is
// committed.
struct PendingRead
{
    std::uint64_t id = 0;
    std::uint64_t round = 0;
    LogIndex index = 0;
};

// Whole state of one seat.
struct RaftState
{
    RaftOptions options;
    SeatId self = NoSeat;
    std::mt19937_64 rng;

    HardState hardState;
    std::deque<LogEntry> log; // entries after snapshot.index
    std::shared_ptr<const RaftSnapshot> snapshot = std::make_shared<RaftSnapshot>();
    SeatSet seats;           // the latest appended seat set
    LogIndex seatsIndex = 0; // log index at which `seats` was set
    LogIndex commitIndex = 0;
    LogIndex durableIndex = 0; // last entry that is synced to the own disk

    RaftRole role = RaftRole::Follower;
    SeatId leader = NoSeat;
    TimePoint electionDeadline{};
    TimePoint lastLeaderContact{};
    std::set<SeatId> votes;

    std::map<SeatId, FollowerProgress> followers;
    std::uint64_t round = 0; // latest heartbeat round
    std::map<std::uint64_t, TimePoint> roundSentAt;
    TimePoint nextHeartbeat{};
    TimePoint leaseUntil{};
    LogIndex noopIndex = 0; // index of the no-op that this leader appended when it was elected
    std::vector<PendingRead> pendingReads;

    std::string incomingSnapshot;
    LogIndex incomingSnapshotIndex = 0;

    // Payload of an entry that arrives in chunks. An entry is identified by its index and term,
    // whoever sends it.
    std::string incomingPayload;
    LogIndex incomingEntryIndex = 0;
    Term incomingEntryTerm = 0;
};

// Creates the state of a seat from what the log store recovered. A restarted seat refuses votes for
// one election timeout, since it may have promised a lease to a leader before it stopped.
RaftState makeRaft(SeatId self, const RaftOptions &options, const HardState &hardState,
                   std::shared_ptr<const RaftSnapshot> snapshot, std::vector<LogEntry> log,
                   const SeatSet &initialSeats, std::uint64_t seed, TimePoint now);

// Advances elections, heartbeats and lease checks. Must be called at least every heartbeat
// interval.
void raftTick(RaftState &raft, TimePoint now, RaftOutput &out);

// Handles a message from another seat.
void raftReceive(RaftState &raft, const RaftMessage &message, TimePoint now, RaftOutput &out);

// Appends a command. Returns its index, or nothing when this seat is not the leader.
std::optional<LogIndex> raftPropose(RaftState &raft, std::string payload, TimePoint now,
                                    RaftOutput &out);

// Appends a seat set that differs from the current set in a single seat. Returns nothing when this
// seat is not the leader, when an earlier change is uncommitted or when more seats differ.
std::optional<LogIndex> raftProposeSeats(RaftState &raft, SeatSet seats, TimePoint now,
                                         RaftOutput &out);

// Records that the entry with this index and term, and all entries before it, are synced to the
// disk of this seat.
void raftConfirmSync(RaftState &raft, LogIndex index, Term term, TimePoint now, RaftOutput &out);

// Starts a linearizable read. Its id appears in readsReady or readsFailed of this or a later
// output.
void raftRead(RaftState &raft, std::uint64_t id, TimePoint now, RaftOutput &out);

// Drops log entries up to `index`, whose effects are in `data`.
void raftCompact(RaftState &raft, LogIndex index, std::string data, RaftOutput &out);

// Returns true while no other seat can have been elected leader.
bool hasLeaderLease(const RaftState &raft, TimePoint now);

// Returns true when the leader has committed an entry of its own term, so that its state is
// current.
bool isLeaderReady(const RaftState &raft);

LogIndex lastLogIndex(const RaftState &raft);

// Returns the term of the entry or snapshot at `index`, 0 when the log has neither.
Term termAt(const RaftState &raft, LogIndex index);

// Returns the entry at `index`, or null when the log does not contain it.
const LogEntry *entryAt(const RaftState &raft, LogIndex index);

bool isVoter(const RaftState &raft, SeatId seat);
std::size_t quorumSize(const SeatSet &seats);

} // namespace Trefoil
