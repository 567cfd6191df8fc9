#include "libnode/node.h"

#include "libnode/nodeinternal.h"

namespace Trefoil {

using namespace NodeInternal;

namespace {

constexpr auto MemberListInterval = std::chrono::seconds(5);

const char *statusName(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Dead:
        return "dead";
    case MemberStatus::Left:
        return "left";
    }
    return "";
}

// Periodically requests the full member list from a random member, to make up for lost updates.
void requestMemberList(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (now < node.nextMemberPull || node.membership.members.empty())
        return;
    node.nextMemberPull = now + MemberListInterval;
    std::uniform_int_distribution<std::size_t> pick(0, node.membership.members.size() - 1);
    auto member = node.membership.members.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(pick(node.membership.rng)));
    if (member->second.info.status == MemberStatus::Alive)
        pullFeed(node, member->first, true, out);
}

void handleMemberChange(NodeState &node, const Member &member, TimePoint now, NodeOutput &out)
{
    addEvent(out, NodeEventKind::MemberChanged, member.entry, statusName(member.status));
    const auto [peerIncarnation, added] =
            node.peerIncarnations.try_emplace(member.entry, member.process);
    const bool hasRestarted = !added && peerIncarnation->second != member.process;
    peerIncarnation->second = member.process;
    if (member.status < MemberStatus::Dead && !hasRestarted)
        return;
    node.peerVersions.erase(member.entry);
    handleWatcherLoss(node, member.entry, now);
    // Removes the failed entry from the dispatchers first, so that no retry is sent to it.
    updateTargets(node, now, out);
    reportLostAttempts(node, member.entry, out);
}

} // namespace

void handleGossip(NodeState &node, const GossipMessage &message, const std::string &sender,
                  TimePoint now, NodeOutput &out)
{
    const std::vector<SeatSample> samples = collectSeatSamples(node, now);
    const GossipContext context{node.feed.config.version, samples};
    MembershipOutput membershipOut;
    membershipReceive(node.membership, message, sender, context, now, membershipOut);
    processMembershipOutput(node, membershipOut, now, out);
}

namespace NodeInternal {

std::vector<SeatSample> collectSeatSamples(NodeState &node, TimePoint now)
{
    if (node.seat)
        addSeatSample(node.freshness, {node.seat->raft.self, now, newestVersionInLog(*node.seat)});
    std::vector<SeatSample> samples;
    for (const auto &[seat, sample] : node.freshness.latestSamples) {
        if (now - sample.sampledAt <= 2 * node.settings.freshnessBound)
            samples.push_back(sample);
    }
    return samples;
}

void processMembershipOutput(NodeState &node, MembershipOutput &membershipOut, TimePoint now,
                             NodeOutput &out)
{
    std::move(membershipOut.send.begin(), membershipOut.send.end(), std::back_inserter(out.gossip));
    for (const SeatSample &sample : membershipOut.samples)
        addSeatSample(node.freshness, sample);
    for (const auto &[entry, version] : membershipOut.appliedVersions) {
        ConfigVersion &known = node.peerVersions[entry];
        known = std::max(known, version);
        // Requests the changes from a peer with a newer version, at most once per feed interval.
        if (version > node.feed.config.version && now >= node.nextFeedPull) {
            node.nextFeedPull = now + node.settings.feedInterval;
            pullFeed(node, entry, false, out);
        }
    }
    for (const Member &member : membershipOut.changed)
        handleMemberChange(node, member, now, out);
    if (membershipOut.wasPaused)
        addEvent(out, NodeEventKind::Paused, node.settings.self.entry, {});
}

void updateMembership(NodeState &node, TimePoint now, NodeOutput &out)
{
    const std::vector<SeatSample> samples = collectSeatSamples(node, now);
    const GossipContext context{node.feed.config.version, samples};
    MembershipOutput membershipOut;
    membershipTick(node.membership, context, now, membershipOut);
    processMembershipOutput(node, membershipOut, now, out);
    requestMemberList(node, now, out);
    const bool isConfigFresh = isConfigurationFresh(node, now);
    if (isConfigFresh != node.wasConfigFresh)
        addEvent(out, isConfigFresh ? NodeEventKind::BecameFresh : NodeEventKind::BecameStale,
                 node.settings.self.entry, std::to_string(node.feed.config.version));
    node.wasConfigFresh = isConfigFresh;
}

} // namespace NodeInternal

} // namespace Trefoil
