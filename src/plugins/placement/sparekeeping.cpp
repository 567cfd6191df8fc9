#include "libserving/serving.h"

#include <algorithm>

// Spare-keeping placement: keeps one spare VM in each fabric domain as long as another fabric
// domain can take the group, and places each group in the fabric domain with the most free VMs.

namespace Trefoil {

namespace {

constexpr std::uint32_t SpareVmsPerFabric = 1;

std::vector<VmId> chooseSpareKeeping(const PlacementInput &input)
{
    const auto freestFabric =
            std::max_element(input.fabrics.begin(), input.fabrics.end(),
                             [](const FabricCandidate &a, const FabricCandidate &b) {
                                 return a.freeVms.size() < b.freeVms.size();
                             });
    return preferredVms(*freestFabric, input.deployment.vmsPerGroup);
}

const PlacementPolicies::Registration SpareKeeping("spare-keeping",
                                                   {chooseSpareKeeping, SpareVmsPerFabric});

} // namespace

} // namespace Trefoil
