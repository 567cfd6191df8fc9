#pragma once

#include "crowds/gatewaysystem.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Trefoil {

// Runs a test as a coroutine beside a system of real processes.
struct SystemFixture
{
    boost::asio::io_context context{1};
    GatewaySystemOptions options;
    std::unique_ptr<GatewaySystem> system;

    // Creates the system, calls `prepare` before it starts, and then runs the test.
    void run(const std::function<boost::asio::awaitable<void>()> &test,
             const std::function<void()> &prepare = {})
    {
        // Ends a test in which the coroutine that runs it does not.
        constexpr auto testTimeout = std::chrono::minutes(3);
        system = std::make_unique<GatewaySystem>(
                context, TREFOIL_CROWD_FOLDER "/" + std::to_string(::getpid()), options);
        if (prepare)
            prepare();
        RuntimeTimer timer(context, RuntimeClock::now() + testTimeout);
        timer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            BOOST_ERROR("the test does not end");
            context.stop();
        });
        boost::asio::co_spawn(
                context,
                [this, &test]() -> boost::asio::awaitable<void> {
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

    boost::asio::awaitable<void> sleepFor(Duration duration)
    {
        RuntimeTimer timer(context, RuntimeClock::now() + duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    // Waits until the metric of the node is at least the value.
    boost::asio::awaitable<bool> reaches(const GatewayNode &node, std::string name, double value)
    {
        constexpr int maxPolls = 100;
        for (int polls = 0; polls < maxPolls; ++polls) {
            const double current = co_await readMetric(node, name);
            if (current >= value)
                co_return true;
            co_await sleepFor(std::chrono::milliseconds(100));
        }
        co_return false;
    }
};

} // namespace Trefoil
