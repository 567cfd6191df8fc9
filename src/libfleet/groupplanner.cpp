#include "libfleet/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace Trefoil {

namespace {

constexpr const char *OrderNames[] = {"join", "open", "close", "leave", "stage"};

// Epochs of one term; a later term's epochs are always higher.
constexpr std::uint64_t EpochsPerTerm = 1'000'000;

// Fencing numbers of one term. A late order has a lower number than those that an engine has obeyed
// since, whoever sent it.
constexpr std::uint64_t OrdersPerTerm = 1'000'000'000;

constexpr Duration LoadWindow = std::chrono::seconds(5);

// Stands between the model and the head in the name of a group.
std::string epochMark(std::uint64_t epoch)
{
    return "." + std::to_string(epoch) + ".";
}

// View of one planning step.
struct Planning
{
    GroupPlanner &planner;
    const EndpointTable &table;
    const ServiceConfiguration &config;
    TimePoint now;
    std::vector<GroupOrder> orders;

    const Endpoint *usable(const EndpointId &id) const
    {
        const Endpoint *endpoint = findEndpoint(table, id);
        const bool good = endpoint && isUsable(*endpoint, planner.options.lossTimeout, now);
        return good ? endpoint : nullptr;
    }

    // The endpoint still runs, although it may be about to leave.
    const Endpoint *heard(const EndpointId &id) const
    {
        const Endpoint *endpoint = findEndpoint(table, id);
        const bool recent = endpoint && now - endpoint->lastHeard <= planner.options.lossTimeout;
        return recent ? endpoint : nullptr;
    }
};

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

void setStage(FleetGroup &group, GroupStage stage, TimePoint now)
{
    group.stage = stage;
    group.stageSince = now;
    group.lastHeadOrder = TimePoint{};
}

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

// Sends an order unless the endpoint has one outstanding.
bool order(Planning &planning, const Endpoint &endpoint, const FleetGroup &group, OrderKind kind,
           std::string why, bool isLoad = false)
{
    GroupPlanner &planner = planning.planner;
    if (planner.orders.contains(endpoint.report.id))
        return false;
    GroupOrder sent;
    sent.number = planner.nextOrder++;
    sent.kind = kind;
    sent.endpoint = endpoint.report.id;
    sent.address = endpoint.report.address;
    sent.group = group.name;
    sent.epoch = group.epoch;
    sent.term = planner.term;
    sent.fencingToken = planner.term * OrdersPerTerm + sent.number;
    sent.model = group.model;
    sent.members = group.members;
    sent.closeMode = group.closeMode;
    sent.why = std::move(why);
    planner.orders[sent.endpoint] = {sent.number, kind, group.name, planning.now, isLoad};
    if (kind == OrderKind::Open)
        ++planner.groups[group.name].unansweredOpens;
    if (isLoad && planner.hasTraffic)
        planner.loadStarts.push_back(planning.now);
    planning.orders.push_back(std::move(sent));
    return true;
}

void dropOverdueOrders(Planning &planning)
{
    const Duration timeout = planning.planner.options.orderTimeout;
    std::erase_if(planning.planner.orders, [&](const auto &item) {
        const Endpoint *endpoint = findEndpoint(planning.table, item.first);
        const bool isMemberNow = endpoint && endpoint->report.membership
                                 && endpoint->report.membership->group == item.second.group;
        const bool isVisible = (item.second.kind == OrderKind::Join && isMemberNow)
                               || (item.second.kind == OrderKind::Leave && !isMemberNow);
        const bool isOverdue = planning.now - item.second.sentAt > timeout;
        return (isVisible && item.second.isAccepted) || isOverdue;
    });
}

// True while entries see no progress at the head. A VM of such a group is lost after a shorter
// silence of its own.
bool isStalled(const Planning &planning, const FleetGroup &group)
{
    const GroupPlanner &planner = planning.planner;
    const auto stalled = planner.stalledHeads.find(group.members.front());
    const auto progressed = planner.progressedHeads.find(group.members.front());
    if (stalled == planner.stalledHeads.end())
        return false;
    const bool isRefuted = progressed != planner.progressedHeads.end()
                           && planning.now - progressed->second < planner.options.stallSilence;
    return !isRefuted && planning.now - stalled->second < planner.options.stallMemory;
}

struct MissingMember
{
    EndpointId id;
    const char *reason = "";
};

// Why an endpoint is not usable, by what was heard of it lately, null when nothing was.
const char *unusableReason(const Endpoint *heard)
{
    if (!heard)
        return "is silent";
    if (heard->report.isDraining)
        return "drains";
    return heard->hasLeft ? "leaves" : "was replaced";
}

// A member that is lost for good or about to leave.
std::optional<MissingMember> missingMember(const Planning &planning, const FleetGroup &group)
{
    const bool stalled = isStalled(planning, group);
    for (const EndpointId &id : group.members) {
        const Endpoint *endpoint = planning.usable(id);
        if (!endpoint)
            return MissingMember{id, unusableReason(planning.heard(id))};
        const Duration silence = planning.now - endpoint->lastReport;
        const bool isDoubtful = stalled || group.stage == GroupStage::Forming;
        if (isDoubtful && silence > planning.planner.options.stalledLossTimeout)
            return MissingMember{id, stalled ? "is silent and its group stands still"
                                             : "is silent while its group forms"};
        const bool joined = group.stage == GroupStage::Forming || isMember(*endpoint, group);
        if (!joined)
            return MissingMember{id, "is not in the group any more"};
    }
    return std::nullopt;
}

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
        const bool isLoad = !hasStaged(*endpoint, group.model);
        if (isLoad && !mayStartLoad(planning, engine))
            continue;
        order(planning, *endpoint, group, OrderKind::Join, "the group forms", isLoad);
    }
    if (allReady)
        setStage(group, GroupStage::Opening, planning.now);
}

// Repeats an order to the head until its report shows the effect.
void orderHead(Planning &planning, FleetGroup &group, const Endpoint &head, OrderKind kind,
               std::string why)
{
    const bool isDue = planning.now - group.lastHeadOrder > planning.planner.options.orderTimeout;
    if (isDue && order(planning, head, group, kind, std::move(why)))
        group.lastHeadOrder = planning.now;
}

// Keeps a VM out of new groups until it reports again.
void suspect(GroupPlanner &planner, const EndpointId &id, TimePoint now)
{
    planner.suspects[id] = now;
}

void startClosing(Planning &planning, FleetGroup &group, const MissingMember &missing)
{
    group.closeReason = missing.id + " " + missing.reason;
    suspect(planning.planner, missing.id, planning.now);
    const Endpoint *heard = planning.heard(missing.id);
    const bool isPlanned = heard && (heard->report.isDraining || heard->hasLeft);
    group.closeMode = isPlanned ? CloseMode::FinishRequests : CloseMode::CutRequests;
    setStage(group, GroupStage::Closing, planning.now);
}

// The head's life in the group has provably ended.
bool hasEnded(const Planning &planning, const FleetGroup &group, const Endpoint &head)
{
    return head.isSucceeded || (planning.heard(head.report.id) && !isMember(head, group));
}

// A silent head may still serve behind a partition. Once its members have left, it breaks after the
// stall timeout. Returns true when that time is over.
bool abandonHead(Planning &planning, FleetGroup &group)
{
    bool anyLeft = false;
    bool allLeft = true;
    for (const EndpointId &id : group.members) {
        const Endpoint *member = planning.heard(id);
        if (!member || id == group.members.front())
            continue;
        if (!isMember(*member, group) || group.left.contains(id)) {
            anyLeft = true;
            continue;
        }
        allLeft = false;
        order(planning, *member, group, OrderKind::Leave, "the head of the group is silent");
    }
    if (!anyLeft || !allLeft) {
        group.abandonedSince = TimePoint{};
        return false;
    }
    if (group.abandonedSince == TimePoint{})
        group.abandonedSince = planning.now;
    const GroupPlannerOptions &options = planning.planner.options;
    return planning.now - group.abandonedSince > options.stallTimeout + options.stallMargin;
}

// Frees the members once the head cannot serve any more. Returns true when the group is over.
bool finishClosing(Planning &planning, FleetGroup &group)
{
    const Endpoint *known = findEndpoint(planning.table, group.members.front());
    if (known && hasEnded(planning, group, *known))
        return true;
    const Endpoint *head = planning.heard(group.members.front());
    if (!head)
        return group.members.size() == 1 || abandonHead(planning, group);
    group.abandonedSince = TimePoint{};
    if (head->report.membership->phase == MembershipPhase::Open)
        group.isOpening = false;
    switch (head->report.membership->phase) {
    case MembershipPhase::Joining:
    case MembershipPhase::Broken:
        return true;
    case MembershipPhase::Ready:
        if (group.unansweredOpens == 0 && !group.isOpening)
            return true;
        // An open order that takes effect late must not find the head in the group any more.
        orderHead(planning, group, *head, OrderKind::Leave, "an open order may take effect late");
        return false;
    case MembershipPhase::Open:
    case MembershipPhase::Closing:
        break;
    }
    if (planning.now - group.stageSince > planning.planner.options.closeTimeout)
        group.closeMode = CloseMode::CutRequests;
    orderHead(planning, group, *head, OrderKind::Close, group.closeReason);
    return false;
}

// Repeats the join to each member of an adopted group, so that late orders of earlier leaders are
// refused before the group opens. Returns true once all have obeyed.
bool fenceMembers(Planning &planning, const FleetGroup &group)
{
    bool isDone = true;
    for (const EndpointId &id : group.members) {
        if (group.fenced.contains(id))
            continue;
        isDone = false;
        order(planning, *planning.usable(id), group, OrderKind::Join, "fences earlier leaders");
    }
    return isDone;
}

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
        if (!isOver)
            joinMembers(planning, group, engine);
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

// What engines report of a group that this planner does not know.
struct ReportedGroup
{
    std::optional<GroupMembership> membership; // of one of the members
    FleetGroup group;
    std::map<std::uint32_t, EndpointId> ranks;
    bool isHeadHeard = false;
    bool wasReady = false; // a member got past joining, so the group may have been opened
    bool isHeard = false;
    MembershipPhase headPhase = MembershipPhase::Joining;
};

std::map<std::string, ReportedGroup> unknownGroups(const Planning &planning)
{
    std::map<std::string, ReportedGroup> found;
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        const bool unknown = membership && !planning.planner.groups.contains(membership->group)
                             && !planning.planner.ended.contains(membership->group)
                             && !endpoint.isSucceeded;
        if (!unknown)
            continue;
        ReportedGroup &reported = found[membership->group];
        reported.membership = membership;
        FleetGroup &group = reported.group;
        group.name = membership->group;
        group.epoch = membership->epoch;
        group.service = endpoint.report.service;
        group.model = modelOfGroup(*membership);
        group.fabric = endpoint.report.fabric;
        reported.ranks[membership->rank] = id;
        if (!planning.heard(id))
            continue;
        reported.isHeard = true;
        reported.wasReady = reported.wasReady || membership->phase != MembershipPhase::Joining;
        if (membership->rank == 0) {
            reported.isHeadHeard = true;
            reported.headPhase = membership->phase;
        }
    }
    return found;
}

// Adds members of adopted groups that reported later than the others.
void addLateMembers(Planning &planning)
{
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        const auto &membership = endpoint.report.membership;
        if (!membership)
            continue;
        const auto group = planning.planner.groups.find(membership->group);
        if (group == planning.planner.groups.end())
            continue;
        auto &members = group->second.members;
        if (std::find(members.begin(), members.end(), id) != members.end())
            continue;
        members.push_back(id);
    }
}

// Forgets ended groups that nobody reports any more.
void forgetEnded(Planning &planning)
{
    std::set<std::string> reported;
    for (const auto &[id, endpoint] : planning.table.endpoints) {
        if (endpoint.report.membership)
            reported.insert(endpoint.report.membership->group);
    }
    std::erase_if(planning.planner.ended,
                  [&reported](const std::string &name) { return !reported.contains(name); });
}

// Takes over the groups of an earlier leader. Groups that cannot go on are closed; those that were
// never opened are forgotten, so that their members can be joined to others.
void adoptGroups(Planning &planning)
{
    addLateMembers(planning);
    const bool isGathering = planning.now < planning.planner.gatherUntil;
    for (auto &[name, reported] : unknownGroups(planning)) {
        FleetGroup &group = reported.group;
        for (const auto &[rank, id] : reported.ranks)
            group.members.push_back(id);
        if (!reported.ranks.contains(0))
            group.members.insert(group.members.begin(), headOfGroup(*reported.membership));
        group.stageSince = planning.now;
        group.unansweredOpens = 1;
        group.isAdopted = true;
        group.closeMode = CloseMode::CutRequests;
        const Service *service = findService(planning.config, group.service);
        const ModelProfile *model =
                service && service->engine ? findModel(*service->engine, group.model) : nullptr;
        const bool complete =
                reported.isHeadHeard && model && reported.ranks.size() == model->vmsPerGroup;
        if (!reported.isHeard || (!complete && isGathering))
            continue; // the others may report within a heartbeat
        if (!complete && !reported.wasReady)
            continue; // it was never opened
        const bool isForming = reported.headPhase == MembershipPhase::Ready
                               || reported.headPhase == MembershipPhase::Joining;
        if (complete && reported.headPhase == MembershipPhase::Open)
            group.stage = GroupStage::Open;
        else if (complete && isForming)
            group.stage = GroupStage::Forming; // loads that are under way go on
        else
            group.stage = GroupStage::Closing;
        if (reported.isHeadHeard && reported.headPhase == MembershipPhase::Broken)
            continue;
        planning.planner.groups[name] = group;
    }
}

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

// The neediest model that fits, unless a model that does not fit is much needier.
const ModelProfile *chooseModel(const Planning &planning, const Service &service,
                                std::size_t freeVms)
{
    const ModelProfile *chosen = nullptr;
    double chosenShare = std::numeric_limits<double>::max();
    double lowest = std::numeric_limits<double>::max();
    for (const ModelProfile &model : service.engine->models) {
        const double share = servedShare(planning, service.name, model);
        lowest = std::min(lowest, share);
        if (model.vmsPerGroup <= freeVms && share < chosenShare) {
            chosen = &model;
            chosenShare = share;
        }
    }
    if (!chosen)
        return nullptr;
    const bool balanced = chosenShare <= lowest * planning.planner.options.balanceTolerance;
    return balanced ? chosen : nullptr;
}

// VMs that join fastest first: the model staged, then nothing staged; then by failure domain.
void sortForModel(std::vector<const Endpoint *> &vms, const std::string &model)
{
    const auto rank = [&model](const Endpoint *vm) {
        const bool staged = hasStaged(*vm, model);
        return std::tuple(staged                            ? 0
                          : vm->report.stagedModels.empty() ? 1
                                                            : 2,
                          vm->report.domain, vm->report.id);
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

// Where the next group forms: the place of the model that chooseModel names that needs the fewest
// loads, then the one that costs the fewest large groups, then the fullest one. So small groups
// share fabrics, and whole fabrics stay for large groups.
std::optional<GroupPlace> bestPlace(const Planning &planning, const Service &service,
                                    const FreeVms &freeByFabric)
{
    std::optional<GroupPlace> best;
    std::tuple<std::size_t, std::size_t, std::size_t> bestRank;
    for (const auto &[fabric, free] : freeByFabric) {
        const ModelProfile *model = chooseModel(planning, service, free.size());
        if (!model)
            continue;
        const auto staged = static_cast<std::size_t>(
                std::count_if(free.begin(), free.end(),
                              [model](const Endpoint *vm) { return hasStaged(*vm, model->name); }));
        const std::size_t loads =
                model->vmsPerGroup - std::min<std::size_t>(model->vmsPerGroup, staged);
        const bool mayLoad =
                !planning.planner.hasTraffic
                || utilization(planning, service, *model) > planning.planner.options.loadAt;
        const std::tuple rank(loads, lostLargeGroups(service, free.size(), model->vmsPerGroup),
                              free.size());
        if ((loads > 0 && !mayLoad) || (best && rank >= bestRank))
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
}

} // namespace

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
    std::erase_if(planner.staging, [now](const auto &item) { return item.second.until <= now; });
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

void noteOrderOutcome(GroupPlanner &planner, const EndpointId &endpoint, std::uint64_t number,
                      OrderOutcome outcome)
{
    const auto found = planner.orders.find(endpoint);
    if (found == planner.orders.end() || found->second.number != number)
        return;
    const auto planned = planner.groups.find(found->second.group);
    const bool isAnswered = outcome != OrderOutcome::Unanswered;
    if (!isAnswered)
        suspect(planner, endpoint, found->second.sentAt);
    if (isAnswered && found->second.kind == OrderKind::Open && planned != planner.groups.end()
        && planned->second.unansweredOpens > 0) {
        --planned->second.unansweredOpens;
        // The head opens a little later; until its report shows it, it counts as opening. A head
        // that opens or is open refuses a repeated order, so a refusal does not end that.
        if (outcome == OrderOutcome::Accepted)
            planned->second.isOpening = true;
    }
    const OrderKind kind = found->second.kind;
    if (outcome == OrderOutcome::Accepted && kind == OrderKind::Leave
        && planned != planner.groups.end())
        planned->second.left.insert(endpoint);
    if (outcome == OrderOutcome::Accepted && kind == OrderKind::Join
        && planned != planner.groups.end())
        planned->second.fenced.insert(endpoint);
    // The next report shows an accepted join or leave; until then no other order follows it.
    const bool isPending = outcome == OrderOutcome::Accepted
                           && (kind == OrderKind::Join || kind == OrderKind::Leave);
    found->second.isAccepted = isPending;
    if (isPending || !isAnswered)
        return;
    planner.orders.erase(found);
    const bool isLost = outcome == OrderOutcome::Outdated || outcome == OrderOutcome::WrongEndpoint;
    const bool isForming =
            planned != planner.groups.end() && planned->second.stage == GroupStage::Forming;
    if (isLost && isForming && planned->second.unansweredOpens == 0) {
        planner.ended.insert(planned->first);
        planner.groups.erase(planned);
    }
}

std::string groupName(const std::string &model, std::uint64_t epoch, const EndpointId &head)
{
    return model + epochMark(epoch) + head;
}

std::string modelOfGroup(const GroupMembership &membership)
{
    return membership.group.substr(0, membership.group.find(epochMark(membership.epoch)));
}

EndpointId headOfGroup(const GroupMembership &membership)
{
    const std::string mark = epochMark(membership.epoch);
    const std::size_t place = membership.group.find(mark);
    return place == std::string::npos ? EndpointId{} : membership.group.substr(place + mark.size());
}

const char *toString(OrderKind kind)
{
    return OrderNames[static_cast<std::size_t>(kind)];
}

} // namespace Trefoil
