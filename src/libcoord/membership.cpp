#include "libcoord/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

// Number of probe periods without a tick after which the process counts as paused.
constexpr int PausePeriods = 4;

// An update is sent with RetransmitFactor * log2(members) messages.
constexpr std::uint32_t RetransmitFactor = 3;

std::uint32_t transmissionLimit(const MembershipState &state)
{
    const double members = static_cast<double>(state.members.size()) + 2;
    return RetransmitFactor * static_cast<std::uint32_t>(std::ceil(std::log2(members)));
}

// Chooses the updates for a message, those sent least often first, and counts them as sent.
std::vector<Member> takeUpdates(MembershipState &state)
{
    std::vector<Member> updates;
    const std::uint32_t limit = transmissionLimit(state);
    if (state.selfTransmissionCount < limit) {
        ++state.selfTransmissionCount;
        updates.push_back(state.self);
    }
    std::vector<KnownMember *> candidates;
    for (auto &[entry, member] : state.members) {
        if (member.transmissionCount < limit)
            candidates.push_back(&member);
    }
    std::sort(candidates.begin(), candidates.end(), [](const KnownMember *a, const KnownMember *b) {
        return a->transmissionCount < b->transmissionCount;
    });
    for (KnownMember *member : candidates) {
        if (updates.size() >= state.options.maxUpdatesPerMessage)
            break;
        ++member->transmissionCount;
        updates.push_back(member->info);
    }
    return updates;
}

GossipMessage makeGossip(MembershipState &state, GossipKind kind, const GossipContext &context)
{
    GossipMessage message;
    message.kind = kind;
    message.from = state.self.entry;
    message.version = context.version;
    message.updates = takeUpdates(state);
    return message;
}

void addSeatAges(GossipMessage &message, const GossipContext &context, TimePoint now)
{
    for (const SeatSample &sample : context.samples) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - sample.sampledAt);
        const auto bounded = std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX);
        message.seatAges.push_back(
                {sample.seat, static_cast<std::uint32_t>(bounded), sample.version});
    }
}

void setStatus(KnownMember &member, MemberStatus status, TimePoint now, MembershipOutput &out)
{
    member.info.status = status;
    member.statusChangedAt = now;
    member.transmissionCount = 0;
    out.changed.push_back(member.info);
}

// Returns true when the claim replaces what is known of a member: it has a higher incarnation, or
// the same one and a worse status.
bool supersedes(const Member &claim, const Member &known)
{
    if (claim.incarnation != known.incarnation)
        return claim.incarnation > known.incarnation;
    return claim.status > known.status;
}

// Raises the incarnation of this entry above that of a claim that wrongly declares it faulty or
// that has a later incarnation.
void refuteClaim(MembershipState &state, const Member &claim)
{
    const bool isDeclaredFaulty =
            claim.status != MemberStatus::Alive && state.self.status != MemberStatus::Left;
    const bool isSelfOutdated = claim.incarnation > state.self.incarnation;
    if (!isDeclaredFaulty && !isSelfOutdated)
        return;
    if (claim.incarnation < state.self.incarnation)
        return;
    state.self.incarnation = claim.incarnation + 1;
    state.selfTransmissionCount = 0;
}

void mergeMember(MembershipState &state, const Member &claim, TimePoint now, MembershipOutput &out)
{
    if (claim.entry == state.self.entry) {
        refuteClaim(state, claim);
        return;
    }
    const auto found = state.members.find(claim.entry);
    if (found == state.members.end()) {
        KnownMember &member = state.members[claim.entry];
        member.info = claim;
        setStatus(member, claim.status, now, out);
        return;
    }
    if (!supersedes(claim, found->second.info))
        return;
    found->second.info = claim;
    setStatus(found->second, claim.status, now, out);
}

void markSuspect(MembershipState &state, const EntryId &entry, TimePoint now, MembershipOutput &out)
{
    const auto found = state.members.find(entry);
    if (found == state.members.end() || found->second.info.status != MemberStatus::Alive)
        return;
    setStatus(found->second, MemberStatus::Suspect, now, out);
}

void sendPing(MembershipState &state, const EntryId &target, const std::string &address,
              const std::string &relayAddress, std::uint64_t relaySequence,
              const GossipContext &context, TimePoint now, MembershipOutput &out)
{
    const std::uint64_t sequence = state.nextSequence++;
    OutstandingProbe probe;
    probe.target = target;
    probe.sentAt = now;
    probe.deadline = now + state.options.probeTimeout;
    probe.relayAddress = relayAddress;
    probe.relaySequence = relaySequence;
    state.probes[sequence] = probe;
    GossipMessage ping = makeGossip(state, GossipKind::Ping, context);
    ping.sequence = sequence;
    ping.target = target;
    const auto known = state.members.find(target);
    const bool isSuspected =
            known != state.members.end() && known->second.info.status != MemberStatus::Alive;
    // A suspected member can refute the suspicion only when it is told of it.
    if (isSuspected)
        ping.updates.push_back(known->second.info);
    out.send.push_back({address, std::move(ping)});
}

// Returns the next member to probe, or an empty id when there is none. Each round covers all
// members in a new random order.
EntryId nextProbeTarget(MembershipState &state)
{
    while (true) {
        if (state.probeOrder.empty()) {
            for (const auto &[entry, member] : state.members) {
                if (member.info.status <= MemberStatus::Suspect)
                    state.probeOrder.push_back(entry);
            }
            std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), state.rng);
        }
        if (state.probeOrder.empty())
            return {};
        EntryId target = state.probeOrder.back();
        state.probeOrder.pop_back();
        const auto found = state.members.find(target);
        if (found != state.members.end() && found->second.info.status <= MemberStatus::Suspect)
            return target;
    }
}

void probeIndirectly(MembershipState &state, std::uint64_t sequence, OutstandingProbe &probe,
                     const GossipContext &context, TimePoint now, MembershipOutput &out)
{
    std::vector<const KnownMember *> helpers;
    for (const auto &[entry, member] : state.members) {
        if (entry != probe.target && member.info.status == MemberStatus::Alive)
            helpers.push_back(&member);
    }
    std::shuffle(helpers.begin(), helpers.end(), state.rng);
    helpers.resize(std::min(helpers.size(), state.options.indirectProbes));
    probe.isIndirect = true;
    probe.deadline = now + 2 * state.options.probeTimeout;
    for (const KnownMember *helper : helpers) {
        GossipMessage request = makeGossip(state, GossipKind::PingRequest, context);
        request.sequence = sequence;
        request.target = probe.target;
        out.send.push_back({helper->info.peerAddress, std::move(request)});
    }
}

void expireProbes(MembershipState &state, const GossipContext &context, TimePoint now,
                  MembershipOutput &out)
{
    std::vector<std::uint64_t> finished;
    for (auto &[sequence, probe] : state.probes) {
        if (now < probe.deadline)
            continue;
        const bool isOwnProbe = probe.relayAddress.empty() && !probe.target.empty();
        if (isOwnProbe && !probe.isIndirect) {
            probeIndirectly(state, sequence, probe, context, now, out);
            continue;
        }
        if (isOwnProbe)
            markSuspect(state, probe.target, now, out);
        finished.push_back(sequence);
    }
    for (std::uint64_t sequence : finished)
        state.probes.erase(sequence);
}

void expireSuspicions(MembershipState &state, TimePoint now, MembershipOutput &out)
{
    for (auto &[entry, member] : state.members) {
        const bool hasTimedOut = now - member.statusChangedAt >= state.options.suspicionTimeout;
        if (member.info.status == MemberStatus::Suspect && hasTimedOut)
            setStatus(member, MemberStatus::Dead, now, out);
    }
    std::erase_if(state.members, [&](const auto &item) {
        return item.second.info.status >= MemberStatus::Dead
               && now - item.second.statusChangedAt >= state.options.forgetTimeout;
    });
}

// Drops the outstanding probes and postpones suspicions. Deadlines that passed while this process
// was paused are no evidence against other members.
void recoverFromPause(MembershipState &state, Duration pause)
{
    state.probes.clear();
    for (auto &[entry, member] : state.members)
        member.statusChangedAt += pause;
}

// Probes the seeds that are not known as members.
void probeSeeds(MembershipState &state, const GossipContext &context, TimePoint now,
                MembershipOutput &out)
{
    for (const std::string &seed : state.seeds) {
        const bool isKnown =
                seed == state.self.peerAddress
                || std::any_of(state.members.begin(), state.members.end(), [&](const auto &item) {
                       return item.second.info.peerAddress == seed
                              && item.second.info.status <= MemberStatus::Suspect;
                   });
        if (isKnown)
            continue;
        state.selfTransmissionCount = 0;
        sendPing(state, {}, seed, {}, 0, context, now, out);
    }
}

void receivePing(MembershipState &state, const GossipMessage &ping, const std::string &sender,
                 const GossipContext &context, TimePoint now, MembershipOutput &out)
{
    const auto known = state.members.find(ping.from);
    GossipMessage ack = makeGossip(state, GossipKind::Ack, context);
    // A ping without a target is sent to a seed address by a member that does not know this entry,
    // for example because that member has just started.
    if (ping.target.empty())
        ack.updates.push_back(state.self);
    // A returning member that was declared dead can refute this only when it is told.
    if (known != state.members.end() && known->second.info.status != MemberStatus::Alive)
        ack.updates.push_back(known->second.info);
    ack.sequence = ping.sequence;
    addSeatAges(ack, context, now);
    out.send.push_back({sender, std::move(ack)});
}

void receiveAck(MembershipState &state, const GossipMessage &ack, const GossipContext &context,
                MembershipOutput &out)
{
    const auto found = state.probes.find(ack.sequence);
    if (found == state.probes.end())
        return;
    const OutstandingProbe probe = found->second;
    state.probes.erase(found);
    if (!probe.relayAddress.empty()) {
        GossipMessage relayed = makeGossip(state, GossipKind::Ack, context);
        relayed.sequence = probe.relaySequence;
        relayed.from = ack.from;
        relayed.version = ack.version;
        out.send.push_back({probe.relayAddress, std::move(relayed)});
        return;
    }
    for (const SeatAge &age : ack.seatAges) {
        const TimePoint sampledAt = probe.sentAt - std::chrono::milliseconds(age.ageMs);
        out.samples.push_back({age.seat, sampledAt, age.version});
    }
}

} // namespace

MembershipState makeMembership(Member self, std::vector<std::string> seeds,
                               const MembershipOptions &options, std::uint64_t seed, TimePoint now)
{
    MembershipState state;
    state.options = options;
    state.self = std::move(self);
    state.seeds = std::move(seeds);
    state.rng.seed(seed);
    std::uniform_int_distribution<Duration::rep> firstDelay(0, options.probePeriod.count());
    state.nextProbe = now + Duration(firstDelay(state.rng));
    state.lastTick = now;
    return state;
}

void membershipTick(MembershipState &state, const GossipContext &context, TimePoint now,
                    MembershipOutput &out)
{
    const Duration pause = now - state.lastTick;
    state.lastTick = now;
    if (pause > PausePeriods * state.options.probePeriod) {
        out.wasPaused = true;
        recoverFromPause(state, pause);
    }
    expireProbes(state, context, now, out);
    expireSuspicions(state, now, out);
    if (now < state.nextProbe)
        return;
    state.nextProbe = std::max(state.nextProbe + state.options.probePeriod, now);
    probeSeeds(state, context, now, out);
    const EntryId target = nextProbeTarget(state);
    if (!target.empty())
        sendPing(state, target, state.members[target].info.peerAddress, {}, 0, context, now, out);
}

void membershipReceive(MembershipState &state, const GossipMessage &message,
                       const std::string &sender, const GossipContext &context, TimePoint now,
                       MembershipOutput &out)
{
    for (const Member &update : message.updates)
        mergeMember(state, update, now, out);
    if (message.version > 0)
        out.appliedVersions.emplace_back(message.from, message.version);
    switch (message.kind) {
    case GossipKind::Ping:
        receivePing(state, message, sender, context, now, out);
        break;
    case GossipKind::Ack:
        receiveAck(state, message, context, out);
        break;
    case GossipKind::PingRequest: {
        const auto target = state.members.find(message.target);
        if (target != state.members.end())
            sendPing(state, message.target, target->second.info.peerAddress, sender,
                     message.sequence, context, now, out);
        break;
    }
    }
}

void mergeMembers(MembershipState &state, std::span<const Member> members, TimePoint now,
                  MembershipOutput &out)
{
    for (const Member &member : members)
        mergeMember(state, member, now, out);
}

void setSelfDraining(MembershipState &state, bool isDraining)
{
    state.self.isDraining = isDraining;
    state.self.incarnation += 1;
    state.selfTransmissionCount = 0;
}

void setSelfLeft(MembershipState &state)
{
    state.self.status = MemberStatus::Left;
    state.self.incarnation += 1;
    state.selfTransmissionCount = 0;
}

std::vector<Member> allMembers(const MembershipState &state)
{
    std::vector<Member> members{state.self};
    for (const auto &[entry, member] : state.members)
        members.push_back(member.info);
    return members;
}

std::uint64_t membersDigest(const MembershipState &state)
{
    std::uint64_t digest = 0;
    for (const Member &member : allMembers(state)) {
        const std::string memberText = member.entry + '/' + std::to_string(member.incarnation) + '/'
                                       + std::to_string(static_cast<int>(member.status));
        digest ^= XXH3_64bits(memberText.data(), memberText.size());
    }
    return digest;
}

bool isReachable(const MembershipState &state, const EntryId &entry)
{
    if (entry == state.self.entry)
        return true;
    const auto found = state.members.find(entry);
    return found != state.members.end() && found->second.info.status <= MemberStatus::Suspect;
}

} // namespace Trefoil
