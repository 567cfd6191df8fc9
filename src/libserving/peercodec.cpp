#include "libserving/peermessage.h"

#include "libcoord/codec.h"

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/utility.hpp>

// cereal bindings of the serving types. Times of a DispatchRequest and a VmReport are set by the
// receiver and do not travel.

namespace Trefoil {

namespace {

// First byte of an encoded proposal.
constexpr char ConfigurationMark = 'C';
constexpr char KeyMark = 'K';

} // namespace

template <class A>
void serialize(A &a, Member &m)
{
    a(m.entry, m.peerAddress, m.callerAddress, m.domain, m.incarnation, m.process, m.status,
      m.isDraining);
}

template <class A>
void serialize(A &a, SeatAge &s)
{
    a(s.seat, s.ageMs, s.version);
}

template <class A>
void serialize(A &a, GossipMessage &m)
{
    a(m.kind, m.sequence, m.from, m.target, m.version, m.updates, m.seatAges);
}

template <class A>
void serialize(A &a, Vm &v)
{
    a(v.id, v.address, v.domain, v.fabric, v.role, v.service, v.accelerators, v.slots,
      v.incarnation, v.enforcesFencing, v.status);
}

template <class A>
void serialize(A &a, Workspace &w)
{
    a(w.id, w.weight);
}

template <class A>
void serialize(A &a, Deployment &d)
{
    a(d.id, d.model, d.version, d.placement, d.vmsPerGroup, d.groups, d.downtimeWeight,
      d.strandedWeight);
}

template <class A>
void serialize(A &a, ServingGroup &g)
{
    a(g.id, g.deployment, g.version, g.vms, g.dispatcher, g.dispatcherSince, g.status);
}

template <class A>
void serialize(A &a, PublishedServices &s)
{
    a(s.version, s.document);
}

template <class A>
void serialize(A &a, PublishServices &c)
{
    a(c.version, c.document);
}

template <class A>
void serialize(A &a, Configuration &c)
{
    a(c.version, c.seats, c.workspaces, c.deployments, c.vms, c.groups, c.drainingEntries,
      c.services);
}

template <class A>
void serialize(A &a, SetWorkspace &c)
{
    a(c.workspace);
}

template <class A>
void serialize(A &a, RemoveWorkspace &c)
{
    a(c.workspace);
}

template <class A>
void serialize(A &a, SetDeployment &c)
{
    a(c.deployment, c.model, c.version, c.placement, c.vmsPerGroup, c.groups, c.downtimeWeight,
      c.strandedWeight);
}

template <class A>
void serialize(A &a, RemoveDeployment &c)
{
    a(c.deployment);
}

template <class A>
void serialize(A &a, AnnounceVm &c)
{
    a(c.vm);
}

template <class A>
void serialize(A &a, SetVmStatus &c)
{
    a(c.vm, c.incarnation, c.status);
}

template <class A>
void serialize(A &a, ForgetVm &c)
{
    a(c.vm);
}

template <class A>
void serialize(A &a, FormGroup &c)
{
    a(c.deployment, c.vms, c.dispatcher);
}

template <class A>
void serialize(A &a, DrainGroup &c)
{
    a(c.group);
}

template <class A>
void serialize(A &a, EndGroup &c)
{
    a(c.group, c.reason);
}

template <class A>
void serialize(A &a, SetDispatcher &c)
{
    a(c.group, c.dispatcher);
}

template <class A>
void serialize(A &a, SetEntryDraining &c)
{
    a(c.entry, c.draining);
}

template <class A>
void serialize(A &a, KeyOwner &o)
{
    a(o.entry, o.incarnation, o.request);
}

template <class A>
void serialize(A &a, ClaimKey &c)
{
    a(c.key, c.digest, c.owner);
}

template <class A>
void serialize(A &a, FinishKey &c)
{
    a(c.key, c.owner, c.outcome, c.status, c.contentType, c.body);
}

template <class A>
void serialize(A &a, ReleaseKey &c)
{
    a(c.key, c.owner);
}

template <class A>
void serialize(A &a, AbandonKeys &c)
{
    a(c.entry, c.belowIncarnation);
}

template <class A>
void serialize(A &a, CommandIdentity &i)
{
    a(i.operatorName, i.number, i.digest);
}

template <class A>
void serialize(A &a, Proposal &p)
{
    a(p.identity, p.expectedVersion, p.wallTimeMs, p.command);
}

template <class A>
void serialize(A &a, KeyResult &r)
{
    a(r.outcome, r.owner, r.status, r.contentType, r.body);
}

template <class A>
void serialize(A &a, CommandReply &r)
{
    a(r.code, r.message, r.version, r.subject, r.key);
}

template <class A>
void serialize(A &a, RememberedReply &r)
{
    a(r.digest, r.reply);
}

template <class A>
void serialize(A &a, OperatorReplies &r)
{
    a(r.byNumber, r.order);
}

template <class A>
void serialize(A &a, KeyRecord &r)
{
    a(r.digest, r.claimedAtMs, r.result, r.refused);
}

template <class A>
void serialize(A &a, ControlState &s)
{
    a(s.config, s.replies, s.operatorOrder, s.keys, s.keyOrder, s.runningKeys, s.wallTimeMs);
}

template <class A>
void serialize(A &a, RequestId &i)
{
    a(i.entry, i.incarnation, i.number);
}

template <class A>
void serialize(A &a, CallPayload &p)
{
    a(p.method, p.path, p.contentType, p.body);
}

template <class A>
void save(A &a, const DispatchRequest &r)
{
    a(r.id, r.attempt, r.workspace, r.requestClass, r.pool, r.isService, r.isIdempotent, r.buffered,
      r.promptCost, r.prefixHash, r.resumeFrom, *r.payload);
}

template <class A>
void load(A &a, DispatchRequest &r)
{
    auto payload = std::make_shared<CallPayload>();
    a(r.id, r.attempt, r.workspace, r.requestClass, r.pool, r.isService, r.isIdempotent, r.buffered,
      r.promptCost, r.prefixHash, r.resumeFrom, *payload);
    r.payload = std::move(payload);
}

template <class A>
void save(A &a, const AttemptReport &r)
{
    a(r.id, r.attempt, r.result, r.reason, static_cast<std::int64_t>(r.retryAfter.count()),
      r.relayedEvents, r.relayedBytes, r.status, r.contentType, r.body);
}

template <class A>
void load(A &a, AttemptReport &r)
{
    std::int64_t retryAfter = 0;
    a(r.id, r.attempt, r.result, r.reason, retryAfter, r.relayedEvents, r.relayedBytes, r.status,
      r.contentType, r.body);
    r.retryAfter = Duration(retryAfter);
}

template <class A>
void serialize(A &a, VmReport &r)
{
    a(r.vm, r.incarnation, r.group, r.state, r.heldWeights, r.inFlight);
}

template <class A>
void serialize(A &a, DurationHistogram &h)
{
    a(h.counts);
}

template <class A>
void serialize(A &a, Condition &c)
{
    a(c.column, c.comparison, c.value);
}

template <class A>
void serialize(A &a, ShowQuery &q)
{
    a(q.table, q.where, q.by, q.limit);
}

template <class A>
void serialize(A &a, Hello &m)
{
    a(m.entry, m.incarnation);
}

template <class A>
void serialize(A &a, ProposeCall &m)
{
    a(m.call, m.proposal, m.addSeat, m.removeSeat);
}

template <class A>
void serialize(A &a, ProposeReply &m)
{
    a(m.call, m.isLeader, m.leaderHint, m.reply);
}

template <class A>
void serialize(A &a, SeatQuery &m)
{
    a(m.call);
}

template <class A>
void serialize(A &a, SeatReply &m)
{
    a(m.call, m.seat);
}

template <class A>
void serialize(A &a, FeedItem &m)
{
    a(m.index, m.change);
}

template <class A>
void serialize(A &a, FeedRequest &m)
{
    a(m.version, m.wantsMembers, m.membersDigest);
}

template <class A>
void serialize(A &a, FeedReply &m)
{
    a(m.from, m.items, m.snapshot, m.members);
}

template <class A>
void serialize(A &a, DispatchCall &m)
{
    a(m.request, m.process, m.remainingMs);
}

template <class A>
void serialize(A &a, DispatchCancelCall &m)
{
    a(m.id);
}

template <class A>
void serialize(A &a, AttemptId &i)
{
    a(i.request, i.attempt);
}

template <class A>
void serialize(A &a, DispatchCheck &m)
{
    a(m.process, m.attempts);
}

template <class A>
void serialize(A &a, AnswerHead &m)
{
    a(m.id, m.attempt, m.status, m.contentType);
}

template <class A>
void serialize(A &a, AnswerData &m)
{
    a(m.id, m.attempt, m.offset, m.bytes);
}

template <class A>
void serialize(A &a, AnswerCredit &m)
{
    a(m.id, m.bytes);
}

template <class A>
void serialize(A &a, AttemptReportCall &m)
{
    a(m.report);
}

template <class A>
void serialize(A &a, WatchReport &m)
{
    a(m.reports, m.silent, m.idleGroups);
}

template <class A>
void serialize(A &a, LeavingNotice &m)
{
    a(m.vm, m.incarnation);
}

template <class A>
void serialize(A &a, GroupReleased &m)
{
    a(m.group, m.dispatcherSince);
}

template <class A>
void serialize(A &a, QueryCall &m)
{
    a(m.call, m.query);
}

template <class A>
void serialize(A &a, QueryReply &m)
{
    a(m.call, m.rows);
}

template <class A>
void serialize(A &a, WorkDigest::Item &i)
{
    a(i.pool, i.workspace, i.work);
}

template <class A>
void serialize(A &a, WorkDigest &m)
{
    a(m.items);
}

std::string encodePeerMessage(const PeerMessage &message)
{
    return encode(message);
}

PeerMessage decodePeerMessage(std::string_view bytes)
{
    return decode<PeerMessage>(bytes);
}

std::string encodeGossip(const GossipMessage &message)
{
    return encode(message);
}

GossipMessage decodeGossip(std::string_view bytes)
{
    return decode<GossipMessage>(bytes);
}

std::string encodeProposal(const Proposal &proposal)
{
    const char mark = changesConfiguration(proposal.command) ? ConfigurationMark : KeyMark;
    return mark + encode(proposal);
}

Proposal decodeProposal(std::string_view bytes)
{
    return decode<Proposal>(bytes.substr(1));
}

bool isConfigurationProposal(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() == ConfigurationMark;
}

std::string encodeConfiguration(const Configuration &config)
{
    return encode(config);
}

Configuration decodeConfiguration(std::string_view bytes)
{
    return decode<Configuration>(bytes);
}

std::string encodeControlState(const ControlState &state)
{
    return encode(state);
}

ControlState decodeControlState(std::string_view bytes)
{
    return decode<ControlState>(bytes);
}

} // namespace Trefoil
