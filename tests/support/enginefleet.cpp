#include "enginefleet.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr auto Step = std::chrono::milliseconds(10);
constexpr auto ReportInterval = std::chrono::milliseconds(1200);
constexpr auto RejoinTime = std::chrono::milliseconds(200);
constexpr auto AnswerTimeout = std::chrono::milliseconds(1000);
constexpr auto OrderDelay = std::chrono::milliseconds(5);
constexpr auto LoadWindow = std::chrono::seconds(5);
constexpr std::size_t MaxLoadsInWindow = 25; // 4 a second, a tenth more and 3

bool isSameGroup(const StandInEngine &engine, const std::string &group, std::uint64_t epoch)
{
    const auto &membership = engine.report.membership;
    return engine.isRunning && membership && membership->group == group
           && membership->epoch == epoch;
}

StandInEngine *headOf(EngineFleet &fleet, const StandInEngine &engine)
{
    if (engine.members.empty())
        return nullptr;
    const auto found = fleet.engines.find(engine.members.front());
    return found == fleet.engines.end() ? nullptr : &found->second;
}

void setPhase(EngineFleet &fleet, StandInEngine &engine, MembershipPhase phase)
{
    GroupMembership &membership = *engine.report.membership;
    membership.phase = phase;
    engine.nextReport = fleet.now;
    if (phase == MembershipPhase::Ready)
        fleet.wasReady[{membership.group, membership.epoch}].insert(engine.report.id);
}

// A head that opens serves requests at once, so its whole group must have been ready.
void checkOpened(EngineFleet &fleet, const StandInEngine &head)
{
    const GroupMembership &membership = *head.report.membership;
    const auto &ready = fleet.wasReady[{membership.group, membership.epoch}];
    const ModelProfile *model =
            findModel(*fleet.config.services.front().engine, modelOfGroup(membership));
    if (!model || head.members.size() != model->vmsPerGroup)
        fleet.broken.push_back("group " + membership.group + " has the wrong size");
    for (const EndpointId &member : head.members) {
        if (!ready.contains(member))
            fleet.broken.push_back("group " + membership.group + " opened before " + member
                                   + " was ready");
    }
}

// A VM must not leave a group whose head may still serve for another one.
void checkJoin(EngineFleet &fleet, const StandInEngine &engine, const GroupOrder &order)
{
    const auto &membership = engine.report.membership;
    if (!membership || membership->group == order.group)
        return;
    const StandInEngine *head = headOf(fleet, engine);
    if (!head || !isSameGroup(*head, membership->group, membership->epoch))
        return;
    const MembershipPhase phase = head->report.membership->phase;
    if (phase == MembershipPhase::Open || phase == MembershipPhase::Closing)
        fleet.broken.push_back(engine.report.id + " joined " + order.group + " while "
                               + membership->group + " could serve");
}

bool hasStaged(const StandInEngine &engine, const std::string &model)
{
    const auto &staged = engine.report.stagedModels;
    return std::find(staged.begin(), staged.end(), model) != staged.end();
}

// Begins to load the model onto the host; returns how long it takes.
Duration stageModel(EngineFleet &fleet, StandInEngine &engine, const ModelProfile &model)
{
    engine.report.stagedModels.clear(); // a host keeps one
    engine.staging = model.name;
    if (!fleet.planner.hasTraffic)
        return model.loadTime / 10; // loads before the first request are fast and do not count
    fleet.loads.push_back(fleet.now);
    const auto recent = std::count_if(fleet.loads.begin(), fleet.loads.end(),
                                      [&](TimePoint at) { return fleet.now - at <= LoadWindow; });
    if (static_cast<std::size_t>(recent) > MaxLoadsInWindow)
        fleet.broken.emplace_back("too many loads from the weight store");
    return model.loadTime;
}

// Time of a join for a model that the engine does not hold.
Duration loadTime(EngineFleet &fleet, StandInEngine &engine, const ModelProfile &model)
{
    if (hasStaged(engine, model.name))
        return model.stagedLoadTime;
    if (engine.staging == model.name)
        return engine.stagedAt - fleet.now + model.stagedLoadTime;
    const Duration time = stageModel(fleet, engine, model);
    engine.stagedAt = fleet.now + time;
    return time;
}

OrderOutcome join(EngineFleet &fleet, StandInEngine &engine, const GroupOrder &order)
{
    const auto &membership = engine.report.membership;
    if (membership && membership->group == order.group && membership->epoch == order.epoch)
        return engine.members == order.members ? OrderOutcome::Accepted : OrderOutcome::Outdated;
    if (order.epoch < engine.highestEpoch)
        return OrderOutcome::Outdated;
    checkJoin(fleet, engine, order);
    const ModelProfile *model = findModel(*fleet.config.services.front().engine, order.model);
    const bool isSame = engine.lastModel == order.model;
    const Duration time = isSame ? Duration(RejoinTime) : loadTime(fleet, engine, *model);
    engine.highestEpoch = order.epoch;
    engine.lastModel = order.model;
    engine.members = order.members;
    const auto place = std::find(order.members.begin(), order.members.end(), engine.report.id);
    engine.report.membership = GroupMembership{
            order.group, order.epoch, static_cast<std::uint32_t>(place - order.members.begin()),
            MembershipPhase::Joining};
    engine.changesAt = fleet.now + time;
    engine.nextPhase = MembershipPhase::Ready;
    engine.stillSince = TimePoint::max();
    engine.nextReport = fleet.now;
    return OrderOutcome::Accepted;
}

OrderOutcome open(EngineFleet &fleet, StandInEngine &engine)
{
    // Also an open head is not ready, so it refuses a repeated order.
    if (engine.report.membership->phase != MembershipPhase::Ready)
        return OrderOutcome::WrongState;
    engine.changesAt = fleet.now + std::chrono::milliseconds(300);
    engine.nextPhase = MembershipPhase::Open;
    return OrderOutcome::Accepted;
}

OrderOutcome close(EngineFleet &fleet, StandInEngine &engine, CloseMode mode)
{
    if (engine.report.membership->phase != MembershipPhase::Open)
        return OrderOutcome::WrongState;
    if (mode == CloseMode::AbortRequests) {
        setPhase(fleet, engine, MembershipPhase::Ready);
        return OrderOutcome::Accepted;
    }
    setPhase(fleet, engine, MembershipPhase::Closing);
    engine.changesAt = fleet.now + std::chrono::seconds(1);
    engine.nextPhase = MembershipPhase::Ready;
    return OrderOutcome::Accepted;
}

OrderOutcome obey(EngineFleet &fleet, StandInEngine &engine, const GroupOrder &order)
{
    if (order.fencingToken < engine.highestFence)
        return OrderOutcome::Outdated;
    engine.highestFence = order.fencingToken;
    if (order.kind == OrderKind::Join)
        return join(fleet, engine, order);
    if (order.kind == OrderKind::Stage) {
        const ModelProfile *model = findModel(*fleet.config.services.front().engine, order.model);
        if (!hasStaged(engine, order.model) && engine.staging != order.model)
            engine.stagedAt = fleet.now + stageModel(fleet, engine, *model);
        return OrderOutcome::Accepted;
    }
    if (!isSameGroup(engine, order.group, order.epoch))
        return OrderOutcome::WrongState;
    switch (order.kind) {
    case OrderKind::Open:
        return open(fleet, engine);
    case OrderKind::Close:
        return close(fleet, engine, order.closeMode);
    default:
        engine.report.membership.reset();
        engine.members.clear();
        engine.changesAt = TimePoint::max();
        engine.nextReport = fleet.now;
        return OrderOutcome::Accepted;
    }
}

// A random delay of an answer or a report.
Duration slowness(EngineFleet &fleet)
{
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> delay(100, static_cast<int>(fleet.longestDelay.count()));
    return share(fleet.rng) < fleet.slowShare ? std::chrono::milliseconds(delay(fleet.rng))
                                              : std::chrono::milliseconds(0);
}

void carryOut(EngineFleet &fleet, const DelayedOrder &delayed)
{
    const auto found = fleet.engines.find(delayed.order.endpoint);
    const bool reachable = found != fleet.engines.end() && found->second.isRunning
                           && (!found->second.isCut || !delayed.isAnswered);
    OrderOutcome outcome = OrderOutcome::Unanswered;
    if (reachable) {
        const OrderOutcome done = obey(fleet, found->second, delayed.order);
        if (delayed.isAnswered)
            outcome = done;
    }
    if (!delayed.isAnswered)
        return;
    DelayedAnswer answer;
    answer.at = fleet.now + slowness(fleet);
    answer.term = delayed.order.term;
    answer.endpoint = delayed.order.endpoint;
    answer.number = delayed.order.number;
    answer.outcome = answer.at - fleet.now > AnswerTimeout ? OrderOutcome::Unanswered : outcome;
    fleet.answers.push_back(answer);
}

// Hands on what has arrived by now.
template <class T, class Take>
void deliver(std::vector<T> &queue, TimePoint now, Take take)
{
    std::vector<T> due;
    std::erase_if(queue, [&](const T &item) {
        if (item.at > now)
            return false;
        due.push_back(item);
        return true;
    });
    for (const T &item : due)
        take(item);
}

void deliverToLeader(EngineFleet &fleet)
{
    deliver(fleet.answers, fleet.now, [&fleet](const DelayedAnswer &answer) {
        if (answer.term == fleet.planner.term)
            recordOrderOutcome(fleet.planner, answer.endpoint, answer.number, answer.outcome);
    });
    deliver(fleet.reports, fleet.now, [&fleet](const DelayedReport &delayed) {
        applyReport(fleet.table, delayed.report, fleet.now - delayed.madeAt, fleet.now);
    });
}

void deliverOrders(EngineFleet &fleet)
{
    deliver(fleet.orders, fleet.now,
            [&fleet](const DelayedOrder &order) { carryOut(fleet, order); });
}

// A head whose group has lost a VM stands still and is broken after the stall time.
void noteLosses(EngineFleet &fleet, StandInEngine &head)
{
    const GroupMembership &membership = *head.report.membership;
    const bool isWhole =
            std::all_of(head.members.begin(), head.members.end(), [&](const EndpointId &id) {
                const auto member = fleet.engines.find(id);
                return member != fleet.engines.end()
                       && isSameGroup(member->second, membership.group, membership.epoch);
            });
    if (isWhole) {
        head.stillSince = TimePoint::max();
        return;
    }
    head.stillSince = std::min(head.stillSince, fleet.now);
    if (fleet.now - head.stillSince >= fleet.stall)
        setPhase(fleet, head, MembershipPhase::Broken);
}

void advanceEngine(EngineFleet &fleet, StandInEngine &engine)
{
    if (!engine.isRunning)
        return;
    if (!engine.staging.empty() && engine.stagedAt <= fleet.now) {
        engine.report.stagedModels = {std::exchange(engine.staging, {})};
        engine.nextReport = fleet.now;
    }
    if (engine.report.membership && engine.changesAt <= fleet.now) {
        engine.changesAt = TimePoint::max();
        setPhase(fleet, engine, engine.nextPhase);
        if (engine.nextPhase == MembershipPhase::Open)
            checkOpened(fleet, engine);
    }
    const auto &membership = engine.report.membership;
    const bool serves = membership && membership->rank == 0
                        && (membership->phase == MembershipPhase::Open
                            || membership->phase == MembershipPhase::Closing);
    if (serves)
        noteLosses(fleet, engine);
    if (engine.nextReport > fleet.now)
        return;
    engine.nextReport = fleet.now + ReportInterval;
    ++engine.report.sequence;
    if (!engine.isCut)
        fleet.reports.push_back({fleet.now + slowness(fleet), fleet.now, engine.report});
}

StandInEngine newEngine(EngineFleet &fleet, const std::string &fabric, const std::string &address)
{
    StandInEngine engine;
    engine.report.id = "i-" + std::to_string(fleet.nextLife);
    engine.report.service = "drafts";
    engine.report.address = address;
    engine.report.domain = fabric;
    engine.report.fabric = fabric;
    engine.report.slots = 26;
    engine.report.startedAtMs = 1000 + fleet.nextLife;
    ++fleet.nextLife;
    engine.nextReport = fleet.now;
    return engine;
}

} // namespace

EngineFleet makeEngineFleet(std::size_t fabrics, std::uint64_t seed, std::size_t vmsPerFabric)
{
    EngineFleet fleet;
    fleet.rng.seed(seed);
    fleet.now = TimePoint(std::chrono::hours(1));
    Service service;
    service.name = "drafts";
    EngineProfile engine;
    engine.slots = 26;
    engine.loadsPerSecond = 4;
    engine.concurrentLoads = 6;
    engine.models = {
            {"large", 4, 0.67, 1.0, std::chrono::seconds(16), std::chrono::milliseconds(1600)},
            {"small", 2, 0.33, 0.6, std::chrono::seconds(12), std::chrono::milliseconds(1100)}};
    service.engine = engine;
    fleet.config.version = 1;
    fleet.config.services.push_back(service);
    indexConfiguration(fleet.config);
    for (std::size_t i = 0; i < fabrics * vmsPerFabric; ++i) {
        const StandInEngine added = newEngine(fleet, "fabric-" + std::to_string(i / vmsPerFabric),
                                              "10.0.0." + std::to_string(i) + ":80");
        fleet.engines[added.report.id] = added;
    }
    fleet.planner = makeGroupPlanner({}, 1, fleet.now);
    return fleet;
}

OrderOutcome obeyOrder(EngineFleet &fleet, const GroupOrder &order)
{
    return obey(fleet, fleet.engines.at(order.endpoint), order);
}

void advanceEngines(EngineFleet &fleet)
{
    for (auto &[id, engine] : fleet.engines)
        advanceEngine(fleet, engine);
}

void runFleet(EngineFleet &fleet, Duration duration)
{
    const TimePoint until = fleet.now + duration;
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> lateness(2000, 12'000);
    while (fleet.now < until) {
        fleet.now += Step;
        deliverOrders(fleet);
        advanceEngines(fleet);
        deliverToLeader(fleet);
        for (GroupOrder &order : planGroups(fleet.planner, fleet.table, fleet.config, fleet.now)) {
            DelayedOrder delayed{fleet.now + OrderDelay, std::move(order), true};
            if (share(fleet.rng) < fleet.lateShare) {
                delayed.isAnswered = false;
                delayed.at = fleet.now + std::chrono::milliseconds(lateness(fleet.rng));
            }
            fleet.orders.push_back(std::move(delayed));
        }
    }
}

void crashEngine(EngineFleet &fleet, const EndpointId &id)
{
    fleet.engines.at(id).isRunning = false;
}

EndpointId restartEngine(EngineFleet &fleet, const EndpointId &id)
{
    const StandInEngine old = fleet.engines.at(id);
    StandInEngine engine = newEngine(fleet, old.report.fabric, old.report.address);
    engine.report.stagedModels = old.report.stagedModels;
    fleet.engines.erase(id);
    fleet.engines[engine.report.id] = engine;
    return engine.report.id;
}

EndpointId addEngine(EngineFleet &fleet, const std::string &fabric)
{
    const std::string address = "10.0.1." + std::to_string(fleet.nextLife) + ":80";
    const StandInEngine engine = newEngine(fleet, fabric, address);
    fleet.engines[engine.report.id] = engine;
    return engine.report.id;
}

void setCut(EngineFleet &fleet, const EndpointId &id, bool isCut)
{
    fleet.engines.at(id).isCut = isCut;
}

void setDraining(EngineFleet &fleet, const EndpointId &id)
{
    StandInEngine &engine = fleet.engines.at(id);
    engine.report.isDraining = true;
    engine.nextReport = fleet.now;
}

void changeLeader(EngineFleet &fleet)
{
    const std::uint64_t term = fleet.planner.term + 1;
    fleet.planner = makeGroupPlanner(fleet.planner.options, term, fleet.now);
}

std::size_t openGroups(const EngineFleet &fleet, const std::string &model)
{
    std::size_t count = 0;
    for (const auto &[id, engine] : fleet.engines) {
        const auto &membership = engine.report.membership;
        const bool isOpen = engine.isRunning && membership && membership->rank == 0
                            && membership->phase == MembershipPhase::Open
                            && modelOfGroup(*membership) == model;
        count += isOpen ? 1 : 0;
    }
    return count;
}

} // namespace Trefoil
