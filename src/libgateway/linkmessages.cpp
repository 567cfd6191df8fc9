#include "libgateway/linkmessages.h"

#include "libcoord/codec.h"

#include <cereal/types/map.hpp>

namespace Trefoil {

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
void serialize(Archive &archive, LinkHello::Progress &p)
{
    archive(p.endpoint, p.startedAtMs, p.ageMs);
}

template <class Archive>
void serialize(Archive &archive, LinkHello &h)
{
    archive(h.kind, h.name, h.domain, h.internalAddress, h.publicAddress, h.process, h.seat,
            h.isReady, h.requests, h.progress, h.stalled, h.demand, h.leaderTerm, h.leaderAddress);
}

template <class Archive>
void serialize(Archive &archive, RaftEnvelope &e)
{
    archive(e.messages);
}

template <class Archive>
void serialize(Archive &archive, EndpointNews::Item &i)
{
    archive(i.report, i.ageMs, i.hasLeft);
}

template <class Archive>
void serialize(Archive &archive, EndpointNews::Sign &s)
{
    archive(s.endpoint, s.startedAtMs, s.ageMs);
}

template <class Archive>
void serialize(Archive &archive, EndpointNews &n)
{
    archive(n.items, n.signs);
}

template <class Archive>
void serialize(Archive &archive, KnownNode &n)
{
    archive(n.kind, n.name, n.domain, n.internalAddress, n.publicAddress, n.process, n.isReady,
            n.leadsInTerm);
}

template <class Archive>
void serialize(Archive &archive, Topology &t)
{
    archive(t.nodes);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationOffer &o)
{
    archive(o.version);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationRequest &r)
{
    archive(r.version);
}

template <class Archive>
void serialize(Archive &archive, ConfigurationDocument &d)
{
    archive(d.version, d.document);
}

template <class Archive>
void serialize(Archive &archive, LoadDigest::Item &i)
{
    archive(i.endpoint, i.requests, i.pendingPromptTokens);
}

template <class Archive>
void serialize(Archive &archive, LoadDigest &d)
{
    archive(d.entry, d.process, d.sequence, d.items);
}

void applyNews(EndpointTable &table, const EndpointNews &news, const ServiceConfiguration *config,
               TimePoint now)
{
    for (const EndpointNews::Item &item : news.items) {
        if (config && !findService(*config, item.report.service))
            continue; // the control VM that tells of it knows no configuration yet
        const Duration age = std::chrono::milliseconds(item.ageMs);
        applyReport(table, item.report, age, now);
        if (item.hasLeft)
            applyDeparture(table, item.report.id, item.report.startedAtMs, now);
    }
    for (const EndpointNews::Sign &sign : news.signs)
        recordSignOfLife(table, sign.endpoint, sign.startedAtMs,
                         std::chrono::milliseconds(sign.ageMs), now);
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
    return decode<LinkMessage>(bytes);
}

LoadDigest decodeLoadDigest(std::string_view bytes)
{
    return decode<LoadDigest>(bytes);
}

} // namespace Trefoil
