#include "libfleet/groupplanning.h"

#include <algorithm>

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
                                 && !hasStaged(*endpoint, group.model);
            count += loading ? 1 : 0;
        }
    }
    for (const auto &[id, order] : planning.planner.orders)
        count += order.isLoad ? 1 : 0;
    return count;
}

// Spares that hold or load a model.
double stagedSpares(const Planning &planning, const std::vector<const Endpoint *> &spares,
                    const std::string &model)
{
    return static_cast<double>(
            std::count_if(spares.begin(), spares.end(), [&](const Endpoint *spare) {
                const auto staging = planning.planner.staging.find(spare->report.id);
                const bool isStaging =
                        staging != planning.planner.staging.end() && staging->second.model == model;
                return isStaging || hasStaged(*spare, model);
            }));
}

// The model that spares of a fabric should hold next: the largest of which they can make a whole
// group, else of the models that serve there the one with the fewest spares.
const ModelProfile *modelToStage(const Planning &planning, const Service &service,
                                 const std::string &fabric,
                                 const std::vector<const Endpoint *> &spares)
{
    const ModelProfile *whole = nullptr;
    const ModelProfile *chosen = nullptr;
    double fewest = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const double staged = stagedSpares(planning, spares, model.name);
        const bool fits = spares.size() >= model.vmsPerGroup && staged < model.vmsPerGroup;
        if (fits && (!whole || whole->vmsPerGroup < model.vmsPerGroup))
            whole = &model;
        const bool serves = std::any_of(planning.planner.groups.begin(),
                                        planning.planner.groups.end(), [&](const auto &item) {
                                            return item.second.fabric == fabric
                                                   && item.second.model == model.name;
                                        });
        const double relative = staged / model.vmsPerGroup;
        if (serves && relative < fewest) {
            fewest = relative;
            chosen = &model;
        }
    }
    return whole && whole->vmsPerGroup > 1 ? whole : chosen;
}

} // namespace

// True when the weight store may start one more load.
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

// Loads models onto spare VMs that hold none, so that a later repair is fast.
void stageSpares(Planning &planning, const Service &service, const std::string &fabric,
                 const std::vector<const Endpoint *> &spares)
{
    for (const Endpoint *spare : spares) {
        const bool isStaging = planning.planner.staging.contains(spare->report.id);
        if (!spare->report.stagedModels.empty() || isStaging)
            continue;
        const ModelProfile *model = modelToStage(planning, service, fabric, spares);
        if (!model || !mayStartLoad(planning, *service.engine))
            return;
        FleetGroup none;
        none.model = model->name;
        if (order(planning, *spare, none, OrderKind::Stage, "spare VM", true))
            planning.planner.staging[spare->report.id] = {model->name,
                                                          planning.now + model->loadTime};
    }
}

} // namespace Trefoil
