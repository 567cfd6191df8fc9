#define BOOST_TEST_MODULE controllinks
#include "crowds/gatewaysystem.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>

// Tests that control VMs, as real processes, learn from each other what only one of them was told.

namespace Trefoil {

namespace {

namespace asio = boost::asio;

constexpr auto TestTimeout = std::chrono::minutes(2);
constexpr auto PollInterval = std::chrono::milliseconds(100);
constexpr int MaxPolls = 100;

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, RuntimeClock::now() + duration);
    co_await timer.async_wait(asio::use_awaitable);
}

struct LinksFixture
{
    asio::io_context context{1};
    GatewaySystemOptions options;
    std::unique_ptr<GatewaySystem> system;

    void run(const std::function<asio::awaitable<void>()> &test)
    {
        system = std::make_unique<GatewaySystem>(
                context, TREFOIL_CROWD_FOLDER "/links-" + std::to_string(::getpid()), options);
        RuntimeTimer timer(context, RuntimeClock::now() + TestTimeout);
        timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            BOOST_ERROR("the test does not end");
            context.stop();
        });
        asio::co_spawn(
                context,
                [this, &test]() -> asio::awaitable<void> {
                    const bool isStarted = co_await system->start();
                    BOOST_CHECK(isStarted);
                    if (isStarted)
                        co_await test();
                    context.stop();
                },
                [](const std::exception_ptr &failure) {
                    if (failure)
                        std::rethrow_exception(failure);
                });
        context.run();
    }

    // Waits until the metric of the node has the value.
    asio::awaitable<bool> reaches(const GatewayNode &node, std::string name, double value)
    {
        for (int polls = 0; polls < MaxPolls; ++polls) {
            const double current = co_await readMetric(node, name);
            if (current == value)
                co_return true;
            co_await sleepFor(PollInterval);
        }
        co_return false;
    }
};

} // namespace

// The engines report to a control VM that does not lead, and keep to it.
BOOST_FIXTURE_TEST_CASE(reports_to_a_follower_are_unknown_to_the_leader, LinksFixture)
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
BOOST_FIXTURE_TEST_CASE(a_new_leader_does_not_know_what_the_last_one_was_told, LinksFixture)
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
BOOST_FIXTURE_TEST_CASE(control_vms_that_are_no_seeds_do_not_find_each_other, LinksFixture)
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
