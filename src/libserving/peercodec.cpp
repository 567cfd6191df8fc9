#include "libserving/peermessage.h"

#include "libcoord/codec.h"

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/utility.hpp>

// cereal bindings of the serving types. The times in a DispatchRequest and a VmReport are not
// encoded; the receiver sets them.

namespace Trefoil {

namespace {

// The first byte of an encoded proposal tells whether its command changes the configuration.
constexpr char ConfigurationTag = 'C';
constexpr char KeyTag = 'K';
constexpr char DepartureTag = 'D';
constexpr char GroupTag = 'G';

char tagOf(const Command &command)
{
    if (std::holds_alternative<RecordDepartures>(command))
        return DepartureTag;
    if (std::holds_alternative<RecordGroups>(command))
        return GroupTag;
    return changesConfiguration(command) ? ConfigurationTag : KeyTag;
}

} // namespace

template <class Archive>
void serialize(Archive &archive, Member &member)
{
    archive(member.entry, member.peerAddress, member.callerAddress, member.domain,
            member.incarnation, member.process, member.status, member.isDraining);
}

template <class Archive>
void serialize(Archive &archive, SeatAge &seatAge)
{
    archive(seatAge.seat, seatAge.ageMs, seatAge.version);
}

template <class Archive>
void serialize(Archive &archive, GossipMessage &message)
{
    archive(message.kind, message.sequence, message.from, message.target, message.version,
            message.updates, message.seatAges);
}

template <class Archive>
void serialize(Archive &archive, Vm &vm)
{
    archive(vm.id, vm.address, vm.domain, vm.fabric, vm.role, vm.service, vm.accelerators, vm.slots,
            vm.incarnation, vm.enforcesFencing, vm.status);
}

template <class Archive>
void serialize(Archive &archive, Workspace &workspace)
{
    archive(workspace.id, workspace.weight);
}

template <class Archive>
void serialize(Archive &archive, Deployment &deployment)
{
    archive(deployment.id, deployment.model, deployment.version, deployment.placement,
            deployment.vmsPerGroup, deployment.groups, deployment.downtimeWeight,
            deployment.strandedWeight);
}

template <class Archive>
void serialize(Archive &archive, ServingGroup &group)
{
    archive(group.id, group.deployment, group.version, group.vms, group.dispatcher,
            group.dispatcherSince, group.status);
}

template <class Archive>
void serialize(Archive &archive, PublishedServices &services)
{
    archive(services.version, services.document);
}

template <class Archive>
void serialize(Archive &archive, PublishServices &command)
{
    archive(command.version, command.document);
}

template <class Archive>
void serialize(Archive &archive, Configuration &config)
{
    archive(config.version, config.seats, config.workspaces, config.deployments, config.vms,
            config.groups, config.drainingEntries, config.services);
}

template <class Archive>
void serialize(Archive &archive, SetWorkspace &command)
{
    archive(command.workspace);
}

template <class Archive>
void serialize(Archive &archive, RemoveWorkspace &command)
{
    archive(command.workspace);
}

template <class Archive>
void serialize(Archive &archive, SetDeployment &command)
{
    archive(command.deployment, command.model, command.version, command.placement,
            command.vmsPerGroup, command.groups, command.downtimeWeight, command.strandedWeight);
}

template <class Archive>
void serialize(Archive &archive, RemoveDeployment &command)
{
    archive(command.deployment);
}

template <class Archive>
void serialize(Archive &archive, AnnounceVm &command)
{
    archive(command.vm);
}

template <class Archive>
void serialize(Archive &archive, SetVmStatus &command)
{
    archive(command.vm, command.incarnation, command.status);
}

template <class Archive>
void serialize(Archive &archive, ForgetVm &command)
{
    archive(command.vm);
}

template <class Archive>
void serialize(Archive &archive, FormGroup &command)
{
    archive(command.deployment, command.vms, command.dispatcher);
}

template <class Archive>
void serialize(Archive &archive, DrainGroup &command)
{
    archive(command.group);
}

template <class Archive>
void serialize(Archive &archive, EndGroup &command)
{
    archive(command.group, command.reason);
}

template <class Archive>
void serialize(Archive &archive, SetDispatcher &command)
{
    archive(command.group, command.dispatcher);
}

template <class Archive>
void serialize(Archive &archive, SetEntryDraining &command)
{
    archive(command.entry, command.draining);
}

template <class Archive>
void serialize(Archive &archive, KeyOwner &owner)
{
    archive(owner.entry, owner.incarnation, owner.request);
}

template <class Archive>
void serialize(Archive &archive, ClaimKey &command)
{
    archive(command.key, command.digest, command.owner);
}

template <class Archive>
void serialize(Archive &archive, FinishKey &command)
{
    archive(command.key, command.owner, command.outcome, command.status, command.contentType,
            command.body);
}

template <class Archive>
void serialize(Archive &archive, ReleaseKey &command)
{
    archive(command.key, command.owner);
}

template <class Archive>
void serialize(Archive &archive, AbandonKeys &command)
{
    archive(command.entry, command.belowIncarnation);
}

template <class Archive>
void serialize(Archive &archive, CommandIdentity &identity)
{
    archive(identity.operatorName, identity.number, identity.digest);
}

template <class Archive>
void serialize(Archive &archive, Proposal &proposal)
{
    archive(proposal.identity, proposal.expectedVersion, proposal.wallTimeMs, proposal.command);
}

template <class Archive>
void serialize(Archive &archive, KeyResult &result)
{
    archive(result.outcome, result.owner, result.status, result.contentType, result.body);
}

template <class Archive>
void serialize(Archive &archive, CommandReply &reply)
{
    archive(reply.code, reply.message, reply.version, reply.formedGroup, reply.key);
}

template <class Archive>
void serialize(Archive &archive, StoredReply &reply)
{
    archive(reply.digest, reply.reply);
}

template <class Archive>
void serialize(Archive &archive, OperatorReplies &replies)
{
    archive(replies.byNumber, replies.numbersByAge);
}

template <class Archive>
void serialize(Archive &archive, KeyRecord &record)
{
    archive(record.digest, record.claimedAtMs, record.result, record.refusedOwners);
}

template <class Archive>
void serialize(Archive &archive, DepartedEndpoint &departure)
{
    archive(departure.endpoint, departure.startedAtMs, departure.departedAtMs);
}

template <class Archive>
void serialize(Archive &archive, RecordDepartures &command)
{
    archive(command.departures);
}

template <class Archive>
void serialize(Archive &archive, GroupRecord &record)
{
    archive(record.name, record.epoch, record.service, record.model, record.fabric, record.isWarmUp,
            record.members);
}

template <class Archive>
void serialize(Archive &archive, GroupRecords &records)
{
    archive(records.byName, records.firstEpoch);
}

template <class Archive>
void serialize(Archive &archive, RecordGroups &command)
{
    archive(command.changes.recorded, command.changes.ended);
}

template <class Archive>
void serialize(Archive &archive, ControlState &state)
{
    archive(state.config, state.replies, state.operatorsByFirstUse, state.keys,
            state.keysByClaimTime, state.runningKeys, state.wallTimeMs, state.departures,
            state.groups);
}

template <class Archive>
void serialize(Archive &archive, RequestId &id)
{
    archive(id.entry, id.incarnation, id.number);
}

template <class Archive>
void serialize(Archive &archive, CallPayload &payload)
{
    archive(payload.method, payload.path, payload.contentType, payload.body);
}

template <class Archive>
void save(Archive &archive, const DispatchRequest &request)
{
    archive(request.id, request.attempt, request.workspace, request.requestClass, request.pool,
            request.isService, request.isIdempotent, request.isAnswerBuffered, request.promptCost,
            request.prefixHash, request.resumeFrom, *request.payload);
}

template <class Archive>
void load(Archive &archive, DispatchRequest &request)
{
    auto payload = std::make_shared<CallPayload>();
    archive(request.id, request.attempt, request.workspace, request.requestClass, request.pool,
            request.isService, request.isIdempotent, request.isAnswerBuffered, request.promptCost,
            request.prefixHash, request.resumeFrom, *payload);
    request.payload = std::move(payload);
}

template <class Archive>
void save(Archive &archive, const AttemptReport &report)
{
    archive(report.id, report.attempt, report.result, report.reason,
            static_cast<std::int64_t>(report.retryAfter.count()), report.relayedEvents,
            report.relayedBytes, report.status, report.contentType, report.body);
}

template <class Archive>
void load(Archive &archive, AttemptReport &report)
{
    std::int64_t retryAfter = 0;
    archive(report.id, report.attempt, report.result, report.reason, retryAfter,
            report.relayedEvents, report.relayedBytes, report.status, report.contentType,
            report.body);
    report.retryAfter = Duration(retryAfter);
}

template <class Archive>
void serialize(Archive &archive, VmReport &report)
{
    archive(report.vm, report.incarnation, report.group, report.state, report.heldWeights,
            report.inFlight);
}

template <class Archive>
void serialize(Archive &archive, DurationHistogram &histogram)
{
    archive(histogram.counts);
}

template <class Archive>
void serialize(Archive &archive, Condition &condition)
{
    archive(condition.column, condition.comparison, condition.value);
}

template <class Archive>
void serialize(Archive &archive, ShowQuery &query)
{
    archive(query.table, query.where, query.groupBy, query.limit);
}

template <class Archive>
void serialize(Archive &archive, Hello &hello)
{
    archive(hello.entry, hello.incarnation);
}

template <class Archive>
void serialize(Archive &archive, ProposeCall &message)
{
    archive(message.call, message.proposal, message.addSeat, message.removeSeat);
}

template <class Archive>
void serialize(Archive &archive, ProposeReply &message)
{
    archive(message.call, message.isLeader, message.leaderHint, message.reply);
}

template <class Archive>
void serialize(Archive &archive, SeatQuery &message)
{
    archive(message.call);
}

template <class Archive>
void serialize(Archive &archive, SeatReply &message)
{
    archive(message.call, message.seat);
}

template <class Archive>
void serialize(Archive &archive, FeedItem &item)
{
    archive(item.index, item.change);
}

template <class Archive>
void serialize(Archive &archive, FeedRequest &message)
{
    archive(message.version, message.wantsMembers, message.membersDigest);
}

template <class Archive>
void serialize(Archive &archive, FeedReply &message)
{
    archive(message.from, message.items, message.snapshot, message.members);
}

template <class Archive>
void serialize(Archive &archive, DispatchCall &message)
{
    archive(message.request, message.process, message.remainingMs);
}

template <class Archive>
void serialize(Archive &archive, DispatchCancelCall &message)
{
    archive(message.id);
}

template <class Archive>
void serialize(Archive &archive, AttemptId &id)
{
    archive(id.request, id.attempt);
}

template <class Archive>
void serialize(Archive &archive, DispatchCheck &message)
{
    archive(message.process, message.attempts);
}

template <class Archive>
void serialize(Archive &archive, AnswerHead &message)
{
    archive(message.id, message.attempt, message.status, message.contentType);
}

template <class Archive>
void serialize(Archive &archive, AnswerData &message)
{
    archive(message.id, message.attempt, message.offset, message.bytes);
}

template <class Archive>
void serialize(Archive &archive, AnswerCredit &message)
{
    archive(message.id, message.bytes);
}

template <class Archive>
void serialize(Archive &archive, AttemptReportCall &message)
{
    archive(message.report);
}

template <class Archive>
void serialize(Archive &archive, WatchReport &message)
{
    archive(message.reports, message.silent, message.idleGroups);
}

template <class Archive>
void serialize(Archive &archive, LeavingNotice &message)
{
    archive(message.vm, message.incarnation);
}

template <class Archive>
void serialize(Archive &archive, GroupReleased &message)
{
    archive(message.group, message.dispatcherSince);
}

template <class Archive>
void serialize(Archive &archive, QueryCall &message)
{
    archive(message.call, message.query);
}

template <class Archive>
void serialize(Archive &archive, QueryReply &message)
{
    archive(message.call, message.rows);
}

template <class Archive>
void serialize(Archive &archive, WorkReport::Item &item)
{
    archive(item.pool, item.workspace, item.work);
}

template <class Archive>
void serialize(Archive &archive, WorkReport &message)
{
    archive(message.items);
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
    return tagOf(proposal.command) + encode(proposal);
}

Proposal decodeProposal(std::string_view bytes)
{
    return decode<Proposal>(bytes.substr(1));
}

bool isConfigurationProposal(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() == ConfigurationTag;
}

bool isDepartureProposal(std::string_view bytes)
{
    return !bytes.empty() && bytes.front() == DepartureTag;
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
    // Snapshots of earlier versions end before the departures or before the groups. An empty map is
    // encoded as eight zero bytes, and so is the first epoch.
    return decode<ControlState>(std::string(bytes) + std::string(3 * sizeof(std::uint64_t), '\0'));
}

} // namespace Trefoil
