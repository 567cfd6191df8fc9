#include "libfleet/groupevidence.h"

#include <algorithm>
#include <limits>

namespace Trefoil {

namespace {

// Window over which the rate of load starts is limited.
constexpr Duration LoadRateWindow = std::chrono::seconds(5);

// Returns the number of loads from the weight store that run or were ordered.
std::size_t countLoadsInProgress(const PlanningStep &step)
{
    std::size_t count = 0;
    for (const auto &[name, group] : step.planner.groups) {
        if (group.state != GroupState::Forming)
            continue;
        for (const EndpointId &id : group.members) {
            const Endpoint *endpoint = step.findLive(id);
            const bool isLoading = endpoint && isMember(*endpoint, group)
                                   && endpoint->report.membership->phase == MembershipPhase::Joining
                                   && !holdsModel(*endpoint, group.model);
            count += isLoading ? 1 : 0;
        }
    }
    for (const auto &[id, order] : step.planner.pendingOrders)
        count += order.startsLoad && order.kind != OrderKind::Stage ? 1 : 0;
    return count + step.planner.stagingByVm.size();
}

// Returns the number of spare VMs that hold a model or are loading it.
std::size_t countSparesWithModel(const PlanningStep &step, const FreeVms &spares,
                                 const std::string &model)
{
    return static_cast<std::size_t>(
            std::count_if(spares.begin(), spares.end(), [&](const FreeVm &spare) {
                const auto staging = step.planner.stagingByVm.find(spare->report.id);
                const bool isStaging =
                        staging != step.planner.stagingByVm.end() && staging->second.model == model;
                return isStaging || holdsModel(*spare, model);
            }));
}

// Returns true when a group in the fabric serves the model.
bool isServedInFabric(const PlanningStep &step, const std::string &fabric,
                      const ModelProfile &model)
{
    const auto &groups = step.planner.groups;
    return std::any_of(groups.begin(), groups.end(), [&](const auto &item) {
        const FleetGroup &group = item.second;
        return group.fabric == fabric && !group.isWarmUp && group.model == model.name;
    });
}

// Returns the model that a spare VM of a fabric should stage next, or null. The first choice is the
// model of which the spare VMs can form a whole group soonest. The second choice is the model that
// loads fastest among those served in the fabric; standby copies on the VMs of groups provide the
// others. Before the first request loads cost little, so the second choice is then the served model
// of which the spare VMs hold the fewest copies relative to its group size.
const ModelProfile *chooseModelToStage(const PlanningStep &step, const Service &service,
                                       const std::string &fabric, const FreeVms &spares)
{
    const ModelProfile *forWholeGroup = nullptr;
    const ModelProfile *forServedModel = nullptr;
    Duration shortestTime = Duration::max();
    double lowestCost = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const std::size_t holders = countSparesWithModel(step, spares, model.name);
        const bool canCompleteGroup =
                spares.size() >= model.vmsPerGroup && holders < model.vmsPerGroup;
        const Duration remainingLoadTime = model.loadTime
                                           * (static_cast<Duration::rep>(model.vmsPerGroup)
                                              - static_cast<Duration::rep>(holders));
        if (canCompleteGroup && remainingLoadTime < shortestTime) {
            forWholeGroup = &model;
            shortestTime = remainingLoadTime;
        }
        const double cost = step.planner.hasTraffic
                                    ? std::chrono::duration<double>(model.loadTime).count()
                                    : static_cast<double>(holders) / model.vmsPerGroup;
        if (isServedInFabric(step, fabric, model) && cost < lowestCost) {
            lowestCost = cost;
            forServedModel = &model;
        }
    }
    return forWholeGroup ? forWholeGroup : forServedModel;
}

// Orders a VM to stage a model on its host. The staging expires after twice the load time.
void orderStaging(PlanningStep &step, const Endpoint &vm, const ModelProfile &model,
                  std::string reason)
{
    FleetGroup noGroup;
    noGroup.model = model.name;
    if (queueOrder(step, vm, noGroup, OrderKind::Stage, std::move(reason), true))
        step.planner.stagingByVm[vm.report.id] = {model.name, step.now + 2 * model.loadTime};
}

// Returns the first model that a VM does not hold, or null when the VM is loading a model already
// or when staging one would evict a copy that the VM needs.
const ModelProfile *chooseStandbyModel(const PlanningStep &step, const EngineProfile &engine,
                                       const Endpoint &vm)
{
    const auto &staged = vm.report.stagedModels;
    const auto neededCopies = std::count_if(
            staged.begin(), staged.end(), [&vm](const auto &name) { return !hasLoaded(vm, name); });
    const bool isFull = static_cast<std::uint32_t>(neededCopies) >= engine.maxStagedModels;
    if (isFull || step.planner.stagingByVm.contains(vm.report.id))
        return nullptr;
    for (const ModelProfile &model : engine.models) {
        if (!holdsModel(vm, model.name))
            return &model;
    }
    return nullptr;
}

// Returns true while the weight store has capacity beyond the loads that groups wait for.
bool canStageStandby(PlanningStep &step, const EngineProfile &engine)
{
    const GroupPlanner &planner = step.planner;
    const double limit = planner.options.standbyLoadShare * engine.concurrentLoads;
    const bool isBelowLimit = static_cast<double>(countLoadsInProgress(step)) < limit;
    return (!planner.hasTraffic || isBelowLimit) && canStartLoad(step, engine);
}

} // namespace

bool canStartLoad(PlanningStep &step, const EngineProfile &engine)
{
    GroupPlanner &planner = step.planner;
    if (!planner.hasTraffic)
        return true;
    while (!planner.recentLoadStarts.empty()
           && step.now - planner.recentLoadStarts.front() > LoadRateWindow)
        planner.recentLoadStarts.pop_front();
    const double maxLoadsInWindow =
            engine.loadsPerSecond * std::chrono::duration<double>(LoadRateWindow).count();
    return static_cast<double>(planner.recentLoadStarts.size()) + 1 <= maxLoadsInWindow
           && countLoadsInProgress(step) < engine.concurrentLoads;
}

void stageSpareVms(PlanningStep &step, const Service &service, const std::string &fabric,
                   const FreeVms &spares)
{
    for (const FreeVm &spare : spares) {
        const bool isStaging = step.planner.stagingByVm.contains(spare->report.id);
        if (!spare->loadedModel.empty() || !spare->report.stagedModels.empty() || isStaging)
            continue;
        const ModelProfile *model = chooseModelToStage(step, service, fabric, spares);
        if (!model || !canStartLoad(step, *service.engine))
            return;
        orderStaging(step, *spare, *model, "spare VM");
    }
}

void stageStandbyModels(PlanningStep &step, const Service &service, const FreeVms &spares)
{
    if (!step.planner.options.stagesStandbyModels)
        return;
    std::vector<const Endpoint *> vms;
    for (const FreeVm &spare : spares) {
        if (!spare->loadedModel.empty())
            vms.push_back(&*spare);
    }
    for (const auto &[name, group] : step.planner.groups) {
        if (group.service != service.name || group.state != GroupState::Open)
            continue;
        for (const EndpointId &id : group.members) {
            if (const Endpoint *member = step.findUsable(id))
                vms.push_back(member);
        }
    }
    for (const Endpoint *vm : vms) {
        const ModelProfile *model = chooseStandbyModel(step, *service.engine, *vm);
        if (!model)
            continue;
        if (!canStageStandby(step, *service.engine))
            return;
        orderStaging(step, *vm, *model, "standby model");
    }
}

} // namespace Trefoil
