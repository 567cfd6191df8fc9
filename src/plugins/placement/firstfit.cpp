#include "libserving/serving.h"

// First-fit placement, the baseline: chooses the first fabric domain, in name order, with enough
// free VMs.

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
