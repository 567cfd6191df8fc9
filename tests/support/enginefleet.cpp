#include "enginefleet.h"

#include <algorithm>
#include <utility>

namespace Trefoil {

namespace {

constexpr auto StepDuration = std::chrono::milliseconds(10);
constexpr auto ReportInterval = std::chrono::milliseconds(1200);
constexpr auto RejoinTime = std::chrono::milliseconds(200);
constexpr auto ReplyTimeout = std::chrono::milliseconds(1000);
constexpr auto OrderDelay = std::chrono::milliseconds(5);
constexpr auto LinkDelay = std::chrono::milliseconds(10);
constexpr auto CommitDelay = std::chrono::milliseconds(10);
constexpr auto ProgressInterval = std::chrono::milliseconds(500);
constexpr std::size_t ControlVmCount = 3;
constexpr std::size_t MaxSentReports = 60;
constexpr auto LoadWindow = std::chrono::seconds(5);
constexpr std::size_t MaxLoadsPerWindow = 25; // 4 per second plus 10 percent, plus 3

bool isSameGroup(const SimulatedEngine &engine, const std::string &group, std::uint64_t epoch)
{
    const auto &membership = engine.report.membership;
    return engine.isRunning && membership && membership->group == group
           && membership->epoch == epoch;
}

SimulatedEngine *findHead(EngineFleet &fleet, const SimulatedEngine &engine)
{
    if (engine.members.empty())
        return nullptr;
    const auto found = fleet.engines.find(engine.members.front());
    return found == fleet.engines.end() ? nullptr : &found->second;
}

void setPhase(EngineFleet &fleet, SimulatedEngine &engine, MembershipPhase phase)
{
    GroupMembership &membership = *engine.report.membership;
    membership.phase = phase;
    engine.nextReport = fleet.now;
    if (phase == MembershipPhase::Ready)
        fleet.readyMembers[{membership.group, membership.epoch}].insert(engine.report.id);
}

// Checks that all members of a group have been ready when its head opens, because an open head
// serves requests at once.
void checkGroupIsReady(EngineFleet &fleet, const SimulatedEngine &head)
{
    const GroupMembership &membership = *head.report.membership;
    const auto &ready = fleet.readyMembers[{membership.group, membership.epoch}];
    const ModelProfile *model =
            findModel(*fleet.config.services.front().engine, modelOfGroup(membership));
    if (!model || head.members.size() != model->vmsPerGroup)
        fleet.violations.push_back("group " + membership.group + " has the wrong size");
    for (const EndpointId &member : head.members) {
        if (!ready.contains(member))
            fleet.violations.push_back("group " + membership.group + " opened before " + member
                                       + " was ready");
    }
}

// Checks that a VM does not join another group while the head of its group may still serve
// requests.
void checkJoinIsSafe(EngineFleet &fleet, const SimulatedEngine &engine, const GroupOrder &order)
{
    const auto &membership = engine.report.membership;
    if (!membership || membership->group == order.group)
        return;
    const SimulatedEngine *head = findHead(fleet, engine);
    if (!head || !isSameGroup(*head, membership->group, membership->epoch))
        return;
    const MembershipPhase phase = head->report.membership->phase;
    if (phase == MembershipPhase::Open || phase == MembershipPhase::Closing)
        fleet.violations.push_back(engine.report.id + " joined " + order.group + " while "
                                   + membership->group + " could serve");
}

bool isModelStaged(const SimulatedEngine &engine, const std::string &model)
{
    const auto &staged = engine.report.stagedModels;
    return std::find(staged.begin(), staged.end(), model) != staged.end();
}

// Starts to load the model onto the host. Returns the duration of the load.
Duration stageModel(EngineFleet &fleet, SimulatedEngine &engine, const ModelProfile &model)
{
    engine.report.stagedModels.clear(); // a host has room for one model
    engine.stagingModel = model.name;
    if (!leaderOf(fleet).planner.hasTraffic)
        return model.loadTime / 10; // loads before the first request are fast and are not counted
    fleet.loads.push_back(fleet.now);
    const auto recent = std::count_if(fleet.loads.begin(), fleet.loads.end(),
                                      [&](TimePoint at) { return fleet.now - at <= LoadWindow; });
    if (static_cast<std::size_t>(recent) > MaxLoadsPerWindow)
        fleet.violations.emplace_back("the limit of loads from the weight store was exceeded");
    return model.loadTime;
}

// Returns how long a join takes for a model that the engine does not have in use, and starts to
// load the model if necessary.
Duration startModelLoad(EngineFleet &fleet, SimulatedEngine &engine, const ModelProfile &model)
{
    if (isModelStaged(engine, model.name))
        return model.stagedLoadTime;
    if (engine.stagingModel == model.name)
        return engine.stagingEndsAt - fleet.now + model.stagedLoadTime;
    const Duration time = stageModel(fleet, engine, model);
    engine.stagingEndsAt = fleet.now + time;
    return time;
}

OrderOutcome joinGroup(EngineFleet &fleet, SimulatedEngine &engine, const GroupOrder &order)
{
    const auto &membership = engine.report.membership;
    if (membership && membership->group == order.group && membership->epoch == order.epoch)
        return engine.members == order.members ? OrderOutcome::Accepted : OrderOutcome::Outdated;
    if (order.epoch < engine.highestEpoch)
        return OrderOutcome::Outdated;
    checkJoinIsSafe(fleet, engine, order);
    const ModelProfile *model = findModel(*fleet.config.services.front().engine, order.model);
    const bool isSameModel = engine.lastModel == order.model;
    const Duration time =
            isSameModel ? Duration(RejoinTime) : startModelLoad(fleet, engine, *model);
    engine.highestEpoch = order.epoch;
    engine.lastModel = order.model;
    engine.members = order.members;
    const auto position = std::find(order.members.begin(), order.members.end(), engine.report.id);
    engine.report.membership = GroupMembership{
            order.group, order.epoch, static_cast<std::uint32_t>(position - order.members.begin()),
            MembershipPhase::Joining};
    engine.phaseChangesAt = fleet.now + time;
    engine.nextPhase = MembershipPhase::Ready;
    engine.stalledSince = TimePoint::max();
    engine.nextReport = fleet.now;
    return OrderOutcome::Accepted;
}

OrderOutcome openGroup(EngineFleet &fleet, SimulatedEngine &engine)
{
    // An open head is no longer in the ready phase, so it refuses a repeated order.
    if (engine.report.membership->phase != MembershipPhase::Ready)
        return OrderOutcome::WrongState;
    engine.phaseChangesAt = fleet.now + std::chrono::milliseconds(300);
    engine.nextPhase = MembershipPhase::Open;
    return OrderOutcome::Accepted;
}

OrderOutcome closeGroup(EngineFleet &fleet, SimulatedEngine &engine, CloseMode mode)
{
    if (engine.report.membership->phase != MembershipPhase::Open)
        return OrderOutcome::WrongState;
    if (mode == CloseMode::AbortRequests) {
        setPhase(fleet, engine, MembershipPhase::Ready);
        return OrderOutcome::Accepted;
    }
    setPhase(fleet, engine, MembershipPhase::Closing);
    engine.phaseChangesAt = fleet.now + std::chrono::seconds(1);
    engine.nextPhase = MembershipPhase::Ready;
    return OrderOutcome::Accepted;
}

OrderOutcome executeOnEngine(EngineFleet &fleet, SimulatedEngine &engine, const GroupOrder &order)
{
    if (order.fencingToken < engine.highestFencingToken)
        return OrderOutcome::Outdated;
    engine.highestFencingToken = order.fencingToken;
    if (order.kind == OrderKind::Join)
        return joinGroup(fleet, engine, order);
    if (order.kind == OrderKind::Stage) {
        const ModelProfile *model = findModel(*fleet.config.services.front().engine, order.model);
        if (!isModelStaged(engine, order.model) && engine.stagingModel != order.model)
            engine.stagingEndsAt = fleet.now + stageModel(fleet, engine, *model);
        return OrderOutcome::Accepted;
    }
    if (!isSameGroup(engine, order.group, order.epoch))
        return OrderOutcome::WrongState;
    switch (order.kind) {
    case OrderKind::Open:
        return openGroup(fleet, engine);
    case OrderKind::Close:
        return closeGroup(fleet, engine, order.closeMode);
    default:
        engine.report.membership.reset();
        engine.members.clear();
        engine.phaseChangesAt = TimePoint::max();
        engine.nextReport = fleet.now;
        return OrderOutcome::Accepted;
    }
}

// Returns a random delay for an answer or a report.
Duration drawReplyDelay(EngineFleet &fleet)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::uniform_int_distribution<int> delay(100, static_cast<int>(fleet.maxReplyDelay.count()));
    return fraction(fleet.rng) < fleet.delayedReplyFraction
                   ? std::chrono::milliseconds(delay(fleet.rng))
                   : std::chrono::milliseconds(0);
}

void deliverOrder(EngineFleet &fleet, const DelayedOrder &delayed)
{
    const auto found = fleet.engines.find(delayed.order.endpoint);
    const bool reachable = found != fleet.engines.end() && found->second.isRunning
                           && (!found->second.isPartitioned || !delayed.isAnswered);
    OrderOutcome outcome = OrderOutcome::Unanswered;
    if (reachable) {
        const OrderOutcome done = executeOnEngine(fleet, found->second, delayed.order);
        if (delayed.isAnswered)
            outcome = done;
    }
    if (!delayed.isAnswered)
        return;
    DelayedAnswer answer;
    answer.at = fleet.now + drawReplyDelay(fleet);
    answer.term = delayed.order.term;
    answer.endpoint = delayed.order.endpoint;
    answer.number = delayed.order.number;
    const bool isLost = reachable && found->second.isMute;
    answer.outcome =
            isLost || answer.at - fleet.now > ReplyTimeout ? OrderOutcome::Unanswered : outcome;
    fleet.answers.push_back(answer);
}

// Removes the items that are due from the queue and handles them.
template <class T, class Handle>
void deliverDue(std::vector<T> &queue, TimePoint now, Handle handle)
{
    std::vector<T> due;
    std::erase_if(queue, [&](const T &item) {
        if (item.at > now)
            return false;
        due.push_back(item);
        return true;
    });
    for (const T &item : due)
        handle(item);
}

// Returns true when control VMs reach each other.
bool areLinked(const EngineFleet &fleet, std::size_t a, std::size_t b)
{
    return !fleet.controlVms[a].isCutOff && !fleet.controlVms[b].isCutOff;
}

// Sends a report to the other control VMs.
void forwardReport(EngineFleet &fleet, const DelayedReport &delayed)
{
    for (std::size_t other = 0; other < fleet.controlVms.size(); ++other) {
        if (other == delayed.controlVm || !areLinked(fleet, delayed.controlVm, other))
            continue;
        DelayedReport forwarded = delayed;
        forwarded.at = fleet.now + LinkDelay + drawReplyDelay(fleet);
        forwarded.controlVm = other;
        forwarded.isForwarded = true;
        fleet.reports.push_back(forwarded);
    }
}

bool isActing(const EngineFleet &fleet, const SimulatedControlVm &vm)
{
    return vm.isLeading && fleet.now < vm.leadsUntil;
}

void deliverToControl(EngineFleet &fleet)
{
    deliverDue(fleet.answers, fleet.now, [&fleet](const DelayedAnswer &answer) {
        for (SimulatedControlVm &vm : fleet.controlVms) {
            if (vm.planner.term == answer.term)
                recordOrderOutcome(vm.planner, answer.endpoint, answer.number, answer.outcome);
        }
    });
    deliverDue(fleet.reports, fleet.now, [&fleet](const DelayedReport &delayed) {
        SimulatedControlVm &vm = fleet.controlVms[delayed.controlVm];
        applyReport(vm.table, delayed.report, fleet.now - delayed.madeAt, fleet.now);
        if (delayed.isForwarded)
            return;
        forwardReport(fleet, delayed);
        // The reply names the leader that this control VM knows.
        const auto engine = fleet.engines.find(delayed.report.id);
        if (engine != fleet.engines.end() && !isActing(fleet, vm))
            engine->second.reportsTo = fleet.leader;
    });
}

// Commits the proposals of the last elected leader while it is not cut off.
void commitProposals(EngineFleet &fleet)
{
    std::vector<ProposedChanges> waiting;
    for (ProposedChanges &proposal : std::exchange(fleet.proposals, {})) {
        SimulatedControlVm &vm = fleet.controlVms[proposal.controlVm];
        const bool isLeader = proposal.controlVm == fleet.leader && vm.planner.term == proposal.term
                              && !vm.isCutOff;
        if (!isLeader || proposal.at > fleet.now) {
            waiting.push_back(std::move(proposal));
            continue;
        }
        if (applyRecordChanges(fleet.log, proposal.changes)) {
            confirmRecordChanges(vm.planner, proposal.changes);
            continue;
        }
        fleet.violations.emplace_back("a VM was assigned to two groups");
        dropRecordChanges(vm.planner, proposal.changes);
    }
    fleet.proposals = std::move(waiting);
}

// Entries tell all control VMs of the progress of groups.
void reportProgress(EngineFleet &fleet)
{
    if (fleet.now < fleet.nextProgress)
        return;
    fleet.nextProgress = fleet.now + ProgressInterval;
    for (const auto &[id, engine] : fleet.engines) {
        const auto &membership = engine.report.membership;
        const bool isServing = engine.isRunning && membership && membership->rank == 0
                               && membership->phase == MembershipPhase::Open
                               && engine.stalledSince == TimePoint::max();
        if (!isServing)
            continue;
        for (SimulatedControlVm &vm : fleet.controlVms)
            recordGroupProgress(vm.table, id, engine.report.startedAtMs, {}, fleet.now);
    }
}

void deliverOrders(EngineFleet &fleet)
{
    deliverDue(fleet.orders, fleet.now,
               [&fleet](const DelayedOrder &order) { deliverOrder(fleet, order); });
}

// Tracks whether the group of a head has lost a VM. Such a head stalls and becomes broken after the
// stall timeout.
void updateStall(EngineFleet &fleet, SimulatedEngine &head)
{
    const GroupMembership &membership = *head.report.membership;
    const bool isWhole =
            std::all_of(head.members.begin(), head.members.end(), [&](const EndpointId &id) {
                const auto member = fleet.engines.find(id);
                return member != fleet.engines.end()
                       && isSameGroup(member->second, membership.group, membership.epoch);
            });
    if (isWhole) {
        head.stalledSince = TimePoint::max();
        return;
    }
    head.stalledSince = std::min(head.stalledSince, fleet.now);
    if (fleet.now - head.stalledSince >= fleet.stallTimeout)
        setPhase(fleet, head, MembershipPhase::Broken);
}

void advanceEngine(EngineFleet &fleet, SimulatedEngine &engine)
{
    if (!engine.isRunning)
        return;
    if (!engine.stagingModel.empty() && engine.stagingEndsAt <= fleet.now) {
        engine.report.stagedModels = {std::exchange(engine.stagingModel, {})};
        engine.nextReport = fleet.now;
    }
    if (engine.report.membership && engine.phaseChangesAt <= fleet.now) {
        engine.phaseChangesAt = TimePoint::max();
        setPhase(fleet, engine, engine.nextPhase);
        if (engine.nextPhase == MembershipPhase::Open)
            checkGroupIsReady(fleet, engine);
    }
    const auto &membership = engine.report.membership;
    const bool serves = membership && membership->rank == 0
                        && (membership->phase == MembershipPhase::Open
                            || membership->phase == MembershipPhase::Closing);
    if (serves)
        updateStall(fleet, engine);
    if (engine.nextReport > fleet.now)
        return;
    engine.nextReport = fleet.now + ReportInterval;
    ++engine.report.sequence;
    fleet.sentReports.push_back(engine.report);
    if (fleet.sentReports.size() > MaxSentReports)
        fleet.sentReports.pop_front();
    if (!engine.isPartitioned)
        fleet.reports.push_back({fleet.now + drawReplyDelay(fleet), fleet.now, engine.report,
                                 engine.reportsTo, false});
}

SimulatedEngine makeEngine(EngineFleet &fleet, const std::string &fabric,
                           const std::string &address)
{
    SimulatedEngine engine;
    engine.report.id = "i-" + std::to_string(fleet.nextEngineNumber);
    engine.report.service = "drafts";
    engine.report.address = address;
    engine.report.domain = fabric;
    engine.report.fabric = fabric;
    engine.report.slots = 26;
    engine.report.startedAtMs = 1000 + fleet.nextEngineNumber;
    ++fleet.nextEngineNumber;
    engine.nextReport = fleet.now;
    engine.reportsTo = fleet.leader;
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
        const SimulatedEngine added =
                makeEngine(fleet, "fabric-" + std::to_string(i / vmsPerFabric),
                           "10.0.0." + std::to_string(i) + ":80");
        fleet.engines[added.report.id] = added;
    }
    fleet.controlVms.resize(ControlVmCount);
    leaderOf(fleet).planner = makeGroupPlanner({}, 1, fleet.log, fleet.now);
    leaderOf(fleet).isLeading = true;
    return fleet;
}

OrderOutcome executeOrder(EngineFleet &fleet, const GroupOrder &order)
{
    return executeOnEngine(fleet, fleet.engines.at(order.endpoint), order);
}

void advanceEngines(EngineFleet &fleet)
{
    for (auto &[id, engine] : fleet.engines)
        advanceEngine(fleet, engine);
}

namespace {

Duration drawOrderDelay(EngineFleet &fleet)
{
    if (fleet.maxOrderDelay.count() == 0)
        return OrderDelay;
    std::uniform_int_distribution<long> delay(0, fleet.maxOrderDelay.count());
    return std::chrono::milliseconds(delay(fleet.rng));
}

void runPlanner(EngineFleet &fleet, std::size_t controlVm)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::uniform_int_distribution<int> lateDelay(2000, 12'000);
    SimulatedControlVm &vm = fleet.controlVms[controlVm];
    const ServiceConfiguration &config = fleet.published ? *fleet.published : fleet.config;
    std::vector<GroupOrder> orders = planGroups(vm.planner, vm.table, config, fleet.now);
    GroupRecordChanges changes = takeRecordChanges(vm.planner);
    if (!changes.isEmpty())
        fleet.proposals.push_back(
                {fleet.now + CommitDelay, controlVm, vm.planner.term, std::move(changes), false});
    for (GroupOrder &order : orders) {
        DelayedOrder delayed{fleet.now + drawOrderDelay(fleet), std::move(order), true};
        if (fraction(fleet.rng) < fleet.lateOrderFraction) {
            delayed.isAnswered = false;
            delayed.at = fleet.now + std::chrono::milliseconds(lateDelay(fleet.rng));
        }
        fleet.orders.push_back(std::move(delayed));
    }
}

} // namespace

void runFleet(EngineFleet &fleet, Duration duration)
{
    const TimePoint until = fleet.now + duration;
    while (fleet.now < until) {
        fleet.now += StepDuration;
        deliverOrders(fleet);
        advanceEngines(fleet);
        reportProgress(fleet);
        deliverToControl(fleet);
        commitProposals(fleet);
        for (std::size_t i = 0; i < fleet.controlVms.size(); ++i) {
            if (isActing(fleet, fleet.controlVms[i]))
                runPlanner(fleet, i);
        }
    }
}

void crashEngine(EngineFleet &fleet, const EndpointId &id)
{
    fleet.engines.at(id).isRunning = false;
}

EndpointId restartEngine(EngineFleet &fleet, const EndpointId &id)
{
    const SimulatedEngine previous = fleet.engines.at(id);
    SimulatedEngine engine = makeEngine(fleet, previous.report.fabric, previous.report.address);
    engine.report.stagedModels = previous.report.stagedModels;
    fleet.engines.erase(id);
    fleet.engines[engine.report.id] = engine;
    return engine.report.id;
}

void restartSameEngine(EngineFleet &fleet, const EndpointId &id)
{
    const SimulatedEngine previous = fleet.engines.at(id);
    SimulatedEngine engine = makeEngine(fleet, previous.report.fabric, previous.report.address);
    engine.report.id = id;
    engine.report.stagedModels = previous.report.stagedModels;
    engine.reportsTo = previous.reportsTo;
    engine.isPartitioned = previous.isPartitioned;
    fleet.engines[id] = engine;
}

EndpointId addEngine(EngineFleet &fleet, const std::string &fabric)
{
    const std::string address = "10.0.1." + std::to_string(fleet.nextEngineNumber) + ":80";
    const SimulatedEngine engine = makeEngine(fleet, fabric, address);
    fleet.engines[engine.report.id] = engine;
    return engine.report.id;
}

void setPartitioned(EngineFleet &fleet, const EndpointId &id, bool isPartitioned)
{
    fleet.engines.at(id).isPartitioned = isPartitioned;
}

void setDraining(EngineFleet &fleet, const EndpointId &id)
{
    SimulatedEngine &engine = fleet.engines.at(id);
    engine.report.isDraining = true;
    engine.nextReport = fleet.now;
}

namespace {

void publish(EngineFleet &fleet, ServiceConfiguration config)
{
    indexConfiguration(config);
    for (SimulatedControlVm &vm : fleet.controlVms)
        setServices(vm.table, config, fleet.now);
    fleet.published = std::move(config);
}

} // namespace

void publishWithoutService(EngineFleet &fleet)
{
    ServiceConfiguration config = fleet.config;
    config.services.clear();
    publish(fleet, std::move(config));
}

void publishWithoutModel(EngineFleet &fleet, const std::string &model)
{
    ServiceConfiguration config = fleet.config;
    std::erase_if(config.services.front().engine->models,
                  [&model](const ModelProfile &profile) { return profile.name == model; });
    publish(fleet, std::move(config));
}

void publishAll(EngineFleet &fleet)
{
    publish(fleet, fleet.config);
    fleet.published.reset();
}

void repeatReport(EngineFleet &fleet, std::size_t which, Duration delay)
{
    if (fleet.sentReports.empty())
        return;
    const EndpointReport &report = fleet.sentReports[which % fleet.sentReports.size()];
    const std::size_t controlVm = which % fleet.controlVms.size();
    fleet.reports.push_back({fleet.now + delay, fleet.now + delay, report, controlVm, false});
}

void sendReportWithoutGroup(EngineFleet &fleet, const EndpointId &id, bool lacksEngineState)
{
    EndpointReport report = fleet.engines.at(id).report;
    ++report.sequence;
    report.membership.reset();
    report.lacksEngineState = lacksEngineState;
    if (lacksEngineState) {
        report.fabric.clear();
        report.stagedModels.clear();
    }
    fleet.reports.push_back({fleet.now, fleet.now, report, fleet.leader, false});
}

namespace {

// Draws how many of the leader's proposals have reached the next leader. They arrive in order.
// Those of earlier leaders do not count.
void drawArrivedProposals(EngineFleet &fleet)
{
    const std::uint64_t term = leaderOf(fleet).planner.term;
    std::erase_if(fleet.proposals,
                  [term](const ProposedChanges &proposal) { return proposal.term != term; });
    const std::size_t arrived = fleet.rng() % (fleet.proposals.size() + 1);
    for (std::size_t i = 0; i < arrived; ++i)
        fleet.proposals[i].hasReachedOthers = true;
}

} // namespace

SimulatedControlVm &leaderOf(EngineFleet &fleet)
{
    return fleet.controlVms[fleet.leader];
}

const SimulatedControlVm &leaderOf(const EngineFleet &fleet)
{
    return fleet.controlVms[fleet.leader];
}

void setLeaderCutOff(EngineFleet &fleet, bool isCutOff)
{
    if (isCutOff) {
        leaderOf(fleet).isCutOff = true;
        drawArrivedProposals(fleet);
        return;
    }
    for (SimulatedControlVm &vm : fleet.controlVms)
        vm.isCutOff = false;
    // A link that returns starts with all reports that the peer knows.
    for (std::size_t i = 0; i < fleet.controlVms.size(); ++i) {
        for (const auto &[id, endpoint] : fleet.controlVms[i].table.endpoints)
            forwardReport(fleet, {{}, endpoint.lastReportAt, endpoint.report, i, false});
    }
}

void changeLeader(EngineFleet &fleet, Duration overlap)
{
    SimulatedControlVm &earlier = leaderOf(fleet);
    earlier.leadsUntil = fleet.now + overlap;
    if (!earlier.isCutOff)
        drawArrivedProposals(fleet);
    for (const ProposedChanges &proposal : std::exchange(fleet.proposals, {})) {
        if (proposal.hasReachedOthers)
            applyRecordChanges(fleet.log, proposal.changes);
    }
    const GroupPlannerOptions options = earlier.planner.options;
    const bool hasTraffic = earlier.planner.hasTraffic;
    const auto demandByModel = earlier.planner.demandByModel;
    const std::uint64_t term = earlier.planner.term + 1;
    fleet.leader = (fleet.leader + 1) % fleet.controlVms.size();
    SimulatedControlVm &next = leaderOf(fleet);
    next.isCutOff = false;
    next.planner = makeGroupPlanner(options, term, fleet.log, fleet.now);
    next.planner.hasTraffic = hasTraffic;
    next.planner.demandByModel = demandByModel;
    next.isLeading = true;
    next.leadsUntil = TimePoint::max();
}

std::size_t countOpenGroups(const EngineFleet &fleet, const std::string &model)
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
