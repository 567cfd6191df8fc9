#include "libfleet/groupplanning.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *OrderNames[] = {"join", "open", "close", "leave", "stage"};

// Epochs of one term; a later term's epochs are always higher.
constexpr std::uint64_t EpochsPerTerm = 1'000'000;

void advanceGroup(Planning &planning, FleetGroup &group, const EngineProfile &engine, bool &isOver)
{
    const std::optional<MissingMember> missing = missingMember(planning, group);
    switch (group.stage) {
    case GroupStage::Forming:
        if (missing && group.unansweredOpens > 0) {
            startClosing(planning, group, *missing);
            return;
        }
        if (missing)
            suspect(planning.planner, missing->id, planning.now);
        isOver = missing.has_value()
                 || planning.now - group.stageSince > planning.planner.options.formingTimeout;
        if (isOver || !joinMembers(planning, group, engine))
            return;
        if (group.isWarmUp)
            isOver = true;
        else
            setStage(group, GroupStage::Opening, planning.now);
        return;
    case GroupStage::Opening:
    case GroupStage::Open:
        if (missing) {
            startClosing(planning, group, *missing);
            return;
        }
        break;
    case GroupStage::Closing:
        isOver = finishClosing(planning, group);
        return;
    }
    const Endpoint &head = *planning.usable(group.members.front());
    const MembershipPhase phase = head.report.membership->phase;
    if (phase == MembershipPhase::Open) {
        group.isOpening = false;
        if (group.stage == GroupStage::Opening)
            setStage(group, GroupStage::Open, planning.now);
    } else if (phase == MembershipPhase::Ready) {
        if (!group.isAdopted || fenceMembers(planning, group))
            orderHead(planning, group, head, OrderKind::Open, "all members are ready");
    } else if (phase == MembershipPhase::Broken) {
        isOver = true;
    }
}

} // namespace

const Endpoint *Planning::usable(const EndpointId &id) const
{
    const Endpoint *endpoint = findEndpoint(table, id);
    const bool good = endpoint && isUsable(*endpoint, planner.options.lossTimeout, now);
    return good ? endpoint : nullptr;
}

const Endpoint *Planning::heard(const EndpointId &id) const
{
    const Endpoint *endpoint = findEndpoint(table, id);
    const bool recent = endpoint && now - endpoint->lastHeard <= planner.options.lossTimeout;
    return recent ? endpoint : nullptr;
}

bool isMember(const Endpoint &endpoint, const FleetGroup &group)
{
    const auto &membership = endpoint.report.membership;
    return membership && membership->group == group.name && membership->epoch == group.epoch;
}

bool hasStaged(const Endpoint &endpoint, const std::string &model)
{
    const auto &staged = endpoint.report.stagedModels;
    return std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool hasLoaded(const Endpoint &endpoint, const std::string &model)
{
    return endpoint.loadedModel == model;
}

bool holdsModel(const Endpoint &endpoint, const std::string &model)
{
    return hasLoaded(endpoint, model) || hasStaged(endpoint, model);
}

void setStage(FleetGroup &group, GroupStage stage, TimePoint now)
{
    group.stage = stage;
    group.stageSince = now;
    group.lastHeadOrder = TimePoint{};
}

GroupPlanner makeGroupPlanner(const GroupPlannerOptions &options, std::uint64_t term, TimePoint now)
{
    GroupPlanner planner;
    planner.options = options;
    planner.term = term;
    planner.gatherUntil = now + options.gatherTime;
    planner.settleUntil = now + options.settleLimit;
    planner.lastArrival = now;
    planner.nextEpoch = term * EpochsPerTerm + 1;
    return planner;
}

std::vector<GroupOrder> planGroups(GroupPlanner &planner, const EndpointTable &table,
                                   const ServiceConfiguration &config, TimePoint now)
{
    Planning planning{planner, table, config, now, {}};
    if (table.endpoints.size() > planner.knownVms)
        planner.lastArrival = now;
    planner.knownVms = table.endpoints.size();
    dropOverdueOrders(planning);
    std::erase_if(planner.suspects, [&table](const auto &item) {
        const Endpoint *endpoint = findEndpoint(table, item.first);
        return !endpoint || endpoint->lastReport > item.second;
    });
    std::erase_if(planner.staging, [&](const auto &item) {
        const Endpoint *endpoint = findEndpoint(table, item.first);
        return !endpoint || item.second.until <= now || hasStaged(*endpoint, item.second.model);
    });
    std::erase_if(planner.stalledHeads, [&](const auto &item) {
        return now - item.second > planner.options.stallMemory;
    });
    std::erase_if(planner.progressedHeads, [&](const auto &item) {
        return now - item.second > planner.options.stallMemory;
    });
    adoptGroups(planning);
    for (auto item = planner.groups.begin(); item != planner.groups.end();) {
        const Service *service = findService(config, item->second.service);
        bool isOver = !service || !service->engine;
        if (!isOver)
            advanceGroup(planning, item->second, *service->engine, isOver);
        if (isOver)
            planner.ended.insert(item->first);
        item = isOver ? planner.groups.erase(item) : std::next(item);
    }
    forgetEnded(planning);
    for (const Service &service : config.services) {
        if (service.engine)
            formGroups(planning, service);
    }
    return std::move(planning.orders);
}

void noteStall(GroupPlanner &planner, const EndpointId &head, TimePoint now)
{
    planner.stalledHeads[head] = now;
}

void noteProgress(GroupPlanner &planner, const EndpointId &head, TimePoint at)
{
    TimePoint &last = planner.progressedHeads[head];
    last = std::max(last, at);
}

const char *toString(OrderKind kind)
{
    return OrderNames[static_cast<std::size_t>(kind)];
}

} // namespace Trefoil
