#include "libserving/serving.h"

#include <algorithm>

// Weighs the downtime of a load against the accelerators that a placement strands, with the
// deployment's own weights, and spreads a deployment over failure domains.

namespace Trefoil {

namespace {

constexpr double DomainSpreadMinutes = 0.25; // downtime risked by each group in the same domain
constexpr double FlappingMinutes = 1;        // downtime risked by each recent loss of a VM

double loadMinutes(const PlacementInput &input, const FabricCandidate &fabric,
                   const std::vector<VmId> &vms)
{
    const auto cold =
            std::count_if(fabric.freeVms.begin(), fabric.freeVms.end(), [&](const FreeVm &vm) {
                return !vm.holdsWeights && std::find(vms.begin(), vms.end(), vm.id) != vms.end();
            });
    const double minutes = std::chrono::duration<double, std::ratio<60>>(input.loadTime).count();
    return cold > 0
                   ? minutes
                             * (0.5
                                + 0.5 * static_cast<double>(cold) / static_cast<double>(vms.size()))
                   : 0;
}

double lossRisk(const FabricCandidate &fabric, const std::vector<VmId> &vms)
{
    double losses = 0;
    for (const FreeVm &vm : fabric.freeVms) {
        if (std::find(vms.begin(), vms.end(), vm.id) != vms.end())
            losses += vm.recentLosses;
    }
    return losses * FlappingMinutes;
}

// Accelerators of the fabric domain that no further group of this size can use.
double strandedAccelerators(const PlacementInput &input, const FabricCandidate &fabric)
{
    const std::size_t left = fabric.freeVms.size() - input.deployment.vmsPerGroup;
    const std::size_t unusable = left % input.deployment.vmsPerGroup;
    return static_cast<double>(unusable) * fabric.freeVms.front().accelerators;
}

std::vector<VmId> chooseWeighted(const PlacementInput &input)
{
    std::vector<VmId> best;
    double bestCost = 0;
    for (const FabricCandidate &fabric : input.fabrics) {
        std::vector<VmId> vms = preferredVms(fabric, input.deployment.vmsPerGroup);
        const double downtime = loadMinutes(input, fabric, vms) + lossRisk(fabric, vms)
                                + DomainSpreadMinutes * fabric.groupsOfDeployment;
        const double cost = input.deployment.downtimeWeight * downtime
                            + input.deployment.strandedWeight * strandedAccelerators(input, fabric)
                                      / std::max(1u, input.deployment.vmsPerGroup);
        if (best.empty() || cost < bestCost) {
            best = std::move(vms);
            bestCost = cost;
        }
    }
    return best;
}

const PlacementPolicies::Registration Weighted("weighted", {chooseWeighted, 0});

} // namespace

} // namespace Trefoil
