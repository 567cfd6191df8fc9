#define BOOST_TEST_MODULE nodes
#include "support/nodeworld.h"

#include <boost/test/unit_test.hpp>

// Whole nodes over a fake network: the promises of the system under single faults.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string SetDeploymentText =
        "set deployment desk-model model m version v1 vms-per-group 2 groups 2";

// A world with a workspace and a deployment of two open groups.
NodeWorld servingWorld(std::uint64_t seed = 1)
{
    NodeWorldOptions options;
    options.seed = seed;
    NodeWorld world(options);
    world.advance(seconds(4));
    world.operate(0, "set workspace haldar weight 1", 1);
    world.operate(1, SetDeploymentText, 2);
    world.advance(seconds(12));
    return world;
}

const ServingGroup &anyGroup(NodeWorld &world)
{
    return world.node(0).feed.config.groups.begin()->second;
}

std::size_t indexOfEntry(const EntryId &entry)
{
    return std::stoul(entry.substr(entry.find('-') + 1));
}

// Advances in small steps until the condition holds; returns the time taken, or `limit`.
Duration waitFor(NodeWorld &world, Duration limit, const std::function<bool()> &condition)
{
    const TimePoint start = world.now();
    while (world.now() - start < limit && !condition())
        world.advance(milliseconds(20));
    return world.now() - start;
}

Outcome outcomeOf(const NodeWorld &world, std::uint64_t session)
{
    const auto found = world.answers().find(session);
    BOOST_REQUIRE(found != world.answers().end());
    return found->second.outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(servesDraftsAndCallsThroughEveryEntry)
{
    NodeWorld world = servingWorld();
    BOOST_TEST(world.openGates() == 2u);
    std::vector<std::uint64_t> sessions;
    for (std::size_t entry = 0; entry < world.size(); ++entry) {
        sessions.push_back(world.submitDraft(entry));
        sessions.push_back(world.submitCall(entry, {}));
        sessions.push_back(world.submitCall(entry, "pickup"));
    }
    world.advance(seconds(3));
    std::size_t done = 0;
    for (std::uint64_t session : sessions) {
        const auto &finish = world.answers().at(session);
        done += finish.outcome == Outcome::Done ? 1 : 0;
        if (finish.outcome != Outcome::Done)
            BOOST_TEST((finish.reason == Reason::KeyRunning));
    }
    BOOST_TEST(done >= sessions.size() - 3);
    BOOST_TEST(world.runs().at("pickup") == 1u);
    // Once it has finished, every resend gets its outcome.
    const std::uint64_t again = world.submitCall(3, "pickup");
    world.advance(seconds(1));
    BOOST_TEST((outcomeOf(world, again) == Outcome::Done));
    BOOST_TEST(world.answers().at(again).isReplay);
    BOOST_TEST(world.runs().at("pickup") == 1u);
}

BOOST_AUTO_TEST_CASE(isolatedDispatcherStopsBeforeItsSuccessorStarts)
{
    NodeWorld world = servingWorld();
    const std::size_t dispatcher = indexOfEntry(anyGroup(world).dispatcher);
    world.isolate(dispatcher);
    // The invariant of one user for each VM is checked on every step meanwhile.
    const Duration taken = waitFor(world, seconds(20), [&] {
        std::size_t open = 0;
        for (std::size_t i = 0; i < world.size(); ++i) {
            for (const auto &[id, gate] : world.node(i).gates)
                open += i != dispatcher && gate == GateStatus::Open ? 1 : 0;
        }
        return open == 2;
    });
    BOOST_TEST(taken < seconds(20));
    BOOST_TEST(!isServing(world.node(dispatcher), world.now()));
    const std::uint64_t refused = world.submitDraft(dispatcher);
    world.advance(milliseconds(40));
    BOOST_TEST((outcomeOf(world, refused) == Outcome::NotRun));
    BOOST_TEST((world.answers().at(refused).reason == Reason::Stale));
}

BOOST_AUTO_TEST_CASE(entryCutOffFromControlOnlyLearnsThroughPeers)
{
    NodeWorld world = servingWorld();
    // The entry without a seat reaches two seats only through one of them.
    world.cut(3, 0, true);
    world.cut(3, 1, true);
    world.advance(seconds(10));
    BOOST_TEST(isServing(world.node(3), world.now()));
    const std::uint64_t change = world.operate(0, "set workspace gursha weight 2", 9);
    world.advance(seconds(3));
    BOOST_TEST(world.operatorReplies().at(change).isOk);
    BOOST_TEST(world.node(3).feed.config.workspaces.contains("gursha"));
}

BOOST_AUTO_TEST_CASE(groupWithASilentVmTakesNothingAndIsReplaced)
{
    NodeWorld world = servingWorld();
    const VmId victim = anyGroup(world).vms.back();
    const GroupId broken = anyGroup(world).id;
    world.silenceVm(indexOfEntry(victim), true);
    const GateOptions options;
    world.advance(options.heartbeatBound + milliseconds(400));
    for (std::size_t i = 0; i < world.size(); ++i) {
        const auto gate = world.node(i).gates.find(broken);
        if (gate != world.node(i).gates.end())
            BOOST_TEST((gate->second != GateStatus::Open));
    }
    const Duration taken = waitFor(world, seconds(20), [&] { return world.openGates() == 2; });
    BOOST_TEST(taken < seconds(20));
    BOOST_TEST(!world.node(0).feed.config.groups.contains(broken));
}

BOOST_AUTO_TEST_CASE(draftOfAKilledDispatcherGoesOnElsewhere)
{
    NodeWorld world = servingWorld();
    const std::size_t dispatcher = indexOfEntry(anyGroup(world).dispatcher);
    const std::size_t origin = (dispatcher + 1) % world.size();
    std::vector<std::uint64_t> drafts;
    for (int i = 0; i < 8; ++i)
        drafts.push_back(world.submitDraft(origin));
    world.advance(milliseconds(20));
    world.crash(dispatcher);
    // The deadline is 8 s; the answer must not wait for it.
    world.advance(seconds(7));
    for (std::uint64_t draft : drafts)
        BOOST_TEST(world.answers().contains(draft));
}

BOOST_AUTO_TEST_CASE(secondVmLostRightAfterTheRepair)
{
    NodeWorld world = servingWorld();
    world.silenceVm(indexOfEntry(anyGroup(world).vms.back()), true);
    waitFor(world, seconds(20), [&] { return world.openGates() == 2; });
    world.silenceVm(indexOfEntry(anyGroup(world).vms.front()), true);
    world.advance(seconds(15));
    // Four of six engines are left in two fabric domains: one or two groups, never a broken one.
    BOOST_TEST(world.openGates() >= 1u);
    const std::uint64_t draft = world.submitDraft(2);
    world.advance(seconds(2));
    BOOST_TEST((outcomeOf(world, draft) == Outcome::Done));
}

BOOST_AUTO_TEST_CASE(restartedVmServesAgain)
{
    NodeWorld world = servingWorld();
    for (std::size_t i = 0; i < 6; ++i)
        world.restartVm(i);
    const Duration taken = waitFor(world, seconds(20), [&] { return world.openGates() == 2; });
    BOOST_TEST(taken < seconds(20));
}

BOOST_AUTO_TEST_CASE(leavingServiceGetsNoNewWork)
{
    NodeWorld world = servingWorld();
    world.leaveVm("service-6");
    world.advance(seconds(3));
    const TimePoint known = world.now();
    for (int i = 0; i < 40; ++i) {
        for (std::size_t entry = 0; entry < world.size(); ++entry)
            world.submitCall(entry, {});
        world.advance(milliseconds(100));
    }
    BOOST_TEST((world.lastStart("service-6") < known));
    BOOST_TEST((world.lastStart("service-7") > known));
}

BOOST_AUTO_TEST_CASE(leavingNoticeSurvivesTheEntryThatHeardIt)
{
    NodeWorld world = servingWorld();
    world.leaveVm("service-7");
    world.advance(milliseconds(40));
    world.crash(indexOfEntry(world.node(0).settings.self.entry));
    world.advance(seconds(3));
    const TimePoint known = world.now();
    for (int i = 0; i < 20; ++i) {
        for (std::size_t entry = 1; entry < world.size(); ++entry)
            world.submitCall(entry, {});
        world.advance(milliseconds(100));
    }
    BOOST_TEST((world.lastStart("service-7") < known));
}

BOOST_AUTO_TEST_CASE(newLeaderServesSoon)
{
    NodeWorld world = servingWorld();
    const auto leader = world.leader();
    BOOST_REQUIRE(leader.has_value());
    world.crash(*leader);
    const Duration taken = waitFor(world, seconds(10), [&] { return world.leader().has_value(); });
    BOOST_TEST(taken < seconds(2));
    const std::uint64_t change = world.operate((*leader + 1) % 3, "set workspace new weight 1", 7);
    world.advance(seconds(2));
    BOOST_TEST(world.operatorReplies().at(change).isOk);
}

BOOST_AUTO_TEST_CASE(restartedEntryCatchesUpBeforeItServes)
{
    NodeWorld world = servingWorld();
    world.crash(3);
    for (std::uint64_t i = 0; i < 500; ++i) {
        world.operate(i % 2, "set workspace w" + std::to_string(i) + " weight 1", 1000 + i);
        if (i % 20 == 0)
            world.advance(milliseconds(100));
    }
    world.advance(seconds(3));
    world.restart(3);
    const Duration taken =
            waitFor(world, seconds(10), [&] { return isServing(world.node(3), world.now()); });
    BOOST_TEST(taken < seconds(5));
    BOOST_TEST(world.node(3).feed.config.version == world.node(0).feed.config.version);
    BOOST_TEST(world.node(3).feed.config.workspaces.size() == 501u);
}

BOOST_AUTO_TEST_CASE(drainingEntryFinishesAndHandsOver)
{
    NodeWorld world = servingWorld();
    const std::size_t dispatcher = indexOfEntry(anyGroup(world).dispatcher);
    const std::uint64_t running = world.submitDraft((dispatcher + 1) % world.size());
    world.advance(milliseconds(40));
    world.drain(dispatcher);
    const Duration taken = waitFor(world, seconds(20),
                                   [&] { return isDrained(world.node(dispatcher), world.now()); });
    BOOST_TEST(taken < seconds(20));
    BOOST_TEST((outcomeOf(world, running) == Outcome::Done));
    BOOST_TEST(world.openGates() == 2u);
}

BOOST_AUTO_TEST_CASE(pausedEntryUsesNoOldRights)
{
    NodeWorld world = servingWorld();
    const std::size_t dispatcher = indexOfEntry(anyGroup(world).dispatcher);
    world.pause(dispatcher, seconds(15));
    // Its groups move meanwhile; when it runs again, two users of a VM would be seen at once.
    world.advance(seconds(20));
    BOOST_TEST(world.openGates() == 2u);
    for (std::size_t i = 0; i < world.size(); ++i)
        BOOST_TEST(
                isReachable(world.node(dispatcher).membership, world.node(i).settings.self.entry));
}

BOOST_AUTO_TEST_CASE(racingOperatorsGetOneOutcomeEach)
{
    NodeWorld world = servingWorld();
    const std::uint64_t first = world.operate(0, "set workspace race weight 2", 50);
    const std::uint64_t second = world.operate(1, "set workspace race weight 3", 50);
    world.advance(seconds(2));
    const bool one = world.operatorReplies().at(first).isOk;
    const bool other = world.operatorReplies().at(second).isOk;
    BOOST_TEST(one != other);
    const std::uint64_t resent = world.operate(2, "set workspace race weight 2", 50);
    world.advance(seconds(2));
    BOOST_TEST(world.operatorReplies().at(resent).isOk == one);
    BOOST_TEST(world.operatorReplies().at(resent).version
               == world.operatorReplies().at(first).version);
}

BOOST_AUTO_TEST_CASE(queryNamesEntriesThatDidNotAnswer)
{
    NodeWorld world = servingWorld();
    world.crash(3);
    const std::uint64_t query = world.operate(0, "show versions", 0);
    world.advance(seconds(3));
    const OperatorReply &reply = world.operatorReplies().at(query);
    BOOST_TEST(reply.isOk);
    BOOST_TEST(reply.rows.size() == 3u);
    BOOST_REQUIRE(reply.missing.size() == 1u);
    BOOST_TEST(reply.missing[0] == "entry-3");
}

} // namespace Trefoil
