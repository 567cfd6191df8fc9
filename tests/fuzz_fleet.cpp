#define BOOST_TEST_MODULE fuzz_fleet
#include "support/enginefleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iterator>

// Stateful fuzzing of the group planners of successive leaders. Each leader knows only what a real
// one knows: the committed log and the reports that reached it. Earlier leaders go on acting, and
// their orders and the reports of engines may be lost, late or reordered.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Action {
    Advance,
    CrashEngine,
    RestartEngine,     // as another instance
    RestartSameEngine, // under its id
    PartitionEngine,   // from all control VMs
    HealEngines,
    DrainEngine,
    ShiftDemand,
    CutLeaderOff,
    ChangeLeader,
    HealControl,
};

// The meaning of the argument depends on the action.
struct Step
{
    Action action;
    std::uint32_t argument;
    std::uint32_t advanceMs;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << static_cast<int>(step.action) << "(" << step.argument << ")+"
                  << step.advanceMs;
}

rc::Gen<Step> generateStep()
{
    return rc::gen::construct<Step>(
            rc::gen::weightedElement<Action>({{2, Action::Advance},
                                              {4, Action::CrashEngine},
                                              {4, Action::RestartEngine},
                                              {1, Action::RestartSameEngine},
                                              {1, Action::PartitionEngine},
                                              {2, Action::HealEngines},
                                              {1, Action::DrainEngine},
                                              {1, Action::ShiftDemand},
                                              {3, Action::CutLeaderOff},
                                              {4, Action::ChangeLeader},
                                              {2, Action::HealControl}}),
            rc::gen::inRange<std::uint32_t>(0, 1000), rc::gen::inRange<std::uint32_t>(10, 1500));
}

EndpointId pickEngine(const EngineFleet &fleet, std::uint32_t argument, bool isRunning)
{
    std::vector<EndpointId> ids;
    for (const auto &[id, engine] : fleet.engines) {
        if (engine.isRunning == isRunning)
            ids.push_back(id);
    }
    return ids.empty() ? EndpointId{} : ids[argument % ids.size()];
}

void applyStep(EngineFleet &fleet, const Step &step)
{
    const bool picksRunning = step.action != Action::RestartEngine;
    const EndpointId id = pickEngine(fleet, step.argument, picksRunning);
    switch (step.action) {
    case Action::Advance:
        break;
    case Action::CrashEngine:
        if (!id.empty())
            crashEngine(fleet, id);
        break;
    case Action::RestartEngine:
        if (!id.empty())
            restartEngine(fleet, id);
        break;
    case Action::RestartSameEngine:
        if (!id.empty())
            restartSameEngine(fleet, id);
        break;
    case Action::PartitionEngine:
        if (!id.empty())
            setPartitioned(fleet, id, true);
        break;
    case Action::HealEngines:
        for (auto &[other, engine] : fleet.engines)
            engine.isPartitioned = false;
        break;
    case Action::DrainEngine:
        if (!id.empty())
            setDraining(fleet, id);
        break;
    case Action::ShiftDemand:
        leaderOf(fleet).planner.demandByModel["large"] = step.argument % 100;
        leaderOf(fleet).planner.demandByModel["small"] = 100 - step.argument % 100;
        break;
    case Action::CutLeaderOff:
        setLeaderCutOff(fleet, true);
        break;
    case Action::ChangeLeader:
        changeLeader(fleet, milliseconds(step.argument * 2));
        break;
    case Action::HealControl:
        setLeaderCutOff(fleet, false);
        break;
    }
    runFleet(fleet, milliseconds(step.advanceMs));
}

// A VM joins a group while the head of its group could serve, a group opens before its members are
// ready, or the log assigns a VM twice.
BOOST_AUTO_TEST_CASE(successiveLeadersAssignAVmTwice)
{
    const bool passed = rc::check("groups under changes of the leader", [] {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps =
                *rc::gen::scale(0.5, rc::gen::container<std::vector<Step>>(generateStep()));
        const bool hasLateOrders = *rc::gen::arbitrary<bool>();
        const bool hasLateReplies = *rc::gen::arbitrary<bool>();
        EngineFleet fleet = makeEngineFleet(1, seed, 9);
        leaderOf(fleet).planner.hasTraffic = false;
        runFleet(fleet, seconds(8));
        leaderOf(fleet).planner.hasTraffic = true;
        fleet.lateOrderFraction = hasLateOrders ? 0.2 : 0;
        fleet.delayedReplyFraction = hasLateReplies ? 0.3 : 0;
        fleet.maxReplyDelay = milliseconds(3000);
        for (const Step &step : steps)
            applyStep(fleet, step);
        if (!fleet.violations.empty())
            RC_FAIL(fleet.violations.front());
        RC_CLASSIFY(fleet.log.byName.size() > 1, "several groups at the end");
    });
    BOOST_TEST(passed);
}

// After all faults have ended, groups form again.
BOOST_AUTO_TEST_CASE(faultsLeaveVmsUnused)
{
    const bool passed = rc::check("groups after changes of the leader", [] {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps =
                *rc::gen::scale(0.3, rc::gen::container<std::vector<Step>>(generateStep()));
        EngineFleet fleet = makeEngineFleet(1, seed, 9);
        leaderOf(fleet).planner.hasTraffic = false;
        runFleet(fleet, seconds(8));
        for (const Step &step : steps) {
            if (step.action != Action::DrainEngine)
                applyStep(fleet, step);
        }
        setLeaderCutOff(fleet, false);
        std::vector<EndpointId> crashed;
        for (auto &[id, engine] : fleet.engines) {
            engine.isPartitioned = false;
            if (!engine.isRunning)
                crashed.push_back(id);
        }
        for (const EndpointId &id : crashed)
            restartEngine(fleet, id);
        runFleet(fleet, seconds(45));
        RC_ASSERT(countOpenGroups(fleet, "large") * 4 + countOpenGroups(fleet, "small") * 2 >= 6);
        RC_ASSERT(fleet.violations.empty());
    });
    BOOST_TEST(passed);
}

} // namespace

} // namespace Trefoil
