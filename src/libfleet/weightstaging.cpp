#include "libfleet/groupplanning.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace Trefoil {

namespace {

constexpr Duration LoadWindow = std::chrono::seconds(5);

std::size_t loadsInProgress(const Planning &planning)
{
    std::size_t count = 0;
    for (const auto &[name, group] : planning.planner.groups) {
        if (group.stage != GroupStage::Forming)
            continue;
        for (const EndpointId &id : group.members) {
            const Endpoint *endpoint = planning.heard(id);
            const bool loading = endpoint && isMember(*endpoint, group)
                                 && endpoint->report.membership->phase == MembershipPhase::Joining
                                 && !holdsModel(*endpoint, group.model);
            count += loading ? 1 : 0;
        }
    }
    for (const auto &[id, order] : planning.planner.orders)
        count += order.isLoad && order.kind != OrderKind::Stage ? 1 : 0;
    return count + planning.planner.staging.size();
}

// Spares that hold or load a model.
std::size_t stagedSpares(const Planning &planning, const std::vector<const Endpoint *> &spares,
                         const std::string &model)
{
    return static_cast<std::size_t>(
            std::count_if(spares.begin(), spares.end(), [&](const Endpoint *spare) {
                const auto staging = planning.planner.staging.find(spare->report.id);
                const bool isStaging =
                        staging != planning.planner.staging.end() && staging->second.model == model;
                return isStaging || holdsModel(*spare, model);
            }));
}

// Models that groups of a fabric serve.
bool isServed(const Planning &planning, const std::string &fabric, const ModelProfile &model)
{
    const auto &groups = planning.planner.groups;
    return std::any_of(groups.begin(), groups.end(), [&](const auto &item) {
        const FleetGroup &group = item.second;
        return group.fabric == fabric && !group.isWarmUp && group.model == model.name;
    });
}

// The model that spares of a fabric should hold next: the one of which they make a whole group
// soonest, else of the models that serve there the one that loads fastest. Standby copies on the
// VMs of groups provide the others. Before the first request, when loads cost little: the one that
// the fewest spares hold.
const ModelProfile *modelToStage(const Planning &planning, const Service &service,
                                 const std::string &fabric,
                                 const std::vector<const Endpoint *> &spares)
{
    const ModelProfile *whole = nullptr;
    const ModelProfile *chosen = nullptr;
    Duration soonest = Duration::max();
    double lowestRank = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const std::size_t staged = stagedSpares(planning, spares, model.name);
        const bool fits = spares.size() >= model.vmsPerGroup && staged < model.vmsPerGroup;
        const Duration time = model.loadTime
                              * (static_cast<Duration::rep>(model.vmsPerGroup)
                                 - static_cast<Duration::rep>(staged));
        if (fits && time < soonest) {
            whole = &model;
            soonest = time;
        }
        const double rank = planning.planner.hasTraffic
                                    ? std::chrono::duration<double>(model.loadTime).count()
                                    : static_cast<double>(staged) / model.vmsPerGroup;
        if (isServed(planning, fabric, model) && rank < lowestRank) {
            lowestRank = rank;
            chosen = &model;
        }
    }
    return whole ? whole : chosen;
}

void stage(Planning &planning, const Endpoint &vm, const ModelProfile &model, std::string why)
{
    FleetGroup none;
    none.model = model.name;
    if (order(planning, vm, none, OrderKind::Stage, std::move(why), true))
        planning.planner.staging[vm.report.id] = {model.name, planning.now + 2 * model.loadTime};
}

// The first model that a VM neither holds nor loads, when a copy of it costs the VM none that it
// needs.
const ModelProfile *standbyModel(const Planning &planning, const EngineProfile &engine,
                                 const Endpoint &vm)
{
    const auto &staged = vm.report.stagedModels;
    const auto useful = std::count_if(staged.begin(), staged.end(),
                                      [&vm](const auto &name) { return !hasLoaded(vm, name); });
    const bool isFull = static_cast<std::uint32_t>(useful) >= engine.stagedModels;
    if (isFull || planning.planner.staging.contains(vm.report.id))
        return nullptr;
    for (const ModelProfile &model : engine.models) {
        if (!holdsModel(vm, model.name))
            return &model;
    }
    return nullptr;
}

// True while the weight store has capacity to spare beside the loads that groups wait for.
bool mayStageStandby(Planning &planning, const EngineProfile &engine)
{
    const GroupPlanner &planner = planning.planner;
    const double limit = planner.options.standbyLoads * engine.concurrentLoads;
    const bool isIdle = static_cast<double>(loadsInProgress(planning)) < limit;
    return (!planner.hasTraffic || isIdle) && mayStartLoad(planning, engine);
}

} // namespace

bool mayStartLoad(Planning &planning, const EngineProfile &engine)
{
    GroupPlanner &planner = planning.planner;
    if (!planner.hasTraffic)
        return true;
    while (!planner.loadStarts.empty() && planning.now - planner.loadStarts.front() > LoadWindow)
        planner.loadStarts.pop_front();
    const double inWindow =
            engine.loadsPerSecond * std::chrono::duration<double>(LoadWindow).count();
    return static_cast<double>(planner.loadStarts.size()) + 1 <= inWindow
           && loadsInProgress(planning) < engine.concurrentLoads;
}

void stageSpares(Planning &planning, const Service &service, const std::string &fabric,
                 const std::vector<const Endpoint *> &spares)
{
    for (const Endpoint *spare : spares) {
        const bool isStaging = planning.planner.staging.contains(spare->report.id);
        if (!spare->loadedModel.empty() || !spare->report.stagedModels.empty() || isStaging)
            continue;
        const ModelProfile *model = modelToStage(planning, service, fabric, spares);
        if (!model || !mayStartLoad(planning, *service.engine))
            return;
        stage(planning, *spare, *model, "spare VM");
    }
}

void stageStandbyModels(Planning &planning, const Service &service,
                        const std::vector<const Endpoint *> &spares)
{
    if (!planning.planner.options.stagesStandbyModels)
        return;
    std::vector<const Endpoint *> vms;
    std::copy_if(spares.begin(), spares.end(), std::back_inserter(vms),
                 [](const Endpoint *spare) { return !spare->loadedModel.empty(); });
    for (const auto &[name, group] : planning.planner.groups) {
        if (group.service != service.name || group.stage != GroupStage::Open)
            continue;
        for (const EndpointId &id : group.members) {
            if (const Endpoint *member = planning.usable(id))
                vms.push_back(member);
        }
    }
    for (const Endpoint *vm : vms) {
        const ModelProfile *model = standbyModel(planning, *service.engine, *vm);
        if (!model)
            continue;
        if (!mayStageStandby(planning, *service.engine))
            return;
        stage(planning, *vm, *model, "standby model");
    }
}

} // namespace Trefoil
