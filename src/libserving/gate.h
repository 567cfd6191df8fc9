#pragma once

#include "libserving/model.h"

#include <map>
#include <set>
#include <string>

// The gate of a serving group decides whether its dispatcher may start requests on it.

namespace Trefoil {

enum class EngineState : std::uint8_t { Idle, Loading, Ready };

const char *toString(EngineState state);

// The latest heartbeat of a VM that this entry received.
struct VmReport
{
    VmId vm;
    std::uint64_t incarnation = 0;
    // The group of the last order that the engine carried out.
    GroupId group = 0;
    EngineState state = EngineState::Idle;
    // The weights that the VM holds, each as "model@version".
    std::set<std::string> heldWeights;
    std::uint32_t inFlight = 0;
    TimePoint receivedAt{};
};

using VmReports = std::map<VmId, VmReport>;

struct GateOptions
{
    // A VM without a heartbeat for longer than this is missing.
    Duration heartbeatBound = std::chrono::milliseconds(1500);
};

enum class GateStatus : std::uint8_t {
    Open,
    // Another entry is the dispatcher of the group.
    NotDispatcher,
    // This entry cannot confirm that its configuration is current.
    Stale,
    // A previous dispatcher may still be starting requests.
    Handover,
    VmMissing,
    Loading,
    Draining,
};

const char *toString(GateStatus status);

struct GateInput
{
    const Configuration &config;
    const VmReports &reports;
    EntryId self;
    // True when the configuration is confirmed as current.
    bool isFresh = false;
    // The time until which a previous dispatcher may use the group's VMs.
    TimePoint handoverUntil{};
};

// Returns the status of the group's gate. Requests may start only while it is open.
GateStatus gateStatus(const ServingGroup &group, const GateInput &input, const GateOptions &options,
                      TimePoint now);

// Returns true while every VM of the group is configured as active or draining and its last
// heartbeat is within the bound.
bool areVmsPresent(const ServingGroup &group, const Configuration &config, const VmReports &reports,
                   const GateOptions &options, TimePoint now);

} // namespace Trefoil
