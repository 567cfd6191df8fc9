#pragma once

#include "libnode/node.h"

// Functions shared by the parts of the node.

namespace Trefoil::NodeInternal {

void takeSeatOutput(NodeState &node, ControlSeatOutput &seatOut, TimePoint now, NodeOutput &out);
void takeMembershipOutput(NodeState &node, MembershipOutput &membershipOut, TimePoint now,
                          NodeOutput &out);
void takeClientOutput(NodeState &node, ControlClientOutput &clientOut, TimePoint now,
                      NodeOutput &out);
void takeOriginOutput(NodeState &node, OriginOutput &originOut, TimePoint now, NodeOutput &out);
void takeDispatchOutput(NodeState &node, DispatchOutput &dispatchOut, TimePoint now,
                        NodeOutput &out);

// True while this entry can confirm its configuration within the freshness bound.
bool isConfirmed(const NodeState &node, TimePoint now);

// Samples of all known seats, the own one taken now.
std::vector<SeatSample> currentSamples(NodeState &node, TimePoint now);

void callControl(NodeState &node, Command command, CallPurpose purpose, std::uint64_t subject,
                 Duration timeout, TimePoint now, NodeOutput &out);
void startControlCall(NodeState &node, ControlCall call, TimePoint now, NodeOutput &out);
void finishControlCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                       TimePoint now, NodeOutput &out);
void controlTick(NodeState &node, TimePoint now, NodeOutput &out);
void receivePropose(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                    NodeOutput &out);
void receiveFeedReply(NodeState &node, const FeedReply &reply, TimePoint now, NodeOutput &out);
void pullFeed(NodeState &node, const EntryId &from, bool wantsMembers, NodeOutput &out);

// Follows a change of the held configuration.
void configurationChanged(NodeState &node, const Configuration &before, bool mayHaveSkipped,
                          TimePoint now, NodeOutput &out);

// Ends the handover wait of groups whose previous dispatcher has released them.
void useReleases(NodeState &node, TimePoint now);

void membershipStep(NodeState &node, TimePoint now, NodeOutput &out);

void updateTargets(NodeState &node, TimePoint now, NodeOutput &out);
void loseAttempts(const NodeState &node, const EntryId &entry, NodeOutput &out);
void requestsTick(NodeState &node, TimePoint now, NodeOutput &out);
void endpointCallFinished(NodeState &node, const ControlCall &call, const CommandReply *reply,
                          NodeOutput &out);

void watchTick(NodeState &node, TimePoint now, NodeOutput &out);
void receiveWatchReport(NodeState &node, const EntryId &from, const WatchReport &report,
                        TimePoint now);
void receiveLeavingNotice(NodeState &node, const LeavingNotice &notice, TimePoint now,
                          NodeOutput &out);
void leaderTick(NodeState &node, TimePoint now, NodeOutput &out);
void plannedTicketDone(NodeState &node, std::uint64_t ticket);
void watcherGone(NodeState &node, const EntryId &entry, TimePoint now);

void queriesTick(NodeState &node, TimePoint now, NodeOutput &out);
void receiveQuery(NodeState &node, const EntryId &from, const QueryCall &call, TimePoint now,
                  NodeOutput &out);
void receiveQueryReply(NodeState &node, const EntryId &from, const QueryReply &reply, TimePoint now,
                       NodeOutput &out);
void operatorCallFinished(NodeState &node, const ControlCall &call, const CommandReply *reply,
                          TimePoint now, NodeOutput &out);
void receiveSeatReply(NodeState &node, const EntryId &from, const SeatReply &reply, TimePoint now,
                      NodeOutput &out);

// Entry whose heartbeats of the VM are wanted: the group's dispatcher, else one chosen by hash.
EntryId watcherOf(const NodeState &node, const VmId &vm);

std::string callerAddressOf(const NodeState &node, const EntryId &entry);

void addEvent(NodeOutput &out, NodeEventKind kind, std::string subject, std::string detail);

} // namespace Trefoil::NodeInternal
