#include "libfleet/placement.h"

#include "libfleet/groupplanner.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace Trefoil {

namespace {

constexpr double FailureDecay = 0.25;
constexpr double FailureWeight = 4; // of the failure rate, in predicted times and loads
constexpr std::uint32_t MinimumSamples = 3;
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(20);
constexpr Duration MinimumRetryAfter = std::chrono::milliseconds(150);
constexpr double UsualSeconds = 1; // of a request of a model that nothing is known of
constexpr double LeastSeconds = 0.2;
constexpr double MostSeconds = 5;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

// Usable members by group and epoch.
using GroupSizes = std::map<std::pair<std::string_view, std::uint64_t>, std::size_t>;

GroupSizes countMembers(const PlacementState &state, const std::string &service, TimePoint now)
{
    GroupSizes sizes;
    for (const auto &[id, endpoint] : state.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (membership && endpoint.report.service == service
            && isUsable(endpoint, state.options.silence, now))
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

const EndpointHealth *healthOf(const PlacementState &state, const Endpoint &endpoint)
{
    const auto found = state.health.find(endpoint.report.id);
    const bool same =
            found != state.health.end() && found->second.startedAtMs == endpoint.report.startedAtMs;
    return same ? &found->second : nullptr;
}

// The health of the endpoint's present life, fresh when another life was known.
EndpointHealth &healthOfLife(PlacementState &state, const Endpoint &endpoint)
{
    EndpointHealth &health = state.health[endpoint.report.id];
    if (health.startedAtMs != endpoint.report.startedAtMs) {
        health = EndpointHealth{};
        health.startedAtMs = endpoint.report.startedAtMs;
    }
    return health;
}

TimingEstimate estimateService(const Endpoint &endpoint, const EndpointHealth *health,
                               const GroupLoad &load)
{
    const Duration service = health && health->serviceTime > Duration::zero() ? health->serviceTime
                                                                              : DefaultServiceTime;
    const double slots = std::max<double>(endpoint.report.slots, 1);
    const double waiting = std::max(0.0, load.sequences + 1 - slots) / slots;
    TimingEstimate estimate;
    estimate.firstEvent = fromMs(toMs(service) * (1 + waiting));
    estimate.total = estimate.firstEvent;
    return estimate;
}

// An endpoint that may take the request, with what the decision needs of it.
struct OpenEndpoint
{
    const Endpoint *endpoint = nullptr;
    const EndpointHealth *health = nullptr; // null when this entry has not used it
    GroupLoad load;
    TimingEstimate estimate;
};

TimingEstimate estimateAt(const PlacementRequest &request, const OpenEndpoint &open)
{
    const Service *service = findService(*request.config, request.service);
    if (!service->engine)
        return estimateService(*open.endpoint, open.health, open.load);
    const ModelProfile *model = findModel(*service->engine, request.model);
    return estimateTiming(*service->engine, *model, open.load, request.size);
}

// When the predicted wait will have shrunk to what the target allows.
Duration retryAfter(const PlacementRequest &request, Duration firstEvent)
{
    const Duration excess = firstEvent - std::max(request.targetLeft, Duration::zero());
    return std::clamp(excess, MinimumRetryAfter, std::max(MinimumRetryAfter, request.timeLeft / 3));
}

// The predicted time with the overhead that was observed.
Duration expectedFirstEvent(const PlacementState &state, const PlacementRequest &request,
                            const TimingEstimate &estimate)
{
    const auto overhead = state.overheads.find(request.model);
    return overhead == state.overheads.end() ? estimate.firstEvent
                                             : estimate.firstEvent + fromMs(overhead->second.ms);
}

bool isTooLate(const PlacementState &state, const PlacementRequest &request, Duration firstEvent)
{
    if (firstEvent > request.timeLeft)
        return true;
    // What is late already is worth serving while its caller waits: a second refusal helps nobody.
    if (request.isResumption || request.targetLeft <= Duration::zero())
        return false;
    return toMs(firstEvent) > toMs(request.targetLeft) * state.options.lateTolerance;
}

void noteArrival(ArrivalRate &rate, Duration window, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(window).count();
    const double passed = std::chrono::duration<double>(now - rate.last).count();
    rate.perSecond = rate.perSecond * std::exp(-passed / seconds) + 1 / seconds;
    rate.last = now;
}

// Callers may send any name; only those of the configuration are kept.
bool hasKnownModel(const PlacementRequest &request)
{
    const Service *service = findService(*request.config, request.service);
    return service && service->engine && findModel(*service->engine, request.model);
}

double rateAt(const std::map<std::string, ArrivalRate> &rates, const std::string &model,
              Duration window, TimePoint now)
{
    const auto found = rates.find(model);
    if (found == rates.end())
        return 0;
    const double passed = std::chrono::duration<double>(now - found->second.last).count();
    return found->second.perSecond
           * std::exp(-passed / std::chrono::duration<double>(window).count());
}

// Load of an engine in requests; engines that fail or refuse count as fuller than they are.
double effectiveLoad(const OpenEndpoint &open, TimePoint now)
{
    if (!open.health)
        return open.load.sequences;
    const double load = open.load.sequences * (1 + FailureWeight * open.health->failureRate);
    return open.health->fullUntil > now ? load + open.endpoint->report.slots : load;
}

// Predicted time to the first event in milliseconds, longer for endpoints that fail, refuse or are
// far.
double costOf(const PlacementState &state, const OpenEndpoint &open, TimePoint now)
{
    double cost = toMs(open.estimate.firstEvent);
    if (open.health && open.health->fullUntil > now)
        cost += toMs(open.health->fullUntil - now) + cost;
    if (open.health)
        cost *= 1 + FailureWeight * open.health->failureRate;
    if (open.endpoint->report.domain != state.domain)
        cost += toMs(state.options.sameDomainBonus);
    return cost;
}

// Picks one of the engines at random, with the weights that even out their loads once all entries
// have placed what they cannot yet tell each other.
//
// Load: many entries learn of each other's requests 200 ms late. If all took the least loaded
// engine, it would get the requests of all of them at once.
const OpenEndpoint &pickByStaleLoads(PlacementState &state, std::span<const OpenEndpoint> engines,
                                     double unseen, TimePoint now)
{
    std::vector<std::pair<double, const OpenEndpoint *>> loads;
    for (const OpenEndpoint &engine : engines)
        loads.emplace_back(effectiveLoad(engine, now), &engine);
    std::sort(loads.begin(), loads.end());
    // The level to which the unseen requests fill the least loaded engines.
    double level = 0;
    double sum = 0;
    std::size_t filled = 0;
    for (const auto &[load, engine] : loads) {
        if (filled > 0 && load >= level)
            break;
        sum += load;
        ++filled;
        level = (sum + unseen) / static_cast<double>(filled);
    }
    std::vector<double> weights;
    for (std::size_t i = 0; i < filled; ++i)
        weights.push_back(std::max(level - loads[i].first, 0.0));
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return *loads[pick(state.rng)].second;
}

// The endpoints that this request has not tried and that are not taken out.
std::vector<OpenEndpoint> openEndpoints(const PlacementState &state,
                                        const PlacementRequest &request,
                                        std::span<const Endpoint *const> all, TimePoint now)
{
    std::vector<OpenEndpoint> open;
    for (const Endpoint *endpoint : all) {
        const EndpointHealth *health = healthOf(state, *endpoint);
        const bool isEjected = health && health->ejectedUntil > now;
        if (isEjected || request.tried.contains(endpoint->report.id))
            continue;
        open.push_back({endpoint, health, totalLoad(state, endpoint->report.id, now), {}});
        open.back().estimate = estimateAt(request, open.back());
    }
    return open;
}

// The endpoint with the lowest cost, with a small random spread among like ones.
const OpenEndpoint &cheapest(PlacementState &state, std::span<const OpenEndpoint> open,
                             TimePoint now)
{
    std::uniform_real_distribution<double> spread(1.0, 1.0 + state.options.jitter);
    const OpenEndpoint *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const OpenEndpoint &candidate : open) {
        const double cost = costOf(state, candidate, now) * spread(state.rng);
        if (best && cost >= bestCost)
            continue;
        best = &candidate;
        bestCost = cost;
    }
    return *best;
}

Placement choosePlacement(PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const auto all = candidates(state, *request.config, request.service, request.model, now);
    placement.candidates = all.size();
    placement.retryAfter = std::min(Duration(std::chrono::milliseconds(500)), request.timeLeft / 3);
    const std::vector<OpenEndpoint> open = openEndpoints(state, request, all, now);
    if (open.empty())
        return placement;
    const OpenEndpoint *best = &cheapest(state, open, now);
    if (!request.model.empty()) {
        const ArrivalRate &rate = state.arrivals[request.model];
        const double age = std::chrono::duration<double>(state.loadAge).count();
        const double unseen = rate.perSecond * age * static_cast<double>(state.entries - 1);
        const OpenEndpoint &picked = pickByStaleLoads(state, open, 1 + unseen, now);
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
        placement.retryAfter = retryAfter(request, expected);
    }
    return placement;
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
    const GroupSizes sizes = profile ? countMembers(state, service, now) : GroupSizes{};
    for (const auto &[id, endpoint] : state.table.endpoints) {
        if (endpoint.report.service != service || !isUsable(endpoint, state.options.silence, now))
            continue;
        if (known->engine) {
            if (!profile || !isServingHead(endpoint, model))
                continue;
            const GroupMembership &membership = *endpoint.report.membership;
            if (sizes.at({membership.group, membership.epoch}) < profile->vmsPerGroup)
                continue;
        }
        found.push_back(&endpoint);
    }
    return found;
}

bool hasOtherEndpoint(const PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    const auto all = candidates(state, *request.config, request.service, request.model, now);
    return !openEndpoints(state, request, all, now).empty();
}

double modelDemand(const PlacementState &state, const std::string &model, double inProgress,
                   TimePoint now)
{
    const Duration window = state.options.rateWindow;
    const double offered = rateAt(state.arrivals, model, window, now);
    const double refused = rateAt(state.refusals, model, window, now);
    const double taken = offered - refused;
    const double seconds = taken > 0 && inProgress > 0 ? inProgress / taken : UsualSeconds;
    return inProgress + refused * std::clamp(seconds, LeastSeconds, MostSeconds);
}

Placement placeRequest(PlacementState &state, const PlacementRequest &request, TimePoint now)
{
    const bool isCounted = hasKnownModel(request);
    if (isCounted)
        noteArrival(state.arrivals[request.model], state.options.rateWindow, now);
    Placement placement = choosePlacement(state, request, now);
    if (isCounted && placement.verdict != PlacementVerdict::Send)
        noteArrival(state.refusals[request.model], state.options.rateWindow, now);
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
    EndpointHealth &health = healthOfLife(state, *known);
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
    EndpointHealth &health = healthOfLife(state, *known);
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
