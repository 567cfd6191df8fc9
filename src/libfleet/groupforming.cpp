#include "libfleet/groupplanning.h"

#include <algorithm>
#include <limits>
#include <map>
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

// VMs of groups that serve a model or soon will.
double servingVms(const Planning &planning, const std::string &service, const ModelProfile &model)
{
    double vms = 0;
    for (const auto &[name, group] : planning.planner.groups) {
        const bool mayReturn =
                planning.now - group.stageSince < planning.planner.options.repairTime;
        if (group.service == service && group.model == model.name && !group.isWarmUp
            && (group.stage != GroupStage::Closing || mayReturn))
            vms += model.vmsPerGroup;
    }
    return vms;
}

double demandOf(const Planning &planning, const ModelProfile &model)
{
    const auto demand = planning.planner.demand.find(model.name);
    return demand == planning.planner.demand.end() ? 0 : demand->second;
}

// Slots of a model's groups for each request that wants one, with `change` groups more. Before
// there are requests: its VMs for each unit of its share of the work. The model with the least is
// the neediest.
double coverage(const Planning &planning, const Service &service, const ModelProfile &model,
                double change = 0)
{
    const double groups = servingVms(planning, service.name, model) / model.vmsPerGroup + change;
    double demand = 0;
    for (const ModelProfile &other : service.engine->models)
        demand += demandOf(planning, other);
    if (!planning.planner.options.coversDemand || demand < service.engine->slots)
        return groups * model.vmsPerGroup / std::max(model.share, 1e-3);
    return groups * service.engine->slots / std::max(demandOf(planning, model), 1.0);
}

// Requests for each slot of a model's groups, 1 when it has none.
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
    return demandOf(planning, model) / slots;
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

// Adds a forming group of these members to the plan; the first one is its head.
FleetGroup &addGroup(Planning &planning, const Service &service, const std::string &model,
                     const std::string &fabric, std::vector<EndpointId> members)
{
    FleetGroup group;
    group.epoch = planning.planner.nextEpoch++;
    group.name = groupName(model, group.epoch, members.front());
    group.service = service.name;
    group.model = model;
    group.fabric = fabric;
    group.members = std::move(members);
    setStage(group, GroupStage::Forming, planning.now);
    return planning.planner.groups[group.name] = group;
}

void formGroup(Planning &planning, const Service &service, const ModelProfile &model,
               const std::string &fabric, std::vector<const Endpoint *> &free)
{
    sortForModel(free, model.name);
    std::vector<EndpointId> members;
    for (std::uint32_t i = 0; i < model.vmsPerGroup; ++i)
        members.push_back(free[i]->report.id);
    free.erase(free.begin(), free.begin() + model.vmsPerGroup);
    FleetGroup &group = addGroup(planning, service, model.name, fabric, std::move(members));
    joinMembers(planning, group, *service.engine);
}

// Joins spare VMs to groups of their own, so that they hold the model that they have staged. They
// join another group of the model at once then, and their hosts have room for a standby model.
void warmSpares(Planning &planning, const Service &service,
                const std::vector<const Endpoint *> &spares)
{
    if (!planning.planner.options.warmsSpares)
        return;
    for (const Endpoint *spare : spares) {
        const auto &staged = spare->report.stagedModels;
        const bool isWarm = !spare->loadedModel.empty() || staged.empty();
        if (isWarm || !findModel(*service.engine, staged.front()))
            continue;
        FleetGroup &group = addGroup(planning, service, staged.front(), spare->report.fabric,
                                     {spare->report.id});
        group.isWarmUp = true;
        joinMembers(planning, group, *service.engine);
    }
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
             const std::vector<const Endpoint *> &vms, double lowestCoverage)
{
    const GroupPlannerOptions &options = planning.planner.options;
    if (model.vmsPerGroup > vms.size())
        return false;
    const std::size_t loads = neededLoads(vms, model);
    const double covered = coverage(planning, service, model);
    const bool isBalanced = covered <= lowestCoverage * options.balanceTolerance;
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
        lowest = std::min(lowest, coverage(planning, service, model));
    const ModelProfile *chosen = nullptr;
    double chosenCoverage = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const double covered = coverage(planning, service, model);
        if (covered >= chosenCoverage || !mayForm(planning, service, model, vms, lowest))
            continue;
        chosen = &model;
        chosenCoverage = covered;
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

// Open groups of one fabric whose model has more groups than it needs.
struct SpareGroups
{
    std::vector<FleetGroup *> groups; // that free enough VMs together
    std::size_t leftover = 0;         // VMs that the new group does not need
};

// The groups of one fabric that have to close so that a group of `needy` can form at once.
std::optional<SpareGroups> spareGroups(const Planning &planning, const Service &service,
                                       const ModelProfile &needy, const ModelProfile &donor,
                                       const FreeVms &freeByFabric)
{
    std::map<std::string, SpareGroups> byFabric;
    std::map<std::string, std::size_t> vms;
    for (const auto &[fabric, free] : freeByFabric)
        vms[fabric] = needy.vmsPerGroup - neededLoads(free, needy);
    for (auto &[name, group] : planning.planner.groups) {
        const bool isDonor = group.service == service.name && group.model == donor.name
                             && group.stage == GroupStage::Open;
        if (!isDonor || vms[group.fabric] >= needy.vmsPerGroup)
            continue;
        const auto holders = static_cast<std::size_t>(std::count_if(
                group.members.begin(), group.members.end(), [&](const EndpointId &id) {
                    const Endpoint *member = planning.usable(id);
                    return member && holdsModel(*member, needy.name);
                }));
        if (holders < group.members.size())
            continue;
        vms[group.fabric] += holders;
        byFabric[group.fabric].groups.push_back(&group);
    }
    std::optional<SpareGroups> best;
    for (auto &[fabric, spare] : byFabric) {
        if (vms[fabric] < needy.vmsPerGroup)
            continue;
        spare.leftover = vms[fabric] - needy.vmsPerGroup;
        const auto rank = [](const SpareGroups &places) {
            return std::pair(places.groups.size(), places.leftover);
        };
        if (!best || rank(spare) < rank(*best))
            best = spare;
    }
    return best;
}

// Closes groups of a model that has more than it needs, so that a group of the neediest one can
// form of their VMs, when both are better covered afterwards than the neediest one is now.
//
// Load: losses leave over what fits the small model, so its groups multiply while the large model
// refuses requests.
void reassignGroups(Planning &planning, const Service &service, const FreeVms &freeByFabric)
{
    GroupPlanner &planner = planning.planner;
    const GroupPlannerOptions &options = planner.options;
    const bool isPaused = planning.now - planner.lastReassignment < options.reassignPause;
    if (!options.reassignsGroups || !planner.hasTraffic || isPaused
        || planning.now < planner.gatherUntil)
        return;
    for (const ModelProfile &needy : service.engine->models) {
        for (const ModelProfile &donor : service.engine->models) {
            if (demandOf(planning, needy) < 1 || &needy == &donor
                || coverage(planning, service, needy) > options.reassignBelow)
                continue;
            const auto spare = spareGroups(planning, service, needy, donor, freeByFabric);
            if (!spare)
                continue;
            const double loss = static_cast<double>(spare->groups.size());
            const double after = coverage(planning, service, needy, 1);
            if (coverage(planning, service, donor, -loss) < after * options.reassignMargin)
                continue;
            for (FleetGroup *group : spare->groups)
                closeGroup(*group, "its VMs serve " + needy.name, CloseMode::FinishRequests,
                           planning.now);
            planner.lastReassignment = planning.now;
            return;
        }
    }
}

} // namespace

bool joinMembers(Planning &planning, FleetGroup &group, const EngineProfile &engine)
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
    return allReady;
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
    reassignGroups(planning, service, freeByFabric);
    std::vector<const Endpoint *> spares;
    for (const auto &[fabric, free] : freeByFabric)
        spares.insert(spares.end(), free.begin(), free.end());
    warmSpares(planning, service, spares);
    for (const auto &[fabric, free] : freeByFabric)
        stageSpares(planning, service, fabric, free);
    stageStandbyModels(planning, service, spares);
}

} // namespace Trefoil
