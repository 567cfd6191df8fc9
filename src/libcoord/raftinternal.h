#pragma once

#include "libcoord/raft.h"

// Functions that the follower and leader source files of the replicated log share.

namespace Trefoil::RaftInternal {

void becomeFollower(RaftState &raft, Term term, SeatId leader, TimePoint now, RaftOutput &out);
void becomeLeader(RaftState &raft, TimePoint now, RaftOutput &out);

// Appends an entry to the own log. A seat set takes effect at once.
void appendLocal(RaftState &raft, LogEntry entry, RaftOutput &out);

void advanceCommit(RaftState &raft, LogIndex commit, RaftOutput &out);

// Sets the seat set to the latest one in the log or the snapshot.
void restoreSeats(RaftState &raft);

void leaderTick(RaftState &raft, TimePoint now, RaftOutput &out);
void receiveAppendReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out);
void receiveSnapshotReply(RaftState &raft, const RaftMessage &reply, TimePoint now,
                          RaftOutput &out);
void receiveEntryReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out);
void updateLeaderCommit(RaftState &raft, TimePoint now, RaftOutput &out);

// Fails all reads that wait, since this seat is no longer the leader.
void failPendingReads(RaftState &raft, RaftOutput &out);

} // namespace Trefoil::RaftInternal
