#pragma once

#include "libserving/model.h"

#include <map>
#include <set>
#include <string>

// The gate of a serving group: whether its dispatcher may start requests on it.

namespace Trefoil {

enum class EngineState : std::uint8_t { Idle, Loading, Ready };

const char *toString(EngineState state);

// Latest heartbeat of a VM, as received by this entry.
struct VmReport
{
    VmId vm;
    std::uint64_t incarnation = 0;
    GroupId group = 0; // group of the last order that the engine carried out
    EngineState state = EngineState::Idle;
    std::set<std::string> heldWeights; // "model@version"
    std::uint32_t inFlight = 0;
    TimePoint receivedAt{};
};

using VmReports = std::map<VmId, VmReport>;

struct GateOptions
{
    Duration heartbeatBound = std::chrono::milliseconds(1500); // a VM is missing after this
};

enum class GateStatus : std::uint8_t {
    Open,
    NotDispatcher, // another entry dispatches the group
    Stale,         // the configuration cannot be confirmed
    Handover,      // a previous dispatcher may still be starting requests
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
    bool isFresh = false;
    TimePoint handoverUntil{}; // end of the wait for previous users of the group's VMs
};

// Decides the gate of `group`. A gate that is not open starts no request.
GateStatus gateStatus(const ServingGroup &group, const GateInput &input, const GateOptions &options,
                      TimePoint now);

// True while every VM of the group is configured as active and reported within the bound.
bool areVmsPresent(const ServingGroup &group, const Configuration &config, const VmReports &reports,
                   const GateOptions &options, TimePoint now);

} // namespace Trefoil
