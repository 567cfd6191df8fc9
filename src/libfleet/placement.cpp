#include "libfleet/placement.h"

#include "libfleet/groupplanner.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace Trefoil {

namespace {

constexpr double FailureDecay = 0.25;
constexpr std::uint32_t MinimumSamples = 3;
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(20);
constexpr Duration MinimumRetryAfter = std::chrono::milliseconds(150);

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

// Every member of the head's group is there, so that the group can work.
bool isGroupWhole(const PlacementState &state, const Endpoint &head, std::size_t size,
                  TimePoint now)
{
    const GroupMembership &membership = *head.report.membership;
    std::size_t members = 0;
    for (const auto &[id, endpoint] : state.table.endpoints) {
        const auto &other = endpoint.report.membership;
        const bool same = other && other->group == membership.group
                          && other->epoch == membership.epoch
                          && isUsable(endpoint, state.options.silence, now);
        members += same ? 1 : 0;
    }
    return members >= size;
}

bool isServingHead(const Endpoint &endpoint, const std::string &model)
{
    const auto &membership = endpoint.report.membership;
    if (!membership || membership->rank != 0 || membership->phase != MembershipPhase::Open)
        return false;
    return modelOfGroup(*membership) == model;
}

const EndpointHealth *healthOf(const PlacementState &state, const Endpoint &endpoint)
{
    const auto found = state.health.find(endpoint.report.id);
    const bool same =
            found != state.health.end() && found->second.startedAtMs == endpoint.report.startedAtMs;
    return same ? &found->second : nullptr;
}

TimingEstimate estimateService(const PlacementState &state, const Endpoint &endpoint, TimePoint now)
{
    const EndpointHealth *health = healthOf(state, endpoint);
    const Duration service = health && health->serviceTime > Duration::zero() ? health->serviceTime
                                                                              : DefaultServiceTime;
    const GroupLoad load = totalLoad(state, endpoint.report.id, now);
    const double slots = std::max<double>(endpoint.report.slots, 1);
    const double waiting = std::max(0.0, load.sequences + 1 - slots) / slots;
    TimingEstimate estimate;
    estimate.firstEvent = fromMs(toMs(service) * (1 + waiting));
    estimate.total = estimate.firstEvent;
    return estimate;
}

TimingEstimate estimateAt(const PlacementState &state, const PlacementRequest &request,
                          const Endpoint &endpoint, TimePoint now)
{
    const Service *service = findService(*request.config, request.service);
    if (!service->engine)
        return estimateService(state, endpoint, now);
    const ModelProfile *model = findModel(*service->engine, request.model);
    return estimateTiming(*service->engine, *model, totalLoad(state, endpoint.report.id, now),
                          request.size);
}

// When the predicted wait will have shrunk to what the target allows.
Duration retryAfter(const PlacementRequest &request, Duration firstEvent)
{
    const Duration excess = firstEvent - std::max(request.targetLeft, Duration::zero());
    return std::clamp(excess, MinimumRetryAfter, std::max(MinimumRetryAfter, request.timeLeft / 3));
}

bool isTooLate(const PlacementState &state, const PlacementRequest &request,
               const TimingEstimate &estimate)
{
    if (estimate.firstEvent > request.timeLeft)
        return true;
    // What is late already is worth serving while its caller waits: a second refusal helps nobody.
    if (request.isResumption || request.targetLeft <= Duration::zero())
        return false;
    return toMs(estimate.firstEvent) > toMs(request.targetLeft) * state.options.lateTolerance;
}

} // namespace

std::vector<const Endpoint *> candidates(const PlacementState &state,
                                         const ServiceConfiguration &config,
                                         const std::string &service, const std::string &model,
                                         TimePoint now)
{
    std::vector<const Endpoint *> found;
    const Service *known = findService(config, service);
    if (!known)
        return found;
    const ModelProfile *profile =
            known->engine && !model.empty() ? findModel(*known->engine, model) : nullptr;
    for (const auto &[id, endpoint] : state.table.endpoints) {
        if (endpoint.report.service != service || !isUsable(endpoint, state.options.silence, now))
            continue;
        if (known->engine) {
            if (!profile || !isServingHead(endpoint, model)
                || !isGroupWhole(state, endpoint, profile->vmsPerGroup, now))
                continue;
        }
        found.push_back(&endpoint);
    }
    return found;
}

Placement placeRequest(PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const auto all = candidates(state, *request.config, request.service, request.model, now);
    placement.candidates = all.size();
    placement.retryAfter = std::min(Duration(std::chrono::milliseconds(500)), request.timeLeft / 3);
    std::uniform_real_distribution<double> spread(1.0, 1.0 + state.options.jitter);
    const Endpoint *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const Endpoint *endpoint : all) {
        if (request.tried.contains(endpoint->report.id))
            continue;
        const EndpointHealth *health = healthOf(state, *endpoint);
        if (health && health->ejectedUntil > now)
            continue;
        const TimingEstimate estimate = estimateAt(state, request, *endpoint, now);
        double cost = toMs(estimate.firstEvent);
        if (health && health->fullUntil > now)
            cost += toMs(health->fullUntil - now) + cost;
        if (health)
            cost *= 1 + 4 * health->failureRate;
        if (endpoint->report.domain != state.domain)
            cost += toMs(state.options.sameDomainBonus);
        cost *= spread(state.rng);
        if (cost >= bestCost)
            continue;
        best = endpoint;
        bestCost = cost;
        placement.estimate = estimate;
    }
    if (!best)
        return placement;
    placement.endpoint = best->report.id;
    placement.address = best->report.address;
    placement.startedAtMs = best->report.startedAtMs;
    placement.verdict = PlacementVerdict::Send;
    if (isTooLate(state, request, placement.estimate)) {
        placement.verdict = PlacementVerdict::Overloaded;
        placement.retryAfter = retryAfter(request, placement.estimate.firstEvent);
    }
    return placement;
}

LoadKey loadKey(const EndpointId &endpoint)
{
    return XXH32(endpoint.data(), endpoint.size(), 0);
}

GroupLoad totalLoad(const PlacementState &state, const EndpointId &endpoint, TimePoint now)
{
    GroupLoad total;
    const auto add = [&total](const EndpointLoad &load) {
        total.sequences += load.requests;
        total.unreadPromptTokens += load.unreadPromptTokens;
    };
    const auto own = state.ownLoads.find(endpoint);
    if (own != state.ownLoads.end())
        add(own->second);
    const LoadKey key = loadKey(endpoint);
    for (const auto &[name, peer] : state.peers) {
        if (now - peer.heardAt > state.options.peerLoadTimeout)
            continue;
        const auto load = peer.loads.find(key);
        if (load != peer.loads.end())
            add(load->second);
    }
    return total;
}

void addLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load)
{
    EndpointLoad &own = state.ownLoads[endpoint];
    own.requests += load.requests;
    own.unreadPromptTokens += load.unreadPromptTokens;
}

void removeLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load)
{
    const auto found = state.ownLoads.find(endpoint);
    if (found == state.ownLoads.end())
        return;
    EndpointLoad &own = found->second;
    own.requests -= load.requests;
    own.unreadPromptTokens = std::max(0.0, own.unreadPromptTokens - load.unreadPromptTokens);
    if (own.requests < 0.5)
        state.ownLoads.erase(found);
}

void noteAttempt(PlacementState &state, const EndpointId &endpoint, EndpointResult result,
                 Duration duration, TimePoint now)
{
    const Endpoint *known = findEndpoint(state.table, endpoint);
    if (!known)
        return;
    EndpointHealth &health = state.health[endpoint];
    if (health.startedAtMs != known->report.startedAtMs) {
        health = EndpointHealth{};
        health.startedAtMs = known->report.startedAtMs;
    }
    if (result == EndpointResult::Refused) {
        health.fullUntil = now + state.options.fullPause;
        return;
    }
    const double failed = result == EndpointResult::Failed ? 1 : 0;
    health.failureRate += FailureDecay * (failed - health.failureRate);
    ++health.samples;
    if (result == EndpointResult::Served) {
        health.serviceTime = health.serviceTime == Duration::zero()
                                     ? duration
                                     : health.serviceTime + (duration - health.serviceTime) / 8;
        if (health.failureRate < state.options.ejectAt / 2)
            health.ejections = 0;
        return;
    }
    if (health.samples >= MinimumSamples && health.failureRate > state.options.ejectAt)
        ejectEndpoint(state, endpoint, now);
}

void ejectEndpoint(PlacementState &state, const EndpointId &endpoint, TimePoint now)
{
    const Endpoint *known = findEndpoint(state.table, endpoint);
    if (!known)
        return;
    EndpointHealth &health = state.health[endpoint];
    health.startedAtMs = known->report.startedAtMs;
    if (health.ejectedUntil > now)
        return;
    const auto factor = static_cast<Duration::rep>(1)
                        << std::min<std::uint32_t>(health.ejections, 3);
    health.ejectedUntil =
            now + std::min(state.options.maxEjection, state.options.ejection * factor);
    health.failureRate = state.options.ejectAt / 2;
    ++health.ejections;
}

} // namespace Trefoil
