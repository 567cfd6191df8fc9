#include "libnode/node.h"

#include "libnode/nodeinternal.h"

namespace Trefoil {

using namespace NodeInternal;

namespace {

constexpr auto MemberPullInterval = std::chrono::seconds(5);

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

// Pulls the full member list now and then, so that a lost update does not last.
void pullMembers(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (now < node.nextMemberPull || node.membership.members.empty())
        return;
    node.nextMemberPull = now + MemberPullInterval;
    std::uniform_int_distribution<std::size_t> pick(0, node.membership.members.size() - 1);
    auto member = node.membership.members.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(pick(node.membership.rng)));
    if (member->second.info.status == MemberStatus::Alive)
        pullFeed(node, member->first, true, out);
}

void memberChanged(NodeState &node, const Member &member, TimePoint now, NodeOutput &out)
{
    addEvent(out, NodeEventKind::MemberChanged, member.entry, statusName(member.status));
    const auto [process, added] = node.peerProcesses.try_emplace(member.entry, member.process);
    const bool restarted = !added && process->second != member.process;
    process->second = member.process;
    if (member.status < MemberStatus::Dead && !restarted)
        return;
    node.peerVersions.erase(member.entry);
    watcherGone(node, member.entry, now);
    // Retries must not go to the entry that is gone.
    updateTargets(node, now, out);
    loseAttempts(node, member.entry, out);
}

} // namespace

void nodeGossip(NodeState &node, const GossipMessage &message, const std::string &sender,
                TimePoint now, NodeOutput &out)
{
    const std::vector<SeatSample> samples = currentSamples(node, now);
    const GossipContext context{node.feed.config.version, samples};
    MembershipOutput membershipOut;
    membershipReceive(node.membership, message, sender, context, now, membershipOut);
    takeMembershipOutput(node, membershipOut, now, out);
}

namespace NodeInternal {

std::vector<SeatSample> currentSamples(NodeState &node, TimePoint now)
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

void takeMembershipOutput(NodeState &node, MembershipOutput &membershipOut, TimePoint now,
                          NodeOutput &out)
{
    std::move(membershipOut.send.begin(), membershipOut.send.end(), std::back_inserter(out.gossip));
    for (const SeatSample &sample : membershipOut.samples)
        addSeatSample(node.freshness, sample);
    for (const auto &[entry, version] : membershipOut.appliedVersions) {
        ConfigVersion &known = node.peerVersions[entry];
        known = std::max(known, version);
        // A peer that is ahead is asked at once, within the pull interval.
        if (version > node.feed.config.version && now >= node.nextFeedPull) {
            node.nextFeedPull = now + node.settings.feedInterval;
            pullFeed(node, entry, false, out);
        }
    }
    for (const Member &member : membershipOut.changed)
        memberChanged(node, member, now, out);
    if (membershipOut.wasPaused)
        addEvent(out, NodeEventKind::Paused, node.settings.self.entry, {});
}

void membershipStep(NodeState &node, TimePoint now, NodeOutput &out)
{
    const std::vector<SeatSample> samples = currentSamples(node, now);
    const GossipContext context{node.feed.config.version, samples};
    MembershipOutput membershipOut;
    membershipTick(node.membership, context, now, membershipOut);
    takeMembershipOutput(node, membershipOut, now, out);
    pullMembers(node, now, out);
    const bool fresh = isConfirmed(node, now);
    if (fresh != node.wasFresh)
        addEvent(out, fresh ? NodeEventKind::BecameFresh : NodeEventKind::BecameStale,
                 node.settings.self.entry, std::to_string(node.feed.config.version));
    node.wasFresh = fresh;
}

} // namespace NodeInternal

} // namespace Trefoil
