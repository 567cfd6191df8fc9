#define BOOST_TEST_MODULE controllinks
#include "crowds/systemfixture.h"

#include <csignal>

// Tests that control VMs, as real processes, learn from each other what only one of them was told,
// however much it is.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Longer than links wait for a silent peer.
constexpr auto FreezeTime = milliseconds(2500);

// Reports to the control VM in the names of workers of another fleet, of a service that no
// configuration names, with many models each.
asio::awaitable<void> reportForeignWorkers(std::string address, std::size_t count)
{
    constexpr std::size_t models = 300;
    std::string staged;
    for (std::size_t i = 0; i < models; ++i)
        staged += (i == 0 ? "" : ",")
                  + ("\"adapter-of-a-large-catalogue-" + std::to_string(i) + "\"");
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        HttpCall call;
        call.address = address;
        call.target = "/trefoilrun/instances/foreign-" + number + "/heartbeat";
        call.body = R"({"service":"catalogue","address":"127.46.9.1:)" + std::to_string(9000 + i)
                    + R"(","zone":"d1","slots":6,"state":"ready","sequence":1,"born":5,)"
                    + R"("models":[],"staged":[)" + staged + "]}";
        const HttpCallResult answer = co_await callHttp(std::move(call));
        BOOST_CHECK_EQUAL(answer.status, 200);
    }
}

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

// Reports of another fleet are larger than a message. Links that break are then never up again, so
// that control loses its quorum and an entry that restarts learns nothing.
BOOST_FIXTURE_TEST_CASE(foreign_reports_end_links_between_nodes, SystemFixture)
{
    options.controlVms = 3;
    run([&]() -> asio::awaitable<void> {
        co_await reportForeignWorkers(addressOf(system->controls[0], ControlPort), 400);
        for (std::size_t i = 1; i < 3; ++i) {
            ::kill(system->controls[i].process->id(), SIGSTOP);
            co_await sleepFor(FreezeTime);
            ::kill(system->controls[i].process->id(), SIGCONT);
            co_await sleepFor(FreezeTime);
        }
        GatewayNode *leader = co_await system->findLeader();
        BOOST_REQUIRE(leader);
        for (const GatewayNode &control : system->controls) {
            const bool isLinked = co_await reaches(control, "links_accepted", 3);
            BOOST_CHECK_MESSAGE(isLinked, control.name + " lacks links");
        }
        system->restart(system->entry);
        const bool isServed = co_await system->serveOneRequest();
        BOOST_CHECK(isServed);
    });
}

// The compressed text is larger than the buffers of all links.
BOOST_FIXTURE_TEST_CASE(large_configuration_ends_links_between_nodes, SystemFixture)
{
    options.controlVms = 3;
    options.memoryMb = 256;
    options.configurationPaddingBytes = 7 * 1024 * 1024;
    run([&]() -> asio::awaitable<void> {
        // A control VM that comes back receives the log in the same way.
        for (GatewayNode &control : system->controls)
            system->restart(control);
        GatewayNode *leader = co_await system->findLeader();
        BOOST_REQUIRE(leader);
        for (const GatewayNode &control : system->controls) {
            const bool hasVersion = co_await reaches(control, "configuration_version", 1);
            BOOST_CHECK_MESSAGE(hasVersion, control.name + " lacks the configuration");
        }
        system->restart(system->entry);
        const bool isServed = co_await system->serveOneRequest();
        BOOST_CHECK(isServed);
    });
}

} // namespace Trefoil
