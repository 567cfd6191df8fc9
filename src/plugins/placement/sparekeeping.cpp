#include "libserving/serving.h"

#include <algorithm>

// Keeps a spare VM in each fabric domain while another one can serve, and spreads groups over the
// fabric domains with the most free VMs.

namespace Trefoil {

namespace {

constexpr std::uint32_t SparesPerFabric = 1;

std::vector<VmId> chooseSpareKeeping(const PlacementInput &input)
{
    const auto best = std::max_element(input.fabrics.begin(), input.fabrics.end(),
                                       [](const FabricCandidate &a, const FabricCandidate &b) {
                                           return a.freeVms.size() < b.freeVms.size();
                                       });
    return preferredVms(*best, input.deployment.vmsPerGroup);
}

const PlacementPolicies::Registration SpareKeeping("spare-keeping",
                                                   {chooseSpareKeeping, SparesPerFabric});

} // namespace

} // namespace Trefoil
