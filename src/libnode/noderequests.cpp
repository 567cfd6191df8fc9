#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

constexpr auto TargetUpdateInterval = std::chrono::milliseconds(50);
const std::string ServicePrefix = "service/";

RequestFinish makeRefusal(Reason reason, Duration retryAfter)
{
    RequestFinish finish;
    finish.outcome = Outcome::NotRun;
    finish.reason = reason;
    finish.retryAfter = retryAfter;
    return finish;
}

void countOutcome(NodeState &node, const WorkspaceId &workspace, Outcome outcome)
{
    WorkspaceCounters &counters = node.counters[workspace];
    switch (outcome) {
    case Outcome::Done:
        ++counters.done;
        break;
    case Outcome::NotRun:
        ++counters.notRun;
        break;
    case Outcome::Unknown:
        ++counters.unknown;
        break;
    case Outcome::Failed:
        ++counters.failed;
        break;
    }
}

bool hasServiceVm(const Configuration &config, const std::string &pool)
{
    return std::any_of(config.vms.begin(), config.vms.end(), [&](const auto &item) {
        return item.second.role == VmRole::Service && ServicePrefix + item.second.service == pool;
    });
}

Reason findRefusalReason(const NodeState &node, const DispatchRequest &request, TimePoint now)
{
    if (isRefusingRequests(node, now))
        return Reason::Draining;
    if (!isServing(node, now))
        return Reason::Stale;
    const Configuration &config = node.feed.config;
    if (node.settings.requireKnownWorkspace && !config.workspaces.contains(request.workspace))
        return Reason::UnknownWorkspace;
    const bool isTargetKnown = request.isService ? hasServiceVm(config, request.pool)
                                                 : config.deployments.contains(request.pool);
    return isTargetKnown ? Reason::None : Reason::UnknownTarget;
}

void sendDispatch(NodeState &node, Dispatch dispatch, TimePoint now, NodeOutput &out)
{
    if (dispatch.to == node.settings.self.entry) {
        DispatchOutput dispatchOut;
        submit(node.dispatch, std::move(dispatch.request), now, dispatchOut);
        processDispatchOutput(node, dispatchOut, now, out);
        return;
    }
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(dispatch.request.deadline - now);
    DispatchCall call;
    const auto peerIncarnation = node.peerIncarnations.find(dispatch.to);
    call.process = peerIncarnation == node.peerIncarnations.end() ? 0 : peerIncarnation->second;
    call.request = std::move(dispatch.request);
    call.remainingMs = static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0));
    out.peers.emplace_back(dispatch.to, std::move(call));
}

void sendCancellation(NodeState &node, const DispatchCancel &request, TimePoint now,
                      NodeOutput &out)
{
    if (request.to != node.settings.self.entry) {
        out.peers.emplace_back(request.to, DispatchCancelCall{request.id});
        return;
    }
    DispatchOutput dispatchOut;
    cancel(node.dispatch, request.id, now, dispatchOut);
    processDispatchOutput(node, dispatchOut, now, out);
}

void answerCaller(NodeState &node, RequestFinish finish, NodeOutput &out)
{
    const auto found = node.callerSessions.find(finish.id.number);
    if (found == node.callerSessions.end())
        return;
    out.answers.push_back({found->second, std::move(finish)});
    node.callerSessions.erase(found);
}

bool isLeaving(const NodeState &node, const Vm &vm)
{
    const auto found = node.watch.leavingIncarnations.find(vm.id);
    return found != node.watch.leavingIncarnations.end() && found->second == vm.incarnation;
}

using PoolTargets = std::map<std::string, std::vector<TargetDescription>>;

void recordGateStatus(NodeState &node, const ServingGroup &group, GateStatus status,
                      NodeOutput &out)
{
    const auto [found, added] = node.gates.try_emplace(group.id, status);
    if (!added && found->second == status)
        return;
    found->second = status;
    addEvent(out, NodeEventKind::GateChanged, std::to_string(group.id), toString(status));
}

bool hasRequestsInFlight(const NodeState &node, const std::string &pool, const std::string &target)
{
    const auto found = node.dispatch.pools.find(pool);
    if (found == node.dispatch.pools.end())
        return false;
    const auto known = found->second.targets.find(target);
    return known != found->second.targets.end() && known->second.inFlight > 0;
}

// Adds the targets of the groups that this entry dispatches, and of groups that it handed over
// while they still run its requests.
void addGroupTargets(NodeState &node, bool isConfigFresh, TimePoint now, PoolTargets &targets,
                     NodeOutput &out)
{
    const Configuration &config = node.feed.config;
    const EntryId &self = node.settings.self.entry;
    for (const auto &[id, group] : config.groups) {
        const bool isDispatcher = group.dispatcher == self;
        if (!isDispatcher && !hasRequestsInFlight(node, group.deployment, std::to_string(id)))
            continue;
        const GateInput input{config, node.watch.reports, self, isConfigFresh,
                              handoverEnd(node.handover, group)};
        GateStatus status = gateStatus(group, input, node.settings.gate, now);
        const Vm *head = findVm(config, group.vms.front());
        if (!head)
            continue;
        const bool isAnyVmLeaving =
                std::any_of(group.vms.begin(), group.vms.end(), [&](const VmId &vm) {
                    const Vm *known = findVm(config, vm);
                    return known && isLeaving(node, *known);
                });
        if (status == GateStatus::Open && isAnyVmLeaving)
            status = GateStatus::Draining;
        if (isDispatcher)
            recordGateStatus(node, group, status, out);
        targets[group.deployment].push_back({std::to_string(id), head->address, id,
                                             head->incarnation, head->slots,
                                             status == GateStatus::Open});
    }
    std::erase_if(node.gates, [&](const auto &item) {
        const auto group = config.groups.find(item.first);
        return group == config.groups.end() || group->second.dispatcher != self;
    });
}

void addServiceTargets(const NodeState &node, bool isConfigFresh, PoolTargets &targets)
{
    for (const auto &[id, vm] : node.feed.config.vms) {
        if (vm.role != VmRole::Service)
            continue;
        const std::string pool = ServicePrefix + vm.service;
        const bool isOpen = isConfigFresh && vm.status == VmStatus::Active && !isLeaving(node, vm);
        if (isOpen || hasRequestsInFlight(node, pool, id))
            targets[pool].push_back({id, vm.address, 0, vm.incarnation, vm.slots, isOpen});
    }
}

void updateDispatchers(NodeState &node)
{
    std::map<std::string, std::map<EntryId, std::uint32_t>> slots;
    for (const auto &[id, group] : node.feed.config.groups) {
        const Vm *head = findVm(node.feed.config, group.vms.front());
        if (group.status == GroupStatus::Active && head
            && isReachable(node.membership, group.dispatcher))
            slots[group.deployment][group.dispatcher] += head->slots;
    }
    node.origin.dispatchersByDeployment.clear();
    for (const auto &[deployment, entries] : slots) {
        for (const auto &[entry, count] : entries)
            node.origin.dispatchersByDeployment[deployment].push_back({entry, count});
    }
}

void updateWorkspaceWeights(NodeState &node)
{
    for (auto &[id, pool] : node.dispatch.pools) {
        for (const auto &[workspace, settings] : node.feed.config.workspaces)
            setWorkspaceWeight(pool.queue, workspace, settings.weight);
    }
}

// Tells the other dispatchers of a deployment how much work each workspace received here, so that
// fair shares hold over all dispatchers.
void sendWorkDigests(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (now < node.nextWorkDigest)
        return;
    node.nextWorkDigest = now + node.settings.workDigestInterval;
    std::map<EntryId, WorkReport> digests;
    for (auto &[poolId, pool] : node.dispatch.pools) {
        const auto dispatchers = node.origin.dispatchersByDeployment.find(poolId);
        if (dispatchers == node.origin.dispatchersByDeployment.end())
            continue;
        for (const auto &[workspace, queue] : pool.queue.workspaces) {
            double &reported = node.reportedWork[poolId][workspace];
            const double work = queue.chargedWork - reported;
            if (work == 0)
                continue;
            reported = queue.chargedWork;
            for (const DispatcherCandidate &other : dispatchers->second) {
                if (other.entry != node.settings.self.entry)
                    digests[other.entry].items.push_back({poolId, workspace, work});
            }
        }
    }
    for (auto &[entry, digest] : digests)
        out.peers.emplace_back(entry, std::move(digest));
}

// Reports the attempts at unreachable dispatchers as lost. This repeats on every tick, because a
// request may have been sent to a dispatcher after its loss was noticed.
void reportUnreachableDispatchers(const NodeState &node, NodeOutput &out)
{
    for (const auto &[entry, count] : node.origin.requestsAtDispatcher) {
        if (count > 0 && !isReachable(node.membership, entry))
            reportLostAttempts(node, entry, out);
    }
}

} // namespace

void handleSubmitRequest(NodeState &node, SubmitRequest submitted, TimePoint now, NodeOutput &out)
{
    const Reason reason = findRefusalReason(node, submitted.request, now);
    if (reason != Reason::None) {
        countOutcome(node, submitted.request.workspace, Outcome::NotRun);
        const Duration retryAfter = node.settings.origin.noDispatcherRetryAfter;
        out.answers.push_back({submitted.session, makeRefusal(reason, retryAfter)});
        return;
    }
    OriginOutput originOut;
    const WorkspaceId workspace = submitted.request.workspace;
    const RequestId id =
            submitCallerRequest(node.origin, std::move(submitted.request), std::move(submitted.key),
                                submitted.digest, now, originOut);
    node.callerSessions[id.number] = submitted.session;
    node.requestWorkspaces[id.number] = workspace;
    out.admittedRequests.emplace_back(submitted.session, id);
    processOriginOutput(node, originOut, now, out);
}

void handleCallerGone(NodeState &node, const RequestId &id, TimePoint now, NodeOutput &out)
{
    OriginOutput originOut;
    handleCallerGone(node.origin, id, now, originOut);
    processOriginOutput(node, originOut, now, out);
}

void handleAttemptEnd(NodeState &node, const AttemptEnd &end, TimePoint now, NodeOutput &out)
{
    DispatchOutput dispatchOut;
    handleAttemptEnd(node.dispatch, end, now, dispatchOut);
    processDispatchOutput(node, dispatchOut, now, out);
}

void recordProgress(NodeState &node, const RequestId &id, std::uint64_t generatedTokens)
{
    chargeGeneratedTokens(node.dispatch, id, generatedTokens);
}

namespace NodeInternal {

void processOriginOutput(NodeState &node, OriginOutput &originOut, TimePoint now, NodeOutput &out)
{
    for (Dispatch &dispatch : originOut.dispatch)
        sendDispatch(node, std::move(dispatch), now, out);
    for (const DispatchCancel &request : originOut.cancel)
        sendCancellation(node, request, now, out);
    std::map<EntryId, DispatchCheck> checks;
    for (const AttemptCheck &check : originOut.checks)
        checks[check.at].attempts.push_back(check.attempt);
    for (auto &[entry, check] : checks) {
        const auto process = node.peerIncarnations.find(entry);
        if (process == node.peerIncarnations.end())
            continue;
        check.process = process->second;
        out.peers.emplace_back(entry, std::move(check));
    }
    for (KeyCommand &command : originOut.keyCommands)
        sendControlCommand(node, std::move(command.command), CallPurpose::Key, command.number,
                           node.settings.origin.keyRetryInterval, now, out);
    for (RequestFinish &finish : originOut.finish) {
        const auto workspace = node.requestWorkspaces.find(finish.id.number);
        if (workspace != node.requestWorkspaces.end()) {
            countOutcome(node, workspace->second, finish.outcome);
            node.requestWorkspaces.erase(workspace);
        }
        answerCaller(node, std::move(finish), out);
    }
}

void processDispatchOutput(NodeState &node, DispatchOutput &dispatchOut, TimePoint now,
                           NodeOutput &out)
{
    std::move(dispatchOut.start.begin(), dispatchOut.start.end(), std::back_inserter(out.start));
    std::move(dispatchOut.cancel.begin(), dispatchOut.cancel.end(),
              std::back_inserter(out.attemptsToCancel));
    for (AttemptReport &report : dispatchOut.reports) {
        if (report.id.entry != node.settings.self.entry) {
            storeReports(node.dispatch, std::span(&report, 1));
            const EntryId origin = report.id.entry;
            out.peers.emplace_back(origin, AttemptReportCall{std::move(report)});
            continue;
        }
        OriginOutput originOut;
        handleAttemptReport(node.origin, report, now, originOut);
        processOriginOutput(node, originOut, now, out);
    }
}

void reportLostAttempts(const NodeState &node, const EntryId &entry, NodeOutput &out)
{
    for (AttemptReport &report : lostAttempts(node.origin, entry))
        out.lostAttempts.emplace_back(entry, std::move(report));
}

void updateTargets(NodeState &node, TimePoint now, NodeOutput &out)
{
    node.nextTargetUpdate = now + TargetUpdateInterval;
    const bool isConfigFresh = isConfigurationFresh(node, now);
    PoolTargets targets;
    addGroupTargets(node, isConfigFresh, now, targets, out);
    addServiceTargets(node, isConfigFresh, targets);
    for (const auto &[pool, state] : node.dispatch.pools)
        targets.try_emplace(pool);
    DispatchOutput dispatchOut;
    for (const auto &[pool, poolTargets] : targets) {
        setTargets(node.dispatch, pool, pool.starts_with(ServicePrefix), poolTargets, now,
                   dispatchOut);
    }
    updateWorkspaceWeights(node);
    updateDispatchers(node);
    processDispatchOutput(node, dispatchOut, now, out);
}

void tickRequests(NodeState &node, TimePoint now, NodeOutput &out)
{
    if (now >= node.nextTargetUpdate)
        updateTargets(node, now, out);
    DispatchOutput dispatchOut;
    runDispatchTimers(node.dispatch, now, dispatchOut);
    processDispatchOutput(node, dispatchOut, now, out);
    reportUnreachableDispatchers(node, out);
    OriginOutput originOut;
    runOriginTimers(node.origin, now, originOut);
    processOriginOutput(node, originOut, now, out);
    sendWorkDigests(node, now, out);
}

} // namespace NodeInternal

} // namespace Trefoil
