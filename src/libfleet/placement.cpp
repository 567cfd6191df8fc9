#include "libfleet/placement.h"

#include "libfleet/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace Trefoil {

namespace {

// Weight of the latest attempt in the failure rate.
constexpr double FailureRateSmoothing = 0.25;
// The predicted time and the load of an endpoint with failure rate r count 1 + FailureWeight * r
// times.
constexpr double FailureWeight = 4;
// Attempts before an endpoint can be ejected by its failure rate.
constexpr std::uint32_t MinEjectionSamples = 3;
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(20);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(150);
// Duration that is assumed for a request when no request of its model is in progress, and bounds of
// the estimated duration.
constexpr double DefaultRequestSeconds = 1;
constexpr double MinRequestSeconds = 0.2;
constexpr double MaxRequestSeconds = 5;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

// Number of usable members by group and epoch.
using GroupSizes = std::map<std::pair<std::string_view, std::uint64_t>, std::size_t>;

GroupSizes countMembers(const PlacementState &state, const std::string &service, TimePoint now)
{
    GroupSizes sizes;
    for (const auto &[id, endpoint] : state.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (membership && endpoint.report.service == service
            && isUsable(endpoint, state.options.heartbeatTimeout, now))
            ++sizes[{membership->group, membership->epoch}];
    }
    return sizes;
}

bool isServingHead(const Endpoint &endpoint, const std::string &model)
{
    const auto &membership = endpoint.report.membership;
    if (!membership || membership->rank != 0 || membership->phase != MembershipPhase::Open)
        return false;
    return modelOfGroup(*membership) == model;
}

// Returns the health of the endpoint's current incarnation, or null when none was observed.
const EndpointHealth *findHealth(const PlacementState &state, const Endpoint &endpoint)
{
    const auto found = state.health.find(endpoint.report.id);
    const bool isSameIncarnation =
            found != state.health.end() && found->second.startedAtMs == endpoint.report.startedAtMs;
    return isSameIncarnation ? &found->second : nullptr;
}

// Returns the health of the endpoint's current incarnation. Resets it when it belongs to another
// one.
EndpointHealth &currentHealth(PlacementState &state, const Endpoint &endpoint)
{
    EndpointHealth &health = state.health[endpoint.report.id];
    if (health.startedAtMs != endpoint.report.startedAtMs) {
        health = EndpointHealth{};
        health.startedAtMs = endpoint.report.startedAtMs;
    }
    return health;
}

// Estimates the timing of a request at an endpoint of a plain service.
TimingEstimate estimatePlainTiming(const Endpoint &endpoint, const EndpointHealth *health,
                                   const GroupLoad &load)
{
    const Duration serviceTime = health && health->serviceTime > Duration::zero()
                                         ? health->serviceTime
                                         : DefaultServiceTime;
    const double slots = std::max<double>(endpoint.report.slots, 1);
    const double waitingShare = std::max(0.0, load.sequences + 1 - slots) / slots;
    TimingEstimate estimate;
    estimate.firstEvent = fromMs(toMs(serviceTime) * (1 + waitingShare));
    estimate.total = estimate.firstEvent;
    return estimate;
}

// Endpoint that may take the request, with its health, load and timing estimate.
struct PlacementCandidate
{
    const Endpoint *endpoint = nullptr;
    const EndpointHealth *health = nullptr; // null when this entry has not used the endpoint
    GroupLoad load;
    TimingEstimate estimate;
};

TimingEstimate estimateAt(const PlacementRequest &request, const PlacementCandidate &candidate)
{
    const Service *service = findService(*request.config, request.service);
    if (!service->engine)
        return estimatePlainTiming(*candidate.endpoint, candidate.health, candidate.load);
    const ModelProfile *model = findModel(*service->engine, request.model);
    return estimateTiming(*service->engine, *model, candidate.load, request.size);
}

// Limits the time after which a caller may retry to a third of the time left. The result is at
// least MinRetryAfter.
Duration boundRetryAfter(const PlacementRequest &request, Duration wait)
{
    return std::clamp(wait, MinRetryAfter, std::max(MinRetryAfter, request.timeLeft / 3));
}

// Returns the time by which the predicted first event misses the target, since the wait shrinks by
// the time that passes.
Duration computeRetryAfter(const PlacementRequest &request, Duration firstEvent)
{
    return boundRetryAfter(request,
                           firstEvent - std::max(request.targetTimeLeft, Duration::zero()));
}

void recordNeeds(EndpointLimits &limits, std::span<const EndpointId> endpoints, TimePoint now)
{
    for (const EndpointId &endpoint : endpoints)
        recordNeed(limits, endpoint, now);
}

// Returns the predicted time to the first event, including the observed overhead.
Duration expectedFirstEvent(const PlacementState &state, const PlacementRequest &request,
                            const TimingEstimate &estimate)
{
    const auto overhead = state.overheads.find(request.model);
    return overhead == state.overheads.end() ? estimate.firstEvent
                                             : estimate.firstEvent + fromMs(overhead->second.ms);
}

// Returns true when the request should be refused because its first event is expected too late.
bool isTooLate(const PlacementState &state, const PlacementRequest &request, Duration firstEvent)
{
    if (firstEvent > request.timeLeft)
        return true;
    // A request that has already missed its target is sent while its caller waits, since a second
    // refusal would not help it.
    if (request.isResumption || request.targetTimeLeft <= Duration::zero())
        return false;
    return toMs(firstEvent) > toMs(request.targetTimeLeft) * state.options.refusalTargetFactor;
}

// Adds one request to a decaying rate.
void countRequest(RequestRate &rate, Duration window, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(window).count();
    const double elapsed = std::chrono::duration<double>(now - rate.lastRequestAt).count();
    rate.perSecond = rate.perSecond * std::exp(-elapsed / seconds) + 1 / seconds;
    rate.lastRequestAt = now;
}

// Returns true when the model is configured. Callers may send any name, and rates are kept only for
// configured models.
bool hasKnownModel(const PlacementRequest &request)
{
    const Service *service = findService(*request.config, request.service);
    return service && service->engine && findModel(*service->engine, request.model);
}

// Returns the rate of a model's requests per second, decayed to the present.
double currentRate(const std::map<std::string, RequestRate> &rates, const std::string &model,
                   Duration window, TimePoint now)
{
    const auto found = rates.find(model);
    if (found == rates.end())
        return 0;
    const double elapsed = std::chrono::duration<double>(now - found->second.lastRequestAt).count();
    return found->second.perSecond
           * std::exp(-elapsed / std::chrono::duration<double>(window).count());
}

// Returns the number of requests at an engine, increased when the engine fails or refuses requests.
double effectiveLoad(const PlacementCandidate &candidate, TimePoint now)
{
    if (!candidate.health)
        return candidate.load.sequences;
    const double load =
            candidate.load.sequences * (1 + FailureWeight * candidate.health->failureRate);
    return candidate.health->fullUntil > now ? load + candidate.endpoint->report.slots : load;
}

// Returns the predicted time to the first event in milliseconds, increased for endpoints that fail,
// refuse or are in another failure domain.
double placementCostMs(const PlacementState &state, const PlacementCandidate &candidate,
                       TimePoint now)
{
    double cost = toMs(candidate.estimate.firstEvent);
    if (candidate.health && candidate.health->fullUntil > now)
        cost += toMs(candidate.health->fullUntil - now) + cost;
    if (candidate.health)
        cost *= 1 + FailureWeight * candidate.health->failureRate;
    if (candidate.endpoint->report.domain != state.domain)
        cost += toMs(state.options.crossDomainPenalty);
    return cost;
}

// Picks one of the engines at random. `unseenRequests` estimates the requests, including this one,
// that the known loads do not contain yet. The probability of an engine is proportional to the part
// of these requests that it should get so that the loads become equal.
//
// Entries learn of each other's requests 200 ms late. If every entry picked the least loaded
// engine, this engine would get the requests of all entries at once.
const PlacementCandidate &pickByStaleLoads(PlacementState &state,
                                           std::span<const PlacementCandidate> engines,
                                           double unseenRequests, TimePoint now)
{
    std::vector<std::pair<double, const PlacementCandidate *>> loads;
    for (const PlacementCandidate &engine : engines)
        loads.emplace_back(effectiveLoad(engine, now), &engine);
    std::sort(loads.begin(), loads.end());
    // Equal load of the least loaded engines after they have received the unseen requests.
    double targetLoad = 0;
    double loadSum = 0;
    std::size_t filledCount = 0;
    for (const auto &[load, engine] : loads) {
        if (filledCount > 0 && load >= targetLoad)
            break;
        loadSum += load;
        ++filledCount;
        targetLoad = (loadSum + unseenRequests) / static_cast<double>(filledCount);
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < filledCount; ++i)
        weights.push_back(std::max(targetLoad - loads[i].first, 0.0));
    std::discrete_distribution<std::size_t> pickIndex(weights.begin(), weights.end());
    return *loads[pickIndex(state.rng)].second;
}

// Endpoints that a request has not tried and that are not ejected.
struct UntriedEndpoints
{
    std::vector<PlacementCandidate> candidates;

    // Endpoints that name a limit of which this entry may use nothing now, and the shortest time
    // until it may.
    std::vector<EndpointId> limited;
    Duration limitWait = Duration::max();

    // The shortest time until an endpoint that wants no request now takes one.
    Duration holdOffWait = Duration::max();
};

UntriedEndpoints findUntriedEndpoints(const PlacementState &state, const PlacementRequest &request,
                                      std::span<const Endpoint *const> endpoints, TimePoint now)
{
    UntriedEndpoints untried;
    std::vector<PlacementCandidate> &candidates = untried.candidates;
    for (const Endpoint *endpoint : endpoints) {
        const EndpointHealth *health = findHealth(state, *endpoint);
        const bool isEjected = health && health->ejectedUntil > now;
        if (isEjected || request.triedEndpoints.contains(endpoint->report.id))
            continue;
        const Duration holdOffWait = timeUntilReturn(state.holdOffs, *endpoint, now);
        if (holdOffWait > Duration::zero()) {
            untried.holdOffWait = std::min(untried.holdOffWait, holdOffWait);
            continue;
        }
        if (const EndpointLimit *limit = findLimit(state.limits, *endpoint)) {
            const Duration wait = timeUntilToken(state.limits, *limit, now);
            if (wait > Duration::zero()) {
                untried.limited.push_back(endpoint->report.id);
                untried.limitWait = std::min(untried.limitWait, wait);
                continue;
            }
        }
        candidates.push_back({endpoint, health, totalLoad(state, endpoint->report.id, now), {}});
        candidates.back().estimate = estimateAt(request, candidates.back());
    }
    return untried;
}

// Returns the endpoint with the lowest cost. A small random spread distributes requests over
// endpoints with similar costs.
const PlacementCandidate &
pickLowestCost(PlacementState &state, std::span<const PlacementCandidate> candidates, TimePoint now)
{
    std::uniform_real_distribution<double> spread(1.0, 1.0 + state.options.jitter);
    const PlacementCandidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const PlacementCandidate &candidate : candidates) {
        const double cost = placementCostMs(state, candidate, now) * spread(state.rng);
        if (best && cost >= bestCost)
            continue;
        best = &candidate;
        bestCost = cost;
    }
    return *best;
}

// Chooses the endpoint and the verdict of a request without counting its arrival.
Placement choosePlacement(PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const auto endpoints =
            findCandidates(state, *request.config, request.service, request.model, now);
    placement.candidateCount = endpoints.size();
    placement.retryAfter = std::min(Duration(std::chrono::milliseconds(500)), request.timeLeft / 3);
    const UntriedEndpoints untried = findUntriedEndpoints(state, request, endpoints, now);
    const std::vector<PlacementCandidate> &candidates = untried.candidates;
    const Duration returnWait =
            boundRetryAfter(request, std::min(untried.limitWait, untried.holdOffWait));
    const bool isHeldOff = untried.holdOffWait != Duration::max();
    if (candidates.empty() && (isHeldOff || !untried.limited.empty())) {
        recordNeeds(state.limits, untried.limited, now);
        placement.verdict =
                untried.limited.empty() ? PlacementVerdict::HeldOff : PlacementVerdict::Limited;
        placement.retryAfter = returnWait;
    }
    if (candidates.empty())
        return placement;
    const PlacementCandidate *best = &pickLowestCost(state, candidates, now);
    if (!request.model.empty()) {
        const RequestRate &rate = state.arrivalRates[request.model];
        const double loadAgeSeconds = std::chrono::duration<double>(state.peerLoadAge).count();
        const double unseenRequests =
                rate.perSecond * loadAgeSeconds * static_cast<double>(state.entryCount - 1);
        const PlacementCandidate &picked =
                pickByStaleLoads(state, candidates, 1 + unseenRequests, now);
        if (!isTooLate(state, request, expectedFirstEvent(state, request, picked.estimate)))
            best = &picked;
    }
    const EndpointReport &report = best->endpoint->report;
    placement.estimate = best->estimate;
    placement.endpoint = report.id;
    placement.address = report.address;
    placement.startedAtMs = report.startedAtMs;
    placement.verdict = PlacementVerdict::Send;
    const Duration expected = expectedFirstEvent(state, request, placement.estimate);
    if (isTooLate(state, request, expected)) {
        placement.verdict = PlacementVerdict::Overloaded;
        placement.retryAfter = std::min(computeRetryAfter(request, expected), returnWait);
        recordNeeds(state.limits, untried.limited, now);
    }
    return placement;
}

// Estimates the duration of a model's requests from those in progress at this entry and their rate.
double estimateRequestSeconds(const PlacementState &state, const std::string &model,
                              double inProgress, TimePoint now)
{
    const Duration window = state.options.rateWindow;
    const double acceptedRate = currentRate(state.arrivalRates, model, window, now)
                                - currentRate(state.refusalRates, model, window, now);
    const double requestSeconds =
            acceptedRate > 0 && inProgress > 0 ? inProgress / acceptedRate : DefaultRequestSeconds;
    return std::clamp(requestSeconds, MinRequestSeconds, MaxRequestSeconds);
}

} // namespace

std::vector<const Endpoint *> findCandidates(const PlacementState &state,
                                             const ServiceConfiguration &config,
                                             const std::string &service, const std::string &model,
                                             TimePoint now)
{
    std::vector<const Endpoint *> endpoints;
    const Service *known = findService(config, service);
    if (!known)
        return endpoints;
    const ModelProfile *profile =
            known->engine && !model.empty() ? findModel(*known->engine, model) : nullptr;
    const GroupSizes sizes = profile ? countMembers(state, service, now) : GroupSizes{};
    for (const auto &[id, endpoint] : state.table.endpoints) {
        if (endpoint.report.service != service
            || !isUsable(endpoint, state.options.heartbeatTimeout, now))
            continue;
        if (known->engine) {
            if (!profile || !isServingHead(endpoint, model))
                continue;
            const GroupMembership &membership = *endpoint.report.membership;
            if (sizes.at({membership.group, membership.epoch}) < profile->vmsPerGroup)
                continue;
        }
        endpoints.push_back(&endpoint);
    }
    return endpoints;
}

const char *describe(PlacementVerdict verdict)
{
    switch (verdict) {
    case PlacementVerdict::Send:
        return "sent";
    case PlacementVerdict::NoEndpoint:
        return "no endpoint takes the request";
    case PlacementVerdict::Overloaded:
        return "overloaded";
    case PlacementVerdict::Limited:
        return "the limits of the endpoints are used up";
    case PlacementVerdict::HeldOff:
        return "the endpoints take no requests for now";
    }
    return "";
}

bool hasUntriedEndpoint(const PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    const auto endpoints =
            findCandidates(state, *request.config, request.service, request.model, now);
    return !findUntriedEndpoints(state, request, endpoints, now).candidates.empty();
}

bool isStillUsable(const PlacementState &state, const Placement &placement, TimePoint now)
{
    const Endpoint *endpoint = findEndpoint(state.table, placement.endpoint);
    return endpoint && endpoint->report.startedAtMs == placement.startedAtMs
           && isUsable(*endpoint, state.options.heartbeatTimeout, now)
           && timeUntilReturn(state.holdOffs, *endpoint, now) == Duration::zero();
}

double estimateModelDemand(const PlacementState &state, const std::string &model, double inProgress,
                           TimePoint now)
{
    const double refusalRate =
            currentRate(state.refusalRates, model, state.options.rateWindow, now);
    return inProgress + refusalRate * estimateRequestSeconds(state, model, inProgress, now);
}

double estimateLimitedSlots(const PlacementState &state, const std::string &model,
                            double inProgress, double perSecond, TimePoint now)
{
    return perSecond * estimateRequestSeconds(state, model, inProgress, now);
}

Placement placeRequest(PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    const bool isCounted = hasKnownModel(request);
    if (isCounted)
        countRequest(state.arrivalRates[request.model], state.options.rateWindow, now);
    Placement placement = choosePlacement(state, request, now);
    if (isCounted && placement.verdict != PlacementVerdict::Send)
        countRequest(state.refusalRates[request.model], state.options.rateWindow, now);
    return placement;
}

GroupLoad totalLoad(const PlacementState &state, const EndpointId &endpoint, TimePoint now)
{
    GroupLoad total;
    const auto add = [&total](const EndpointLoad &load) {
        total.sequences += load.requests;
        total.pendingPromptTokens += load.pendingPromptTokens;
    };
    const auto own = state.ownLoads.find(endpoint);
    if (own != state.ownLoads.end())
        add(own->second);
    const EndpointHash key = endpointHash(endpoint);
    for (const auto &[name, peer] : state.peers) {
        if (now - peer.receivedAt > state.options.peerLoadTimeout)
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
    own.pendingPromptTokens += load.pendingPromptTokens;
}

void removeLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load)
{
    const auto found = state.ownLoads.find(endpoint);
    if (found == state.ownLoads.end())
        return;
    EndpointLoad &own = found->second;
    own.requests -= load.requests;
    own.pendingPromptTokens = std::max(0.0, own.pendingPromptTokens - load.pendingPromptTokens);
    if (own.requests < 0.5)
        state.ownLoads.erase(found);
}

void recordAttempt(PlacementState &state, const EndpointId &endpoint, EndpointResult result,
                   Duration duration, TimePoint now)
{
    const Endpoint *known = findEndpoint(state.table, endpoint);
    if (!known)
        return;
    EndpointHealth &health = currentHealth(state, *known);
    if (result == EndpointResult::Refused) {
        health.fullUntil = now + state.options.fullBackoff;
        return;
    }
    const double failure = result == EndpointResult::Failed ? 1 : 0;
    health.failureRate += FailureRateSmoothing * (failure - health.failureRate);
    ++health.samples;
    if (result == EndpointResult::Served) {
        health.serviceTime = health.serviceTime == Duration::zero()
                                     ? duration
                                     : health.serviceTime + (duration - health.serviceTime) / 8;
        if (health.failureRate < state.options.ejectionFailureRate / 2)
            health.consecutiveEjections = 0;
        return;
    }
    if (health.samples >= MinEjectionSamples
        && health.failureRate > state.options.ejectionFailureRate)
        ejectEndpoint(state, endpoint, now);
}

void ejectEndpoint(PlacementState &state, const EndpointId &endpoint, TimePoint now)
{
    const Endpoint *known = findEndpoint(state.table, endpoint);
    if (!known)
        return;
    EndpointHealth &health = currentHealth(state, *known);
    if (health.ejectedUntil > now)
        return;
    const auto backoffFactor = static_cast<Duration::rep>(1)
                               << std::min<std::uint32_t>(health.consecutiveEjections, 3);
    health.ejectedUntil =
            now
            + std::min(state.options.maxEjectionTime, state.options.ejectionTime * backoffFactor);
    health.failureRate = state.options.ejectionFailureRate / 2;
    ++health.consecutiveEjections;
}

} // namespace Trefoil
