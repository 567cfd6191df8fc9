#include "libgateway/linkmessages.h"

#include "libcoord/codec.h"

#include <cereal/types/map.hpp>

namespace Trefoil {

namespace {

// Decodes a message of which up to four lists and a position at the end may be missing.
template <class Message>
Message decodeWithMissingFields(std::string_view bytes)
{
    // An empty list is encoded as eight zero bytes.
    constexpr std::size_t maxMissingBytes =
            4 * sizeof(std::uint64_t) + sizeof(StatePosition) + sizeof(bool);
    return decode<Message>(std::string(bytes) + std::string(maxMissingBytes, '\0'));
}

} // namespace

template <class Archive>
void serialize(Archive &archive, GroupMembership &m)
{
    archive(m.group, m.epoch, m.rank, m.phase);
}

template <class Archive>
void serialize(Archive &archive, EndpointReport &r)
{
    archive(r.id, r.service, r.address, r.domain, r.fabric, r.slots, r.isDraining, r.startedAtMs,
            r.sequence, r.stagedModels, r.membership);
}

template <class Archive>
void serialize(Archive &archive, StatePosition &p)
{
    archive(p.process, p.departures, p.endpoints, p.evidence, p.unconfigured);
}

template <class Archive>
void serialize(Archive &archive, LinkHello::EndpointProgress &p)
{
    archive(p.endpoint, p.startedAtMs, p.ageMs);
}

template <class Archive>
void serialize(Archive &archive, LinkHello::LimitedHead &h)
{
    archive(h.endpoint, h.slots);
}

template <class Archive>
void serialize(Archive &archive, LinkHello &h)
{
    archive(h.kind, h.name, h.domain, h.internalAddress, h.publicAddress, h.processStartMs, h.seat,
            h.isReady, h.requestCount, h.progress, h.stalledHeads, h.demandByModel, h.leaderTerm,
            h.leaderAddress, h.limitedHeads, h.received, h.isContinuation);
}

template <class Archive>
void serialize(Archive &archive, RaftEnvelope &e)
{
    archive(e.messages);
}

template <class Archive>
void serialize(Archive &archive, EndpointUpdate::ChangedEndpoint &e)
{
    archive(e.report, e.ageMs, e.hasLeft);
}

template <class Archive>
void serialize(Archive &archive, EndpointUpdate::HeardEndpoint &e)
{
    archive(e.endpoint, e.startedAtMs, e.ageMs);
}

template <class Archive>
void serialize(Archive &archive, SuspectRequest &r)
{
    archive(r.request, r.parts);
}

template <class Archive>
void serialize(Archive &archive, PartEvidence::End &e)
{
    archive(e.engine, e.ageMs, e.suspects);
}

template <class Archive>
void serialize(Archive &archive, PartEvidence::Answer &a)
{
    archive(a.part, a.ageMs);
}

template <class Archive>
void serialize(Archive &archive, PartEvidence::Verdict &v)
{
    archive(v.parts, v.lastEndAgeMs, v.isReleased, v.releaseAgeMs, v.trialInMs, v.ends, v.requests,
            v.trials, v.hadAnswer);
}

template <class Archive>
void serialize(Archive &archive, PartEvidence &e)
{
    archive(e.ends, e.answers, e.verdicts);
}

template <class Archive>
void serialize(Archive &archive, DepartureNotice &n)
{
    archive(n.endpoint, n.startedAtMs, n.ageMs, n.isDurable);
}

template <class Archive>
void serialize(Archive &archive, EndpointUpdate &u)
{
    archive(u.changed, u.heard, u.partEvidence, u.departures, u.position);
}

template <class Archive>
void serialize(Archive &archive, KnownNode &n)
{
    archive(n.kind, n.name, n.domain, n.internalAddress, n.publicAddress, n.processStartMs,
            n.isReady, n.leadsInTerm);
}

template <class Archive>
void serialize(Archive &archive, Topology::RememberedEntry &e)
{
    archive(e.name, e.ageMs);
}

template <class Archive>
void serialize(Archive &archive, Topology &t)
{
    archive(t.nodes, t.rememberedEntries, t.isContinuation);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationOffer &o)
{
    archive(o.version, o.received);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationRequest &r)
{
    archive(r.version, r.offset, r.takesParts);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationDocument &d)
{
    archive(d.version, d.document, d.offset, d.totalBytes);
}

template <class Archive>
void serialize(Archive &archive, LoadDigest::ReportedLoad &l)
{
    archive(l.endpoint, l.requests, l.pendingPromptTokens);
}

template <class Archive>
void serialize(Archive &archive, LimitReport &r)
{
    archive(r.endpoint, r.startedAtMs, r.perSecond, r.ageMs);
}

template <class Archive>
void serialize(Archive &archive, LimitGrant &g)
{
    archive(g.endpoint, g.entry);
}

template <class Archive>
void serialize(Archive &archive, LoadDigest &d)
{
    archive(d.entryName, d.processStartMs, d.sequence, d.loads, d.limits, d.neededEndpoints,
            d.grants, d.part);
}

std::vector<EndpointReport> applyEndpointUpdate(EndpointTable &table, const EndpointUpdate &update,
                                                TimePoint now)
{
    std::vector<EndpointReport> changes;
    for (const EndpointUpdate::ChangedEndpoint &changed : update.changed) {
        const Duration age = std::chrono::milliseconds(changed.ageMs);
        if (applyReport(table, changed.report, age, now) == ReportOutcome::Changed)
            changes.push_back(changed.report);
        if (changed.hasLeft)
            applyDeparture(table, {changed.report.id, changed.report.startedAtMs}, now);
    }
    for (const EndpointUpdate::HeardEndpoint &heard : update.heard)
        recordSignOfLife(table, heard.endpoint, heard.startedAtMs,
                         std::chrono::milliseconds(heard.ageMs), now);
    return changes;
}

void recordEntries(EntryRoster &roster, const Topology &topology, TimePoint now)
{
    for (const KnownNode &node : topology.nodes) {
        if (node.kind == NodeKind::Entry)
            recordEntry(roster, node.name, now);
    }
    for (const Topology::RememberedEntry &entry : topology.rememberedEntries)
        recordEntry(roster, entry.name, now - std::chrono::milliseconds(entry.ageMs));
}

std::string encodeLinkMessage(const LinkMessage &message)
{
    return encode(message);
}

std::string encodeLoadDigest(const LoadDigest &digest)
{
    return encode(digest);
}

LinkMessage decodeLinkMessage(std::string_view bytes)
{
    return decodeWithMissingFields<LinkMessage>(bytes);
}

LoadDigest decodeLoadDigest(std::string_view bytes)
{
    return decodeWithMissingFields<LoadDigest>(bytes);
}

} // namespace Trefoil
