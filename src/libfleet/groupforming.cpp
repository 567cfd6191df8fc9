#include "libfleet/groupevidence.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <tuple>

namespace Trefoil {

namespace {

// Returns the number of VMs in groups that serve a model or soon will. A group that has just closed
// still counts, since its VMs are expected to form another one.
double countServingVms(const PlanningStep &step, const std::string &service,
                       const ModelProfile &model)
{
    double vms = 0;
    for (const auto &[name, group] : step.planner.groups) {
        const bool isUnderRepair =
                step.now - group.stateSince < step.planner.options.expectedRepairTime;
        if (group.service == service && group.model == model.name && !group.isWarmUp
            && (group.state != GroupState::Closing || isUnderRepair) && !isUnheard(step, group))
            vms += model.vmsPerGroup;
    }
    return vms;
}

// Returns the slots of the model's open groups that stay empty because of the limits of their
// heads.
double countUnusableSlots(const PlanningStep &step, const Service &service,
                          const ModelProfile &model)
{
    double slots = 0;
    for (const auto &[name, group] : step.planner.groups) {
        if (group.service != service.name || group.model != model.name
            || group.state != GroupState::Open)
            continue;
        const auto limited = step.planner.limitedSlotsByHead.find(group.members.front());
        if (limited != step.planner.limitedSlotsByHead.end())
            slots += std::max(0.0, service.engine->slots - limited->second);
    }
    return slots;
}

// Returns the estimated number of a model's requests that would be in progress if none were
// refused.
double findDemand(const PlanningStep &step, const ModelProfile &model)
{
    const auto demand = step.planner.demandByModel.find(model.name);
    return demand == step.planner.demandByModel.end() ? 0 : demand->second;
}

// Returns the coverage of a model after adding `change` groups: the number of slots in its groups
// for each of its requests. When the requests of all models together would fill less than one
// group, or without balancesByDemand, it is the number of the model's VMs for each unit of its
// configured share instead. The model with the lowest coverage is the neediest.
double computeCoverage(const PlanningStep &step, const Service &service, const ModelProfile &model,
                       double change = 0)
{
    const double groups = countServingVms(step, service.name, model) / model.vmsPerGroup + change;
    double totalDemand = 0;
    for (const ModelProfile &other : service.engine->models)
        totalDemand += findDemand(step, other);
    if (!step.planner.options.balancesByDemand || totalDemand < service.engine->slots)
        return groups * model.vmsPerGroup / std::max(model.workShare, 1e-3);
    const double slots = groups * service.engine->slots - countUnusableSlots(step, service, model);
    return std::max(slots, 0.0) / std::max(findDemand(step, model), 1.0);
}

// Returns the number of a model's requests for each slot of its open groups, or 1 when it has no
// open group.
double computeUtilization(const PlanningStep &step, const Service &service,
                          const ModelProfile &model)
{
    double slots = 0;
    for (const auto &[name, group] : step.planner.groups) {
        if (group.service == service.name && group.model == model.name
            && group.state == GroupState::Open)
            slots += service.engine->slots;
    }
    if (slots == 0)
        return 1;
    return findDemand(step, model) / slots;
}

// Returns the number of loads that a group of the model needs when the VMs that already hold the
// model join first.
std::size_t countNeededLoads(const FreeVms &vms, const ModelProfile &model)
{
    const auto holders = static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(),
                          [&model](const FreeVm &vm) { return holdsModel(*vm, model.name); }));
    return model.vmsPerGroup - std::min<std::size_t>(model.vmsPerGroup, holders);
}

// Sorts VMs by how fast they join a group of the model. VMs that are equally fast are sorted by the
// number of other models staged on them, then by failure domain.
void sortForModel(FreeVms &vms, const std::string &model)
{
    const auto rank = [&model](const FreeVm &vm) {
        const bool isLoaded = hasLoaded(*vm, model);
        const auto &staged = vm->report.stagedModels;
        const auto otherModels =
                std::count_if(staged.begin(), staged.end(),
                              [&](const std::string &name) { return name != model; });
        const bool isStaged = hasStaged(*vm, model);
        return std::tuple(isLoaded   ? 0
                          : isStaged ? 1
                                     : 2,
                          otherModels, vm->report.domain, vm->report.id);
    };
    std::sort(vms.begin(), vms.end(),
              [&rank](const FreeVm &a, const FreeVm &b) { return rank(a) < rank(b); });
}

// Adds a forming group of these members to the planner. The first member is its head.
FleetGroup &addGroup(PlanningStep &step, const Service &service, const std::string &model,
                     const std::string &fabric, std::span<const FreeVm> members)
{
    FleetGroup group;
    group.epoch = step.planner.nextEpoch++;
    group.name = groupName(model, group.epoch, members.front()->report.id);
    group.service = service.name;
    group.model = model;
    group.fabric = fabric;
    for (const FreeVm &vm : members) {
        group.members.push_back(vm->report.id);
        group.startedAtMs[vm->report.id] = vm->report.startedAtMs;
    }
    setState(group, GroupState::Forming, step.now);
    return step.planner.groups[group.name] = group;
}

// Forms a group of the model from the VMs in `free` that join fastest, and removes these VMs from
// `free`.
void formGroup(PlanningStep &step, const Service &service, const ModelProfile &model,
               const std::string &fabric, FreeVms &free)
{
    sortForModel(free, model.name);
    const auto members = std::span(free).first(model.vmsPerGroup);
    recordGroup(step.planner, addGroup(step, service, model.name, fabric, members));
    free.erase(free.begin(), free.begin() + model.vmsPerGroup);
}

// Forms a group of one VM for each spare VM without a loaded model, so that the VM loads the model
// that is staged on its host. Afterwards the VM can join another group of the model at once, and
// its host has room for a standby model.
void warmUpSpares(PlanningStep &step, const Service &service, const FreeVms &spares)
{
    if (!step.planner.options.warmsUpSpares)
        return;
    for (const FreeVm &spare : spares) {
        const auto &staged = spare->report.stagedModels;
        const bool isWarmOrEmpty = !spare->loadedModel.empty() || staged.empty();
        if (isWarmOrEmpty || !findModel(*service.engine, staged.front()))
            continue;
        FleetGroup &group =
                addGroup(step, service, staged.front(), spare->report.fabric, std::span(&spare, 1));
        group.isWarmUp = true;
        recordGroup(step.planner, group);
    }
}

// Model and fabric of the next group.
struct GroupPlacement
{
    const ModelProfile *model = nullptr;
    std::string fabric;
};

// Returns how many fewer groups of the largest model fit into the free VMs of a fabric after a
// group of `groupSize` VMs has formed there.
std::size_t countDisplacedLargeGroups(const Service &service, std::size_t freeVms,
                                      std::size_t groupSize)
{
    std::size_t largest = 1;
    for (const ModelProfile &model : service.engine->models)
        largest = std::max<std::size_t>(largest, model.vmsPerGroup);
    return freeVms / largest - (freeVms - groupSize) / largest;
}

// Returns true when the VMs may form a group of the model now.
bool canForm(const PlanningStep &step, const Service &service, const ModelProfile &model,
             const FreeVms &vms, double lowestCoverage)
{
    const GroupPlannerOptions &options = step.planner.options;
    if (model.vmsPerGroup > vms.size())
        return false;
    const std::size_t neededLoads = countNeededLoads(vms, model);
    const double modelCoverage = computeCoverage(step, service, model);
    const bool isBalanced = modelCoverage <= lowestCoverage * options.balanceTolerance;
    if (!step.planner.hasTraffic)
        return isBalanced;
    const bool isInUse = computeUtilization(step, service, model) > options.minUtilizationForLoads;
    if (neededLoads == 0)
        return isBalanced || (options.allowsUnbalancedGroups && isInUse);
    // When only some VMs of a group need a load, the others are idle until these loads end.
    return isBalanced && isInUse && neededLoads == model.vmsPerGroup;
}

// Returns the model with the lowest coverage among those of which the VMs may form a group, or
// null.
//
// When VMs are lost faster than they are replaced, the VMs that remain in a fabric often fit only a
// model that already has its share. They serve more requests in a group of that model than while
// they wait for other VMs.
const ModelProfile *chooseModel(const PlanningStep &step, const Service &service,
                                const FreeVms &vms)
{
    double lowestCoverage = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models)
        lowestCoverage = std::min(lowestCoverage, computeCoverage(step, service, model));
    const ModelProfile *chosen = nullptr;
    double chosenCoverage = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const double modelCoverage = computeCoverage(step, service, model);
        if (modelCoverage >= chosenCoverage || !canForm(step, service, model, vms, lowestCoverage))
            continue;
        chosen = &model;
        chosenCoverage = modelCoverage;
    }
    return chosen;
}

// Chooses the model and the fabric of the next group: first by the fewest loads, then by the fewest
// displaced large groups, then by the fewest free VMs in the fabric. This order packs small groups
// into the same fabrics and keeps whole fabrics free for large groups.
std::optional<GroupPlacement> chooseGroupPlacement(const PlanningStep &step, const Service &service,
                                                   const FreeVmsByFabric &freeByFabric)
{
    std::optional<GroupPlacement> best;
    std::tuple<std::size_t, std::size_t, std::size_t> bestRank;
    for (const auto &[fabric, free] : freeByFabric) {
        const ModelProfile *model = chooseModel(step, service, free);
        if (!model)
            continue;
        const std::tuple rank(countNeededLoads(free, *model),
                              countDisplacedLargeGroups(service, free.size(), model->vmsPerGroup),
                              free.size());
        if (best && rank >= bestRank)
            continue;
        best = GroupPlacement{model, fabric};
        bestRank = rank;
    }
    return best;
}

// Returns true while VMs may still be arriving before the first request. Groups that form only
// after all VMs have arrived are spread better over the fabrics.
bool isWaitingForVms(const PlanningStep &step)
{
    const GroupPlanner &planner = step.planner;
    if (planner.hasTraffic || step.now >= planner.vmArrivalDeadline)
        return false;
    return step.now < planner.gatherReportsUntil
           || step.now < planner.lastVmArrivalAt + planner.options.vmArrivalQuietTime;
}

// Open groups of one fabric that together free enough VMs for a group of another model.
struct DonorGroups
{
    std::vector<FleetGroup *> groups;
    std::size_t surplusVms = 0; // freed VMs that the new group does not need
};

// Finds the groups of `donor` in one fabric that have to close so that a group of `needy` can form
// there without a load from the weight store.
std::optional<DonorGroups> findDonorGroups(const PlanningStep &step, const Service &service,
                                           const ModelProfile &needy, const ModelProfile &donor,
                                           const FreeVmsByFabric &freeByFabric)
{
    std::map<std::string, DonorGroups> donorsByFabric;
    std::map<std::string, std::size_t> holdersByFabric;
    for (const auto &[fabric, free] : freeByFabric)
        holdersByFabric[fabric] = needy.vmsPerGroup - countNeededLoads(free, needy);
    for (auto &[name, group] : step.planner.groups) {
        const bool isDonor = group.service == service.name && group.model == donor.name
                             && group.state == GroupState::Open;
        if (!isDonor || holdersByFabric[group.fabric] >= needy.vmsPerGroup)
            continue;
        const auto holders = static_cast<std::size_t>(std::count_if(
                group.members.begin(), group.members.end(), [&](const EndpointId &id) {
                    const Endpoint *member = step.findUsable(id);
                    return member && holdsModel(*member, needy.name);
                }));
        if (holders < group.members.size())
            continue;
        holdersByFabric[group.fabric] += holders;
        donorsByFabric[group.fabric].groups.push_back(&group);
    }
    std::optional<DonorGroups> best;
    for (auto &[fabric, donors] : donorsByFabric) {
        if (holdersByFabric[fabric] < needy.vmsPerGroup)
            continue;
        donors.surplusVms = holdersByFabric[fabric] - needy.vmsPerGroup;
        const auto rank = [](const DonorGroups &candidate) {
            return std::pair(candidate.groups.size(), candidate.surplusVms);
        };
        if (!best || rank(donors) < rank(*best))
            best = donors;
    }
    return best;
}

// Closes groups of a donor model, so that a group of a needy model can form from their VMs. After
// the change, the donor must have a higher coverage than the needy model. Then both have a higher
// coverage than the needy model has now.
//
// After losses the remaining VMs often fit only the small model. Without reassignment its groups
// multiply while the large model refuses requests.
void reassignGroups(PlanningStep &step, const Service &service, const FreeVmsByFabric &freeByFabric)
{
    GroupPlanner &planner = step.planner;
    const GroupPlannerOptions &options = planner.options;
    const bool isTooEarly = step.now - planner.lastReassignmentAt < options.minReassignmentInterval;
    if (!options.reassignsGroups || !planner.hasTraffic || isTooEarly
        || step.now < planner.gatherReportsUntil)
        return;
    for (const ModelProfile &needy : service.engine->models) {
        for (const ModelProfile &donor : service.engine->models) {
            if (findDemand(step, needy) < 1 || &needy == &donor
                || computeCoverage(step, service, needy) > options.reassignmentCoverageLimit)
                continue;
            const auto donors = findDonorGroups(step, service, needy, donor, freeByFabric);
            if (!donors)
                continue;
            const double closedGroups = static_cast<double>(donors->groups.size());
            const double needyCoverage = computeCoverage(step, service, needy, 1);
            if (computeCoverage(step, service, donor, -closedGroups)
                < needyCoverage * options.reassignmentMargin)
                continue;
            for (FleetGroup *group : donors->groups)
                closeGroup(*group, "its VMs serve " + needy.name, CloseMode::FinishRequests,
                           step.now);
            planner.lastReassignmentAt = step.now;
            return;
        }
    }
}

} // namespace

bool joinMembers(PlanningStep &step, FleetGroup &group, const EngineProfile &engine)
{
    bool allReady = true;
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = step.findUsable(id);
        if (!endpoint) {
            allReady = false;
            continue;
        }
        if (isMember(*endpoint, group)) {
            allReady = allReady && endpoint->report.membership->phase == MembershipPhase::Ready;
            continue;
        }
        allReady = false;
        const bool startsLoad = !holdsModel(*endpoint, group.model);
        if (startsLoad && !canStartLoad(step, engine))
            continue;
        queueOrder(step, *endpoint, group, OrderKind::Join, "the group forms", startsLoad);
    }
    return allReady;
}

void formGroups(PlanningStep &step, const Service &service)
{
    if (isWaitingForVms(step))
        return;
    FreeVmsByFabric freeByFabric;
    for (const auto &[id, endpoint] : step.table.endpoints) {
        if (endpoint.report.service != service.name)
            continue;
        if (const auto vm = proveFree(step, endpoint))
            freeByFabric[endpoint.report.fabric].push_back(*vm);
    }
    while (const auto placement = chooseGroupPlacement(step, service, freeByFabric))
        formGroup(step, service, *placement->model, placement->fabric,
                  freeByFabric[placement->fabric]);
    reassignGroups(step, service, freeByFabric);
    FreeVms spares;
    for (const auto &[fabric, free] : freeByFabric)
        spares.insert(spares.end(), free.begin(), free.end());
    warmUpSpares(step, service, spares);
    for (const auto &[fabric, free] : freeByFabric)
        stageSpareVms(step, service, fabric, free);
    stageStandbyModels(step, service, spares);
}

} // namespace Trefoil
