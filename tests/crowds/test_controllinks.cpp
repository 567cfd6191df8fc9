#define BOOST_TEST_MODULE controllinks
#include "crowds/systemfixture.h"

// Tests that control VMs, as real processes, learn from each other what only one of them was told.

namespace Trefoil {

namespace {

namespace asio = boost::asio;

} // namespace

// The engines report to a control VM that does not lead, and keep to it.
BOOST_FIXTURE_TEST_CASE(reports_to_a_follower_are_unknown_to_the_leader, SystemFixture)
{
    options.controlVms = 3;
    options.engines = 2;
    run([&]() -> asio::awaitable<void> {
        GatewayNode *leader = co_await system->findLeader();
        BOOST_REQUIRE(leader);
        for (const GatewayNode &control : system->controls) {
            if (&control == leader)
                continue;
            for (const auto &engine : system->engines)
                engine->reportTo(addressOf(control, ControlPort));
        }
        const bool isOpen = co_await reaches(*leader, "groups_open", 1);
        BOOST_CHECK(isOpen);
    });
}

// The engines report to the leader alone until it ends, and then to a control VM that does not
// lead. Their group goes on under the next leader, which no engine tells anything.
BOOST_FIXTURE_TEST_CASE(a_new_leader_does_not_know_what_the_last_one_was_told, SystemFixture)
{
    options.controlVms = 3;
    options.engines = 2;
    run([&]() -> asio::awaitable<void> {
        GatewayNode *first = co_await system->findLeader();
        BOOST_REQUIRE(first);
        for (const auto &engine : system->engines)
            engine->reportTo(addressOf(*first, ControlPort));
        const bool isOpen = co_await reaches(*first, "groups_open", 1);
        BOOST_REQUIRE(isOpen);
        co_await sleepFor(std::chrono::seconds(1));
        for (const auto &engine : system->engines)
            engine->reportTo({});
        first->process->terminate();
        first->process->wait();
        GatewayNode *second = co_await system->findLeader();
        BOOST_REQUIRE(second);
        // The plain endpoint reports to the first control VM, which may have been the leader.
        const double known = co_await readMetric(*second, "endpoints_known");
        BOOST_CHECK_EQUAL(known, 3);
        for (const GatewayNode &control : system->controls) {
            if (&control == first || &control == second)
                continue;
            for (const auto &engine : system->engines)
                engine->reportTo(addressOf(control, ControlPort));
        }
        const bool isContinued = co_await reaches(*second, "groups_open", 1);
        BOOST_CHECK(isContinued);
        for (const auto &engine : system->engines) {
            for (const std::string &order : engine->orders())
                BOOST_CHECK_MESSAGE(order != "leave" && order != "close", order);
        }
    });
}

// Two control VMs that are no seeds learn of each other only by the topology that a seed sends.
BOOST_FIXTURE_TEST_CASE(control_vms_that_are_no_seeds_do_not_find_each_other, SystemFixture)
{
    options.controlVms = 5;
    run([&]() -> asio::awaitable<void> {
        // Links from the entry and the four other control VMs.
        for (const GatewayNode &control : system->controls) {
            const bool isLinked = co_await reaches(control, "links_accepted", 5);
            BOOST_CHECK_MESSAGE(isLinked, control.name + " lacks links");
        }
    });
}

} // namespace Trefoil
