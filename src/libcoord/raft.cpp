#include "libcoord/raft.h"

#include "libcoord/raftinternal.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

using namespace RaftInternal;

LogIndex lastLogIndex(const RaftState &raft)
{
    return raft.snapshot->index + raft.log.size();
}

const LogEntry *entryAt(const RaftState &raft, LogIndex index)
{
    if (index <= raft.snapshot->index || index > lastLogIndex(raft))
        return nullptr;
    return &raft.log[index - raft.snapshot->index - 1];
}

Term termAt(const RaftState &raft, LogIndex index)
{
    if (index == raft.snapshot->index)
        return raft.snapshot->term;
    const LogEntry *entry = entryAt(raft, index);
    return entry ? entry->term : 0;
}

bool isVoter(const RaftState &raft, SeatId seat)
{
    return std::any_of(raft.seats.begin(), raft.seats.end(),
                       [seat](const Seat &known) { return known.id == seat && known.isVoter; });
}

std::size_t quorumSize(const SeatSet &seats)
{
    const auto voters = std::count_if(seats.begin(), seats.end(),
                                      [](const Seat &seat) { return seat.isVoter; });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

namespace {

void resetElectionTimer(RaftState &raft, TimePoint now)
{
    std::uniform_int_distribution<Duration::rep> randomPart(0,
                                                            raft.options.electionTimeout.count());
    raft.electionDeadline = now + raft.options.electionTimeout + Duration(randomPart(raft.rng));
}

RaftMessage makeMessage(const RaftState &raft, RaftMessageKind kind, SeatId to)
{
    RaftMessage message;
    message.kind = kind;
    message.from = raft.self;
    message.to = to;
    message.term = raft.hardState.term;
    return message;
}

void requestVotes(RaftState &raft, RaftMessageKind kind, Term term, RaftOutput &out)
{
    for (const Seat &seat : raft.seats) {
        if (seat.id == raft.self || !seat.isVoter)
            continue;
        RaftMessage request = makeMessage(raft, kind, seat.id);
        request.term = term;
        request.index = lastLogIndex(raft);
        request.logTerm = termAt(raft, request.index);
        // The candidate's own vote must be durable before it asks the other seats for theirs.
        out.sendAfterSync.push_back(std::move(request));
    }
}

void startElection(RaftState &raft, TimePoint now, RaftOutput &out)
{
    raft.role = RaftRole::Candidate;
    raft.leader = NoSeat;
    raft.hardState.term += 1;
    raft.hardState.votedFor = raft.self;
    raft.votes = {raft.self};
    out.disk.hardState = raft.hardState;
    resetElectionTimer(raft, now);
    if (raft.votes.size() >= quorumSize(raft.seats)) {
        becomeLeader(raft, now, out);
        return;
    }
    requestVotes(raft, RaftMessageKind::VoteRequest, raft.hardState.term, out);
}

void startPreVote(RaftState &raft, TimePoint now, RaftOutput &out)
{
    raft.role = RaftRole::PreCandidate;
    raft.leader = NoSeat;
    raft.votes = {raft.self};
    resetElectionTimer(raft, now);
    if (raft.votes.size() >= quorumSize(raft.seats)) {
        startElection(raft, now, out);
        return;
    }
    requestVotes(raft, RaftMessageKind::PreVoteRequest, raft.hardState.term + 1, out);
}

bool isLogUpToDate(const RaftState &raft, const RaftMessage &request)
{
    const LogIndex last = lastLogIndex(raft);
    const Term lastTerm = termAt(raft, last);
    if (request.logTerm != lastTerm)
        return request.logTerm > lastTerm;
    return request.index >= last;
}

// Returns true within the shortest election timeout after contact with a leader. Meanwhile the seat
// votes for no candidate. This makes the leader lease safe and keeps a returning seat from
// disrupting the others.
bool isLeaderAlive(const RaftState &raft, TimePoint now)
{
    return now < raft.lastLeaderContact + raft.options.electionTimeout;
}

void receiveVoteRequest(RaftState &raft, const RaftMessage &request, TimePoint now, RaftOutput &out)
{
    const bool isPreVote = request.kind == RaftMessageKind::PreVoteRequest;
    const bool isLeading = raft.role == RaftRole::Leader;
    if (isLeading || isLeaderAlive(raft, now))
        return;
    if (!isPreVote && request.term > raft.hardState.term)
        becomeFollower(raft, request.term, NoSeat, now, out);

    const bool isTermValid =
            isPreVote ? request.term > raft.hardState.term : request.term == raft.hardState.term;
    const bool canVote = isPreVote || raft.hardState.votedFor == NoSeat
                         || raft.hardState.votedFor == request.from;
    const bool granted = isTermValid && canVote && isLogUpToDate(raft, request);
    RaftMessage reply = makeMessage(
            raft, isPreVote ? RaftMessageKind::PreVoteReply : RaftMessageKind::VoteReply,
            request.from);
    reply.granted = granted;
    if (granted && isPreVote)
        reply.term = request.term;
    // Of two seats that ask for pre-votes at the same time, one gives way, since their elections
    // would split the votes.
    if (granted && raft.role == RaftRole::PreCandidate && request.from > raft.self) {
        raft.role = RaftRole::Follower;
        resetElectionTimer(raft, now);
    }
    if (granted && !isPreVote) {
        if (raft.hardState.votedFor != request.from) {
            raft.hardState.votedFor = request.from;
            out.disk.hardState = raft.hardState;
        }
        resetElectionTimer(raft, now);
    }
    out.sendAfterSync.push_back(std::move(reply));
}

void receiveVoteReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out)
{
    const bool isPreVote = reply.kind == RaftMessageKind::PreVoteReply;
    const RaftRole expectedRole = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (raft.role != expectedRole || !reply.granted || !isVoter(raft, reply.from))
        return;
    if (reply.term != raft.hardState.term + (isPreVote ? 1 : 0))
        return;
    raft.votes.insert(reply.from);
    if (raft.votes.size() < quorumSize(raft.seats))
        return;
    if (isPreVote)
        startElection(raft, now, out);
    else
        becomeLeader(raft, now, out);
}

void truncateFrom(RaftState &raft, LogIndex index, RaftOutput &out)
{
    raft.log.erase(raft.log.begin() + static_cast<std::ptrdiff_t>(index - raft.snapshot->index - 1),
                   raft.log.end());
    raft.durableIndex = std::min(raft.durableIndex, index - 1);
    std::erase_if(out.disk.append, [index](const LogEntry &e) { return e.index >= index; });
    if (!out.disk.truncateFrom || *out.disk.truncateFrom > index)
        out.disk.truncateFrom = index;
    restoreSeats(raft);
}

// Fills a reply that rejects the append. It contains the index before the conflicting term, so that
// the leader skips a long divergent tail in one exchange.
void rejectAppend(RaftState &raft, const RaftMessage &request, RaftMessage &reply)
{
    const LogIndex last = lastLogIndex(raft);
    LogIndex hint = std::min(request.index, last + 1);
    if (hint <= last && hint > raft.snapshot->index) {
        const Term conflict = termAt(raft, hint);
        while (hint > raft.snapshot->index + 1 && termAt(raft, hint - 1) == conflict)
            --hint;
    }
    reply.granted = false;
    reply.offset = request.index;
    reply.index = std::max(hint, raft.commitIndex + 1) - 1;
}

void receiveAppend(RaftState &raft, const RaftMessage &request, TimePoint now, RaftOutput &out)
{
    RaftMessage reply = makeMessage(raft, RaftMessageKind::AppendReply, request.from);
    reply.round = request.round;
    const bool matchesLog = request.index <= raft.commitIndex
                            || (request.index <= lastLogIndex(raft)
                                && termAt(raft, request.index) == request.logTerm);
    if (!matchesLog) {
        rejectAppend(raft, request, reply);
        out.sendAfterSync.push_back(std::move(reply));
        return;
    }
    LogIndex match = request.index;
    for (const LogEntry &entry : request.entries) {
        match = entry.index;
        if (entry.index <= raft.commitIndex)
            continue;
        if (entry.index <= lastLogIndex(raft)) {
            if (termAt(raft, entry.index) == entry.term)
                continue;
            truncateFrom(raft, entry.index, out);
        }
        appendLocal(raft, entry, out);
    }
    advanceCommit(raft, std::min(request.commit, match), out);
    reply.granted = true;
    reply.index = match;
    out.sendAfterSync.push_back(std::move(reply));
    resetElectionTimer(raft, now);
}

// Adds a chunk to the payload that arrives. Returns the whole payload once it is complete.
std::optional<std::string> assemblePayload(RaftState &raft, const RaftMessage &chunk)
{
    const LogEntry &entry = chunk.entries.front();
    if (entry.index != raft.incomingEntryIndex || entry.term != raft.incomingEntryTerm) {
        raft.incomingEntryIndex = entry.index;
        raft.incomingEntryTerm = entry.term;
        raft.incomingPayload.clear();
    }
    if (chunk.offset != raft.incomingPayload.size())
        return std::nullopt;
    raft.incomingPayload += chunk.chunk;
    if (!chunk.isLastChunk)
        return std::nullopt;
    raft.incomingEntryIndex = 0;
    return std::exchange(raft.incomingPayload, {});
}

void receiveEntryChunk(RaftState &raft, const RaftMessage &chunk, TimePoint now, RaftOutput &out)
{
    if (chunk.entries.size() != 1)
        return;
    const LogEntry &entry = chunk.entries.front();
    const bool isKnown =
            entry.index <= raft.commitIndex
            || (entry.index <= lastLogIndex(raft) && termAt(raft, entry.index) == entry.term);
    const bool matchesLog =
            isKnown || chunk.index <= raft.commitIndex
            || (chunk.index <= lastLogIndex(raft) && termAt(raft, chunk.index) == chunk.logTerm);
    RaftMessage append = chunk;
    append.entries.clear();
    if (matchesLog && !isKnown) {
        auto payload = assemblePayload(raft, chunk);
        if (!payload) {
            resetElectionTimer(raft, now);
            RaftMessage reply = makeMessage(raft, RaftMessageKind::EntryReply, chunk.from);
            reply.round = chunk.round;
            reply.index = entry.index;
            reply.offset = raft.incomingPayload.size();
            out.sendAfterSync.push_back(std::move(reply));
            return;
        }
        append.entries.push_back(entry);
        append.entries.back().payload = std::move(*payload);
    } else if (isKnown) {
        // Confirms the entry, of which the follower needs no more chunks.
        append.index = entry.index;
        append.logTerm = entry.term;
    }
    receiveAppend(raft, append, now, out);
}

void installSnapshot(RaftState &raft, const RaftMessage &chunk, RaftOutput &out)
{
    auto snapshot = std::make_shared<RaftSnapshot>();
    snapshot->index = chunk.index;
    snapshot->term = chunk.logTerm;
    snapshot->seats = chunk.seats;
    snapshot->data = std::make_shared<const std::string>(std::move(raft.incomingSnapshot));
    raft.incomingSnapshot.clear();
    raft.snapshot = snapshot;
    raft.log.clear();
    raft.commitIndex = snapshot->index;
    raft.durableIndex = snapshot->index;
    restoreSeats(raft);
    out.disk.truncateFrom.reset();
    out.disk.append.clear();
    out.disk.snapshot = snapshot;
    out.committed.clear();
    out.restore = snapshot;
}

void receiveSnapshotChunk(RaftState &raft, const RaftMessage &chunk, TimePoint now, RaftOutput &out)
{
    resetElectionTimer(raft, now);
    RaftMessage reply = makeMessage(raft, RaftMessageKind::SnapshotReply, chunk.from);
    reply.round = chunk.round;
    reply.index = chunk.index;
    // When the log contains the last entry of the snapshot, the entries after it may have been
    // acknowledged. The log is then kept instead of installing the snapshot.
    const bool matchesLog =
            chunk.index <= lastLogIndex(raft) && termAt(raft, chunk.index) == chunk.logTerm;
    if (matchesLog)
        advanceCommit(raft, chunk.index, out);
    if (chunk.index <= raft.commitIndex) {
        reply.granted = true;
        out.sendAfterSync.push_back(std::move(reply));
        return;
    }
    if (chunk.index != raft.incomingSnapshotIndex || chunk.offset == 0) {
        raft.incomingSnapshotIndex = chunk.index;
        raft.incomingSnapshot.clear();
    }
    if (chunk.offset == raft.incomingSnapshot.size()) {
        raft.incomingSnapshot += chunk.chunk;
        if (chunk.isLastChunk) {
            installSnapshot(raft, chunk, out);
            raft.incomingSnapshotIndex = 0;
            reply.granted = true;
        }
    }
    reply.offset = raft.incomingSnapshot.size();
    out.sendAfterSync.push_back(std::move(reply));
}

bool isFromLeader(RaftMessageKind kind)
{
    return kind == RaftMessageKind::AppendRequest || kind == RaftMessageKind::SnapshotChunk
           || kind == RaftMessageKind::EntryChunk;
}

void receiveFromLeader(RaftState &raft, const RaftMessage &message, TimePoint now, RaftOutput &out)
{
    if (message.term < raft.hardState.term) {
        // The reply tells a deposed leader the current term.
        out.send.push_back(makeMessage(raft, RaftMessageKind::AppendReply, message.from));
        return;
    }
    if (message.term > raft.hardState.term || raft.role != RaftRole::Follower)
        becomeFollower(raft, message.term, message.from, now, out);
    raft.leader = message.from;
    raft.lastLeaderContact = now;
    if (message.kind == RaftMessageKind::AppendRequest)
        receiveAppend(raft, message, now, out);
    else if (message.kind == RaftMessageKind::EntryChunk)
        receiveEntryChunk(raft, message, now, out);
    else
        receiveSnapshotChunk(raft, message, now, out);
}

} // namespace

namespace RaftInternal {

void becomeFollower(RaftState &raft, Term term, SeatId leader, TimePoint now, RaftOutput &out)
{
    if (term > raft.hardState.term) {
        raft.hardState.term = term;
        raft.hardState.votedFor = NoSeat;
        out.disk.hardState = raft.hardState;
    }
    raft.role = RaftRole::Follower;
    raft.leader = leader;
    raft.leaseUntil = {};
    raft.followers.clear();
    raft.roundSentAt.clear();
    failPendingReads(raft, out);
    resetElectionTimer(raft, now);
}

void appendLocal(RaftState &raft, LogEntry entry, RaftOutput &out)
{
    if (entry.kind == EntryKind::Seats) {
        raft.seats = entry.seats;
        raft.seatsIndex = entry.index;
    }
    out.disk.append.push_back(entry);
    raft.log.push_back(std::move(entry));
}

void advanceCommit(RaftState &raft, LogIndex commit, RaftOutput &out)
{
    for (LogIndex index = raft.commitIndex + 1; index <= commit; ++index)
        out.committed.push_back(*entryAt(raft, index));
    raft.commitIndex = std::max(raft.commitIndex, commit);
}

void restoreSeats(RaftState &raft)
{
    raft.seats = raft.snapshot->seats;
    raft.seatsIndex = raft.snapshot->index;
    for (const LogEntry &entry : raft.log) {
        if (entry.kind != EntryKind::Seats)
            continue;
        raft.seats = entry.seats;
        raft.seatsIndex = entry.index;
    }
}

} // namespace RaftInternal

RaftState makeRaft(SeatId self, const RaftOptions &options, const HardState &hardState,
                   std::shared_ptr<const RaftSnapshot> snapshot, std::vector<LogEntry> log,
                   const SeatSet &initialSeats, std::uint64_t seed, TimePoint now)
{
    RaftState raft;
    raft.options = options;
    raft.self = self;
    raft.rng.seed(seed);
    raft.hardState = hardState;
    if (snapshot)
        raft.snapshot = std::move(snapshot);
    if (raft.snapshot->index == 0 && raft.snapshot->seats.empty()) {
        auto initial = std::make_shared<RaftSnapshot>();
        initial->seats = initialSeats;
        raft.snapshot = initial;
    }
    raft.log.assign(std::make_move_iterator(log.begin()), std::make_move_iterator(log.end()));
    raft.commitIndex = raft.snapshot->index;
    raft.durableIndex = lastLogIndex(raft);
    restoreSeats(raft);
    raft.lastLeaderContact = now;
    resetElectionTimer(raft, now);
    return raft;
}

void raftTick(RaftState &raft, TimePoint now, RaftOutput &out)
{
    if (raft.role == RaftRole::Leader) {
        leaderTick(raft, now, out);
        return;
    }
    // While a seat refuses to vote for others because the leader is alive, it does not vote for
    // itself either.
    if (now < raft.electionDeadline || isLeaderAlive(raft, now) || !isVoter(raft, raft.self))
        return;
    startPreVote(raft, now, out);
}

void raftReceive(RaftState &raft, const RaftMessage &message, TimePoint now, RaftOutput &out)
{
    if (message.to != raft.self)
        return;
    switch (message.kind) {
    case RaftMessageKind::PreVoteRequest:
    case RaftMessageKind::VoteRequest:
        receiveVoteRequest(raft, message, now, out);
        return;
    default:
        break;
    }
    if (isFromLeader(message.kind)) {
        receiveFromLeader(raft, message, now, out);
        return;
    }
    const bool grantedPreVote = message.kind == RaftMessageKind::PreVoteReply && message.granted;
    if (message.term > raft.hardState.term && !grantedPreVote) {
        becomeFollower(raft, message.term, NoSeat, now, out);
        return;
    }
    switch (message.kind) {
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        receiveVoteReply(raft, message, now, out);
        break;
    case RaftMessageKind::AppendReply:
        receiveAppendReply(raft, message, now, out);
        break;
    case RaftMessageKind::SnapshotReply:
        receiveSnapshotReply(raft, message, now, out);
        break;
    case RaftMessageKind::EntryReply:
        receiveEntryReply(raft, message, now, out);
        break;
    default:
        break;
    }
}

void raftCompact(RaftState &raft, LogIndex index, std::string data, RaftOutput &out)
{
    if (index <= raft.snapshot->index || index > raft.commitIndex)
        return;
    auto snapshot = std::make_shared<RaftSnapshot>();
    snapshot->index = index;
    snapshot->term = termAt(raft, index);
    snapshot->seats = raft.snapshot->seats;
    const auto dropped = static_cast<std::ptrdiff_t>(index - raft.snapshot->index);
    for (auto entry = raft.log.begin(); entry != raft.log.begin() + dropped; ++entry) {
        if (entry->kind == EntryKind::Seats)
            snapshot->seats = entry->seats;
    }
    snapshot->data = std::make_shared<const std::string>(std::move(data));
    raft.log.erase(raft.log.begin(), raft.log.begin() + dropped);
    raft.snapshot = snapshot;
    out.disk.snapshot = snapshot;
    // The new log file starts from the snapshot, so the entries after it are written again.
    out.disk.append.assign(raft.log.begin(), raft.log.end());
}

} // namespace Trefoil
