#include "libserving/serving.h"

#include <algorithm>

// Weighted placement: minimizes the sum of expected downtime and stranded accelerators, with
// weights set per deployment. Spreads the groups of a deployment over failure domains.

namespace Trefoil {

namespace {

// Expected downtime for each group of the deployment in the same failure domain.
constexpr double DowntimeMinutesPerGroupInDomain = 0.25;
// Expected downtime for each recent loss of a VM.
constexpr double DowntimeMinutesPerRecentLoss = 1;

// Estimates the time to load the weights: zero if all VMs hold them, otherwise between half of the
// full load time and all of it, in proportion to the VMs without the weights.
double estimateLoadMinutes(const PlacementInput &input, const FabricCandidate &fabric,
                           const std::vector<VmId> &vms)
{
    const auto vmsWithoutWeights =
            std::count_if(fabric.freeVms.begin(), fabric.freeVms.end(), [&](const FreeVm &vm) {
                return !vm.holdsWeights && std::find(vms.begin(), vms.end(), vm.id) != vms.end();
            });
    const double fullLoadMinutes =
            std::chrono::duration<double, std::ratio<60>>(input.loadTime).count();
    return vmsWithoutWeights > 0 ? fullLoadMinutes
                                           * (0.5
                                              + 0.5 * static_cast<double>(vmsWithoutWeights)
                                                        / static_cast<double>(vms.size()))
                                 : 0;
}

double estimateLossMinutes(const FabricCandidate &fabric, const std::vector<VmId> &vms)
{
    double losses = 0;
    for (const FreeVm &vm : fabric.freeVms) {
        if (std::find(vms.begin(), vms.end(), vm.id) != vms.end())
            losses += vm.recentLosses;
    }
    return losses * DowntimeMinutesPerRecentLoss;
}

// Counts the accelerators of the fabric domain that would stay unused, because they are too few for
// another group of this size.
double countStrandedAccelerators(const PlacementInput &input, const FabricCandidate &fabric)
{
    const std::size_t remainingVms = fabric.freeVms.size() - input.deployment.vmsPerGroup;
    const std::size_t strandedVms = remainingVms % input.deployment.vmsPerGroup;
    return static_cast<double>(strandedVms) * fabric.freeVms.front().accelerators;
}

std::vector<VmId> chooseWeighted(const PlacementInput &input)
{
    std::vector<VmId> bestVms;
    double bestCost = 0;
    for (const FabricCandidate &fabric : input.fabrics) {
        std::vector<VmId> vms = preferredVms(fabric, input.deployment.vmsPerGroup);
        const double downtimeMinutes =
                estimateLoadMinutes(input, fabric, vms) + estimateLossMinutes(fabric, vms)
                + DowntimeMinutesPerGroupInDomain * fabric.groupsOfDeployment;
        const double cost = input.deployment.downtimeWeight * downtimeMinutes
                            + input.deployment.strandedWeight
                                      * countStrandedAccelerators(input, fabric)
                                      / std::max(1u, input.deployment.vmsPerGroup);
        if (bestVms.empty() || cost < bestCost) {
            bestVms = std::move(vms);
            bestCost = cost;
        }
    }
    return bestVms;
}

const PlacementPolicies::Registration Weighted("weighted", {chooseWeighted, 0});

} // namespace

} // namespace Trefoil
