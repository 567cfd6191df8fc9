#include "libserving/model.h"

#include <algorithm>

namespace Trefoil {

const ServingGroup *groupOfVm(const Configuration &config, const VmId &vm)
{
    for (const auto &[id, group] : config.groups) {
        if (std::find(group.vms.begin(), group.vms.end(), vm) != group.vms.end())
            return &group;
    }
    return nullptr;
}

const Vm *findVm(const Configuration &config, const VmId &vm)
{
    const auto found = config.vms.find(vm);
    return found == config.vms.end() ? nullptr : &found->second;
}

const char *toString(VmRole role)
{
    return role == VmRole::Engine ? "engine" : "service";
}

const char *toString(VmStatus status)
{
    switch (status) {
    case VmStatus::Active:
        return "active";
    case VmStatus::Draining:
        return "draining";
    case VmStatus::Lost:
        return "lost";
    case VmStatus::Left:
        return "left";
    }
    return "";
}

const char *toString(GroupStatus status)
{
    return status == GroupStatus::Active ? "active" : "draining";
}

} // namespace Trefoil
