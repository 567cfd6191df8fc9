#include "libserving/dispatch.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double LatencySmoothing = 0.2;
constexpr double CostSmoothing = 0.05;
constexpr double RateSmoothing = 0.3;
constexpr auto RateWindow = std::chrono::milliseconds(500);
constexpr std::uint32_t MaxSuspensionDoublings = 6;

double seconds(Duration duration)
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

std::uint32_t room(const DispatchPool &pool, const DispatchTarget &target, TimePoint now)
{
    if (!target.isOpen || now < target.suspendedUntil)
        return 0;
    auto limit = static_cast<double>(target.slots);
    if (pool.isService)
        limit = std::min(limit, target.limiter.limit);
    // A target that was suspended is tried with one request first.
    if (target.failures > 0 && target.suspendedUntil != TimePoint{})
        limit = 1;
    const auto whole = static_cast<std::uint32_t>(limit);
    return whole > target.inFlight ? whole - target.inFlight : 0;
}

void rememberPrefix(DispatchPool &pool, std::uint64_t hash, const std::string &target,
                    std::size_t limit)
{
    if (hash == 0)
        return;
    const bool added = pool.prefixHints.insert_or_assign(hash, target).second;
    if (!added)
        return;
    if (pool.prefixOrder.size() < limit) {
        pool.prefixOrder.push_back(hash);
        return;
    }
    pool.prefixHints.erase(pool.prefixOrder[pool.prefixNext]);
    pool.prefixOrder[pool.prefixNext] = hash;
    pool.prefixNext = (pool.prefixNext + 1) % limit;
}

DispatchTarget *chooseTarget(DispatchState &state, DispatchPool &pool,
                             const DispatchRequest &request, TimePoint now)
{
    std::vector<DispatchTarget *> open;
    std::vector<RoutingCandidate> candidates;
    const auto hint = pool.prefixHints.find(request.prefixHash);
    for (auto &[id, target] : pool.targets) {
        if (room(pool, target, now) == 0)
            continue;
        const bool holds = hint != pool.prefixHints.end() && hint->second == id;
        open.push_back(&target);
        candidates.push_back({target.inFlight, target.slots, holds, target.latencyMs});
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
                  const DispatchRequest &request, double charged, TimePoint now,
                  DispatchOutput &out)
{
    ++target.inFlight;
    rememberPrefix(pool, request.prefixHash, target.id, state.options.maxPrefixHints);
    RunningRequest running;
    running.request = request;
    running.target = target.id;
    running.startedAt = now;
    running.charged = charged;
    state.running[request.id] = running;
    out.start.push_back({request, target.id, target.address, target.group});
}

bool hasOpenTarget(const DispatchPool &pool)
{
    return std::any_of(pool.targets.begin(), pool.targets.end(),
                       [](const auto &item) { return item.second.isOpen; });
}

bool hasRoom(const DispatchPool &pool, TimePoint now)
{
    return std::any_of(pool.targets.begin(), pool.targets.end(),
                       [&](const auto &item) { return room(pool, item.second, now) > 0; });
}

void startWaiting(DispatchState &state, DispatchPool &pool, TimePoint now, DispatchOutput &out)
{
    while (pool.queue.queued > 0 && hasRoom(pool, now)) {
        const auto item = dequeue(pool.queue);
        const auto waiting = pool.waiting.find(item->id);
        const DispatchRequest request = std::move(waiting->second);
        pool.waiting.erase(waiting);
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

void suspendAfterFailure(const DispatchOptions &options, DispatchTarget &target, TimePoint now)
{
    ++target.failures;
    if (target.failures < options.failuresToSuspend)
        return;
    const std::uint32_t doublings =
            std::min(target.failures - options.failuresToSuspend, MaxSuspensionDoublings);
    const Duration span =
            std::min<Duration>(options.firstSuspension * (1u << doublings), options.maxSuspension);
    target.suspendedUntil = now + span;
}

void noteHealth(const DispatchOptions &options, DispatchPool &pool, DispatchTarget &target,
                const RunningRequest &running, const AttemptEnd &end, TimePoint now)
{
    const bool answered =
            end.result == AttemptResult::Completed || end.result == AttemptResult::Failed;
    if (answered) {
        const Duration latency = now - running.startedAt;
        const double ms = seconds(latency) * 1e3;
        target.latencyMs +=
                (target.latencyMs == 0 ? 1 : LatencySmoothing) * (ms - target.latencyMs);
        target.failures = 0;
        target.suspendedUntil = {};
        if (pool.isService)
            addLatencySample(target.limiter, latency, target.inFlight, now);
        return;
    }
    if (end.reason == Reason::CallerGone || end.reason == Reason::DeadlinePassed)
        return;
    suspendAfterFailure(options, target, now);
    if (pool.isService)
        addDrop(target.limiter);
}

// Corrects the charge from the estimate at the start to what the request used.
void settleCharge(const DispatchOptions &options, DispatchPool &pool, const RunningRequest &running,
                  const AttemptEnd &end, TimePoint now)
{
    const DispatchRequest &request = running.request;
    double used = 0;
    if (pool.isService) {
        used = seconds(now - running.startedAt) * 1e3 * options.serviceCostPerMs;
    } else if (end.result != AttemptResult::NotStarted) {
        const auto cached =
                std::min(static_cast<double>(end.cachedPromptTokens), request.promptCost);
        const auto generated = std::max(end.generatedTokens, running.generatedTokens);
        used = request.promptCost - cached
               + static_cast<double>(generated) * options.generatedTokenCost;
    }
    chargeWork(pool.queue, request.workspace, request.requestClass, used - running.charged);
    pool.finishedCost += used;
    if (end.result == AttemptResult::NotStarted)
        return;
    pool.meanCost += CostSmoothing * (used - pool.meanCost);
    const double known = std::max(pool.isService ? pool.meanCost : request.promptCost, 1.0);
    pool.costRatio += CostSmoothing * (used / known - pool.costRatio);
}

void updateRate(DispatchPool &pool, TimePoint now)
{
    const Duration span = now - pool.rateSince;
    if (span < RateWindow)
        return;
    const double rate = pool.finishedCost / seconds(span);
    if (pool.queue.queued > 0 && pool.rateSince != TimePoint{})
        pool.serviceRate += (pool.serviceRate == 0 ? 1 : RateSmoothing) * (rate - pool.serviceRate);
    pool.finishedCost = 0;
    pool.rateSince = now;
}

// Time until the workspace's queue would be served at the pool's current rate.
Duration predictedWait(const DispatchPool &pool, const WorkspaceId &workspace)
{
    const auto found = pool.queue.workspaces.find(workspace);
    if (found == pool.queue.workspaces.end() || pool.serviceRate <= 0)
        return {};
    const double share = backloggedShare(pool.queue, workspace);
    const double wait = found->second.queuedCost * pool.costRatio / (pool.serviceRate * share);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void rememberReport(FinishedAttempts &finished, const AttemptReport &report)
{
    const AttemptId id{report.id, report.attempt};
    if (!finished.reports.insert_or_assign(id, report).second)
        return;
    finished.order.push_back(id);
    while (finished.order.size() > finished.maxReports) {
        finished.reports.erase(finished.order.front());
        finished.order.pop_front();
    }
}

void refuseSubmission(const DispatchRequest &request, Reason reason, Duration retryAfter,
                      DispatchOutput &out)
{
    AttemptReport report = makeReport(request, AttemptResult::NotStarted, reason);
    report.retryAfter = retryAfter;
    out.reports.push_back(std::move(report));
}

// Handles a request that is running, waiting or ended here already.
bool isKnown(DispatchState &state, const DispatchRequest &request, DispatchOutput &out)
{
    const auto finished = state.finished.reports.find({request.id, request.attempt});
    if (finished != state.finished.reports.end()) {
        out.reports.push_back(finished->second);
        return true;
    }
    const auto running = state.running.find(request.id);
    if (running != state.running.end()) {
        // The origin gave up on an earlier attempt that still runs; it must end first.
        if (running->second.request.attempt < request.attempt) {
            out.cancel.push_back(request.id);
            refuseSubmission(request, Reason::ConnectionLost, {}, out);
        }
        return true;
    }
    const auto pool = state.pools.find(request.pool);
    return pool != state.pools.end() && pool->second.waiting.contains(request.id);
}

double startCost(const DispatchPool &pool, const DispatchRequest &request)
{
    return std::max(pool.isService ? pool.meanCost : request.promptCost, 1.0);
}

} // namespace

void setTargets(DispatchState &state, const std::string &poolId, bool isService,
                const std::vector<TargetFacts> &targets, TimePoint now, DispatchOutput &out)
{
    DispatchPool &pool = state.pools[poolId];
    pool.isService = isService;
    pool.queue.options = state.options.queue;
    std::map<std::string, DispatchTarget> next;
    for (const TargetFacts &facts : targets) {
        DispatchTarget target;
        const auto known = pool.targets.find(facts.id);
        const bool sameRun =
                known != pool.targets.end() && known->second.incarnation == facts.incarnation;
        if (sameRun)
            target = known->second;
        target.id = facts.id;
        target.address = facts.address;
        target.group = facts.group;
        target.incarnation = facts.incarnation;
        target.slots = facts.slots;
        target.limiter.maxLimit = facts.slots;
        target.isOpen = facts.isOpen;
        if (known != pool.targets.end())
            target.inFlight = known->second.inFlight;
        next.emplace(facts.id, std::move(target));
    }
    for (const auto &[id, running] : state.running) {
        if (running.request.pool == poolId && !next.contains(running.target))
            out.cancel.push_back(id);
    }
    pool.targets = std::move(next);
    // Another dispatcher may have an open group.
    if (!hasOpenTarget(pool))
        refuseWaiting(state, poolId, Reason::NoCapacity, out);
    startWaiting(state, pool, now, out);
}

void submit(DispatchState &state, DispatchRequest request, TimePoint now, DispatchOutput &out)
{
    if (isKnown(state, request, out))
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
    const Duration wait = predictedWait(pool, request.workspace);
    if (now + wait >= request.deadline) {
        refuseSubmission(request, Reason::Overloaded, wait - (request.deadline - now), out);
        return;
    }
    QueueItem item;
    item.id = request.id;
    item.requestClass = request.requestClass;
    item.cost = startCost(pool, request);
    item.enqueuedAt = now;
    item.deadline = request.deadline;
    if (!enqueue(pool.queue, request.workspace, item)) {
        refuseSubmission(request, Reason::Overloaded,
                         std::max<Duration>(wait, state.options.noCapacityRetryAfter), out);
        return;
    }
    const RequestId id = request.id;
    pool.waiting.emplace(id, std::move(request));
    startWaiting(state, pool, now, out);
}

void cancel(DispatchState &state, const RequestId &id, TimePoint now, DispatchOutput &out)
{
    if (state.running.contains(id)) {
        out.cancel.push_back(id);
        return;
    }
    for (auto &[poolId, pool] : state.pools) {
        const auto waiting = pool.waiting.find(id);
        if (waiting == pool.waiting.end())
            continue;
        removeQueued(pool.queue, waiting->second.workspace, id);
        out.reports.push_back(
                makeReport(waiting->second, AttemptResult::NotStarted, Reason::CallerGone));
        pool.waiting.erase(waiting);
        startWaiting(state, pool, now, out);
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
        const bool waits =
                std::any_of(state.pools.begin(), state.pools.end(), [&id](const auto &item) {
                    return item.second.waiting.contains(id.request);
                });
        if (waits || state.running.contains(id.request))
            continue;
        AttemptReport report;
        report.id = id.request;
        report.attempt = id.attempt;
        report.result = AttemptResult::NotStarted;
        report.reason = Reason::ConnectionLost;
        rememberReport(state.finished, report);
        out.reports.push_back(std::move(report));
    }
}

void rememberReports(DispatchState &state, std::span<const AttemptReport> reports)
{
    for (const AttemptReport &report : reports)
        rememberReport(state.finished, report);
}

void addProgress(DispatchState &state, const RequestId &id, std::uint64_t generatedTokens)
{
    const auto found = state.running.find(id);
    if (found == state.running.end())
        return;
    RunningRequest &running = found->second;
    const double cost = static_cast<double>(generatedTokens) * state.options.generatedTokenCost;
    running.generatedTokens += generatedTokens;
    running.charged += cost;
    const DispatchRequest &request = running.request;
    chargeWork(state.pools[request.pool].queue, request.workspace, request.requestClass, cost);
}

void attemptEnded(DispatchState &state, const AttemptEnd &end, TimePoint now, DispatchOutput &out)
{
    const auto found = state.running.find(end.id);
    // An end of an earlier attempt says nothing about the current one.
    if (found == state.running.end() || found->second.request.attempt != end.attempt)
        return;
    const RunningRequest running = std::move(found->second);
    state.running.erase(found);
    DispatchPool &pool = state.pools[running.request.pool];
    settleCharge(state.options, pool, running, end, now);
    const auto target = pool.targets.find(running.target);
    if (target != pool.targets.end()) {
        noteHealth(state.options, pool, target->second, running, end, now);
        --target->second.inFlight;
    }
    updateRate(pool, now);
    AttemptReport report = makeReport(running.request, end.result, end.reason);
    report.relayedEvents = end.relayedEvents;
    report.relayedBytes = end.relayedBytes;
    report.status = end.status;
    report.contentType = end.contentType;
    report.body = end.body;
    out.reports.push_back(std::move(report));
    startWaiting(state, pool, now, out);
}

void refuseWaiting(DispatchState &state, const std::string &poolId, Reason reason,
                   DispatchOutput &out)
{
    const auto found = state.pools.find(poolId);
    if (found == state.pools.end())
        return;
    DispatchPool &pool = found->second;
    for (const auto &[id, request] : pool.waiting) {
        removeQueued(pool.queue, request.workspace, id);
        refuseSubmission(request, reason, state.options.noCapacityRetryAfter, out);
    }
    pool.waiting.clear();
}

void dispatchTick(DispatchState &state, TimePoint now, DispatchOutput &out)
{
    for (auto &[id, pool] : state.pools) {
        for (const QueueItem &item : takeExpired(pool.queue, now)) {
            const auto waiting = pool.waiting.find(item.id);
            out.reports.push_back(
                    makeReport(waiting->second, AttemptResult::NotStarted, Reason::DeadlinePassed));
            pool.waiting.erase(waiting);
        }
        updateRate(pool, now);
        startWaiting(state, pool, now, out);
    }
}

} // namespace Trefoil
