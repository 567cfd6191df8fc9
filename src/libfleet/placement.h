#pragma once

#include "libfleet/endpointlimits.h"
#include "libfleet/endpoints.h"
#include "libfleet/enginemodel.h"
#include "libfleet/holdoffs.h"
#include "libfleet/serviceconfiguration.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// Decides to which endpoint an entry sends a request, and which requests it refuses. Performs no
// I/O and reads no clock.

namespace Trefoil {

// Load that one entry has placed on an endpoint.
struct EndpointLoad
{
    double requests = 0;
    double pendingPromptTokens = 0;

    bool operator==(const EndpointLoad &) const = default;
};

// Loads of one other entry, as it reported them.
struct PeerLoads
{
    TimePoint receivedAt{};
    std::uint64_t process = 0; // identifies the process of the entry, larger for later ones
    std::uint64_t sequence = 0;
    std::unordered_map<EndpointHash, EndpointLoad> loads;
    std::uint32_t nextPart = 0; // of the digest with this sequence number
    // Endpoints of which the entry needs tokens.
    std::vector<EndpointHash> neededEndpoints;
};

// Health of an endpoint, as this entry observes it.
struct EndpointHealth
{
    std::uint64_t startedAtMs = 0;          // identifies the incarnation
    double failureRate = 0;                 // decaying average, 1 when all attempts failed
    std::uint32_t samples = 0;              // attempts in the failure rate
    std::uint32_t consecutiveEjections = 0; // each one doubles the duration of the next
    TimePoint ejectedUntil{};
    TimePoint fullUntil{};  // avoided until then after a refusal for lack of capacity
    Duration serviceTime{}; // decaying average of the time of whole answers
};

// Exponentially decaying rate of requests.
struct RequestRate
{
    double perSecond = 0;
    TimePoint lastRequestAt{};
};

struct PlacementOptions
{
    Duration heartbeatTimeout = std::chrono::milliseconds(3200);
    // Age from which the reported loads of another entry are ignored.
    Duration peerLoadTimeout = std::chrono::milliseconds(1500);
    Duration ejectionTime = std::chrono::milliseconds(1000);
    Duration maxEjectionTime = std::chrono::seconds(8);
    // Time for which an endpoint that refused a request is avoided.
    Duration fullBackoff = std::chrono::milliseconds(80);
    // Is added to the predicted time of endpoints in other failure domains.
    Duration crossDomainPenalty = std::chrono::milliseconds(1);
    double ejectionFailureRate = 0.35; // endpoints with a higher rate are ejected
    // Refuses a request when its first event is expected later than this many times its target.
    double refusalTargetFactor = 1.0;
    double jitter = 0.08;                          // relative random spread of the predicted times
    Duration rateWindow = std::chrono::seconds(2); // time constant of the request rates
};

// State of the placement of one entry.
struct PlacementState
{
    PlacementOptions options;
    EndpointTable table;
    std::unordered_map<EndpointId, EndpointLoad> ownLoads;
    std::map<std::string, PeerLoads> peers;
    std::unordered_map<EndpointId, EndpointHealth> health;
    std::map<std::string, FirstEventOverhead> overheads; // by model
    std::map<std::string, RequestRate> arrivalRates;     // of requests at this entry, by model
    std::map<std::string, RequestRate> refusalRates;     // of refused requests, by model
    EndpointLimits limits;
    HoldOffs holdOffs;
    std::size_t entryCount = 1; // entries that share the endpoints
    Duration peerLoadAge{};     // age of the loads that other entries reported
    std::string domain;         // failure domain of this entry
    std::mt19937_64 rng;
};

struct PlacementRequest
{
    const ServiceConfiguration *config = nullptr;
    const Route *route = nullptr;
    std::string service;
    std::string model; // empty for plain services
    RequestSize size;
    Duration timeLeft{};       // until the caller or the route times out
    Duration targetTimeLeft{}; // until the answer misses its target
    std::set<EndpointId> triedEndpoints;
    bool isResumption = false; // continues a stream that another endpoint began
};

enum class PlacementVerdict : std::uint8_t {
    Send,
    NoEndpoint, // no endpoint is known, or all were tried or ejected
    Overloaded, // the answer would be too late
    Limited,    // the limits that endpoints name are used up
    HeldOff,    // the endpoints want no request for some time
};

struct Placement
{
    PlacementVerdict verdict = PlacementVerdict::NoEndpoint;
    EndpointId endpoint;
    std::string address;
    std::uint64_t startedAtMs = 0;
    TimingEstimate estimate;
    std::size_t candidateCount = 0;
    Duration retryAfter{}; // time after which a refused caller may retry
};

// Chooses an endpoint for the request or refuses it, and counts its arrival.
Placement placeRequest(PlacementState &state, const PlacementRequest &request, TimePoint now);

// Returns why a request with this verdict is not sent.
const char *describe(PlacementVerdict verdict);

// Returns true when an endpoint that the request has not tried may take it.
bool hasUntriedEndpoint(const PlacementState &state, const PlacementRequest &request,
                        TimePoint now);

// Returns whether an endpoint that was chosen some time ago may still get the request.
bool isStillUsable(const PlacementState &state, const Placement &placement, TimePoint now);

// Estimates how many requests of a model this entry would have in progress if it refused none, from
// the requests in progress and the rates of requests and refusals.
double estimateModelDemand(const PlacementState &state, const std::string &model, double inProgress,
                           TimePoint now);

// Estimates how many requests of a model an endpoint has in progress while it gets the requests a
// second of its limit.
double estimateLimitedSlots(const PlacementState &state, const std::string &model,
                            double inProgress, double perSecond, TimePoint now);

// Returns the load of all entries on an endpoint.
GroupLoad totalLoad(const PlacementState &state, const EndpointId &endpoint, TimePoint now);

// Change the load that this entry has placed on an endpoint.
void addLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load);
void removeLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load);

enum class EndpointResult : std::uint8_t { Served, Refused, Failed };

// Updates the health of an endpoint after an attempt. `duration` is the time of a whole answer.
void recordAttempt(PlacementState &state, const EndpointId &endpoint, EndpointResult result,
                   Duration duration, TimePoint now);

// Ejects the endpoint at once, for example after its streams have stalled.
void ejectEndpoint(PlacementState &state, const EndpointId &endpoint, TimePoint now);

// Returns the endpoints that may take requests of a model, or of a plain service when `model` is
// empty.
std::vector<const Endpoint *> findCandidates(const PlacementState &state,
                                             const ServiceConfiguration &config,
                                             const std::string &service, const std::string &model,
                                             TimePoint now);

} // namespace Trefoil
