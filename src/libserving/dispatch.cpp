#include "libserving/dispatch.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double LatencySmoothing = 0.2;
constexpr double CostSmoothing = 0.05;
constexpr double ThroughputSmoothing = 0.3;
constexpr auto ThroughputWindow = std::chrono::milliseconds(500);
constexpr std::uint32_t MaxSuspensionDoublings = 6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

AttemptReport makeReport(const DispatchRequest &request, AttemptResult result, Reason reason)
{
    AttemptReport report;
    report.id = request.id;
    report.attempt = request.attempt;
    report.result = result;
    report.reason = reason;
    return report;
}

// Returns the number of requests that can be started on the target now.
std::uint32_t freeSlots(const DispatchPool &pool, const DispatchTarget &target, TimePoint now)
{
    if (!target.isOpen || now < target.suspendedUntil)
        return 0;
    auto limit = static_cast<double>(target.slots);
    if (pool.isService)
        limit = std::min(limit, target.limiter.limit);
    // A target whose suspension has ended gets a single request as a probe.
    if (target.consecutiveFailures > 0 && target.suspendedUntil != TimePoint{})
        limit = 1;
    const auto limitInSlots = static_cast<std::uint32_t>(limit);
    return limitInSlots > target.inFlight ? limitInSlots - target.inFlight : 0;
}

// Remembers the target of a prompt prefix. Evicts the oldest hash beyond the limit.
void recordPrefixTarget(DispatchPool &pool, std::uint64_t hash, const std::string &target,
                        std::size_t limit)
{
    if (hash == 0)
        return;
    const bool wasAdded = pool.targetByPrefixHash.insert_or_assign(hash, target).second;
    if (!wasAdded)
        return;
    if (pool.prefixHashRing.size() < limit) {
        pool.prefixHashRing.push_back(hash);
        return;
    }
    pool.targetByPrefixHash.erase(pool.prefixHashRing[pool.nextPrefixRingSlot]);
    pool.prefixHashRing[pool.nextPrefixRingSlot] = hash;
    pool.nextPrefixRingSlot = (pool.nextPrefixRingSlot + 1) % limit;
}

// Returns the target that the routing policy chooses among those with a free slot, or null.
DispatchTarget *chooseTarget(DispatchState &state, DispatchPool &pool,
                             const DispatchRequest &request, TimePoint now)
{
    std::vector<DispatchTarget *> open;
    std::vector<RoutingCandidate> candidates;
    const auto prefixTarget = pool.targetByPrefixHash.find(request.prefixHash);
    for (auto &[id, target] : pool.targets) {
        if (freeSlots(pool, target, now) == 0)
            continue;
        const bool holdsPrefix =
                prefixTarget != pool.targetByPrefixHash.end() && prefixTarget->second == id;
        open.push_back(&target);
        candidates.push_back({target.inFlight, target.slots, holdsPrefix, target.latencyMs});
    }
    if (open.empty())
        return nullptr;
    const std::string &name =
            pool.isService ? state.options.serviceRouting : state.options.engineRouting;
    const RoutingPolicy *policy = RoutingPolicies::find(name);
    const std::size_t chosen = policy ? policy->choose(candidates, state.rng) : 0;
    return open[std::min(chosen, open.size() - 1)];
}

void startRequest(DispatchState &state, DispatchPool &pool, DispatchTarget &target,
                  const DispatchRequest &request, double chargedWork, TimePoint now,
                  DispatchOutput &out)
{
    ++target.inFlight;
    recordPrefixTarget(pool, request.prefixHash, target.id, state.options.maxPrefixHashesPerPool);
    RunningRequest running;
    running.request = request;
    running.target = target.id;
    running.startedAt = now;
    running.chargedWork = chargedWork;
    state.running[request.id] = running;
    out.start.push_back({request, target.id, target.address, target.group});
}

bool hasOpenTarget(const DispatchPool &pool)
{
    return std::any_of(pool.targets.begin(), pool.targets.end(),
                       [](const auto &item) { return item.second.isOpen; });
}

bool hasFreeSlot(const DispatchPool &pool, TimePoint now)
{
    return std::any_of(pool.targets.begin(), pool.targets.end(),
                       [&](const auto &item) { return freeSlots(pool, item.second, now) > 0; });
}

void startQueuedRequests(DispatchState &state, DispatchPool &pool, TimePoint now,
                         DispatchOutput &out)
{
    while (pool.queue.queuedCount > 0 && hasFreeSlot(pool, now)) {
        const auto item = dequeue(pool.queue);
        const auto queuedRequest = pool.queuedRequests.find(item->id);
        const DispatchRequest request = std::move(queuedRequest->second);
        pool.queuedRequests.erase(queuedRequest);
        if (request.deadline <= now) {
            chargeWork(pool.queue, request.workspace, request.requestClass, -item->cost);
            out.reports.push_back(
                    makeReport(request, AttemptResult::NotStarted, Reason::DeadlinePassed));
            continue;
        }
        DispatchTarget *target = chooseTarget(state, pool, request, now);
        startRequest(state, pool, *target, request, item->cost, now, out);
    }
}

// Suspends a target after consecutive failures, for a time that doubles with each further failure.
void suspendAfterFailure(const DispatchOptions &options, DispatchTarget &target, TimePoint now)
{
    ++target.consecutiveFailures;
    if (target.consecutiveFailures < options.failuresToSuspend)
        return;
    const std::uint32_t doublingCount = std::min(
            target.consecutiveFailures - options.failuresToSuspend, MaxSuspensionDoublings);
    const Duration suspension = std::min<Duration>(options.firstSuspension * (1u << doublingCount),
                                                   options.maxSuspension);
    target.suspendedUntil = now + suspension;
}

// Updates the latency, the failure count and the concurrency limit of a target after an attempt.
void updateTargetHealth(const DispatchOptions &options, DispatchPool &pool, DispatchTarget &target,
                        const RunningRequest &running, const AttemptEnd &end, TimePoint now)
{
    const bool isAnswered =
            end.result == AttemptResult::Completed || end.result == AttemptResult::Failed;
    if (isAnswered) {
        const Duration latency = now - running.startedAt;
        const double ms = toSeconds(latency) * 1e3;
        target.latencyMs +=
                (target.latencyMs == 0 ? 1 : LatencySmoothing) * (ms - target.latencyMs);
        target.consecutiveFailures = 0;
        target.suspendedUntil = {};
        if (pool.isService)
            recordLatency(target.limiter, latency, target.inFlight, now);
        return;
    }
    if (end.reason == Reason::CallerGone || end.reason == Reason::DeadlinePassed)
        return;
    suspendAfterFailure(options, target, now);
    if (pool.isService)
        recordDroppedCall(target.limiter);
}

// Replaces the estimated charge of a request by the work that it did.
void settleCharge(const DispatchOptions &options, DispatchPool &pool, const RunningRequest &running,
                  const AttemptEnd &end, TimePoint now)
{
    const DispatchRequest &request = running.request;
    double usedWork = 0;
    if (pool.isService) {
        usedWork = toSeconds(now - running.startedAt) * 1e3 * options.serviceCostPerMs;
    } else if (end.result != AttemptResult::NotStarted) {
        const auto cachedCost =
                std::min(static_cast<double>(end.cachedPromptTokens), request.promptCost);
        const auto generated = std::max(end.generatedTokens, running.generatedTokens);
        usedWork = request.promptCost - cachedCost
                   + static_cast<double>(generated) * options.generatedTokenCost;
    }
    chargeWork(pool.queue, request.workspace, request.requestClass, usedWork - running.chargedWork);
    pool.finishedWork += usedWork;
    if (end.result == AttemptResult::NotStarted)
        return;
    pool.meanCallCost += CostSmoothing * (usedWork - pool.meanCallCost);
    const double knownCost = std::max(pool.isService ? pool.meanCallCost : request.promptCost, 1.0);
    pool.costCorrection += CostSmoothing * (usedWork / knownCost - pool.costCorrection);
}

void updateThroughput(DispatchPool &pool, TimePoint now)
{
    const Duration elapsed = now - pool.throughputWindowStart;
    if (elapsed < ThroughputWindow)
        return;
    const double rate = pool.finishedWork / toSeconds(elapsed);
    if (pool.queue.queuedCount > 0 && pool.throughputWindowStart != TimePoint{})
        pool.workPerSecond +=
                (pool.workPerSecond == 0 ? 1 : ThroughputSmoothing) * (rate - pool.workPerSecond);
    pool.finishedWork = 0;
    pool.throughputWindowStart = now;
}

// Returns the time that the pool needs at its current throughput to serve all queued requests of
// the workspace.
Duration predictWait(const DispatchPool &pool, const WorkspaceId &workspace)
{
    const auto found = pool.queue.workspaces.find(workspace);
    if (found == pool.queue.workspaces.end() || pool.workPerSecond <= 0)
        return {};
    const double share = backloggedShare(pool.queue, workspace);
    const double wait =
            found->second.queuedCost * pool.costCorrection / (pool.workPerSecond * share);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void storeReport(FinishedAttempts &finished, const AttemptReport &report)
{
    const AttemptId id{report.id, report.attempt};
    if (!finished.reports.insert_or_assign(id, report).second)
        return;
    finished.idsByAge.push_back(id);
    while (finished.idsByAge.size() > finished.maxReports) {
        finished.reports.erase(finished.idsByAge.front());
        finished.idsByAge.pop_front();
    }
}

void refuseSubmission(const DispatchRequest &request, Reason reason, Duration retryAfter,
                      DispatchOutput &out)
{
    AttemptReport report = makeReport(request, AttemptResult::NotStarted, reason);
    report.retryAfter = retryAfter;
    out.reports.push_back(std::move(report));
}

// Answers an attempt that already ended, runs or is queued here. Returns false for a new one.
bool answerDuplicate(DispatchState &state, const DispatchRequest &request, DispatchOutput &out)
{
    const auto finished = state.finished.reports.find({request.id, request.attempt});
    if (finished != state.finished.reports.end()) {
        out.reports.push_back(finished->second);
        return true;
    }
    const auto running = state.running.find(request.id);
    if (running != state.running.end()) {
        // The origin gave up on an earlier attempt that still runs. That attempt must end before a
        // new one starts.
        if (running->second.request.attempt < request.attempt) {
            out.cancel.push_back(request.id);
            refuseSubmission(request, Reason::ConnectionLost, {}, out);
        }
        return true;
    }
    const auto pool = state.pools.find(request.pool);
    return pool != state.pools.end() && pool->second.queuedRequests.contains(request.id);
}

// Returns the work to charge at the start of a request.
double estimateCost(const DispatchPool &pool, const DispatchRequest &request)
{
    return std::max(pool.isService ? pool.meanCallCost : request.promptCost, 1.0);
}

} // namespace

void setTargets(DispatchState &state, const std::string &poolId, bool isService,
                const std::vector<TargetDescription> &targets, TimePoint now, DispatchOutput &out)
{
    DispatchPool &pool = state.pools[poolId];
    pool.isService = isService;
    pool.queue.options = state.options.queue;
    std::map<std::string, DispatchTarget> newTargets;
    for (const TargetDescription &description : targets) {
        DispatchTarget target;
        const auto known = pool.targets.find(description.id);
        const bool isSameIncarnation =
                known != pool.targets.end() && known->second.incarnation == description.incarnation;
        if (isSameIncarnation)
            target = known->second;
        target.id = description.id;
        target.address = description.address;
        target.group = description.group;
        target.incarnation = description.incarnation;
        target.slots = description.slots;
        target.limiter.maxLimit = description.slots;
        target.isOpen = description.isOpen;
        if (known != pool.targets.end())
            target.inFlight = known->second.inFlight;
        newTargets.emplace(description.id, std::move(target));
    }
    for (const auto &[id, running] : state.running) {
        if (running.request.pool == poolId && !newTargets.contains(running.target))
            out.cancel.push_back(id);
    }
    pool.targets = std::move(newTargets);
    // Their origins can try another dispatcher, which may have an open group.
    if (!hasOpenTarget(pool))
        refuseQueuedRequests(state, poolId, Reason::NoCapacity, out);
    startQueuedRequests(state, pool, now, out);
}

void submit(DispatchState &state, DispatchRequest request, TimePoint now, DispatchOutput &out)
{
    if (answerDuplicate(state, request, out))
        return;
    const auto found = state.pools.find(request.pool);
    if (found == state.pools.end() || !hasOpenTarget(found->second)) {
        refuseSubmission(request, Reason::NoCapacity, state.options.noCapacityRetryAfter, out);
        return;
    }
    if (request.deadline <= now) {
        refuseSubmission(request, Reason::DeadlinePassed, {}, out);
        return;
    }
    DispatchPool &pool = found->second;
    const Duration wait = predictWait(pool, request.workspace);
    if (now + wait >= request.deadline) {
        refuseSubmission(request, Reason::Overloaded, wait - (request.deadline - now), out);
        return;
    }
    QueueItem item;
    item.id = request.id;
    item.requestClass = request.requestClass;
    item.cost = estimateCost(pool, request);
    item.enqueuedAt = now;
    item.deadline = request.deadline;
    if (!enqueue(pool.queue, request.workspace, item)) {
        refuseSubmission(request, Reason::Overloaded,
                         std::max<Duration>(wait, state.options.noCapacityRetryAfter), out);
        return;
    }
    const RequestId id = request.id;
    pool.queuedRequests.emplace(id, std::move(request));
    startQueuedRequests(state, pool, now, out);
}

void cancel(DispatchState &state, const RequestId &id, TimePoint now, DispatchOutput &out)
{
    if (state.running.contains(id)) {
        out.cancel.push_back(id);
        return;
    }
    for (auto &[poolId, pool] : state.pools) {
        const auto queuedRequest = pool.queuedRequests.find(id);
        if (queuedRequest == pool.queuedRequests.end())
            continue;
        removeQueued(pool.queue, queuedRequest->second.workspace, id);
        out.reports.push_back(
                makeReport(queuedRequest->second, AttemptResult::NotStarted, Reason::CallerGone));
        pool.queuedRequests.erase(queuedRequest);
        startQueuedRequests(state, pool, now, out);
        return;
    }
}

void checkAttempts(DispatchState &state, std::span<const AttemptId> attempts, DispatchOutput &out)
{
    for (const AttemptId &id : attempts) {
        const auto finished = state.finished.reports.find(id);
        if (finished != state.finished.reports.end()) {
            out.reports.push_back(finished->second);
            continue;
        }
        const bool isQueued =
                std::any_of(state.pools.begin(), state.pools.end(), [&id](const auto &item) {
                    return item.second.queuedRequests.contains(id.request);
                });
        if (isQueued || state.running.contains(id.request))
            continue;
        AttemptReport report;
        report.id = id.request;
        report.attempt = id.attempt;
        report.result = AttemptResult::NotStarted;
        report.reason = Reason::ConnectionLost;
        storeReport(state.finished, report);
        out.reports.push_back(std::move(report));
    }
}

void storeReports(DispatchState &state, std::span<const AttemptReport> reports)
{
    for (const AttemptReport &report : reports)
        storeReport(state.finished, report);
}

void chargeGeneratedTokens(DispatchState &state, const RequestId &id, std::uint64_t generatedTokens)
{
    const auto found = state.running.find(id);
    if (found == state.running.end())
        return;
    RunningRequest &running = found->second;
    const double cost = static_cast<double>(generatedTokens) * state.options.generatedTokenCost;
    running.generatedTokens += generatedTokens;
    running.chargedWork += cost;
    const DispatchRequest &request = running.request;
    chargeWork(state.pools[request.pool].queue, request.workspace, request.requestClass, cost);
}

void handleAttemptEnd(DispatchState &state, const AttemptEnd &end, TimePoint now,
                      DispatchOutput &out)
{
    const auto found = state.running.find(end.id);
    // The end of an earlier attempt does not end the current one.
    if (found == state.running.end() || found->second.request.attempt != end.attempt)
        return;
    const RunningRequest running = std::move(found->second);
    state.running.erase(found);
    DispatchPool &pool = state.pools[running.request.pool];
    settleCharge(state.options, pool, running, end, now);
    const auto target = pool.targets.find(running.target);
    if (target != pool.targets.end()) {
        updateTargetHealth(state.options, pool, target->second, running, end, now);
        --target->second.inFlight;
    }
    updateThroughput(pool, now);
    AttemptReport report = makeReport(running.request, end.result, end.reason);
    report.relayedEvents = end.relayedEvents;
    report.relayedBytes = end.relayedBytes;
    report.status = end.status;
    report.contentType = end.contentType;
    report.body = end.body;
    out.reports.push_back(std::move(report));
    startQueuedRequests(state, pool, now, out);
}

void refuseQueuedRequests(DispatchState &state, const std::string &poolId, Reason reason,
                          DispatchOutput &out)
{
    const auto found = state.pools.find(poolId);
    if (found == state.pools.end())
        return;
    DispatchPool &pool = found->second;
    for (const auto &[id, request] : pool.queuedRequests) {
        removeQueued(pool.queue, request.workspace, id);
        refuseSubmission(request, reason, state.options.noCapacityRetryAfter, out);
    }
    pool.queuedRequests.clear();
}

void runDispatchTimers(DispatchState &state, TimePoint now, DispatchOutput &out)
{
    for (auto &[id, pool] : state.pools) {
        for (const QueueItem &item : removeExpired(pool.queue, now)) {
            const auto queuedRequest = pool.queuedRequests.find(item.id);
            out.reports.push_back(makeReport(queuedRequest->second, AttemptResult::NotStarted,
                                             Reason::DeadlinePassed));
            pool.queuedRequests.erase(queuedRequest);
        }
        updateThroughput(pool, now);
        startQueuedRequests(state, pool, now, out);
    }
}

} // namespace Trefoil
