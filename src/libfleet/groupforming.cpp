#include "libfleet/groupplanning.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

namespace Trefoil {

namespace {

bool isFree(const Planning &planning, const Endpoint &endpoint)
{
    const GroupPlanner &planner = planning.planner;
    const auto &membership = endpoint.report.membership;
    if (membership && planning.now < planner.gatherUntil)
        return false;
    if (planner.suspects.contains(endpoint.report.id))
        return false;
    const bool inPlan =
            std::any_of(planner.groups.begin(), planner.groups.end(), [&](const auto &item) {
                const auto &members = item.second.members;
                return std::find(members.begin(), members.end(), endpoint.report.id)
                       != members.end();
            });
    if (inPlan || planner.orders.contains(endpoint.report.id))
        return false;
    const bool serves = membership && membership->rank == 0
                        && (membership->phase == MembershipPhase::Open
                            || membership->phase == MembershipPhase::Closing);
    return !serves;
}

// VMs that serve a model for each unit of its share of the work.
double servedShare(const Planning &planning, const std::string &service, const ModelProfile &model)
{
    double vms = 0;
    for (const auto &[name, group] : planning.planner.groups) {
        const bool mayReturn =
                planning.now - group.stageSince < planning.planner.options.repairTime;
        if (group.service == service && group.model == model.name
            && (group.stage != GroupStage::Closing || mayReturn))
            vms += model.vmsPerGroup;
    }
    return vms / std::max(model.share, 1e-3);
}

// Part of the slots of a model's groups that is in use, 1 when it has none.
double utilization(const Planning &planning, const Service &service, const ModelProfile &model)
{
    double slots = 0;
    for (const auto &[name, group] : planning.planner.groups) {
        if (group.service == service.name && group.model == model.name
            && group.stage == GroupStage::Open)
            slots += service.engine->slots;
    }
    if (slots == 0)
        return 1;
    const auto sequences = planning.planner.sequences.find(model.name);
    if (sequences == planning.planner.sequences.end())
        return 0;
    return sequences->second / slots;
}

// Loads that the fastest group of a model among these VMs needs.
std::size_t neededLoads(const std::vector<const Endpoint *> &vms, const ModelProfile &model)
{
    const auto holders = static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(),
                          [&model](const Endpoint *vm) { return holdsModel(*vm, model.name); }));
    return model.vmsPerGroup - std::min<std::size_t>(model.vmsPerGroup, holders);
}

// VMs that join fastest first; among these the ones that fit fewest other models, then by failure
// domain.
void sortForModel(std::vector<const Endpoint *> &vms, const std::string &model)
{
    const auto rank = [&model](const Endpoint *vm) {
        const bool isLoaded = hasLoaded(*vm, model);
        const auto &staged = vm->report.stagedModels;
        const auto others = std::count_if(staged.begin(), staged.end(),
                                          [&](const std::string &name) { return name != model; });
        const bool isStaged = hasStaged(*vm, model);
        return std::tuple(isLoaded   ? 0
                          : isStaged ? 1
                                     : 2,
                          others, vm->report.domain, vm->report.id);
    };
    std::sort(vms.begin(), vms.end(),
              [&rank](const Endpoint *a, const Endpoint *b) { return rank(a) < rank(b); });
}

void formGroup(Planning &planning, const Service &service, const ModelProfile &model,
               const std::string &fabric, std::vector<const Endpoint *> &free)
{
    sortForModel(free, model.name);
    FleetGroup group;
    group.epoch = planning.planner.nextEpoch++;
    group.name = groupName(model.name, group.epoch, free.front()->report.id);
    group.service = service.name;
    group.model = model.name;
    group.fabric = fabric;
    setStage(group, GroupStage::Forming, planning.now);
    for (std::uint32_t i = 0; i < model.vmsPerGroup; ++i)
        group.members.push_back(free[i]->report.id);
    free.erase(free.begin(), free.begin() + model.vmsPerGroup);
    FleetGroup &added = planning.planner.groups[group.name] = group;
    joinMembers(planning, added, *service.engine);
}

struct GroupPlace
{
    const ModelProfile *model = nullptr;
    std::string fabric;
};

using FreeVms = std::map<std::string, std::vector<const Endpoint *>>;

// Groups of the largest model that no longer fit among the free VMs of a fabric once a group of
// this size forms there.
std::size_t lostLargeGroups(const Service &service, std::size_t freeVms, std::size_t groupSize)
{
    std::size_t largest = 1;
    for (const ModelProfile &model : service.engine->models)
        largest = std::max<std::size_t>(largest, model.vmsPerGroup);
    return freeVms / largest - (freeVms - groupSize) / largest;
}

// True when the VMs may form a group of the model now.
bool mayForm(const Planning &planning, const Service &service, const ModelProfile &model,
             const std::vector<const Endpoint *> &vms, double lowestShare)
{
    const GroupPlannerOptions &options = planning.planner.options;
    if (model.vmsPerGroup > vms.size())
        return false;
    const std::size_t loads = neededLoads(vms, model);
    const double share = servedShare(planning, service.name, model);
    const bool isBalanced = share <= lowestShare * options.balanceTolerance;
    if (!planning.planner.hasTraffic)
        return isBalanced;
    const bool isUsed = utilization(planning, service, model) > options.loadAt;
    if (loads == 0)
        return isBalanced || (options.formsAnyGroup && isUsed);
    // A group that waits for some of its loads would hold back the VMs that need none.
    return isBalanced && isUsed && loads == model.vmsPerGroup;
}

// The neediest model of which the VMs may form a group, or null.
//
// Load: VMs are lost faster than they are replaced. What is left in a fabric often fits only a
// model that has its share, and a group of it serves more than VMs that wait for others.
const ModelProfile *chooseModel(const Planning &planning, const Service &service,
                                const std::vector<const Endpoint *> &vms)
{
    double lowest = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models)
        lowest = std::min(lowest, servedShare(planning, service.name, model));
    const ModelProfile *chosen = nullptr;
    double chosenShare = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const double share = servedShare(planning, service.name, model);
        if (share >= chosenShare || !mayForm(planning, service, model, vms, lowest))
            continue;
        chosen = &model;
        chosenShare = share;
    }
    return chosen;
}

// Where the next group forms: the place that needs the fewest loads, then the one that costs the
// fewest large groups, then the fullest one. So small groups share fabrics, and whole fabrics stay
// for large groups.
std::optional<GroupPlace> bestPlace(const Planning &planning, const Service &service,
                                    const FreeVms &freeByFabric)
{
    std::optional<GroupPlace> best;
    std::tuple<std::size_t, std::size_t, std::size_t> bestRank;
    for (const auto &[fabric, free] : freeByFabric) {
        const ModelProfile *model = chooseModel(planning, service, free);
        if (!model)
            continue;
        const std::tuple rank(neededLoads(free, *model),
                              lostLargeGroups(service, free.size(), model->vmsPerGroup),
                              free.size());
        if (best && rank >= bestRank)
            continue;
        best = GroupPlace{model, fabric};
        bestRank = rank;
    }
    return best;
}

// Before the first request all VMs are gathered first, so that the groups are spread well.
bool isGathering(const Planning &planning)
{
    const GroupPlanner &planner = planning.planner;
    if (planner.hasTraffic || planning.now >= planner.settleUntil)
        return false;
    return planning.now < planner.gatherUntil
           || planning.now < planner.lastArrival + planner.options.settleTime;
}

} // namespace

void joinMembers(Planning &planning, FleetGroup &group, const EngineProfile &engine)
{
    bool allReady = true;
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = planning.usable(id);
        if (isMember(*endpoint, group)) {
            allReady = allReady && endpoint->report.membership->phase == MembershipPhase::Ready;
            continue;
        }
        allReady = false;
        const bool isLoad = !holdsModel(*endpoint, group.model);
        if (isLoad && !mayStartLoad(planning, engine))
            continue;
        order(planning, *endpoint, group, OrderKind::Join, "the group forms", isLoad);
    }
    if (allReady)
        setStage(group, GroupStage::Opening, planning.now);
}

void formGroups(Planning &planning, const Service &service)
{
    if (isGathering(planning))
        return;
    FreeVms freeByFabric;
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        const bool candidate = endpoint.report.service == service.name && planning.usable(id)
                               && isFree(planning, endpoint);
        if (candidate)
            freeByFabric[endpoint.report.fabric].push_back(&endpoint);
    }
    while (const auto place = bestPlace(planning, service, freeByFabric))
        formGroup(planning, service, *place->model, place->fabric, freeByFabric[place->fabric]);
    for (const auto &[fabric, free] : freeByFabric)
        stageSpares(planning, service, fabric, free);
    for (const auto &[fabric, free] : freeByFabric)
        stageStandbyModels(planning, service, free);
}

} // namespace Trefoil
