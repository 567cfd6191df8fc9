#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

// Longest time for which a request can be in transit to its engine after the earlier dispatcher
// that sent it has stopped.
constexpr auto MaxRequestTransit = std::chrono::milliseconds(500);

// Sends a message to every entry with a seat, including this one.
template <class Message>
void sendToSeats(NodeState &node, const Message &message, TimePoint now, NodeOutput &out)
{
    std::set<EntryId> entries;
    for (const Seat &seat : node.feed.config.seats)
        entries.insert(seat.entry);
    for (const EntryId &entry : entries) {
        if (entry == node.settings.self.entry)
            handlePeerMessage(node, entry, message, now, out);
        else
            out.peers.emplace_back(entry, message);
    }
}

bool hasSameState(const VmReport &a, const VmReport &b)
{
    return a.incarnation == b.incarnation && a.group == b.group && a.state == b.state
           && a.heldWeights == b.heldWeights;
}

void reportSilentVms(NodeState &node, TimePoint now, WatchReport &report, NodeOutput &out)
{
    for (const auto &[id, known] : node.watch.reports) {
        const bool isSilent = now - known.receivedAt > node.settings.gate.heartbeatBound;
        if (!isSilent || !node.watch.lastReported.contains(id))
            continue;
        node.watch.lastReported.erase(id);
        node.watch.silentVms.insert(id);
        report.silent.push_back(id);
        addEvent(out, NodeEventKind::VmSilent, id, {});
    }
}

void addChangedReports(NodeState &node, bool includeUnchanged, TimePoint now, WatchReport &report)
{
    for (const auto &[id, known] : node.watch.reports) {
        if (now - known.receivedAt > node.settings.gate.heartbeatBound)
            continue;
        const auto sent = node.watch.lastReported.find(id);
        const bool hasChanged =
                sent == node.watch.lastReported.end() || !hasSameState(sent->second, known);
        if (!hasChanged && !includeUnchanged)
            continue;
        node.watch.lastReported[id] = known;
        node.watch.silentVms.erase(id);
        report.reports.push_back(known);
    }
}

// Returns true when a draining group has no requests: this entry has none in flight, and a report
// of the engine from after the handover shows that none of an earlier dispatcher are left.
bool isGroupIdle(const NodeState &node, const ServingGroup &group)
{
    const auto pool = node.dispatch.pools.find(group.deployment);
    if (pool != node.dispatch.pools.end()) {
        const auto target = pool->second.targets.find(std::to_string(group.id));
        if (target != pool->second.targets.end() && target->second.inFlight > 0)
            return false;
    }
    const auto head = node.watch.reports.find(group.vms.front());
    if (head == node.watch.reports.end())
        return false;
    const TimePoint earliestReport = handoverEnd(node.handover, group) + MaxRequestTransit;
    return head->second.inFlight == 0 && head->second.receivedAt >= earliestReport;
}

void addIdleGroups(const NodeState &node, WatchReport &report)
{
    for (const auto &[id, group] : node.feed.config.groups) {
        const bool isDispatcher = group.dispatcher == node.settings.self.entry;
        if (isDispatcher && group.status == GroupStatus::Draining && isGroupIdle(node, group))
            report.idleGroups.push_back(id);
    }
}

void sendWatchReport(NodeState &node, TimePoint now, NodeOutput &out)
{
    const bool includeUnchanged = now >= node.watch.nextFullReport;
    if (includeUnchanged)
        node.watch.nextFullReport = now + node.settings.fullWatchReportInterval;
    WatchReport report;
    reportSilentVms(node, now, report, out);
    addChangedReports(node, includeUnchanged, now, report);
    addIdleGroups(node, report);
    if (!report.reports.empty() || !report.silent.empty() || !report.idleGroups.empty())
        sendToSeats(node, report, now, out);
}

EngineOrder makeOrder(const Configuration &config, const ServingGroup &group, std::size_t rank)
{
    EngineOrder order;
    order.vm = group.vms[rank];
    order.address = config.vms.at(order.vm).address;
    order.group = group.id;
    order.rank = static_cast<std::uint32_t>(rank);
    for (const VmId &vm : group.vms)
        order.members.push_back(config.vms.at(vm).address);
    const auto deployment = config.deployments.find(group.deployment);
    order.model = deployment == config.deployments.end() ? std::string() : deployment->second.model;
    order.version = group.version;
    return order;
}

// Orders a VM to join the group unless an order to it is outstanding. An order without a reply is
// repeated with the same group number after its deadline. The gate depends on what the engine
// reports, not on what was ordered.
void sendOrder(NodeState &node, const ServingGroup &group, std::size_t rank, TimePoint now,
               NodeOutput &out)
{
    const VmId &vm = group.vms[rank];
    const auto report = node.watch.reports.find(vm);
    if (report == node.watch.reports.end() || report->second.group == group.id)
        return;
    const auto outstanding = node.watch.outstandingOrders.find(vm);
    if (outstanding != node.watch.outstandingOrders.end() && now < outstanding->second.deadline)
        return;
    if (now < node.watch.earliestNextOrder[vm])
        return;
    node.watch.outstandingOrders[vm] = {group.id, now + node.settings.orderTimeout};
    node.watch.earliestNextOrder[vm] = now + node.settings.orderRetryInterval;
    out.engineOrders.push_back(makeOrder(node.feed.config, group, rank));
}

void sendOrders(NodeState &node, TimePoint now, NodeOutput &out)
{
    const Configuration &config = node.feed.config;
    const bool isConfigFresh = isConfigurationFresh(node, now);
    for (const auto &[id, group] : config.groups) {
        const bool isDispatcher =
                group.dispatcher == node.settings.self.entry && group.status == GroupStatus::Active;
        if (!isDispatcher || !isConfigFresh
            || !areVmsPresent(group, config, node.watch.reports, node.settings.gate, now))
            continue;
        // Until the handover ends, orders of an earlier dispatcher may still be in transit.
        if (now < handoverEnd(node.handover, group))
            continue;
        for (std::size_t rank = 0; rank < group.vms.size(); ++rank)
            sendOrder(node, group, rank, now, out);
    }
}

VmPresence &findOrAddPresence(NodeState &node, const VmId &vm, TimePoint now)
{
    const auto [found, added] = node.watch.presence.try_emplace(vm);
    if (added)
        found->second.changedAt = now;
    return found->second;
}

void markVmAbsent(NodeState &node, const VmId &vm, TimePoint now)
{
    VmPresence &presence = findOrAddPresence(node, vm, now);
    if (!presence.isPresent)
        return;
    presence.isPresent = false;
    presence.changedAt = now;
    presence.losses.push_back(now);
    const TimePoint oldest = now - node.settings.planner.flappingWindow;
    std::erase_if(presence.losses, [oldest](TimePoint at) { return at < oldest; });
}

void updateEntryPresence(NodeState &node, TimePoint now)
{
    std::set<EntryId> seen;
    for (const Member &member : allMembers(node.membership)) {
        seen.insert(member.entry);
        const bool isEntryReachable = member.status <= MemberStatus::Suspect && !member.isDraining;
        const auto [found, added] = node.leader.entries.try_emplace(member.entry);
        EntryPresence &presence = found->second;
        if (added || presence.isReachable != isEntryReachable)
            presence.changedAt = now;
        presence.entry = member.entry;
        presence.domain = member.domain;
        presence.isReachable = isEntryReachable;
    }
    std::erase_if(node.leader.entries,
                  [&seen](const auto &item) { return !seen.contains(item.first); });
}

bool isServingGroup(const NodeState &node, const ServingGroup &group)
{
    return std::all_of(group.vms.begin(), group.vms.end(), [&](const VmId &vm) {
        const auto found = node.watch.presence.find(vm);
        return found != node.watch.presence.end() && found->second.isPresent
               && found->second.group == group.id && found->second.state == EngineState::Ready;
    });
}

// Adds the time since the last call to the downtime of the groups that deployments lack, and to
// that of the accelerators outside serving groups.
void accountDowntime(NodeState &node, TimePoint now)
{
    using Minutes = std::chrono::duration<double, std::ratio<60>>;
    const double minutes = Minutes(now - node.leader.lastAccountedAt).count();
    node.leader.lastAccountedAt = now;
    const Configuration &config = node.feed.config;
    std::map<DeploymentId, std::uint32_t> servingGroups;
    std::set<VmId> servingVms;
    for (const auto &[id, group] : config.groups) {
        if (!isServingGroup(node, group))
            continue;
        ++servingGroups[group.deployment];
        servingVms.insert(group.vms.begin(), group.vms.end());
    }
    for (const auto &[id, deployment] : config.deployments) {
        const std::uint32_t servingCount = std::min(servingGroups[id], deployment.groups);
        node.leader.downtime[id].groupDownMinutes += minutes * (deployment.groups - servingCount);
    }
    for (const auto &[id, vm] : config.vms) {
        const auto presence = node.watch.presence.find(id);
        const bool isVmPresent =
                presence != node.watch.presence.end() && presence->second.isPresent;
        if (vm.role == VmRole::Engine && isVmPresent && !servingVms.contains(id))
            node.leader.downtime[{}].strandedAcceleratorMinutes += minutes * vm.accelerators;
    }
}

void proposePlannerCommand(NodeState &node, const Command &command, TimePoint now, NodeOutput &out)
{
    Proposal proposal;
    proposal.command = command;
    ControlSeatOutput seatOut;
    const auto proposalId = proposeCommand(*node.seat, proposal, now, seatOut);
    if (proposalId)
        node.leader.plannerProposals.insert(*proposalId);
    processSeatOutput(node, seatOut, now, out);
}

// Marks the running idempotency keys of dead processes as having an unknown outcome. A process is
// dead if its entry is dead or was restarted since.
void abandonKeysOfDeadProcesses(NodeState &node, TimePoint now, NodeOutput &out)
{
    std::map<EntryId, std::uint64_t> deadBelow; // processes with a lower incarnation are dead
    const ControlState &control = node.seat->control;
    for (const std::string &key : control.runningKeys) {
        const KeyOwner &owner = control.keys.at(key).result.owner;
        if (owner.entry == node.settings.self.entry) {
            if (owner.incarnation < node.settings.incarnation)
                deadBelow[owner.entry] = node.settings.incarnation;
            continue;
        }
        const auto member = node.membership.members.find(owner.entry);
        if (member == node.membership.members.end())
            continue;
        const Member &info = member->second.info;
        if (info.status >= MemberStatus::Dead)
            deadBelow[owner.entry] = UINT64_MAX;
        else if (info.status == MemberStatus::Alive && info.process > owner.incarnation)
            deadBelow[owner.entry] = std::max(deadBelow[owner.entry], info.process);
    }
    for (const auto &[entry, belowIncarnation] : deadBelow)
        proposePlannerCommand(node, AbandonKeys{entry, belowIncarnation}, now, out);
}

void startActingAsLeader(NodeState &node, TimePoint now, NodeOutput &out)
{
    node.leader = LeaderState{};
    node.leader.isActing = true;
    node.leader.actingSince = now;
    node.leader.lastAccountedAt = now;
    addEvent(out, NodeEventKind::BecameLeader, node.settings.self.entry,
             std::to_string(node.seat->raft.hardState.term));
    if (node.feed.config.version > 0)
        return;
    // The configuration is empty at the first start. Writes the initial seats into it.
    ControlSeatOutput seatOut;
    proposeSeats(*node.seat, node.seat->raft.seats, now, seatOut);
    processSeatOutput(node, seatOut, now, out);
}

void stopActingAsLeader(NodeState &node, NodeOutput &out)
{
    node.leader = LeaderState{};
    addEvent(out, NodeEventKind::LostLeadership, node.settings.self.entry, {});
}

void proposePlannedChanges(NodeState &node, TimePoint now, NodeOutput &out)
{
    std::vector<EntryPresence> entries;
    for (const auto &[id, entry] : node.leader.entries)
        entries.push_back(entry);
    const PlannerInput input{node.feed.config, node.watch.presence, entries,
                             node.leader.idleGroups};
    for (const PlannedCommand &planned : planChanges(input, node.settings.planner, now)) {
        addEvent(out, NodeEventKind::Planned, planned.reason,
                 std::to_string(planned.command.index()));
        proposePlannerCommand(node, planned.command, now, out);
    }
    node.leader.idleGroups.clear();
}

EndpointReply makeEndpointReply(const NodeState &node, std::uint64_t session, const VmId &vm)
{
    EndpointReply reply;
    reply.session = session;
    reply.isAccepted = true;
    reply.reportTo = findCallerAddress(node, findWatcher(node, vm));
    reply.heartbeatIntervalMs = node.settings.heartbeatIntervalMs;
    return reply;
}

// Refuses a call of a VM while the configuration is stale. A partitioned entry that accepted it
// would keep the VM from reporting to the entry that took over its group.
bool refuseWhenStale(const NodeState &node, std::uint64_t session, TimePoint now, NodeOutput &out)
{
    if (isConfigurationFresh(node, now))
        return false;
    EndpointReply reply;
    reply.session = session;
    reply.error = "this entry cannot confirm its configuration; report to another one";
    out.endpointReplies.push_back(std::move(reply));
    return true;
}

bool isSameAnnouncement(const Vm &known, const Vm &announced)
{
    Vm copy = announced;
    copy.status = known.status;
    return copy == known && known.status != VmStatus::Lost;
}

} // namespace

void handleVmAnnouncement(NodeState &node, VmAnnounceRequest request, TimePoint now,
                          NodeOutput &out)
{
    if (refuseWhenStale(node, request.session, now, out))
        return;
    const Vm *known = findVm(node.feed.config, request.vm.id);
    if (known && isSameAnnouncement(*known, request.vm)) {
        out.endpointReplies.push_back(makeEndpointReply(node, request.session, request.vm.id));
        return;
    }
    node.endpointCallVms[request.session] = request.vm.id;
    sendControlCommand(node, AnnounceVm{std::move(request.vm)}, CallPurpose::Announce,
                       request.session, node.settings.callTimeout, now, out);
}

void handleHeartbeat(NodeState &node, VmHeartbeat heartbeat, TimePoint now, NodeOutput &out)
{
    if (refuseWhenStale(node, heartbeat.session, now, out))
        return;
    VmReport &report = heartbeat.report;
    const Vm *known = findVm(node.feed.config, report.vm);
    EndpointReply reply = makeEndpointReply(node, heartbeat.session, report.vm);
    reply.mustAnnounce =
            !known || known->incarnation < report.incarnation || known->status == VmStatus::Lost;
    if (known && known->incarnation > report.incarnation) {
        reply.isAccepted = false;
        reply.error = "a newer incarnation of the VM is known";
        out.endpointReplies.push_back(std::move(reply));
        return;
    }
    report.receivedAt = now;
    const VmId id = report.vm;
    const auto previous = node.watch.reports.find(id);
    const bool hasChanged =
            previous == node.watch.reports.end() || !hasSameState(previous->second, report);
    node.watch.reports[id] = std::move(report);
    out.endpointReplies.push_back(std::move(reply));
    if (hasChanged)
        updateTargets(node, now, out);
}

void handleVmLeave(NodeState &node, const VmLeaveRequest &request, TimePoint now, NodeOutput &out)
{
    const LeavingNotice notice{request.vm, request.incarnation};
    handleLeavingNotice(node, notice, now, out);
    for (const auto &[entry, member] : node.membership.members) {
        if (member.info.status <= MemberStatus::Suspect)
            out.peers.emplace_back(entry, notice);
    }
    node.endpointCallVms[request.session] = request.vm;
    sendControlCommand(node, SetVmStatus{request.vm, request.incarnation, VmStatus::Draining},
                       CallPurpose::Leave, request.session, node.settings.callTimeout, now, out);
}

void handleOrderResult(NodeState &node, const EngineOrderResult &result, TimePoint now,
                       NodeOutput &out)
{
    const auto found = node.watch.outstandingOrders.find(result.vm);
    if (found == node.watch.outstandingOrders.end() || found->second.group != result.group)
        return;
    node.watch.outstandingOrders.erase(found);
    node.watch.earliestNextOrder[result.vm] = now + node.settings.orderRetryInterval;
    if (!result.isAccepted)
        addEvent(out, NodeEventKind::OrderRefused, result.vm, std::to_string(result.group));
}

namespace NodeInternal {

void answerEndpointCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                        NodeOutput &out)
{
    const auto announced = node.endpointCallVms.find(call.correlationId);
    VmId vm;
    if (announced != node.endpointCallVms.end()) {
        vm = announced->second;
        node.endpointCallVms.erase(announced);
    }
    EndpointReply answer = makeEndpointReply(node, call.correlationId, vm);
    answer.isAccepted = reply && reply->isAccepted();
    if (!reply)
        answer.error = "the control state did not answer in time";
    else if (!answer.isAccepted)
        answer.error = reply->message;
    out.endpointReplies.push_back(std::move(answer));
}

void tickWatch(NodeState &node, TimePoint now, NodeOutput &out)
{
    sendWatchReport(node, now, out);
    sendOrders(node, now, out);
    std::erase_if(node.watch.reports, [&](const auto &item) {
        return now - item.second.receivedAt > node.settings.planner.lossTimeout;
    });
    std::erase_if(node.watch.leavingIncarnations, [&node](const auto &item) {
        const Vm *vm = findVm(node.feed.config, item.first);
        return vm && vm->incarnation > item.second;
    });
}

void handleWatchReport(NodeState &node, const EntryId &from, const WatchReport &report,
                       TimePoint now)
{
    if (!node.seat)
        return;
    for (const VmReport &known : report.reports) {
        VmPresence &presence = findOrAddPresence(node, known.vm, now);
        if (!presence.isPresent)
            presence.changedAt = now;
        presence.isPresent = true;
        presence.heldWeights = known.heldWeights;
        presence.group = known.group;
        presence.state = known.state;
        node.watch.watchers[known.vm] = from;
    }
    for (const VmId &vm : report.silent) {
        const auto watcher = node.watch.watchers.find(vm);
        if (watcher != node.watch.watchers.end() && watcher->second == from)
            markVmAbsent(node, vm, now);
    }
    node.leader.idleGroups.insert(report.idleGroups.begin(), report.idleGroups.end());
}

void handleWatcherLoss(NodeState &node, const EntryId &entry, TimePoint now)
{
    for (const auto &[vm, watcher] : node.watch.watchers) {
        if (watcher == entry)
            markVmAbsent(node, vm, now);
    }
}

void handleLeavingNotice(NodeState &node, const LeavingNotice &notice, TimePoint now,
                         NodeOutput &out)
{
    std::uint64_t &incarnation = node.watch.leavingIncarnations[notice.vm];
    incarnation = std::max(incarnation, notice.incarnation);
    updateTargets(node, now, out);
}

void tickLeader(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (!node.seat)
        return;
    const bool isActingNow = isActingLeader(*node.seat, now);
    if (isActingNow != node.leader.isActing) {
        if (isActingNow)
            startActingAsLeader(node, now, out);
        else
            stopActingAsLeader(node, out);
    }
    if (!isActingNow)
        return;
    updateEntryPresence(node, now);
    accountDowntime(node, now);
    for (const auto &[id, vm] : node.feed.config.vms)
        findOrAddPresence(node, id, now);
    const bool isSettled = now - node.leader.actingSince >= node.settings.leaderSettleTime;
    if (!isSettled || now < node.leader.nextPlan || !node.leader.plannerProposals.empty())
        return;
    node.leader.nextPlan = now + node.settings.planInterval;
    abandonKeysOfDeadProcesses(node, now, out);
    proposePlannedChanges(node, now, out);
}

void removePlannerProposal(NodeState &node, std::uint64_t proposalId)
{
    node.leader.plannerProposals.erase(proposalId);
}

} // namespace NodeInternal

} // namespace Trefoil
