#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

// Passes a message from a peer to the part of the node that handles it.
struct PeerMessageVisitor
{
    NodeState &node;
    const EntryId &from;
    TimePoint now;
    NodeOutput &out;

    void operator()(const Hello &) const {}

    void operator()(const RaftMessage &message) const
    {
        if (!node.seat)
            return;
        ControlSeatOutput seatOut;
        receiveRaftMessage(*node.seat, message, now, seatOut);
        processSeatOutput(node, seatOut, now, out);
    }

    void operator()(const ProposeCall &call) const
    {
        handleProposeCall(node, from, call, now, out);
    }

    void operator()(const ProposeReply &reply) const
    {
        ControlClientOutput clientOut;
        const auto call = handleProposeReply(node.client, from, reply, node.feed.config.seats, now,
                                             clientOut);
        processClientOutput(node, clientOut, now, out);
        if (call)
            finishControlCall(node, *call, &reply.reply, now, out);
    }

    void operator()(const SeatQuery &query) const
    {
        const SeatId seat = node.seat ? node.seat->raft.self : NoSeat;
        out.peers.emplace_back(from, SeatReply{query.call, seat});
    }

    void operator()(const SeatReply &reply) const { handleSeatReply(node, from, reply, now, out); }

    void operator()(const FeedRequest &request) const
    {
        FeedReply reply = answerFeedRequest(node.feed, request);
        if (request.wantsMembers && request.membersDigest != membersDigest(node.membership))
            reply.members = allMembers(node.membership);
        out.peers.emplace_back(from, std::move(reply));
    }

    void operator()(const FeedReply &reply) const { handleFeedReply(node, reply, now, out); }

    void operator()(const DispatchCall &call) const
    {
        // The call was sent to an earlier process of this entry, which may have started the
        // request. This process cannot know that and ignores the call.
        if (call.process != node.settings.incarnation)
            return;
        DispatchRequest request = call.request;
        request.deadline = now + std::chrono::milliseconds(call.remainingMs);
        DispatchOutput dispatchOut;
        submit(node.dispatch, std::move(request), now, dispatchOut);
        processDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const DispatchCancelCall &call) const
    {
        DispatchOutput dispatchOut;
        cancel(node.dispatch, call.id, now, dispatchOut);
        processDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const DispatchCheck &check) const
    {
        if (check.process != node.settings.incarnation)
            return;
        DispatchOutput dispatchOut;
        checkAttempts(node.dispatch, check.attempts, dispatchOut);
        processDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const AttemptReportCall &call) const
    {
        OriginOutput originOut;
        handleAttemptReport(node.origin, call.report, now, originOut);
        processOriginOutput(node, originOut, now, out);
    }

    void operator()(const WatchReport &report) const { handleWatchReport(node, from, report, now); }

    void operator()(const LeavingNotice &notice) const
    {
        handleLeavingNotice(node, notice, now, out);
    }

    void operator()(const GroupReleased &released) const
    {
        node.releasedGroups[released.group] = released.dispatcherSince;
        applyGroupReleases(node, now);
        updateTargets(node, now, out);
    }

    void operator()(const QueryCall &call) const { handleQueryCall(node, from, call, now, out); }

    void operator()(const QueryReply &reply) const
    {
        handleQueryReply(node, from, reply, now, out);
    }

    void operator()(const WorkReport &digest) const
    {
        for (const WorkReport::Item &item : digest.items) {
            const auto pool = node.dispatch.pools.find(item.pool);
            if (pool != node.dispatch.pools.end())
                chargeRemoteWork(pool->second.queue, item.workspace, item.work);
        }
    }

    // The daemon's connections handle relayed answers.
    void operator()(const AnswerHead &) const {}
    void operator()(const AnswerData &) const {}
    void operator()(const AnswerCredit &) const {}
};

// Applies one round of the MurmurHash3 finalizer, so that all input bits affect the order of ranks.
std::uint64_t mixHashBits(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    return value;
}

} // namespace

NodeState makeNode(const NodeSettings &settings, std::optional<ControlSeatState> seat,
                   TimePoint now)
{
    NodeState node;
    node.settings = settings;
    node.settings.self.incarnation = settings.incarnation;
    node.settings.self.process = settings.incarnation;
    node.membership = makeMembership(node.settings.self, settings.seeds, settings.membership,
                                     settings.randomSeed, now);
    node.dispatch.options = settings.dispatch;
    node.dispatch.rng.seed(settings.randomSeed + 1);
    node.origin.options = settings.origin;
    node.origin.self = settings.self.entry;
    node.origin.incarnation = settings.incarnation;
    node.seat = std::move(seat);
    if (node.seat) {
        adoptConfiguration(node.feed, node.seat->control.config);
        node.feed.config.seats = node.seat->control.config.seats;
        setAppliedVersion(node.freshness, node.feed.config.version);
    }
    return node;
}

void tickNode(NodeState &node, TimePoint now, NodeOutput &out)
{
    updateMembership(node, now, out);
    tickControl(node, now, out);
    tickWatch(node, now, out);
    tickLeader(node, now, out);
    tickRequests(node, now, out);
    tickQueries(node, now, out);
}

void handlePeerMessage(NodeState &node, const EntryId &from, const PeerMessage &message,
                       TimePoint now, NodeOutput &out)
{
    std::visit(PeerMessageVisitor{node, from, now, out}, message);
}

void handleDiskSynced(NodeState &node, LogIndex index, Term term, TimePoint now, NodeOutput &out)
{
    if (!node.seat)
        return;
    ControlSeatOutput seatOut;
    handleSeatSynced(*node.seat, index, term, now, seatOut);
    processSeatOutput(node, seatOut, now, out);
}

void startDraining(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (node.isDraining)
        return;
    node.isDraining = true;
    node.refuseRequestsFrom = now + node.settings.entryListLifetime;
    setSelfDraining(node.membership, true);
    sendControlCommand(node, SetEntryDraining{node.settings.self.entry, true},
                       CallPurpose::Background, 0, node.settings.callTimeout, now, out);
}

bool isDrained(const NodeState &node, TimePoint now)
{
    const EntryId &self = node.settings.self.entry;
    const bool dispatches =
            std::any_of(node.feed.config.groups.begin(), node.feed.config.groups.end(),
                        [&self](const auto &item) { return item.second.dispatcher == self; });
    return node.isDraining && now >= node.refuseRequestsFrom && node.origin.requests.empty()
           && node.dispatch.running.empty() && !dispatches;
}

void leaveMembership(NodeState &node, TimePoint now, NodeOutput &out)
{
    setSelfLeft(node.membership);
    const std::vector<SeatSample> samples = collectSeatSamples(node, now);
    const GossipContext context{node.feed.config.version, samples};
    for (const auto &[entry, member] : node.membership.members) {
        GossipMessage ping;
        ping.kind = GossipKind::Ping;
        ping.from = node.settings.self.entry;
        ping.version = context.version;
        ping.updates = {node.membership.self};
        out.gossip.push_back({member.info.peerAddress, std::move(ping)});
    }
}

bool isRefusingRequests(const NodeState &node, TimePoint now)
{
    return node.isDraining && now >= node.refuseRequestsFrom;
}

bool isServing(const NodeState &node, TimePoint now)
{
    return !isRefusingRequests(node, now) && isConfigurationFresh(node, now);
}

std::vector<Member> listEntriesForCaller(const NodeState &node, std::uint64_t callerSeed)
{
    struct RankedEntry
    {
        bool isInOtherDomain;
        std::uint64_t rank;
        Member member;
    };
    std::vector<RankedEntry> ranking;
    for (const Member &member : allMembers(node.membership)) {
        const bool draining =
                member.isDraining || node.feed.config.drainingEntries.contains(member.entry);
        if (member.status != MemberStatus::Alive || draining)
            continue;
        const std::uint64_t rank = mixHashBits(callerSeed ^ std::hash<std::string>()(member.entry));
        ranking.push_back({member.domain != node.settings.self.domain, rank, member});
    }
    std::sort(ranking.begin(), ranking.end(), [](const RankedEntry &a, const RankedEntry &b) {
        return std::tie(a.isInOtherDomain, a.rank) < std::tie(b.isInOtherDomain, b.rank);
    });
    std::vector<Member> result;
    for (RankedEntry &item : ranking)
        result.push_back(std::move(item.member));
    return result;
}

namespace NodeInternal {

bool isConfigurationFresh(const NodeState &node, TimePoint now)
{
    return isFresh(node.freshness, node.feed.config.seats, node.settings.freshnessBound, now);
}

void addEvent(NodeOutput &out, NodeEventKind kind, std::string subject, std::string detail)
{
    out.events.push_back({kind, std::move(subject), std::move(detail)});
}

EntryId findWatcher(const NodeState &node, const VmId &vm)
{
    const ServingGroup *group = groupOfVm(node.feed.config, vm);
    if (group && isReachable(node.membership, group->dispatcher))
        return group->dispatcher;
    EntryId best;
    std::uint64_t bestRank = 0;
    for (const Member &member : allMembers(node.membership)) {
        if (member.status >= MemberStatus::Dead || member.isDraining)
            continue;
        const std::uint64_t rank = mixHashBits(std::hash<std::string>()(member.entry + '/' + vm));
        if (best.empty() || rank > bestRank) {
            best = member.entry;
            bestRank = rank;
        }
    }
    return best.empty() ? node.settings.self.entry : best;
}

std::string findCallerAddress(const NodeState &node, const EntryId &entry)
{
    if (entry == node.settings.self.entry)
        return node.settings.self.callerAddress;
    const auto found = node.membership.members.find(entry);
    return found == node.membership.members.end() ? std::string()
                                                  : found->second.info.callerAddress;
}

} // namespace NodeInternal

} // namespace Trefoil
