#include "libserving/planner.h"

#include <algorithm>

namespace Trefoil {

namespace {

const VmPresence *findPresence(const PlannerInput &input, const VmId &vm)
{
    const auto found = input.vms.find(vm);
    return found == input.vms.end() ? nullptr : &found->second;
}

// Returns true for a VM that is unknown, sends no heartbeats, is lost or has left.
bool isMissing(const PlannerInput &input, const VmId &vm)
{
    const VmPresence *presence = findPresence(input, vm);
    const Vm *known = findVm(input.config, vm);
    return !known || !presence || !presence->isPresent || known->status == VmStatus::Lost
           || known->status == VmStatus::Left;
}

Duration missingDuration(const PlannerInput &input, const VmId &vm, TimePoint now)
{
    const VmPresence *presence = findPresence(input, vm);
    return presence && !presence->isPresent ? now - presence->changedAt : Duration{};
}

// Collects the commands of one planning round and the VMs that they use.
struct Plan
{
    const PlannerInput &input;
    const PlannerOptions &options;
    TimePoint now;
    std::vector<PlannedCommand> commands;
    std::set<VmId> usedVms;

    void add(Command command, std::string reason)
    {
        commands.push_back({std::move(command), std::move(reason)});
    }
};

void planLostVms(Plan &plan)
{
    for (const auto &[id, vm] : plan.input.config.vms) {
        if (vm.status != VmStatus::Active && vm.status != VmStatus::Draining)
            continue;
        if (missingDuration(plan.input, id, plan.now) < plan.options.lossTimeout)
            continue;
        plan.add(SetVmStatus{id, vm.incarnation, VmStatus::Lost}, "no heartbeat from VM " + id);
    }
}

// Returns true when some fabric domain has enough present VMs to form the group again, including
// those of the group itself.
bool canFormAgain(const Plan &plan, const ServingGroup &group)
{
    std::map<std::string, std::size_t> usableVmsByFabric;
    for (const auto &[id, vm] : plan.input.config.vms) {
        const ServingGroup *currentGroup = groupOfVm(plan.input.config, id);
        const bool isAvailable = !currentGroup || currentGroup->id == group.id;
        if (vm.role == VmRole::Engine && vm.status == VmStatus::Active && isAvailable
            && !isMissing(plan.input, id))
            ++usableVmsByFabric[vm.fabric];
    }
    return std::any_of(usableVmsByFabric.begin(), usableVmsByFabric.end(),
                       [&](const auto &item) { return item.second >= group.vms.size(); });
}

// Decides whether to replace a missing VM or to wait for its return. A VM that is missing for
// longer than a short pause has to load its weights again after a restart, as a spare VM does. So
// the replacement is never ready later than the returning VM.
bool shouldReplace(const Plan &plan, const ServingGroup &group, Duration longestMissing)
{
    return longestMissing >= plan.options.replaceAfter && canFormAgain(plan, group);
}

bool hasLostVm(const Plan &plan, const ServingGroup &group)
{
    return std::any_of(group.vms.begin(), group.vms.end(), [&](const VmId &id) {
        const Vm *vm = findVm(plan.input.config, id);
        return !vm || vm->status == VmStatus::Lost || vm->status == VmStatus::Left;
    });
}

// Ends a group that lost a VM, or whose missing VM should be replaced.
void planBrokenGroup(Plan &plan, const ServingGroup &group)
{
    if (hasLostVm(plan, group)) {
        plan.add(EndGroup{group.id, "vm-lost"}, "a VM of the group is lost or has left");
        return;
    }
    Duration longestMissing{};
    for (const VmId &id : group.vms)
        longestMissing = std::max(longestMissing, missingDuration(plan.input, id, plan.now));
    if (shouldReplace(plan, group, longestMissing))
        plan.add(EndGroup{group.id, "replace"}, "free VMs can replace a missing VM");
}

bool hasDrainingVm(const Plan &plan, const ServingGroup &group)
{
    return std::any_of(group.vms.begin(), group.vms.end(), [&](const VmId &id) {
        const Vm *vm = findVm(plan.input.config, id);
        return vm && vm->status == VmStatus::Draining;
    });
}

// Drains a group that should end, and ends a drained group once it is idle.
void planGroupDrain(Plan &plan, const ServingGroup &group)
{
    if (group.status == GroupStatus::Draining) {
        if (plan.input.idleGroups.contains(group.id))
            plan.add(EndGroup{group.id, "drained"}, "the group has no running request");
        return;
    }
    if (hasDrainingVm(plan, group))
        plan.add(DrainGroup{group.id}, "a VM of the group is draining");
    if (!plan.input.config.deployments.contains(group.deployment))
        plan.add(DrainGroup{group.id}, "the deployment was removed");
}

const EntryPresence *findEntry(const Plan &plan, const EntryId &entry)
{
    const auto found = std::find_if(plan.input.entries.begin(), plan.input.entries.end(),
                                    [&](const EntryPresence &e) { return e.entry == entry; });
    return found == plan.input.entries.end() ? nullptr : &*found;
}

bool canDispatch(const Plan &plan, const EntryPresence &entry)
{
    return entry.isReachable && !plan.input.config.drainingEntries.contains(entry.entry);
}

// Returns the entry with the fewest groups, or an empty id. Prefers entries in the given failure
// domain.
EntryId chooseDispatcherEntry(const Plan &plan, const std::string &domain)
{
    std::map<EntryId, std::size_t> groups;
    for (const auto &[id, group] : plan.input.config.groups)
        ++groups[group.dispatcher];
    for (const PlannedCommand &planned : plan.commands) {
        if (const auto *form = std::get_if<FormGroup>(&planned.command))
            ++groups[form->dispatcher];
        if (const auto *set = std::get_if<SetDispatcher>(&planned.command))
            ++groups[set->dispatcher];
    }
    const EntryPresence *best = nullptr;
    const auto rank = [&](const EntryPresence &entry) {
        return std::make_pair(entry.domain == domain ? 0 : 1, groups[entry.entry]);
    };
    for (const EntryPresence &entry : plan.input.entries) {
        if (canDispatch(plan, entry) && (!best || rank(entry) < rank(*best)))
            best = &entry;
    }
    return best ? best->entry : EntryId{};
}

// Moves a group to another dispatcher when its own is unreachable or draining.
void planDispatcher(Plan &plan, const ServingGroup &group)
{
    const EntryPresence *current = findEntry(plan, group.dispatcher);
    const bool isGone = !current
                        || (!current->isReachable
                            && plan.now - current->changedAt >= plan.options.dispatcherTimeout);
    const bool isDraining = plan.input.config.drainingEntries.contains(group.dispatcher);
    if (!isGone && !isDraining)
        return;
    const Vm *first = findVm(plan.input.config, group.vms.front());
    const EntryId next = chooseDispatcherEntry(plan, first ? first->domain : std::string{});
    if (!next.empty() && next != group.dispatcher)
        plan.add(SetDispatcher{group.id, next},
                 isDraining ? "the dispatcher is draining" : "the dispatcher is unreachable");
}

bool isEnding(const Plan &plan, GroupId group)
{
    return std::any_of(plan.commands.begin(), plan.commands.end(), [&](const auto &planned) {
        const auto *end = std::get_if<EndGroup>(&planned.command);
        const auto *drain = std::get_if<DrainGroup>(&planned.command);
        return (end && end->group == group) || (drain && drain->group == group);
    });
}

std::vector<const ServingGroup *> findActiveGroups(const Plan &plan, const DeploymentId &deployment)
{
    std::vector<const ServingGroup *> groups;
    for (const auto &[id, group] : plan.input.config.groups) {
        if (group.deployment == deployment && group.status == GroupStatus::Active
            && !isEnding(plan, id))
            groups.push_back(&group);
    }
    return groups;
}

std::uint32_t countLoadingGroups(const Plan &plan)
{
    std::uint32_t loading = 0;
    for (const auto &[id, group] : plan.input.config.groups) {
        loading += std::any_of(group.vms.begin(), group.vms.end(), [&, id = id](const VmId &vm) {
            const VmPresence *presence = findPresence(plan.input, vm);
            return presence && presence->group == id && presence->state == EngineState::Loading;
        });
    }
    return loading;
}

// Returns true when all VMs hold the weights of the deployment's model version.
bool holdsWeights(const Plan &plan, const std::vector<VmId> &vms, const Deployment &deployment)
{
    const std::string weights = weightsName(deployment.model, deployment.version);
    return std::all_of(vms.begin(), vms.end(), [&](const VmId &id) {
        const VmPresence *presence = findPresence(plan.input, id);
        return presence && presence->heldWeights.contains(weights);
    });
}

// Returns the fabric domains with enough free VMs for a group and the given number of spare VMs.
std::vector<FabricCandidate> findFabricCandidates(const Plan &plan, const Deployment &deployment,
                                                  std::uint32_t spareVms)
{
    std::vector<FabricCandidate> fabrics =
            findFreeFabrics(plan.input, deployment, plan.options, plan.now);
    for (FabricCandidate &fabric : fabrics) {
        std::erase_if(fabric.freeVms,
                      [&](const FreeVm &vm) { return plan.usedVms.contains(vm.id); });
    }
    std::erase_if(fabrics, [&](const FabricCandidate &fabric) {
        return fabric.freeVms.size() < deployment.vmsPerGroup + spareVms;
    });
    return fabrics;
}

// Plans a new group. Returns false when no group can be formed now. Without `mayLoad`, only VMs
// that hold the weights can form it.
bool formGroup(Plan &plan, const Deployment &deployment, bool mayLoad)
{
    const PlacementPolicy *policy = PlacementPolicies::find(deployment.placement);
    if (!policy)
        return false;
    std::vector<FabricCandidate> fabrics =
            findFabricCandidates(plan, deployment, policy->spareVmsPerFabric);
    if (fabrics.empty())
        fabrics = findFabricCandidates(plan, deployment, 0);
    if (fabrics.empty())
        return false;
    const PlacementInput input{deployment, fabrics, plan.options.loadTime};
    const std::vector<VmId> vms = policy->choose(input);
    if (vms.size() != deployment.vmsPerGroup)
        return false;
    if (!mayLoad && !holdsWeights(plan, vms, deployment))
        return false;
    const Vm *first = findVm(plan.input.config, vms.front());
    const EntryId dispatcher = chooseDispatcherEntry(plan, first->domain);
    if (dispatcher.empty())
        return false;
    plan.usedVms.insert(vms.begin(), vms.end());
    plan.add(FormGroup{deployment.id, vms, dispatcher},
             "the deployment has fewer groups than desired");
    return true;
}

// Drains a group that serves an old version of the model.
void planRollout(Plan &plan, const Deployment &deployment,
                 const std::vector<const ServingGroup *> &groups)
{
    // Replaces one group at a time, and only while the deployment has all its groups.
    if (groups.size() < deployment.groups)
        return;
    for (const ServingGroup *group : groups) {
        if (group->version == deployment.version)
            continue;
        plan.add(DrainGroup{group->id}, "the deployment has a new version");
        return;
    }
}

bool areAllReady(const Plan &plan, const std::vector<const ServingGroup *> &groups)
{
    return std::all_of(groups.begin(), groups.end(), [&](const ServingGroup *group) {
        return std::all_of(group->vms.begin(), group->vms.end(), [&](const VmId &id) {
            const VmPresence *presence = findPresence(plan.input, id);
            return presence && presence->isPresent && presence->group == group->id
                   && presence->state == EngineState::Ready;
        });
    });
}

// Brings a deployment closer to its desired number and version of groups. `loads` counts the groups
// that load weights and the groups planned in this round.
void planDeployment(Plan &plan, const Deployment &deployment, std::uint32_t &loads)
{
    std::vector<const ServingGroup *> groups = findActiveGroups(plan, deployment.id);
    while (groups.size() > deployment.groups) {
        plan.add(DrainGroup{groups.back()->id}, "the deployment has more groups than desired");
        groups.pop_back();
    }
    if (areAllReady(plan, groups))
        planRollout(plan, deployment, groups);
    for (std::size_t count = groups.size(); count < deployment.groups; ++count) {
        const bool mayLoad = loads < plan.options.concurrentLoads;
        if (!formGroup(plan, deployment, mayLoad))
            return;
        ++loads;
    }
}

} // namespace

std::string weightsName(const std::string &model, const std::string &version)
{
    return model + "@" + version;
}

std::vector<VmId> preferredVms(const FabricCandidate &fabric, std::size_t count)
{
    std::vector<const FreeVm *> order;
    for (const FreeVm &vm : fabric.freeVms)
        order.push_back(&vm);
    std::stable_sort(order.begin(), order.end(), [](const FreeVm *a, const FreeVm *b) {
        if (a->holdsWeights != b->holdsWeights)
            return a->holdsWeights;
        return a->recentLosses < b->recentLosses;
    });
    std::vector<VmId> chosen;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        chosen.push_back(order[i]->id);
    return chosen;
}

std::vector<FabricCandidate> findFreeFabrics(const PlannerInput &input,
                                             const Deployment &deployment,
                                             const PlannerOptions &options, TimePoint now)
{
    std::set<VmId> assigned;
    std::map<std::string, std::uint32_t> groupsByDomain;
    for (const auto &[id, group] : input.config.groups) {
        assigned.insert(group.vms.begin(), group.vms.end());
        const Vm *first = findVm(input.config, group.vms.front());
        if (first && group.deployment == deployment.id)
            ++groupsByDomain[first->domain];
    }
    const std::string weights = weightsName(deployment.model, deployment.version);
    std::map<std::string, FabricCandidate> fabrics;
    for (const auto &[id, vm] : input.config.vms) {
        const bool usable = vm.role == VmRole::Engine && vm.status == VmStatus::Active;
        if (!usable || assigned.contains(id) || isMissing(input, id))
            continue;
        const VmPresence &presence = input.vms.at(id);
        FabricCandidate &fabric = fabrics[vm.fabric];
        fabric.fabric = vm.fabric;
        fabric.domain = vm.domain;
        fabric.groupsOfDeployment = groupsByDomain[vm.domain];
        const auto losses =
                std::count_if(presence.losses.begin(), presence.losses.end(),
                              [&](TimePoint at) { return now - at <= options.flappingWindow; });
        fabric.freeVms.push_back({id, vm.accelerators, presence.heldWeights.contains(weights),
                                  static_cast<std::uint32_t>(losses)});
    }
    std::vector<FabricCandidate> result;
    for (auto &[name, fabric] : fabrics)
        result.push_back(std::move(fabric));
    return result;
}

std::vector<PlannedCommand> planChanges(const PlannerInput &input, const PlannerOptions &options,
                                        TimePoint now)
{
    Plan plan{input, options, now, {}, {}};
    planLostVms(plan);
    for (const auto &[id, group] : input.config.groups) {
        planBrokenGroup(plan, group);
        planGroupDrain(plan, group);
        if (!isEnding(plan, id))
            planDispatcher(plan, group);
    }
    std::uint32_t loads = countLoadingGroups(plan);
    for (const auto &[id, deployment] : input.config.deployments)
        planDeployment(plan, deployment, loads);
    return std::move(plan.commands);
}

} // namespace Trefoil
