#pragma once

#include "libcoord/raft.h"

// Functions shared by the follower and the leader halves of the replicated log.

namespace Trefoil::RaftInternal {

void becomeFollower(RaftState &raft, Term term, SeatId leader, TimePoint now, RaftOutput &out);
void becomeLeader(RaftState &raft, TimePoint now, RaftOutput &out);
void appendLocal(RaftState &raft, LogEntry entry, RaftOutput &out);
void advanceCommit(RaftState &raft, LogIndex commit, RaftOutput &out);
void adoptSeats(RaftState &raft);

void leaderTick(RaftState &raft, TimePoint now, RaftOutput &out);
void leaderAppendReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out);
void leaderSnapshotReply(RaftState &raft, const RaftMessage &reply, TimePoint now, RaftOutput &out);
void updateLeaderCommit(RaftState &raft, TimePoint now, RaftOutput &out);
void failReads(RaftState &raft, RaftOutput &out);

} // namespace Trefoil::RaftInternal
