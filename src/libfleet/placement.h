#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/enginemodel.h"
#include "libfleet/serviceconfiguration.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// Where an entry sends a request, and which requests it refuses. Pure: no I/O, no clock.

namespace Trefoil {

// Load that one entry put on an endpoint.
struct EndpointLoad
{
    double requests = 0;
    double unreadPromptTokens = 0;

    bool operator==(const EndpointLoad &) const = default;
};

// Stands for an endpoint in the loads that entries exchange.
using LoadKey = std::uint32_t;
LoadKey loadKey(const EndpointId &endpoint);

// Loads that another entry reported.
struct PeerLoads
{
    TimePoint heardAt{};
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::unordered_map<LoadKey, EndpointLoad> loads;
};

// What this entry saw of an endpoint's answers.
struct EndpointHealth
{
    std::uint64_t startedAtMs = 0;
    double failureRate = 0; // decaying average of the outcomes, 1 is all failed
    std::uint32_t samples = 0;
    std::uint32_t ejections = 0; // in a row, doubles the time of the next one
    TimePoint ejectedUntil{};
    TimePoint fullUntil{};  // refused a request as full
    Duration serviceTime{}; // decaying average of whole answers
};

// Rate of requests, decaying over `window`.
struct ArrivalRate
{
    double perSecond = 0;
    TimePoint last{};
};

struct PlacementOptions
{
    Duration silence = std::chrono::milliseconds(3200); // without heartbeats
    Duration peerLoadTimeout = std::chrono::milliseconds(1500);
    Duration ejection = std::chrono::milliseconds(1000);
    Duration maxEjection = std::chrono::seconds(8);
    Duration fullPause = std::chrono::milliseconds(80);
    Duration sameDomainBonus = std::chrono::milliseconds(1);
    double ejectAt = 0.35;      // failure rate
    double lateTolerance = 1.0; // refused when the first event is later than this many targets
    double jitter = 0.08;       // relative random spread of the predicted times
    Duration rateWindow = std::chrono::seconds(2); // of the rates of requests
};

struct PlacementState
{
    PlacementOptions options;
    EndpointTable table;
    std::unordered_map<EndpointId, EndpointLoad> ownLoads;
    std::map<std::string, PeerLoads> peers;
    std::unordered_map<EndpointId, EndpointHealth> health;
    std::map<std::string, FirstEventOverhead> overheads; // by model
    std::map<std::string, ArrivalRate> arrivals;         // at this entry, by model
    std::map<std::string, ArrivalRate> refusals;         // of these
    std::size_t entries = 1;                             // that share the endpoints
    Duration loadAge{};                                  // of what the others told of their loads
    std::string domain;                                  // failure domain of this entry
    std::mt19937_64 rng;
};

struct PlacementRequest
{
    const ServiceConfiguration *config = nullptr;
    const Route *route = nullptr;
    std::string service;
    std::string model; // empty for plain services
    RequestSize size;
    Duration timeLeft{};   // until the caller or the route gives up
    Duration targetLeft{}; // until the answer is late
    std::set<EndpointId> tried;
    bool isResumption = false;
};

enum class PlacementVerdict : std::uint8_t {
    Send,
    NoEndpoint, // none is known or all have failed
    Overloaded, // it would be too late
};

struct Placement
{
    PlacementVerdict verdict = PlacementVerdict::NoEndpoint;
    EndpointId endpoint;
    std::string address;
    std::uint64_t startedAtMs = 0;
    TimingEstimate estimate;
    std::size_t candidates = 0;
    Duration retryAfter{}; // when a refused caller may come back
};

Placement placeRequest(PlacementState &state, const PlacementRequest &request, TimePoint now);

// Whether an endpoint that the request has not tried could take it.
bool hasOtherEndpoint(const PlacementState &state, const PlacementRequest &request, TimePoint now);

// Requests of a model that this entry would have in progress if it refused none, from those in
// progress and the rates of requests and refusals.
double modelDemand(const PlacementState &state, const std::string &model, double inProgress,
                   TimePoint now);

// All entries' load on an endpoint.
GroupLoad totalLoad(const PlacementState &state, const EndpointId &endpoint, TimePoint now);

void addLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load);
void removeLoad(PlacementState &state, const EndpointId &endpoint, const EndpointLoad &load);

enum class EndpointResult : std::uint8_t { Served, Refused, Failed };

void noteAttempt(PlacementState &state, const EndpointId &endpoint, EndpointResult result,
                 Duration duration, TimePoint now);

// Takes the endpoint out at once, for example after its streams stood still.
void ejectEndpoint(PlacementState &state, const EndpointId &endpoint, TimePoint now);

// Endpoints that may take requests of a model, or of a plain service when `model` is empty.
std::vector<const Endpoint *> candidates(const PlacementState &state,
                                         const ServiceConfiguration &config,
                                         const std::string &service, const std::string &model,
                                         TimePoint now);

} // namespace Trefoil
