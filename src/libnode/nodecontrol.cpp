#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

EntryId entryOfSeat(const SeatSet &seats, SeatId seat)
{
    const auto found = std::find_if(seats.begin(), seats.end(),
                                    [seat](const Seat &s) { return s.id == seat; });
    return found == seats.end() ? EntryId{} : found->entry;
}

void sendRaft(NodeState &node, RaftMessage message, NodeOutput &out)
{
    const EntryId to = entryOfSeat(node.seat->raft.seats, message.to);
    if (!to.empty())
        out.peers.emplace_back(to, std::move(message));
}

void replyPropose(NodeState &node, const EntryId &to, ProposeReply reply, TimePoint now,
                  NodeOutput &out)
{
    if (to == node.settings.self.entry)
        nodePeerMessage(node, to, reply, now, out);
    else
        out.peers.emplace_back(to, std::move(reply));
}

void refuseAsFollower(NodeState &node, const EntryId &from, std::uint64_t call, TimePoint now,
                      NodeOutput &out)
{
    ProposeReply reply;
    reply.call = call;
    if (node.seat && node.seat->raft.leader != node.seat->raft.self)
        reply.leaderHint = entryOfSeat(node.seat->raft.seats, node.seat->raft.leader);
    replyPropose(node, from, std::move(reply), now, out);
}

// Seats after the asked change. Adding the seat of an entry replaces none; ids decide.
SeatSet changedSeats(const RaftState &raft, const ProposeCall &call, SeatId newSeat)
{
    SeatSet seats = raft.seats;
    if (call.removeSeat) {
        std::erase_if(seats, [&](const Seat &seat) { return seat.id == *call.removeSeat; });
        return seats;
    }
    const bool known = std::any_of(seats.begin(), seats.end(),
                                   [newSeat](const Seat &seat) { return seat.id == newSeat; });
    if (!known)
        seats.push_back({newSeat, *call.addSeat, false});
    return seats;
}

void proposeSeatChange(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                       NodeOutput &out)
{
    const SeatId newSeat = call.proposal.identity.digest; // identity of the seat that is added
    SeatSet seats = changedSeats(node.seat->raft, call, newSeat);
    ProposeReply reply;
    reply.call = call.call;
    reply.isLeader = true;
    reply.reply.version = node.seat->control.config.version;
    if (quorumSize(seats) == 1 && seats.empty()) {
        reply.reply.code = ReplyCode::Invalid;
        reply.reply.message = "the last seat cannot be removed";
        replyPropose(node, from, std::move(reply), now, out);
        return;
    }
    if (seats == node.seat->raft.seats) {
        replyPropose(node, from, std::move(reply), now, out);
        return;
    }
    ControlSeatOutput seatOut;
    const auto ticket = seatProposeSeats(*node.seat, std::move(seats), now, seatOut);
    if (ticket)
        node.tickets[*ticket] = {from, call.call};
    takeSeatOutput(node, seatOut, now, out);
    if (ticket)
        return;
    reply.reply.code = ReplyCode::Invalid;
    reply.reply.message = "another change of seats is in progress";
    replyPropose(node, from, std::move(reply), now, out);
}

void answerTicket(NodeState &node, const ProposalResult &result, TimePoint now, NodeOutput &out)
{
    plannedTicketDone(node, result.ticket);
    const auto found = node.tickets.find(result.ticket);
    if (found == node.tickets.end())
        return;
    const auto [entry, call] = found->second;
    node.tickets.erase(found);
    ProposeReply reply;
    reply.call = call;
    reply.isLeader = result.isApplied;
    reply.reply = result.reply;
    replyPropose(node, entry, std::move(reply), now, out);
}

void takeConfiguration(NodeState &node, ControlSeatOutput &seatOut, TimePoint now, NodeOutput &out)
{
    if (!seatOut.restored && seatOut.feed.empty())
        return;
    const Configuration before = node.feed.config;
    bool skipped = seatOut.feed.size() > 1;
    if (seatOut.restored)
        skipped = adoptConfiguration(node.feed, std::move(*seatOut.restored)) || skipped;
    for (const FeedItem &item : seatOut.feed)
        applyFeedItem(node.feed, item);
    if (node.feed.config.version != before.version)
        configurationChanged(node, before, skipped, now, out);
}

} // namespace

namespace NodeInternal {

void takeSeatOutput(NodeState &node, ControlSeatOutput &seatOut, TimePoint now, NodeOutput &out)
{
    for (RaftMessage &message : seatOut.send)
        sendRaft(node, std::move(message), out);
    std::move(seatOut.disk.begin(), seatOut.disk.end(), std::back_inserter(out.disk));
    takeConfiguration(node, seatOut, now, out);
    for (const ProposalResult &result : seatOut.results)
        answerTicket(node, result, now, out);
}

void configurationChanged(NodeState &node, const Configuration &before, bool mayHaveSkipped,
                          TimePoint now, NodeOutput &out)
{
    const EntryId &self = node.settings.self.entry;
    const auto wait = Duration(
            static_cast<Duration::rep>(static_cast<double>(node.settings.freshnessBound.count())
                                       * (1.0 + 2.0 * node.settings.maxClockDrift)));
    recordConfigurationChange(node.handover, before, node.feed.config, self, mayHaveSkipped, wait,
                              now);
    useReleases(node, now);
    setAppliedVersion(node.freshness, node.feed.config.version);
    updateTargets(node, now, out);
    // The targets of groups that moved away are closed now; their new dispatchers need not wait.
    for (const auto &[id, group] : node.feed.config.groups) {
        const auto previous = before.groups.find(id);
        const bool moved = previous != before.groups.end() && previous->second.dispatcher == self
                           && group.dispatcher != self;
        if (moved)
            out.peers.emplace_back(group.dispatcher, GroupReleased{id, group.dispatcherSince});
    }
}

void useReleases(NodeState &node, TimePoint now)
{
    for (const auto &[id, since] : node.released) {
        const auto group = node.feed.config.groups.find(id);
        if (group != node.feed.config.groups.end() && group->second.dispatcherSince == since)
            recordGroupRelease(node.handover, id, now);
    }
    std::erase_if(node.released,
                  [&node](const auto &item) { return item.second <= node.feed.config.version; });
}

void receivePropose(NodeState &node, const EntryId &from, const ProposeCall &call, TimePoint now,
                    NodeOutput &out)
{
    if (!node.seat || !isLeaderReady(node.seat->raft)) {
        refuseAsFollower(node, from, call.call, now, out);
        return;
    }
    if (call.addSeat || call.removeSeat) {
        proposeSeatChange(node, from, call, now, out);
        return;
    }
    ControlSeatOutput seatOut;
    const auto ticket = seatPropose(*node.seat, call.proposal, now, seatOut);
    if (ticket)
        node.tickets[*ticket] = {from, call.call};
    takeSeatOutput(node, seatOut, now, out);
    if (!ticket)
        refuseAsFollower(node, from, call.call, now, out);
}

void startControlCall(NodeState &node, ControlCall call, TimePoint now, NodeOutput &out)
{
    ControlClientOutput clientOut;
    startCall(node.client, std::move(call), node.feed.config.seats, now, clientOut);
    takeClientOutput(node, clientOut, now, out);
}

void callControl(NodeState &node, Command command, CallPurpose purpose, std::uint64_t subject,
                 Duration timeout, TimePoint now, NodeOutput &out)
{
    ControlCall call;
    call.message.proposal.command = std::move(command);
    call.purpose = purpose;
    call.subject = subject;
    call.deadline = now + timeout;
    startControlCall(node, std::move(call), now, out);
}

void takeClientOutput(NodeState &node, ControlClientOutput &clientOut, TimePoint now,
                      NodeOutput &out)
{
    for (auto &[entry, message] : clientOut.send) {
        if (entry == node.settings.self.entry)
            receivePropose(node, entry, message, now, out);
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
        operatorCallFinished(node, call, reply, now, out);
        break;
    case CallPurpose::Key: {
        if (!reply)
            break;
        OriginOutput originOut;
        handleKeyReply(node.origin, call.subject, *reply, now, originOut);
        takeOriginOutput(node, originOut, now, out);
        break;
    }
    case CallPurpose::Announce:
    case CallPurpose::Leave:
        endpointCallFinished(node, call, reply, out);
        break;
    case CallPurpose::Background:
        break;
    }
}

void controlTick(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (node.seat) {
        ControlSeatOutput seatOut;
        seatTick(*node.seat, now, seatOut);
        takeSeatOutput(node, seatOut, now, out);
    }
    ControlClientOutput clientOut;
    controlClientTick(node.client, node.feed.config.seats, now, clientOut);
    takeClientOutput(node, clientOut, now, out);
}

void pullFeed(NodeState &node, const EntryId &from, bool wantsMembers, NodeOutput &out)
{
    const std::uint64_t digest = wantsMembers ? membersDigest(node.membership) : 0;
    out.peers.emplace_back(from, FeedRequest{node.feed.config.version, wantsMembers, digest});
}

void receiveFeedReply(NodeState &node, const FeedReply &reply, TimePoint now, NodeOutput &out)
{
    if (!reply.members.empty()) {
        MembershipOutput membershipOut;
        mergeMembers(node.membership, reply.members, now, membershipOut);
        takeMembershipOutput(node, membershipOut, now, out);
    }
    const Configuration before = node.feed.config;
    if (!applyFeedReply(node.feed, reply))
        return;
    const bool skipped = !reply.snapshot.empty() || reply.items.size() > 1;
    configurationChanged(node, before, skipped, now, out);
    // A full reply may have more behind it.
    node.nextFeedPull = std::min(node.nextFeedPull, now);
}

} // namespace NodeInternal

} // namespace Trefoil
