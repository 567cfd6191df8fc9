#include "libserving/gate.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *EngineStateNames[] = {"idle", "loading", "ready"};
constexpr const char *GateStatusNames[] = {"open",       "not-dispatcher", "stale",   "handover",
                                           "vm-missing", "loading",        "draining"};

bool isPresent(const VmId &id, const Configuration &config, const VmReports &reports,
               const GateOptions &options, TimePoint now)
{
    const Vm *vm = findVm(config, id);
    const auto report = reports.find(id);
    if (!vm || report == reports.end())
        return false;
    const bool isServing = vm->status == VmStatus::Active || vm->status == VmStatus::Draining;
    return isServing && report->second.incarnation == vm->incarnation
           && now - report->second.receivedAt <= options.heartbeatBound;
}

bool isReady(const ServingGroup &group, const VmReports &reports)
{
    return std::all_of(group.vms.begin(), group.vms.end(), [&](const VmId &id) {
        const VmReport &report = reports.at(id);
        return report.group == group.id && report.state == EngineState::Ready;
    });
}

bool isDraining(const ServingGroup &group, const Configuration &config)
{
    return group.status == GroupStatus::Draining
           || std::any_of(group.vms.begin(), group.vms.end(), [&](const VmId &id) {
                  return config.vms.at(id).status == VmStatus::Draining;
              });
}

} // namespace

const char *toString(EngineState state)
{
    return EngineStateNames[static_cast<std::size_t>(state)];
}

const char *toString(GateStatus status)
{
    return GateStatusNames[static_cast<std::size_t>(status)];
}

bool areVmsPresent(const ServingGroup &group, const Configuration &config, const VmReports &reports,
                   const GateOptions &options, TimePoint now)
{
    return std::all_of(group.vms.begin(), group.vms.end(), [&](const VmId &id) {
        return isPresent(id, config, reports, options, now);
    });
}

GateStatus gateStatus(const ServingGroup &group, const GateInput &input, const GateOptions &options,
                      TimePoint now)
{
    if (group.dispatcher != input.self)
        return GateStatus::NotDispatcher;
    if (!input.isFresh)
        return GateStatus::Stale;
    if (!areVmsPresent(group, input.config, input.reports, options, now))
        return GateStatus::VmMissing;
    if (isDraining(group, input.config))
        return GateStatus::Draining;
    if (now < input.handoverUntil)
        return GateStatus::Handover;
    if (!isReady(group, input.reports))
        return GateStatus::Loading;
    return GateStatus::Open;
}

} // namespace Trefoil
