#include "libserving/serving.h"

// Baseline: the first fabric domain with enough free VMs, in name order.

namespace Trefoil {

namespace {

std::vector<VmId> chooseFirstFit(const PlacementInput &input)
{
    std::vector<VmId> vms;
    for (const FreeVm &vm : input.fabrics.front().freeVms) {
        if (vms.size() < input.deployment.vmsPerGroup)
            vms.push_back(vm.id);
    }
    return vms;
}

const PlacementPolicies::Registration FirstFit("first-fit", {chooseFirstFit, 0});

} // namespace

} // namespace Trefoil
