#pragma once

#include "libserving/commands.h"
#include "libserving/placement.h"

#include <map>
#include <string>
#include <vector>

// Planner of the control leader: turns what is known of VMs and entries into commands that keep
// every deployment at its number of serving groups. Pure: no I/O, no clock.

namespace Trefoil {

struct PlannerOptions
{
    Duration lossTimeout = std::chrono::seconds(30); // a VM without heartbeats is lost after this
    Duration replaceAfter = std::chrono::seconds(4); // replace a missing VM when others can serve
    Duration loadTime = std::chrono::seconds(60);    // of a model from the weight store
    std::uint32_t concurrentLoads = 4;               // that the weight store's rate carries
    Duration flappingWindow = std::chrono::minutes(10);
    Duration dispatcherTimeout = std::chrono::seconds(2); // entry unreachable for this long
};

// What the leader knows of a VM beyond the configuration.
struct VmPresence
{
    bool isPresent = false;
    TimePoint changedAt{}; // when isPresent last changed
    std::set<std::string> heldWeights;
    GroupId group = 0;
    EngineState state = EngineState::Idle;
    std::vector<TimePoint> losses; // within the flapping window
};

struct EntryPresence
{
    EntryId entry;
    std::string domain;
    bool isReachable = true;
    TimePoint changedAt{};
};

struct PlannerInput
{
    const Configuration &config;
    const std::map<VmId, VmPresence> &vms;
    std::span<const EntryPresence> entries;
    std::set<GroupId> idleGroups; // draining groups without running requests
};

struct PlannedCommand
{
    Command command;
    std::string why;
};

std::vector<PlannedCommand> planChanges(const PlannerInput &input, const PlannerOptions &options,
                                        TimePoint now);

// Free VMs by fabric domain, as the planner offers them to a placement policy.
std::vector<FabricView> freeFabrics(const PlannerInput &input, const Deployment &deployment,
                                    const PlannerOptions &options, TimePoint now);

std::string weightsName(const std::string &model, const std::string &version);

} // namespace Trefoil
