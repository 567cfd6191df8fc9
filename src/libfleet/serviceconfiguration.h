#pragma once

#include "libcoord/time.h"
#include "libruntime/findings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Configuration that operators publish as a whole: routes, services, workspaces with their keys,
// and limits.

namespace Trefoil {

enum class RouteKind : std::uint8_t {
    Idempotent,    // a request may run more than once
    NonIdempotent, // a request runs at most once
    Stream,        // the answer is a series of events; idempotent only when it can be resumed
};

// Relative weight of one service among those of a route.
struct TrafficShare
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<TrafficShare> trafficSplit;
    Duration timeout{};
    Duration targetLatency{}; // to the first event of a stream, else to the whole answer
    Duration maxEventGap{};   // between two events of an answer that is on time
    std::uint32_t maxAttempts = 1;
    std::uint32_t priority = 0; // 0 is the most urgent
    bool isPublic = false;      // served without a key
    bool isResumable = false;   // another endpoint may continue a stream
};

// Model that the engines of a service can load.
struct ModelProfile
{
    std::string name;
    std::uint32_t vmsPerGroup = 1;
    double workShare = 0;      // expected fraction of all work, until requests are seen
    double timeFactor = 1;     // multiplies all predicted times of a group
    Duration loadTime{};       // from the weight store
    Duration stagedLoadTime{}; // from the copy staged on the host
};

// Published performance parameters of the engines of a service.
struct EngineProfile
{
    std::uint32_t slots = 1;        // requests that a group runs at once
    std::uint64_t kvTokens = 0;     // capacity of the KV cache
    std::uint32_t stepsPerPass = 1; // decoding steps of one pass
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContext = 0;
    double promptTokensPerSecond = 1;
    double msPerMillionPairs = 0; // prefill time for pairs of prompt tokens
    std::uint32_t maxPrefillTokensPerPass = 0;
    double loadsPerSecond = 1;         // load starts that the weight store allows
    std::uint32_t concurrentLoads = 1; // more loads than these slow each other down
    double typicalPromptTokens = 0;
    double typicalOutputTokens = 0;
    std::uint32_t maxStagedModels = 1; // per host
    Duration openTime{};
    std::vector<ModelProfile> models;
};

struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // to one endpoint, over all callers
    std::optional<EngineProfile> engine;
};

// Limits of the requests that entries accept.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

// Workspace with the keys that identify its requests.
struct WorkspaceKeys
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // overrides the priority of the route
};

struct ServiceConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<WorkspaceKeys> workspaces;
    bool requiresKeys = false; // requests without a known key are refused
    RequestLimits limits;

    // Indices into the vectors, filled by indexConfiguration. Routes are sorted by prefix length,
    // the longest one first.
    std::unordered_map<std::string, std::vector<std::size_t>> routeIndicesByHost;
    std::unordered_map<std::string, std::size_t> workspaceIndexByKey;
    std::unordered_map<std::string, std::size_t> serviceIndexByName;
};

// Fills the lookup tables. Must be called after the vectors have changed.
void indexConfiguration(ServiceConfiguration &config);

// Returns everything that makes the configuration unusable. The text of each finding names its
// route, workspace or service.
std::vector<Finding> validateConfiguration(const ServiceConfiguration &config);

// Returns the route with the longest prefix of `path` among the routes of the host, or null. A port
// in `host` is ignored.
const Route *matchRoute(const ServiceConfiguration &config, std::string_view host,
                        std::string_view path);

const WorkspaceKeys *findWorkspace(const ServiceConfiguration &config, std::string_view key);
const Service *findService(const ServiceConfiguration &config, const std::string &name);
const ModelProfile *findModel(const EngineProfile &engine, std::string_view model);

// Picks a service of the route by weight. `randomFraction` is in [0, 1).
const std::string &pickService(const Route &route, double randomFraction);

// Returns true when a request of the route may be sent to a second endpoint although the first one
// may have run it.
bool isRepeatable(const Route &route);

} // namespace Trefoil
