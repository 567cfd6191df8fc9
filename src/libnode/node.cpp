#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

// Routes a message from a peer to the part of the node that handles it.
struct PeerVisitor
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
        seatReceive(*node.seat, message, now, seatOut);
        takeSeatOutput(node, seatOut, now, out);
    }

    void operator()(const ProposeCall &call) const { receivePropose(node, from, call, now, out); }

    void operator()(const ProposeReply &reply) const
    {
        ControlClientOutput clientOut;
        const auto call = handleProposeReply(node.client, from, reply, node.feed.config.seats, now,
                                             clientOut);
        takeClientOutput(node, clientOut, now, out);
        if (call)
            finishControlCall(node, *call, &reply.reply, now, out);
    }

    void operator()(const SeatQuery &query) const
    {
        const SeatId seat = node.seat ? node.seat->raft.self : NoSeat;
        out.peers.emplace_back(from, SeatReply{query.call, seat});
    }

    void operator()(const SeatReply &reply) const { receiveSeatReply(node, from, reply, now, out); }

    void operator()(const FeedRequest &request) const
    {
        FeedReply reply = answerFeed(node.feed, request);
        if (request.wantsMembers && request.membersDigest != membersDigest(node.membership))
            reply.members = allMembers(node.membership);
        out.peers.emplace_back(from, std::move(reply));
    }

    void operator()(const FeedReply &reply) const { receiveFeedReply(node, reply, now, out); }

    void operator()(const DispatchCall &call) const
    {
        // An earlier process of this entry may have run a copy; only that one could say.
        if (call.process != node.settings.incarnation)
            return;
        DispatchRequest request = call.request;
        request.deadline = now + std::chrono::milliseconds(call.remainingMs);
        DispatchOutput dispatchOut;
        submit(node.dispatch, std::move(request), now, dispatchOut);
        takeDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const DispatchCancelCall &call) const
    {
        DispatchOutput dispatchOut;
        cancel(node.dispatch, call.id, now, dispatchOut);
        takeDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const DispatchCheck &check) const
    {
        if (check.process != node.settings.incarnation)
            return;
        DispatchOutput dispatchOut;
        checkAttempts(node.dispatch, check.attempts, dispatchOut);
        takeDispatchOutput(node, dispatchOut, now, out);
    }

    void operator()(const AttemptReportCall &call) const
    {
        OriginOutput originOut;
        originReport(node.origin, call.report, now, originOut);
        takeOriginOutput(node, originOut, now, out);
    }

    void operator()(const WatchReport &report) const
    {
        receiveWatchReport(node, from, report, now);
    }

    void operator()(const LeavingNotice &notice) const
    {
        receiveLeavingNotice(node, notice, now, out);
    }

    void operator()(const GroupReleased &released) const
    {
        node.released[released.group] = released.dispatcherSince;
        useReleases(node, now);
        updateTargets(node, now, out);
    }

    void operator()(const QueryCall &call) const { receiveQuery(node, from, call, now, out); }

    void operator()(const QueryReply &reply) const
    {
        receiveQueryReply(node, from, reply, now, out);
    }

    void operator()(const WorkDigest &digest) const
    {
        for (const WorkDigest::Item &item : digest.items) {
            const auto pool = node.dispatch.pools.find(item.pool);
            if (pool != node.dispatch.pools.end())
                chargeRemoteWork(pool->second.queue, item.workspace, item.work);
        }
    }

    // Relayed answers are handled by the connections of the daemon.
    void operator()(const AnswerHead &) const {}
    void operator()(const AnswerData &) const {}
    void operator()(const AnswerCredit &) const {}
};

std::uint64_t mixHash(std::uint64_t value)
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

void nodeTick(NodeState &node, TimePoint now, NodeOutput &out)
{
    membershipStep(node, now, out);
    controlTick(node, now, out);
    watchTick(node, now, out);
    leaderTick(node, now, out);
    requestsTick(node, now, out);
    queriesTick(node, now, out);
}

void nodePeerMessage(NodeState &node, const EntryId &from, const PeerMessage &message,
                     TimePoint now, NodeOutput &out)
{
    std::visit(PeerVisitor{node, from, now, out}, message);
}

void nodeDiskSynced(NodeState &node, LogIndex index, Term term, TimePoint now, NodeOutput &out)
{
    if (!node.seat)
        return;
    ControlSeatOutput seatOut;
    seatSynced(*node.seat, index, term, now, seatOut);
    takeSeatOutput(node, seatOut, now, out);
}

void nodeDrain(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (node.isDraining)
        return;
    node.isDraining = true;
    node.refuseFrom = now + node.settings.entryListLifetime;
    setSelfDraining(node.membership, true);
    callControl(node, SetEntryDraining{node.settings.self.entry, true}, CallPurpose::Background, 0,
                node.settings.callTimeout, now, out);
}

bool isDrained(const NodeState &node, TimePoint now)
{
    const EntryId &self = node.settings.self.entry;
    const bool dispatches =
            std::any_of(node.feed.config.groups.begin(), node.feed.config.groups.end(),
                        [&self](const auto &item) { return item.second.dispatcher == self; });
    return node.isDraining && now >= node.refuseFrom && node.origin.requests.empty()
           && node.dispatch.running.empty() && !dispatches;
}

void nodeLeft(NodeState &node, TimePoint now, NodeOutput &out)
{
    setSelfLeft(node.membership);
    const std::vector<SeatSample> samples = currentSamples(node, now);
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

bool isRefusing(const NodeState &node, TimePoint now)
{
    return node.isDraining && now >= node.refuseFrom;
}

bool isServing(const NodeState &node, TimePoint now)
{
    return !isRefusing(node, now) && isConfirmed(node, now);
}

std::vector<Member> callerAddresses(const NodeState &node, std::uint64_t callerSeed)
{
    struct Ranked
    {
        bool isElsewhere;
        std::uint64_t rank;
        Member member;
    };
    std::vector<Ranked> order;
    for (const Member &member : allMembers(node.membership)) {
        const bool drains =
                member.isDraining || node.feed.config.drainingEntries.contains(member.entry);
        if (member.status != MemberStatus::Alive || drains)
            continue;
        const std::uint64_t rank = mixHash(callerSeed ^ std::hash<std::string>()(member.entry));
        order.push_back({member.domain != node.settings.self.domain, rank, member});
    }
    std::sort(order.begin(), order.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.isElsewhere, a.rank) < std::tie(b.isElsewhere, b.rank);
    });
    std::vector<Member> result;
    for (Ranked &item : order)
        result.push_back(std::move(item.member));
    return result;
}

namespace NodeInternal {

bool isConfirmed(const NodeState &node, TimePoint now)
{
    return isFresh(node.freshness, node.feed.config.seats, node.settings.freshnessBound, now);
}

void addEvent(NodeOutput &out, NodeEventKind kind, std::string subject, std::string detail)
{
    out.events.push_back({kind, std::move(subject), std::move(detail)});
}

EntryId watcherOf(const NodeState &node, const VmId &vm)
{
    const ServingGroup *group = groupOfVm(node.feed.config, vm);
    if (group && isReachable(node.membership, group->dispatcher))
        return group->dispatcher;
    EntryId best;
    std::uint64_t bestRank = 0;
    for (const Member &member : allMembers(node.membership)) {
        if (member.status >= MemberStatus::Dead || member.isDraining)
            continue;
        const std::uint64_t rank = mixHash(std::hash<std::string>()(member.entry + '/' + vm));
        if (best.empty() || rank > bestRank) {
            best = member.entry;
            bestRank = rank;
        }
    }
    return best.empty() ? node.settings.self.entry : best;
}

std::string callerAddressOf(const NodeState &node, const EntryId &entry)
{
    if (entry == node.settings.self.entry)
        return node.settings.self.callerAddress;
    const auto found = node.membership.members.find(entry);
    return found == node.membership.members.end() ? std::string()
                                                  : found->second.info.callerAddress;
}

} // namespace NodeInternal

} // namespace Trefoil
