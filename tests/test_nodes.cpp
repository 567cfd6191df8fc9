#define BOOST_TEST_MODULE nodes
#include "support/nodeworld.h"

#include <boost/test/unit_test.hpp>

// Runs complete entries over a fake network and checks the invariants of the system under single
// faults. NodeSimulation checks on every step that no VM is used by two entries.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string SetDeploymentStatement =
        "set deployment desk-model model m version v1 vms-per-group 2 groups 2";

// Creates a simulation with a workspace and a deployment whose two groups are open.
NodeSimulation makeServingSimulation(std::uint64_t seed = 1)
{
    NodeSimulationOptions options;
    options.seed = seed;
    NodeSimulation simulation(options);
    simulation.advance(seconds(4));
    simulation.executeStatement(0, "set workspace haldar weight 1", 1);
    simulation.executeStatement(1, SetDeploymentStatement, 2);
    simulation.advance(seconds(12));
    return simulation;
}

const ServingGroup &firstGroup(NodeSimulation &simulation)
{
    return simulation.node(0).feed.config.groups.begin()->second;
}

std::size_t numberInId(const EntryId &entry)
{
    return std::stoul(entry.substr(entry.find('-') + 1));
}

// Advances in small steps until the condition holds or the limit is reached. Returns the elapsed
// time.
Duration waitFor(NodeSimulation &simulation, Duration limit, const std::function<bool()> &condition)
{
    const TimePoint start = simulation.now();
    while (simulation.now() - start < limit && !condition())
        simulation.advance(milliseconds(20));
    return simulation.now() - start;
}

Outcome outcomeOf(const NodeSimulation &simulation, std::uint64_t session)
{
    const auto found = simulation.answers().find(session);
    BOOST_REQUIRE(found != simulation.answers().end());
    return found->second.outcome;
}

} // namespace

// Every entry must serve model requests and service calls. Resends of a call with an idempotency
// key arrive through all entries while the first one runs, and must not execute it again.
BOOST_AUTO_TEST_CASE(entryDoesNotServeOrKeyedCallRunsTwice)
{
    NodeSimulation simulation = makeServingSimulation();
    BOOST_TEST(simulation.countOpenGates() == 2u);
    std::vector<std::uint64_t> sessions;
    for (std::size_t entry = 0; entry < simulation.size(); ++entry) {
        sessions.push_back(simulation.submitModelRequest(entry));
        sessions.push_back(simulation.submitServiceCall(entry, {}));
        sessions.push_back(simulation.submitServiceCall(entry, "pickup"));
    }
    simulation.advance(seconds(3));
    std::size_t doneCount = 0;
    for (std::uint64_t session : sessions) {
        const auto &finish = simulation.answers().at(session);
        doneCount += finish.outcome == Outcome::Done ? 1 : 0;
        if (finish.outcome != Outcome::Done)
            BOOST_TEST((finish.reason == Reason::KeyRunning));
    }
    BOOST_TEST(doneCount >= sessions.size() - 3);
    BOOST_TEST(simulation.executionCounts().at("pickup") == 1u);
    // After the call has ended, a resend gets its recorded outcome.
    const std::uint64_t resent = simulation.submitServiceCall(3, "pickup");
    simulation.advance(seconds(1));
    BOOST_TEST((outcomeOf(simulation, resent) == Outcome::Done));
    BOOST_TEST(simulation.answers().at(resent).isReplay);
    BOOST_TEST(simulation.executionCounts().at("pickup") == 1u);
}

// A dispatcher that is cut off from all entries does not learn that its groups were moved. It must
// stop by itself before the new dispatcher opens them.
BOOST_AUTO_TEST_CASE(isolatedDispatcherKeepsServing)
{
    NodeSimulation simulation = makeServingSimulation();
    const std::size_t dispatcher = numberInId(firstGroup(simulation).dispatcher);
    simulation.isolate(dispatcher);
    // Meanwhile the simulation checks on every step that only one entry uses each VM.
    const Duration elapsed = waitFor(simulation, seconds(20), [&] {
        std::size_t openGates = 0;
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            for (const auto &[id, gate] : simulation.node(i).gates)
                openGates += i != dispatcher && gate == GateStatus::Open ? 1 : 0;
        }
        return openGates == 2;
    });
    BOOST_TEST(elapsed < seconds(20));
    BOOST_TEST(!isServing(simulation.node(dispatcher), simulation.now()));
    const std::uint64_t refusedSession = simulation.submitModelRequest(dispatcher);
    simulation.advance(milliseconds(40));
    BOOST_TEST((outcomeOf(simulation, refusedSession) == Outcome::NotRun));
    BOOST_TEST((simulation.answers().at(refusedSession).reason == Reason::Stale));
}

// An entry that cannot reach most seats must still receive configuration changes and freshness
// samples from its peers.
BOOST_AUTO_TEST_CASE(entryWithLinkToOneSeatBecomesStale)
{
    NodeSimulation simulation = makeServingSimulation();
    // Entry 3 has no seat. Its only link to a seat is the one to entry 2.
    simulation.blockLink(3, 0, true);
    simulation.blockLink(3, 1, true);
    simulation.advance(seconds(10));
    BOOST_TEST(isServing(simulation.node(3), simulation.now()));
    const std::uint64_t changeSession =
            simulation.executeStatement(0, "set workspace gursha weight 2", 9);
    simulation.advance(seconds(3));
    BOOST_TEST(simulation.operatorReplies().at(changeSession).isOk);
    BOOST_TEST(simulation.node(3).feed.config.workspaces.contains("gursha"));
}

// A VM stops sending heartbeats. The gate of its group must close within the heartbeat bound, and
// the group must be replaced.
BOOST_AUTO_TEST_CASE(groupWithSilentVmStaysInUse)
{
    NodeSimulation simulation = makeServingSimulation();
    const VmId silentVm = firstGroup(simulation).vms.back();
    const GroupId brokenGroup = firstGroup(simulation).id;
    simulation.setVmSilent(numberInId(silentVm), true);
    const GateOptions options;
    simulation.advance(options.heartbeatBound + milliseconds(400));
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        const auto gate = simulation.node(i).gates.find(brokenGroup);
        if (gate != simulation.node(i).gates.end())
            BOOST_TEST((gate->second != GateStatus::Open));
    }
    const Duration elapsed =
            waitFor(simulation, seconds(20), [&] { return simulation.countOpenGates() == 2; });
    BOOST_TEST(elapsed < seconds(20));
    BOOST_TEST(!simulation.node(0).feed.config.groups.contains(brokenGroup));
}

// The dispatcher of running requests crashes and never reports their end. The origin must notice
// the loss and answer without waiting for the deadline.
BOOST_AUTO_TEST_CASE(requestAtCrashedDispatcherWaitsForItsDeadline)
{
    NodeSimulation simulation = makeServingSimulation();
    const std::size_t dispatcher = numberInId(firstGroup(simulation).dispatcher);
    const std::size_t origin = (dispatcher + 1) % simulation.size();
    std::vector<std::uint64_t> requests;
    for (int i = 0; i < 8; ++i)
        requests.push_back(simulation.submitModelRequest(origin));
    simulation.advance(milliseconds(20));
    simulation.crash(dispatcher);
    // The deadline is 8 s. The answers must arrive before it.
    simulation.advance(seconds(7));
    for (std::uint64_t request : requests)
        BOOST_TEST(simulation.answers().contains(request));
}

// A second VM is lost right after the groups were repaired from the loss of the first. The
// remaining engines must still form a group that serves.
BOOST_AUTO_TEST_CASE(secondLossRightAfterRepairLeavesNoGroup)
{
    NodeSimulation simulation = makeServingSimulation();
    simulation.setVmSilent(numberInId(firstGroup(simulation).vms.back()), true);
    waitFor(simulation, seconds(20), [&] { return simulation.countOpenGates() == 2; });
    simulation.setVmSilent(numberInId(firstGroup(simulation).vms.front()), true);
    simulation.advance(seconds(15));
    // Four of six engines remain in two fabric domains, which is enough for one or two groups.
    BOOST_TEST(simulation.countOpenGates() >= 1u);
    const std::uint64_t request = simulation.submitModelRequest(2);
    simulation.advance(seconds(2));
    BOOST_TEST((outcomeOf(simulation, request) == Outcome::Done));
}

// All engines restart with a new incarnation and without a group. They must be announced again and
// the groups must be formed again.
BOOST_AUTO_TEST_CASE(restartedVmsStayUnused)
{
    NodeSimulation simulation = makeServingSimulation();
    for (std::size_t i = 0; i < 6; ++i)
        simulation.restartVm(i);
    const Duration elapsed =
            waitFor(simulation, seconds(20), [&] { return simulation.countOpenGates() == 2; });
    BOOST_TEST(elapsed < seconds(20));
}

// A service announces that it leaves but keeps sending heartbeats. No entry may start a call on it
// any more, and the other service must take over.
BOOST_AUTO_TEST_CASE(leavingServiceGetsNewCalls)
{
    NodeSimulation simulation = makeServingSimulation();
    simulation.sendVmLeave("service-6");
    simulation.advance(seconds(3));
    const TimePoint noticeSpread = simulation.now();
    for (int i = 0; i < 40; ++i) {
        for (std::size_t entry = 0; entry < simulation.size(); ++entry)
            simulation.submitServiceCall(entry, {});
        simulation.advance(milliseconds(100));
    }
    BOOST_TEST((simulation.lastStartTime("service-6") < noticeSpread));
    BOOST_TEST((simulation.lastStartTime("service-7") > noticeSpread));
}

// The entry that received the notice of a leaving service crashes. The other entries must know of
// the notice by then.
BOOST_AUTO_TEST_CASE(leavingNoticeIsLostWithItsReceiver)
{
    NodeSimulation simulation = makeServingSimulation();
    simulation.sendVmLeave("service-7");
    simulation.advance(milliseconds(40));
    simulation.crash(numberInId(simulation.node(0).settings.self.entry));
    simulation.advance(seconds(3));
    const TimePoint noticeSpread = simulation.now();
    for (int i = 0; i < 20; ++i) {
        for (std::size_t entry = 1; entry < simulation.size(); ++entry)
            simulation.submitServiceCall(entry, {});
        simulation.advance(milliseconds(100));
    }
    BOOST_TEST((simulation.lastStartTime("service-7") < noticeSpread));
}

// The control leader crashes. Another seat must lead and accept commands within seconds.
BOOST_AUTO_TEST_CASE(controlStateUnavailableAfterLeaderCrash)
{
    NodeSimulation simulation = makeServingSimulation();
    const auto leader = simulation.findLeader();
    BOOST_REQUIRE(leader.has_value());
    simulation.crash(*leader);
    const Duration elapsed =
            waitFor(simulation, seconds(10), [&] { return simulation.findLeader().has_value(); });
    BOOST_TEST(elapsed < seconds(2));
    const std::uint64_t changeSession =
            simulation.executeStatement((*leader + 1) % 3, "set workspace new weight 1", 7);
    simulation.advance(seconds(2));
    BOOST_TEST(simulation.operatorReplies().at(changeSession).isOk);
}

// An entry is down while 500 changes are accepted. After its restart it must apply all of them
// before it serves.
BOOST_AUTO_TEST_CASE(restartedEntryServesWithOldConfiguration)
{
    NodeSimulation simulation = makeServingSimulation();
    simulation.crash(3);
    for (std::uint64_t i = 0; i < 500; ++i) {
        simulation.executeStatement(i % 2, "set workspace w" + std::to_string(i) + " weight 1",
                                    1000 + i);
        if (i % 20 == 0)
            simulation.advance(milliseconds(100));
    }
    simulation.advance(seconds(3));
    simulation.restart(3);
    const Duration elapsed = waitFor(simulation, seconds(10), [&] {
        return isServing(simulation.node(3), simulation.now());
    });
    BOOST_TEST(elapsed < seconds(5));
    BOOST_TEST(simulation.node(3).feed.config.version == simulation.node(0).feed.config.version);
    BOOST_TEST(simulation.node(3).feed.config.workspaces.size() == 501u);
}

// An entry that dispatches groups drains while a request is in progress. The request must be
// completed, and the groups must move to other entries and stay open.
BOOST_AUTO_TEST_CASE(drainingEntryDropsRequestsOrKeepsGroups)
{
    NodeSimulation simulation = makeServingSimulation();
    const std::size_t dispatcher = numberInId(firstGroup(simulation).dispatcher);
    const std::uint64_t requestInProgress =
            simulation.submitModelRequest((dispatcher + 1) % simulation.size());
    simulation.advance(milliseconds(40));
    simulation.drain(dispatcher);
    const Duration elapsed = waitFor(simulation, seconds(20), [&] {
        return isDrained(simulation.node(dispatcher), simulation.now());
    });
    BOOST_TEST(elapsed < seconds(20));
    BOOST_TEST((outcomeOf(simulation, requestInProgress) == Outcome::Done));
    BOOST_TEST(simulation.countOpenGates() == 2u);
}

// An entry does not run for 15 s, for example because its host was suspended, and its groups are
// moved to others. It must not use them when it continues with its old state.
BOOST_AUTO_TEST_CASE(pausedEntryUsesMovedGroups)
{
    NodeSimulation simulation = makeServingSimulation();
    const std::size_t dispatcher = numberInId(firstGroup(simulation).dispatcher);
    simulation.pause(dispatcher, seconds(15));
    // The groups move during the pause. If the entry used its old groups afterwards, the simulation
    // would see two users of a VM.
    simulation.advance(seconds(20));
    BOOST_TEST(simulation.countOpenGates() == 2u);
    for (std::size_t i = 0; i < simulation.size(); ++i)
        BOOST_TEST(isReachable(simulation.node(dispatcher).membership,
                               simulation.node(i).settings.self.entry));
}

// Two statements with the same operator and command number are submitted at the same time through
// different entries. Only one may be accepted, and a resend must get the first reply.
BOOST_AUTO_TEST_CASE(reusedCommandNumberIsAcceptedTwice)
{
    NodeSimulation simulation = makeServingSimulation();
    const std::uint64_t first = simulation.executeStatement(0, "set workspace race weight 2", 50);
    const std::uint64_t second = simulation.executeStatement(1, "set workspace race weight 3", 50);
    simulation.advance(seconds(2));
    const bool isFirstOk = simulation.operatorReplies().at(first).isOk;
    const bool isSecondOk = simulation.operatorReplies().at(second).isOk;
    BOOST_TEST(isFirstOk != isSecondOk);
    const std::uint64_t resent = simulation.executeStatement(2, "set workspace race weight 2", 50);
    simulation.advance(seconds(2));
    BOOST_TEST(simulation.operatorReplies().at(resent).isOk == isFirstOk);
    BOOST_TEST(simulation.operatorReplies().at(resent).version
               == simulation.operatorReplies().at(first).version);
}

// A query over all entries must not silently return an incomplete result when an entry is down. The
// reply must list the missing entry.
BOOST_AUTO_TEST_CASE(queryOmitsUnreachableEntries)
{
    NodeSimulation simulation = makeServingSimulation();
    simulation.crash(3);
    const std::uint64_t querySession = simulation.executeStatement(0, "show versions", 0);
    simulation.advance(seconds(3));
    const OperatorReply &reply = simulation.operatorReplies().at(querySession);
    BOOST_TEST(reply.isOk);
    BOOST_TEST(reply.rows.size() == 3u);
    BOOST_REQUIRE(reply.missing.size() == 1u);
    BOOST_TEST(reply.missing[0] == "entry-3");
}

} // namespace Trefoil
