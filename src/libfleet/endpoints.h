#pragma once

#include "libcoord/time.h"
#include "libfleet/groupmembership.h"
#include "libfleet/serviceconfiguration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// What is known of the endpoints of all services. Endpoints announce themselves by heartbeats that
// may arrive late, out of order or from an incarnation that has ended.

namespace Trefoil {

struct EndpointReport
{
    EndpointId id;
    std::string service;
    std::string address; // IP:port
    std::string domain;  // failure domain
    std::string fabric;  // fabric domain, empty for plain services
    std::uint32_t slots = 1;
    bool isDraining = false;
    std::uint64_t startedAtMs = 0; // Unix time of the start, tells two lives of one id apart
    std::uint64_t sequence = 0;    // grows with each report of one life
    std::vector<std::string> stagedModels;
    std::optional<GroupMembership> membership;

    bool operator==(const EndpointReport &) const = default;
};

struct Endpoint
{
    EndpointReport report;
    TimePoint lastHeard{};    // by a report or by progress of its group
    TimePoint lastReport{};   // by a report of its own
    bool hasLeft = false;     // said that it ends; it may still serve for a while
    bool isSucceeded = false; // a later endpoint has its address, so it has ended
    std::string loadedModel;  // of its last group in which it got ready in this life
};

struct EndpointTable
{
    std::map<EndpointId, Endpoint> endpoints;
};

enum class ReportOutcome : std::uint8_t {
    Stale,     // older than what is known
    Refreshed, // nothing but the sequence changed
    Changed,
};

// Takes a report that was made `age` ago. Endpoints with an earlier start at the same address are
// marked as left.
ReportOutcome takeReport(EndpointTable &table, const EndpointReport &report, Duration age,
                         TimePoint now);

// Notes that an endpoint said that it ends. A departure of an earlier life is ignored; 0 stands for
// the life that is known. Returns false when nothing changed.
bool takeDeparture(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs,
                   TimePoint now);

// Notes that an endpoint was heard `age` ago.
void takeSign(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs, Duration age,
              TimePoint now);

// Notes that the head of a group made progress `age` ago. A group makes none without all its VMs,
// so this is a sign of each of them.
void takeProgress(EndpointTable &table, const EndpointId &head, std::uint64_t startedAtMs,
                  Duration age, TimePoint now);

// Counts a time in which this process did not run as if all endpoints had been heard in it: their
// reports may still wait to be read.
void excusePause(EndpointTable &table, Duration pause, TimePoint now);

// Drops endpoints of services that the configuration does not name, and what they said of others at
// their addresses. For the first configuration: until then reports of any writer are taken.
void dropUnknownServices(EndpointTable &table, const ServiceConfiguration &config);

// Drops endpoints that left or fell silent longer than `retention` ago.
void forgetEndpoints(EndpointTable &table, Duration retention, TimePoint now);

// True when the endpoint takes new work as far as its reports tell.
bool isUsable(const Endpoint &endpoint, Duration silence, TimePoint now);

const Endpoint *findEndpoint(const EndpointTable &table, const EndpointId &id);

} // namespace Trefoil
