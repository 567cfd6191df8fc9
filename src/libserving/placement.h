#pragma once

#include "libserving/gate.h"
#include "libserving/model.h"
#include "libserving/pluginregistry.h"

#include <span>
#include <string>
#include <vector>

// Choice of the VMs of a new serving group.

namespace Trefoil {

struct FreeVm
{
    VmId id;
    std::uint32_t accelerators = 0;
    bool holdsWeights = false;      // of the deployment's model and version
    std::uint32_t recentLosses = 0; // within the flapping window
};

// Free VMs of one fabric domain.
struct FabricView
{
    std::string fabric;
    std::string domain;
    std::vector<FreeVm> free;
    std::uint32_t groupsOfDeployment = 0; // in the same failure domain
};

struct PlacementInput
{
    const Deployment &deployment;
    std::span<const FabricView> fabrics; // only those with enough free VMs
    Duration loadTime{};                 // of weights from the store
};

// Returns the group's VMs, all of one fabric domain. `input.fabrics` is never empty.
using PlacementFunction = std::vector<VmId> (*)(const PlacementInput &input);

struct PlacementPolicy
{
    PlacementFunction choose = nullptr;
    // Free VMs that repair leaves in each fabric domain when another fabric domain can serve.
    std::uint32_t spares = 0;
};

using PlacementPolicies = PluginRegistry<PlacementPolicy>;

// The fabric's VMs in order of preference: weights held first, then fewest recent losses.
std::vector<VmId> preferredVms(const FabricView &fabric, std::size_t count);

} // namespace Trefoil
