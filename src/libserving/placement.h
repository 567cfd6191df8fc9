#pragma once

#include "libserving/gate.h"
#include "libserving/model.h"
#include "libserving/pluginregistry.h"

#include <span>
#include <string>
#include <vector>

// Interface of the placement policies, which choose the VMs of a new serving group.

namespace Trefoil {

struct FreeVm
{
    VmId id;
    std::uint32_t accelerators = 0;
    // True when the VM holds the weights of the deployment's model version.
    bool holdsWeights = false;
    // The number of times that the VM was lost within the flapping window.
    std::uint32_t recentLosses = 0;
};

// A fabric domain and its free VMs, from which a group can be formed.
struct FabricCandidate
{
    std::string fabric;
    std::string domain;
    std::vector<FreeVm> freeVms;
    // The number of groups of the deployment in the same failure domain.
    std::uint32_t groupsOfDeployment = 0;
};

struct PlacementInput
{
    const Deployment &deployment;
    // The fabric domains with enough free VMs.
    std::span<const FabricCandidate> fabrics;
    // The time to load the weights from the weight store.
    Duration loadTime{};
};

// Returns the group's VMs, all of one fabric domain. `input.fabrics` is never empty.
using PlacementFunction = std::vector<VmId> (*)(const PlacementInput &input);

struct PlacementPolicy
{
    PlacementFunction choose = nullptr;
    // The number of free VMs to leave in each fabric domain, unless no fabric domain can form the
    // group that way.
    std::uint32_t spareVmsPerFabric = 0;
};

using PlacementPolicies = PluginRegistry<PlacementPolicy>;

// Returns up to `count` free VMs of the fabric domain. VMs that hold the weights come first, then
// those with the fewest recent losses.
std::vector<VmId> preferredVms(const FabricCandidate &fabric, std::size_t count);

} // namespace Trefoil
