#pragma once

#include "libcoord/time.h"
#include "libfleet/departures.h"
#include "libfleet/groupmembership.h"
#include "libfleet/serviceconfiguration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Tracks the endpoints of all services. Endpoints announce themselves by heartbeats, which may
// arrive late, out of order or from an incarnation that has ended.

namespace Trefoil {

// State of an endpoint as its heartbeat reports it.
struct EndpointReport
{
    EndpointId id;
    std::string service;
    std::string address; // IP:port
    std::string domain;  // failure domain
    std::string fabric;  // fabric domain, empty for plain services
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::uint64_t startedAtMs = 0; // Unix time of the start, identifies the incarnation
    std::uint64_t sequence = 0;    // grows with each report of an incarnation
    std::vector<std::string> stagedModels;
    std::optional<GroupMembership> membership;
    // Set when nothing in the report speaks of models, as in reports of plain services. In the name
    // of an engine, another program has written it. Only known where the report arrives.
    bool lacksEngineState = false;

    bool operator==(const EndpointReport &) const = default;
};

// Latest report of an endpoint and what is known beyond it.
struct Endpoint
{
    EndpointReport report;
    TimePoint lastHeard{};    // last report, sign of life or progress of its group
    TimePoint lastReportAt{}; // last report or sign of life of its own
    bool isLeaving = false;   // has announced that it leaves; may still serve for a while
    bool isReplaced = false;  // a later endpoint has its address, so this one has ended
    std::string loadedModel;  // model of the last group in which this incarnation became ready
};

struct EndpointTable
{
    // Endpoints of configured services.
    std::map<EndpointId, Endpoint> endpoints;

    // Other endpoints, by id and service. A later version of the configuration may name their
    // service; until then they are not used. A report under the id of a configured endpoint with
    // another service comes from an unrelated program and must not change that endpoint.
    std::map<std::pair<EndpointId, std::string>, Endpoint> unconfigured;

    // Names of the configured services. Without a value, all services count as configured.
    std::optional<std::set<std::string>> services;

    // Names of those whose endpoints are engines.
    std::set<std::string> engineServices;

    DepartureTable departures;

    // Sizes of the reports of configured services, and of each other service.
    std::size_t configuredBytes = 0;
    std::size_t unconfiguredBytes = 0;
    std::map<std::string, std::size_t> bytesByUnconfiguredService;

    // Silent endpoints are not looked for before this time to make room for others.
    TimePoint nextRoomAt{};
};

// Limits what programs that report can add to a table. Other services have no part in the room of
// the configured ones.
constexpr std::size_t MaxUnconfiguredEndpoints = 10'000;
constexpr std::size_t MaxUnconfiguredBytes = 2 * 1024 * 1024;
constexpr std::size_t MaxConfiguredBytes = 16 * 1024 * 1024;

// Returns the size for which a report counts in these limits.
std::size_t reportBytes(const EndpointReport &report);

enum class ReportOutcome : std::uint8_t {
    Stale,     // older than the known report
    Unusable,  // lacks the state of an engine
    Refused,   // there is no room for it
    Refreshed, // only the sequence number changed
    Changed,
};

// Returns true when the report of an engine says nothing of its models and group. It must not count
// as the report of an engine that is in no group.
bool isUnusable(const EndpointTable &table, const EndpointReport &report);

// Applies a report that was made `age` ago. Marks endpoints with an earlier start at the same
// address as replaced. A report of an endpoint that drains announces its departure.
ReportOutcome applyReport(EndpointTable &table, const EndpointReport &report, Duration age,
                          TimePoint now);

// Records that an endpoint announced its departure. It need not be known, since a report of it may
// arrive later. The departure of an earlier incarnation leaves the endpoint in use.
DepartureOutcome applyDeparture(EndpointTable &table, DepartureNotice notice, TimePoint now);

// Records that an endpoint was heard `age` ago. Ignores other incarnations than the known one.
void recordSignOfLife(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs,
                      Duration age, TimePoint now);

// Records that the head of a group made progress `age` ago. A group makes progress only with all
// its VMs, so this is a sign of life of each of them.
void recordGroupProgress(EndpointTable &table, const EndpointId &head, std::uint64_t startedAtMs,
                         Duration age, TimePoint now);

// Extends the deadlines of all endpoints by a pause in which this process did not run, since
// reports that arrived in the meantime may still be unread.
void compensatePause(EndpointTable &table, Duration pause, TimePoint now);

// Applies the services of a new configuration. Endpoints that reported before their service was
// named come into use. Those of a service that is no longer named stay in the table, since it may
// be named again.
void setServices(EndpointTable &table, const ServiceConfiguration &config, TimePoint now);

// Removes endpoints that were last heard longer than `retention` ago.
void removeExpiredEndpoints(EndpointTable &table, Duration retention, TimePoint now);

// Returns true when the endpoint takes new work: it was heard within the timeout, is not draining
// or leaving, and was not replaced.
bool isUsable(const Endpoint &endpoint, Duration heartbeatTimeout, TimePoint now);

// Returns the number of endpoints, configured or not.
std::size_t endpointCount(const EndpointTable &table);

// Returns the endpoint, or null when no configured service has it.
const Endpoint *findEndpoint(const EndpointTable &table, const EndpointId &id);

// Returns the endpoint and those under its id that are not configured.
std::vector<const Endpoint *> findAllEndpoints(const EndpointTable &table, const EndpointId &id);

} // namespace Trefoil
