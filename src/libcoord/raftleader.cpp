#include "libcoord/raft.h"

#include "libcoord/raftinternal.h"

#include <algorithm>

namespace Trefoil {

namespace {

// A chunk that is not answered within this time is sent again.
constexpr auto ChunkResendInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxTrackedRounds = 256;

RaftMessage makeLeaderMessage(const RaftState &raft, RaftMessageKind kind, SeatId to)
{
    RaftMessage message;
    message.kind = kind;
    message.from = raft.self;
    message.to = to;
    message.term = raft.hardState.term;
    message.commit = raft.commitIndex;
    message.round = raft.round;
    return message;
}

void sendSnapshotChunk(RaftState &raft, SeatId to, FollowerProgress &progress, TimePoint now,
                       RaftOutput &out)
{
    const RaftSnapshot &snapshot = *progress.outgoingSnapshot;
    RaftMessage chunk = makeLeaderMessage(raft, RaftMessageKind::SnapshotChunk, to);
    chunk.index = snapshot.index;
    chunk.logTerm = snapshot.term;
    chunk.seats = snapshot.seats;
    chunk.offset = progress.snapshotOffset;
    chunk.chunk = snapshot.data->substr(progress.snapshotOffset, raft.options.snapshotChunkBytes);
    chunk.isLastChunk = progress.snapshotOffset + chunk.chunk.size() >= snapshot.data->size();
    progress.lastSnapshotSend = now;
    out.send.push_back(std::move(chunk));
}

void startSnapshot(RaftState &raft, SeatId to, FollowerProgress &progress, TimePoint now,
                   RaftOutput &out)
{
    progress.outgoingSnapshot = raft.snapshot;
    progress.snapshotOffset = 0;
    progress.requestedSnapshotOffset = 0;
    sendSnapshotChunk(raft, to, progress, now, out);
}

// Returns the size of an entry in a message.
std::size_t messageBytes(const LogEntry &entry)
{
    constexpr std::size_t fixedBytes = 48;
    constexpr std::size_t seatBytes = 32;
    std::size_t bytes = fixedBytes + entry.payload.size();
    for (const Seat &seat : entry.seats)
        bytes += seatBytes + seat.entry.size();
    return bytes;
}

// Returns whether the entry that the follower needs next does not fit into an append.
bool needsChunks(const RaftState &raft, const FollowerProgress &progress)
{
    const LogEntry *next = entryAt(raft, progress.nextIndex);
    return next && next->payload.size() > raft.options.maxBytesPerMessage;
}

void sendEntryChunk(RaftState &raft, SeatId to, FollowerProgress &progress, TimePoint now,
                    RaftOutput &out)
{
    const LogEntry &entry = *entryAt(raft, progress.chunkedIndex);
    RaftMessage chunk = makeLeaderMessage(raft, RaftMessageKind::EntryChunk, to);
    chunk.index = entry.index - 1;
    chunk.logTerm = termAt(raft, chunk.index);
    chunk.entries.push_back({entry.index, entry.term, entry.kind, {}, entry.seats});
    chunk.offset = progress.chunkOffset;
    chunk.chunk = entry.payload.substr(progress.chunkOffset, raft.options.maxBytesPerMessage);
    chunk.isLastChunk = progress.chunkOffset + chunk.chunk.size() >= entry.payload.size();
    progress.lastChunkSend = now;
    out.send.push_back(std::move(chunk));
}

// Sends the next entry in chunks, of which one at a time is under way. Nothing is sent while an
// answer may still arrive.
void sendInChunks(RaftState &raft, SeatId to, FollowerProgress &progress, TimePoint now,
                  RaftOutput &out)
{
    const bool isNew = progress.chunkedIndex != progress.nextIndex;
    if (!isNew && now - progress.lastChunkSend < ChunkResendInterval)
        return;
    if (isNew)
        progress.requestedChunkOffset = 0;
    progress.chunkedIndex = progress.nextIndex;
    progress.chunkOffset = progress.requestedChunkOffset;
    sendEntryChunk(raft, to, progress, now, out);
}

// Sends an append without entries, which shows the follower that this seat leads.
void sendEmptyAppend(RaftState &raft, SeatId to, const FollowerProgress &progress, RaftOutput &out)
{
    RaftMessage append = makeLeaderMessage(raft, RaftMessageKind::AppendRequest, to);
    append.index = progress.nextIndex - 1;
    append.logTerm = termAt(raft, append.index);
    out.send.push_back(std::move(append));
}

void sendAppend(RaftState &raft, SeatId to, FollowerProgress &progress, TimePoint now,
                RaftOutput &out)
{
    if (progress.outgoingSnapshot) {
        if (now - progress.lastSnapshotSend < ChunkResendInterval)
            return;
        // A chunk or its reply was lost, or the follower restarted and needs an earlier byte.
        progress.snapshotOffset = progress.requestedSnapshotOffset;
        sendSnapshotChunk(raft, to, progress, now, out);
        return;
    }
    if (progress.nextIndex <= raft.snapshot->index) {
        startSnapshot(raft, to, progress, now, out);
        return;
    }
    if (needsChunks(raft, progress)) {
        sendInChunks(raft, to, progress, now, out);
        return;
    }
    RaftMessage append = makeLeaderMessage(raft, RaftMessageKind::AppendRequest, to);
    append.index = progress.nextIndex - 1;
    append.logTerm = termAt(raft, append.index);
    std::size_t bytes = 0;
    for (LogIndex index = progress.nextIndex; index <= lastLogIndex(raft); ++index) {
        const LogEntry &entry = *entryAt(raft, index);
        bytes += messageBytes(entry);
        const bool isFull = append.entries.size() >= raft.options.maxEntriesPerMessage
                            || bytes > raft.options.maxBytesPerMessage;
        if (isFull && !append.entries.empty())
            break;
        append.entries.push_back(entry);
    }
    if (!progress.isProbing && !append.entries.empty())
        progress.nextIndex = append.entries.back().index + 1;
    progress.lastAppendSend = now;
    out.send.push_back(std::move(append));
}

bool hasUnsentEntries(const RaftState &raft, const FollowerProgress &progress)
{
    return progress.nextIndex <= lastLogIndex(raft);
}

void broadcastHeartbeat(RaftState &raft, TimePoint now, RaftOutput &out)
{
    raft.round += 1;
    raft.roundSentAt[raft.round] = now;
    if (raft.roundSentAt.size() > MaxTrackedRounds)
        raft.roundSentAt.erase(raft.roundSentAt.begin());
    raft.nextHeartbeat = now + raft.options.heartbeatInterval;
    for (auto &[seat, progress] : raft.followers) {
        if (!progress.outgoingSnapshot && needsChunks(raft, progress))
            sendEmptyAppend(raft, seat, progress, out);
        sendAppend(raft, seat, progress, now, out);
    }
}

void sendNewEntries(RaftState &raft, TimePoint now, RaftOutput &out)
{
    for (auto &[seat, progress] : raft.followers) {
        if (!progress.isProbing && !progress.outgoingSnapshot && hasUnsentEntries(raft, progress))
            sendAppend(raft, seat, progress, now, out);
    }
}

// Returns the highest heartbeat round that a quorum, including this leader, has acknowledged.
std::uint64_t acknowledgedRound(const RaftState &raft)
{
    std::vector<std::uint64_t> rounds;
    for (const Seat &seat : raft.seats) {
        if (!seat.isVoter)
            continue;
        if (seat.id == raft.self) {
            rounds.push_back(raft.round);
            continue;
        }
        const auto found = raft.followers.find(seat.id);
        rounds.push_back(found == raft.followers.end() ? 0 : found->second.ackedRound);
    }
    if (rounds.empty())
        return 0;
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[std::min(quorumSize(raft.seats), rounds.size()) - 1];
}

// Extends the lease from the send time of the latest acknowledged round. The lease is shorter than
// the election timeout by twice the clock drift.
void extendLease(RaftState &raft)
{
    const std::uint64_t acked = acknowledgedRound(raft);
    const auto sentAt = raft.roundSentAt.find(acked);
    if (sentAt == raft.roundSentAt.end())
        return;
    const auto leaseTime = Duration(
            static_cast<Duration::rep>(static_cast<double>(raft.options.electionTimeout.count())
                                       * (1.0 - 2.0 * raft.options.maxClockDrift)));
    raft.leaseUntil = std::max(raft.leaseUntil, sentAt->second + leaseTime);
    raft.roundSentAt.erase(raft.roundSentAt.begin(), sentAt);
}

// Completes the reads whose round a quorum has acknowledged, or that the lease covers.
void finishReads(RaftState &raft, TimePoint now, RaftOutput &out)
{
    if (!isLeaderReady(raft))
        return;
    const std::uint64_t acked = acknowledgedRound(raft);
    const bool hasLease = hasLeaderLease(raft, now);
    std::erase_if(raft.pendingReads, [&](const PendingRead &read) {
        const bool isLeadershipConfirmed = hasLease || acked >= read.round;
        if (isLeadershipConfirmed && raft.commitIndex >= read.index)
            out.readsReady.push_back(read.id);
        return isLeadershipConfirmed && raft.commitIndex >= read.index;
    });
}

// Adds and removes followers so that they match the seat set.
void updateFollowers(RaftState &raft, TimePoint now)
{
    std::erase_if(raft.followers, [&raft](const auto &item) {
        return std::none_of(raft.seats.begin(), raft.seats.end(),
                            [&item](const Seat &seat) { return seat.id == item.first; });
    });
    for (const Seat &seat : raft.seats) {
        if (seat.id == raft.self || raft.followers.contains(seat.id))
            continue;
        FollowerProgress progress;
        progress.nextIndex = lastLogIndex(raft) + 1;
        progress.lastContact = now;
        raft.followers.emplace(seat.id, progress);
    }
}

// Returns true when a quorum has answered within two election timeouts. Otherwise the leader steps
// down, so that its callers look for another one.
bool hasQuorumContact(const RaftState &raft, TimePoint now)
{
    std::size_t reachableVoters = isVoter(raft, raft.self) ? 1 : 0;
    for (const auto &[seat, progress] : raft.followers) {
        if (isVoter(raft, seat) && now - progress.lastContact < 2 * raft.options.electionTimeout)
            ++reachableVoters;
    }
    return reachableVoters >= quorumSize(raft.seats);
}

// Makes one learner a voter once it has caught up with the log.
void promoteLearners(RaftState &raft, TimePoint now, RaftOutput &out)
{
    if (raft.seatsIndex > raft.commitIndex)
        return;
    for (const Seat &seat : raft.seats) {
        const auto found = raft.followers.find(seat.id);
        if (seat.isVoter || found == raft.followers.end())
            continue;
        if (found->second.matchIndex + raft.options.maxPromotionLag < lastLogIndex(raft)
            || found->second.matchIndex == 0)
            continue;
        SeatSet next = raft.seats;
        for (Seat &known : next)
            known.isVoter = known.isVoter || known.id == seat.id;
        raftProposeSeats(raft, std::move(next), now, out);
        return;
    }
}

// Returns true when the follower rejected an append other than the latest probe. Another append in
// response would multiply the messages.
bool isStaleRejection(const FollowerProgress &progress, const RaftMessage &reply)
{
    if (progress.isProbing)
        return reply.offset + 1 != progress.nextIndex;
    return reply.offset <= progress.matchIndex;
}

// Returns the number of seats in which two seat sets differ; a replaced seat counts once.
std::size_t countSeatChanges(const SeatSet &a, const SeatSet &b)
{
    const auto missingFrom = [](const SeatSet &from, const SeatSet &in) {
        return std::count_if(from.begin(), from.end(), [&in](const Seat &seat) {
            return std::none_of(in.begin(), in.end(), [&seat](const Seat &other) {
                return other.id == seat.id && other.isVoter == seat.isVoter;
            });
        });
    };
    return static_cast<std::size_t>(std::max(missingFrom(a, b), missingFrom(b, a)));
}

} // namespace

namespace RaftInternal {

void failPendingReads(RaftState &raft, RaftOutput &out)
{
    for (const PendingRead &read : raft.pendingReads)
        out.readsFailed.push_back(read.id);
    raft.pendingReads.clear();
}

void becomeLeader(RaftState &raft, TimePoint now, RaftOutput &out)
{
    raft.role = RaftRole::Leader;
    raft.leader = raft.self;
    raft.followers.clear();
    raft.roundSentAt.clear();
    raft.leaseUntil = {};
    updateFollowers(raft, now);
    raft.noopIndex = lastLogIndex(raft) + 1;
    LogEntry noop;
    noop.index = raft.noopIndex;
    noop.term = raft.hardState.term;
    appendLocal(raft, noop, out);
    broadcastHeartbeat(raft, now, out);
}

void leaderTick(RaftState &raft, TimePoint now, RaftOutput &out)
{
    if (!hasQuorumContact(raft, now)) {
        becomeFollower(raft, raft.hardState.term, NoSeat, now, out);
        return;
    }
    promoteLearners(raft, now, out);
    if (now >= raft.nextHeartbeat)
        broadcastHeartbeat(raft, now, out);
}

void updateLeaderCommit(RaftState &raft, TimePoint now, RaftOutput &out)
{
    std::vector<LogIndex> matches;
    for (const Seat &seat : raft.seats) {
        if (!seat.isVoter)
            continue;
        if (seat.id == raft.self) {
            matches.push_back(raft.durableIndex);
            continue;
        }
        const auto found = raft.followers.find(seat.id);
        matches.push_back(found == raft.followers.end() ? 0 : found->second.matchIndex);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex commit = matches[std::min(quorumSize(raft.seats), matches.size()) - 1];
    // Copies on a quorum commit only entries of the current term. Earlier entries are committed
    // together with them.
    if (commit <= raft.commitIndex || termAt(raft, commit) != raft.hardState.term)
        return;
    advanceCommit(raft, commit, out);
    finishReads(raft, now, out);
    if (raft.seatsIndex <= raft.commitIndex && !isVoter(raft, raft.self)) {
        broadcastHeartbeat(raft, now, out);
        becomeFollower(raft, raft.hardState.term, NoSeat, now, out);
    }
}

void receiveAppendReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out)
{
    const auto found = raft.followers.find(reply.from);
    if (raft.role != RaftRole::Leader || reply.term != raft.hardState.term
        || found == raft.followers.end())
        return;
    FollowerProgress &progress = found->second;
    progress.lastContact = now;
    progress.ackedRound = std::max(progress.ackedRound, reply.round);
    extendLease(raft);
    if (!reply.granted) {
        finishReads(raft, now, out);
        if (isStaleRejection(progress, reply))
            return;
        progress.isProbing = true;
        progress.nextIndex = std::max(std::min(reply.index + 1, lastLogIndex(raft) + 1),
                                      progress.matchIndex + 1);
        sendAppend(raft, reply.from, progress, now, out);
        return;
    }
    if (reply.index > progress.matchIndex)
        progress.matchIndex = std::min(reply.index, lastLogIndex(raft));
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    // A lost append leaves a gap between matchIndex and nextIndex. When no reply has closed the gap
    // within a heartbeat interval of the last append, the missing entries are sent again.
    const bool hasGap = progress.nextIndex > progress.matchIndex + 1
                        && now - progress.lastAppendSend >= raft.options.heartbeatInterval;
    if (hasGap)
        progress.nextIndex = progress.matchIndex + 1;
    progress.isProbing = false;
    updateLeaderCommit(raft, now, out);
    if (raft.role != RaftRole::Leader)
        return;
    finishReads(raft, now, out);
    const auto progressAfterCommit = raft.followers.find(reply.from);
    if (progressAfterCommit != raft.followers.end()
        && hasUnsentEntries(raft, progressAfterCommit->second))
        sendAppend(raft, reply.from, progressAfterCommit->second, now, out);
}

void receiveSnapshotReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out)
{
    const auto found = raft.followers.find(reply.from);
    if (raft.role != RaftRole::Leader || reply.term != raft.hardState.term
        || found == raft.followers.end())
        return;
    FollowerProgress &progress = found->second;
    progress.lastContact = now;
    progress.ackedRound = std::max(progress.ackedRound, reply.round);
    extendLease(raft);
    if (!progress.outgoingSnapshot || reply.index != progress.outgoingSnapshot->index)
        return;
    if (reply.granted) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index);
        progress.nextIndex = progress.matchIndex + 1;
        progress.outgoingSnapshot.reset();
        progress.isProbing = false;
        updateLeaderCommit(raft, now, out);
        if (raft.role == RaftRole::Leader && raft.followers.contains(reply.from))
            sendAppend(raft, reply.from, raft.followers[reply.from], now, out);
        return;
    }
    progress.requestedSnapshotOffset = reply.offset;
    // A late copy of an earlier reply requests nothing new.
    if (reply.offset <= progress.snapshotOffset)
        return;
    progress.snapshotOffset = reply.offset;
    sendSnapshotChunk(raft, reply.from, progress, now, out);
}

void receiveEntryReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out)
{
    const auto found = raft.followers.find(reply.from);
    if (raft.role != RaftRole::Leader || reply.term != raft.hardState.term
        || found == raft.followers.end())
        return;
    FollowerProgress &progress = found->second;
    progress.lastContact = now;
    progress.ackedRound = std::max(progress.ackedRound, reply.round);
    extendLease(raft);
    finishReads(raft, now, out);
    const bool isCurrent = reply.index == progress.chunkedIndex
                           && progress.chunkedIndex == progress.nextIndex
                           && needsChunks(raft, progress)
                           && reply.offset < entryAt(raft, reply.index)->payload.size();
    if (!isCurrent)
        return;
    progress.requestedChunkOffset = reply.offset;
    // A late copy of an earlier reply requests nothing new.
    if (reply.offset <= progress.chunkOffset)
        return;
    progress.chunkOffset = reply.offset;
    sendEntryChunk(raft, reply.from, progress, now, out);
}

} // namespace RaftInternal

using namespace RaftInternal;

bool hasLeaderLease(const RaftState &raft, TimePoint now)
{
    if (raft.role != RaftRole::Leader)
        return false;
    if (quorumSize(raft.seats) == 1 && isVoter(raft, raft.self))
        return true;
    return now < raft.leaseUntil;
}

bool isLeaderReady(const RaftState &raft)
{
    return raft.role == RaftRole::Leader && raft.commitIndex >= raft.noopIndex;
}

std::optional<LogIndex> raftPropose(RaftState &raft, std::string payload, TimePoint now,
                                    RaftOutput &out)
{
    if (raft.role != RaftRole::Leader)
        return std::nullopt;
    LogEntry entry;
    entry.index = lastLogIndex(raft) + 1;
    entry.term = raft.hardState.term;
    entry.kind = EntryKind::Command;
    entry.payload = std::move(payload);
    const LogIndex index = entry.index;
    appendLocal(raft, std::move(entry), out);
    sendNewEntries(raft, now, out);
    return index;
}

std::optional<LogIndex> raftProposeSeats(RaftState &raft, SeatSet seats, TimePoint now,
                                         RaftOutput &out)
{
    if (!isLeaderReady(raft) || raft.seatsIndex > raft.commitIndex
        || countSeatChanges(raft.seats, seats) > 1)
        return std::nullopt;
    LogEntry entry;
    entry.index = lastLogIndex(raft) + 1;
    entry.term = raft.hardState.term;
    entry.kind = EntryKind::Seats;
    entry.seats = std::move(seats);
    const LogIndex index = entry.index;
    appendLocal(raft, std::move(entry), out);
    updateFollowers(raft, now);
    sendNewEntries(raft, now, out);
    return index;
}

void raftConfirmSync(RaftState &raft, LogIndex index, Term term, TimePoint now, RaftOutput &out)
{
    if (termAt(raft, index) != term)
        return;
    raft.durableIndex = std::max(raft.durableIndex, index);
    if (raft.role == RaftRole::Leader)
        updateLeaderCommit(raft, now, out);
}

void raftRead(RaftState &raft, std::uint64_t id, TimePoint now, RaftOutput &out)
{
    if (raft.role != RaftRole::Leader) {
        out.readsFailed.push_back(id);
        return;
    }
    raft.pendingReads.push_back({id, raft.round + 1, raft.commitIndex});
    finishReads(raft, now, out);
}

} // namespace Trefoil
