#pragma once

#include "libnode/node.h"

// Functions of libnode that its source files share.

namespace Trefoil::NodeInternal {

// Each of these functions carries out the actions in the output of one part of the node, and
// appends those that the daemon must carry out to the output of the node.
void processSeatOutput(NodeState &node, ControlSeatOutput &seatOut, TimePoint now, NodeOutput &out);
void processMembershipOutput(NodeState &node, MembershipOutput &membershipOut, TimePoint now,
                             NodeOutput &out);
void processClientOutput(NodeState &node, ControlClientOutput &clientOut, TimePoint now,
                         NodeOutput &out);
void processOriginOutput(NodeState &node, OriginOutput &originOut, TimePoint now, NodeOutput &out);
void processDispatchOutput(NodeState &node, DispatchOutput &dispatchOut, TimePoint now,
                           NodeOutput &out);

// True while the configuration was confirmed to be current within the freshness bound.
bool isConfigurationFresh(const NodeState &node, TimePoint now);

// Returns the recent samples of all seats. If this entry has a seat, it is sampled now.
std::vector<SeatSample> collectSeatSamples(NodeState &node, TimePoint now);

void sendControlCommand(NodeState &node, Command command, CallPurpose purpose,
                        std::uint64_t correlationId, Duration timeout, TimePoint now,
                        NodeOutput &out);
void startControlCall(NodeState &node, ControlCall call, TimePoint now, NodeOutput &out);
// Passes the reply of a control call to the part of the node that started it. `reply` is null if
// the call expired.
void finishControlCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                       TimePoint now, NodeOutput &out);
void tickControl(NodeState &node, TimePoint now, NodeOutput &out);
void handleProposeCall(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                       NodeOutput &out);
void handleFeedReply(NodeState &node, const FeedReply &reply, TimePoint now, NodeOutput &out);
// Requests the configuration changes after the held version, optionally with the member list.
void pullFeed(NodeState &node, const EntryId &from, bool wantsMembers, NodeOutput &out);

// Updates the handover waits and the targets after the held configuration has changed.
// `mayHaveSkipped` is true if there may have been configurations in between.
void handleConfigurationChange(NodeState &node, const Configuration &before, bool mayHaveSkipped,
                               TimePoint now, NodeOutput &out);

// Ends the handover wait of groups whose previous dispatcher has released them.
void applyGroupReleases(NodeState &node, TimePoint now);

void updateMembership(NodeState &node, TimePoint now, NodeOutput &out);

// Recomputes the targets and the dispatchers of all pools.
void updateTargets(NodeState &node, TimePoint now, NodeOutput &out);
// Reports as lost the attempts that this entry has sent to a dispatcher that failed.
void reportLostAttempts(const NodeState &node, const EntryId &entry, NodeOutput &out);
void tickRequests(NodeState &node, TimePoint now, NodeOutput &out);
void answerEndpointCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                        NodeOutput &out);

void tickWatch(NodeState &node, TimePoint now, NodeOutput &out);
void handleWatchReport(NodeState &node, const EntryId &from, const WatchReport &report,
                       TimePoint now);
void handleLeavingNotice(NodeState &node, const LeavingNotice &notice, TimePoint now,
                         NodeOutput &out);
void tickLeader(NodeState &node, TimePoint now, NodeOutput &out);
void removePlannerProposal(NodeState &node, std::uint64_t proposalId);
// Marks the VMs whose watcher has failed as absent until another entry reports them.
void handleWatcherLoss(NodeState &node, const EntryId &entry, TimePoint now);

void tickQueries(NodeState &node, TimePoint now, NodeOutput &out);
void handleQueryCall(NodeState &node, const EntryId &from, const QueryCall &call, TimePoint now,
                     NodeOutput &out);
void handleQueryReply(NodeState &node, const EntryId &from, const QueryReply &reply, TimePoint now,
                      NodeOutput &out);
void answerOperatorCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                        TimePoint now, NodeOutput &out);
void handleSeatReply(NodeState &node, const EntryId &from, const SeatReply &reply, TimePoint now,
                     NodeOutput &out);

// Returns the entry that should receive the heartbeats of a VM: the dispatcher of its group or, if
// it has none, an entry chosen by hash.
EntryId findWatcher(const NodeState &node, const VmId &vm);

// Returns the address at which the entry serves callers; empty for an unknown entry.
std::string findCallerAddress(const NodeState &node, const EntryId &entry);

void addEvent(NodeOutput &out, NodeEventKind kind, std::string subject, std::string detail);

} // namespace Trefoil::NodeInternal
