#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

EntryId findEntryOfSeat(const SeatSet &seats, SeatId seat)
{
    const auto found = std::find_if(seats.begin(), seats.end(),
                                    [seat](const Seat &s) { return s.id == seat; });
    return found == seats.end() ? EntryId{} : found->entry;
}

void sendRaftMessage(NodeState &node, RaftMessage message, NodeOutput &out)
{
    const EntryId to = findEntryOfSeat(node.seat->raft.seats, message.to);
    if (!to.empty())
        out.peers.emplace_back(to, std::move(message));
}

void sendProposeReply(NodeState &node, const EntryId &to, ProposeReply reply, TimePoint now,
                      NodeOutput &out)
{
    if (to == node.settings.self.entry)
        handlePeerMessage(node, to, reply, now, out);
    else
        out.peers.emplace_back(to, std::move(reply));
}

void refuseAsNonLeader(NodeState &node, const EntryId &from, std::uint64_t call, TimePoint now,
                       NodeOutput &out)
{
    ProposeReply reply;
    reply.call = call;
    if (node.seat && node.seat->raft.leader != node.seat->raft.self)
        reply.leaderHint = findEntryOfSeat(node.seat->raft.seats, node.seat->raft.leader);
    sendProposeReply(node, from, std::move(reply), now, out);
}

// Returns the seats after the requested change. Seats are compared by id, so adding a seat of an
// entry does not replace another seat of that entry.
SeatSet applySeatChange(const RaftState &raft, const ProposeCall &call, SeatId newSeat)
{
    SeatSet seats = raft.seats;
    if (call.removeSeat) {
        std::erase_if(seats, [&](const Seat &seat) { return seat.id == *call.removeSeat; });
        return seats;
    }
    const bool isAlreadySeat = std::any_of(
            seats.begin(), seats.end(), [newSeat](const Seat &seat) { return seat.id == newSeat; });
    if (!isAlreadySeat)
        seats.push_back({newSeat, *call.addSeat, false});
    return seats;
}

void proposeSeatChange(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                       NodeOutput &out)
{
    // A seat addition carries the id of the new seat in the digest of the command identity.
    const SeatId newSeat = call.proposal.identity.digest;
    SeatSet seats = applySeatChange(node.seat->raft, call, newSeat);
    ProposeReply reply;
    reply.call = call.call;
    reply.isLeader = true;
    reply.reply.version = node.seat->control.config.version;
    if (quorumSize(seats) == 1 && seats.empty()) {
        reply.reply.code = ReplyCode::Invalid;
        reply.reply.message = "the last seat cannot be removed";
        sendProposeReply(node, from, std::move(reply), now, out);
        return;
    }
    if (seats == node.seat->raft.seats) {
        sendProposeReply(node, from, std::move(reply), now, out);
        return;
    }
    ControlSeatOutput seatOut;
    const auto proposalId = proposeSeats(*node.seat, std::move(seats), now, seatOut);
    if (proposalId)
        node.proposalCallers[*proposalId] = {from, call.call};
    processSeatOutput(node, seatOut, now, out);
    if (proposalId)
        return;
    reply.reply.code = ReplyCode::Invalid;
    reply.reply.message = "another change of seats is in progress";
    sendProposeReply(node, from, std::move(reply), now, out);
}

void answerProposal(NodeState &node, const ProposalResult &result, TimePoint now, NodeOutput &out)
{
    removePlannerProposal(node, result.proposalId);
    const auto found = node.proposalCallers.find(result.proposalId);
    if (found == node.proposalCallers.end())
        return;
    const auto [entry, call] = found->second;
    node.proposalCallers.erase(found);
    ProposeReply reply;
    reply.call = call;
    reply.isLeader = result.isApplied;
    reply.reply = result.reply;
    sendProposeReply(node, entry, std::move(reply), now, out);
}

void applyConfigurationChanges(NodeState &node, ControlSeatOutput &seatOut, TimePoint now,
                               NodeOutput &out)
{
    if (!seatOut.restoredConfig && seatOut.configChanges.empty())
        return;
    const Configuration before = node.feed.config;
    bool mayHaveSkipped = seatOut.configChanges.size() > 1;
    if (seatOut.restoredConfig)
        mayHaveSkipped =
                adoptConfiguration(node.feed, std::move(*seatOut.restoredConfig)) || mayHaveSkipped;
    for (const FeedItem &item : seatOut.configChanges)
        applyFeedItem(node.feed, item);
    if (node.feed.config.version != before.version)
        handleConfigurationChange(node, before, mayHaveSkipped, now, out);
}

} // namespace

namespace NodeInternal {

void processSeatOutput(NodeState &node, ControlSeatOutput &seatOut, TimePoint now, NodeOutput &out)
{
    for (RaftMessage &message : seatOut.send)
        sendRaftMessage(node, std::move(message), out);
    std::move(seatOut.disk.begin(), seatOut.disk.end(), std::back_inserter(out.disk));
    applyConfigurationChanges(node, seatOut, now, out);
    for (const ProposalResult &result : seatOut.results)
        answerProposal(node, result, now, out);
}

void handleConfigurationChange(NodeState &node, const Configuration &before, bool mayHaveSkipped,
                               TimePoint now, NodeOutput &out)
{
    const EntryId &self = node.settings.self.entry;
    const auto handoverWait = Duration(
            static_cast<Duration::rep>(static_cast<double>(node.settings.freshnessBound.count())
                                       * (1.0 + 2.0 * node.settings.maxClockDrift)));
    recordConfigurationChange(node.handover, before, node.feed.config, self, mayHaveSkipped,
                              handoverWait, now);
    applyGroupReleases(node, now);
    setAppliedVersion(node.freshness, node.feed.config.version);
    updateTargets(node, now, out);
    // updateTargets has closed the targets of groups that moved to another dispatcher. The new
    // dispatchers therefore need not wait for the handover time.
    for (const auto &[id, group] : node.feed.config.groups) {
        const auto previous = before.groups.find(id);
        const bool hasMoved = previous != before.groups.end() && previous->second.dispatcher == self
                              && group.dispatcher != self;
        if (hasMoved)
            out.peers.emplace_back(group.dispatcher, GroupReleased{id, group.dispatcherSince});
    }
}

void applyGroupReleases(NodeState &node, TimePoint now)
{
    for (const auto &[id, since] : node.releasedGroups) {
        const auto group = node.feed.config.groups.find(id);
        if (group != node.feed.config.groups.end() && group->second.dispatcherSince == since)
            recordGroupRelease(node.handover, id, now);
    }
    std::erase_if(node.releasedGroups,
                  [&node](const auto &item) { return item.second <= node.feed.config.version; });
}

void handleProposeCall(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                       NodeOutput &out)
{
    if (!node.seat || !isLeaderReady(node.seat->raft)) {
        refuseAsNonLeader(node, from, call.call, now, out);
        return;
    }
    if (call.addSeat || call.removeSeat) {
        proposeSeatChange(node, from, call, now, out);
        return;
    }
    ControlSeatOutput seatOut;
    const auto proposalId = proposeCommand(*node.seat, call.proposal, now, seatOut);
    if (proposalId)
        node.proposalCallers[*proposalId] = {from, call.call};
    processSeatOutput(node, seatOut, now, out);
    if (!proposalId)
        refuseAsNonLeader(node, from, call.call, now, out);
}

void startControlCall(NodeState &node, ControlCall call, TimePoint now, NodeOutput &out)
{
    ControlClientOutput clientOut;
    startCall(node.client, std::move(call), node.feed.config.seats, now, clientOut);
    processClientOutput(node, clientOut, now, out);
}

void sendControlCommand(NodeState &node, Command command, CallPurpose purpose,
                        std::uint64_t correlationId, Duration timeout, TimePoint now,
                        NodeOutput &out)
{
    ControlCall call;
    call.message.proposal.command = std::move(command);
    call.purpose = purpose;
    call.correlationId = correlationId;
    call.deadline = now + timeout;
    startControlCall(node, std::move(call), now, out);
}

void processClientOutput(NodeState &node, ControlClientOutput &clientOut, TimePoint now,
                         NodeOutput &out)
{
    for (auto &[entry, message] : clientOut.send) {
        if (entry == node.settings.self.entry)
            handleProposeCall(node, entry, message, now, out);
        else
            out.peers.emplace_back(entry, std::move(message));
    }
    for (const ControlCall &call : clientOut.expired)
        finishControlCall(node, call, nullptr, now, out);
}

void finishControlCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                       TimePoint now, NodeOutput &out)
{
    switch (call.purpose) {
    case CallPurpose::Operator:
        answerOperatorCall(node, call, reply, now, out);
        break;
    case CallPurpose::Key: {
        if (!reply)
            break;
        OriginOutput originOut;
        handleKeyReply(node.origin, call.correlationId, *reply, now, originOut);
        processOriginOutput(node, originOut, now, out);
        break;
    }
    case CallPurpose::Announce:
    case CallPurpose::Leave:
        answerEndpointCall(node, call, reply, out);
        break;
    case CallPurpose::Background:
        break;
    }
}

void tickControl(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (node.seat) {
        ControlSeatOutput seatOut;
        tickControlSeat(*node.seat, now, seatOut);
        processSeatOutput(node, seatOut, now, out);
    }
    ControlClientOutput clientOut;
    tickControlClient(node.client, node.feed.config.seats, now, clientOut);
    processClientOutput(node, clientOut, now, out);
}

void pullFeed(NodeState &node, const EntryId &from, bool wantsMembers, NodeOutput &out)
{
    const std::uint64_t digest = wantsMembers ? membersDigest(node.membership) : 0;
    out.peers.emplace_back(from, FeedRequest{node.feed.config.version, wantsMembers, digest});
}

void handleFeedReply(NodeState &node, const FeedReply &reply, TimePoint now, NodeOutput &out)
{
    if (!reply.members.empty()) {
        MembershipOutput membershipOut;
        mergeMembers(node.membership, reply.members, now, membershipOut);
        processMembershipOutput(node, membershipOut, now, out);
    }
    const Configuration before = node.feed.config;
    if (!applyFeedReply(node.feed, reply))
        return;
    const bool mayHaveSkipped = !reply.snapshot.empty() || reply.items.size() > 1;
    handleConfigurationChange(node, before, mayHaveSkipped, now, out);
    // The number of changes in a reply is limited, so more may follow.
    node.nextFeedPull = std::min(node.nextFeedPull, now);
}

} // namespace NodeInternal

} // namespace Trefoil
