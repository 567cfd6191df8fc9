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

// What operators publish as a whole: routes, services, workspaces with their keys, and limits.

namespace Trefoil {

enum class RouteKind : std::uint8_t {
    Idempotent,    // may run more than once
    NonIdempotent, // runs at most once
    Stream,        // a series of events; idempotent only when it can be resumed
};

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
    std::vector<TrafficShare> split;
    Duration timeout{};
    Duration targetLatency{}; // up to the first event of a stream, else up to the whole answer
    Duration maxEventGap{};   // longest pause between events of an answer that is on time
    std::uint32_t attempts = 1;
    std::uint32_t priority = 0; // 0 is the most urgent
    bool isPublic = false;      // served without a key
    bool isResumable = false;   // a stream that another endpoint may continue
};

// One model that the engines of a service can load.
struct ModelProfile
{
    std::string name;
    std::uint32_t vmsPerGroup = 1;
    double share = 0; // part of the work at the start
    double pace = 1;  // factor on all times of a group
    Duration loadTime{};
    Duration warmTime{}; // load time from the host's staged copy
};

// Published timing of the engines of a service.
struct EngineProfile
{
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0;
    std::uint32_t stride = 1; // token steps of a pass
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandContext = 0;
    double promptTokensPerSecond = 1;
    double msPerMillionPairs = 0;
    std::uint32_t chunkTokens = 0; // prompt tokens that one pass reads at most
    double loadsPerSecond = 1;
    std::uint32_t concurrentLoads = 1; // beyond these, loads slow each other down
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    std::uint32_t stagedModels = 1; // models that a host keeps
    Duration openTime{};
    std::vector<ModelProfile> models;
};

struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; // of one endpoint, over all callers
    std::optional<EngineProfile> engine;
};

struct RequestLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct WorkspaceKeys
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // goes before the priority of the route
};

struct ServiceConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<WorkspaceKeys> workspaces;
    bool requiresKeys = false; // a request without a known key is refused
    RequestLimits limits;

    // Filled by indexConfiguration.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; // longest prefix first
    std::unordered_map<std::string, std::size_t> workspaceByKey;
    std::unordered_map<std::string, std::size_t> serviceByName;
};

// Fills the lookup tables. Call after the vectors have changed.
void indexConfiguration(ServiceConfiguration &config);

// Everything that makes the configuration unusable. The place of a finding is named in its text.
std::vector<Finding> validateConfiguration(const ServiceConfiguration &config);

// The route with the longest prefix of `path` among the routes of the host, or null. A port in
// `host` is ignored.
const Route *matchRoute(const ServiceConfiguration &config, std::string_view host,
                        std::string_view path);

const WorkspaceKeys *findWorkspace(const ServiceConfiguration &config, std::string_view key);
const Service *findService(const ServiceConfiguration &config, const std::string &name);
const ModelProfile *findModel(const EngineProfile &engine, std::string_view model);

// Picks a service by weight; `point` lies in [0, 1).
const std::string &pickService(const Route &route, double point);

// True when a request of the route may be handed to a second endpoint after it may have run.
bool isRepeatable(const Route &route);

} // namespace Trefoil
