#pragma once

#include "libserving/commands.h"
#include "libserving/placement.h"

#include <map>
#include <string>
#include <vector>

// The planner of the control leader. From the state of VMs and entries, it derives the commands
// that keep every deployment at its desired number of serving groups. The functions do no I/O and
// read no clock.

namespace Trefoil {

struct PlannerOptions
{
    // A VM without heartbeats for this time is lost.
    Duration lossTimeout = std::chrono::seconds(30);
    // A VM that is missing for this time is replaced when other VMs can form the group.
    Duration replaceAfter = std::chrono::seconds(4);
    // The time to load a model from the weight store.
    Duration loadTime = std::chrono::seconds(60);
    // The number of concurrent loads that the bandwidth of the weight store sustains.
    std::uint32_t concurrentLoads = 4;
    Duration flappingWindow = std::chrono::minutes(10);
    // A dispatcher that is unreachable for this time is replaced.
    Duration dispatcherTimeout = std::chrono::seconds(2);
};

// State of a VM that the leader learns from heartbeats.
struct VmPresence
{
    bool isPresent = false;
    // The time at which isPresent last changed.
    TimePoint changedAt{};
    std::set<std::string> heldWeights;
    GroupId group = 0;
    EngineState state = EngineState::Idle;
    // The times of recent losses.
    std::vector<TimePoint> losses;
};

// State of an entry that the leader learns from the membership protocol.
struct EntryPresence
{
    EntryId entry;
    std::string domain;
    bool isReachable = true;
    // The time at which isReachable last changed.
    TimePoint changedAt{};
};

struct PlannerInput
{
    const Configuration &config;
    const std::map<VmId, VmPresence> &vms;
    std::span<const EntryPresence> entries;
    // The draining groups without running requests.
    std::set<GroupId> idleGroups;
};

struct PlannedCommand
{
    Command command;
    std::string reason;
};

// Returns the commands that bring the configuration closer to the desired state.
std::vector<PlannedCommand> planChanges(const PlannerInput &input, const PlannerOptions &options,
                                        TimePoint now);

// Returns the fabric domains with free VMs, as candidates for a placement policy.
std::vector<FabricCandidate> findFreeFabrics(const PlannerInput &input,
                                             const Deployment &deployment,
                                             const PlannerOptions &options, TimePoint now);

// Returns "model@version", the name of the weights in heartbeats.
std::string weightsName(const std::string &model, const std::string &version);

} // namespace Trefoil
