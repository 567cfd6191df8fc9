#include "standinservers.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto ShortestPause = milliseconds(100); // between two faults
constexpr auto LongestPause = milliseconds(1500);
constexpr auto ShortestFault = milliseconds(100);
constexpr auto LongestFault = seconds(4);
constexpr auto SettlingTime = seconds(8); // of control after a lost disk

// What is under way, so that no more control VMs are lost at once than the settings tolerate.
struct FaultPlan
{
    std::size_t underWay = 0;
    std::size_t disturbedControls = 0;
    std::size_t runningWipes = 0;
};

void say(const SoakWorld &world, const std::string &text)
{
    if (!world.options.isVerbose)
        return;
    std::cout << std::chrono::duration<double>(RuntimeClock::now() - world.startedAt).count()
              << " s: " << text << std::endl;
}

asio::awaitable<void> waitForExit(SoakNode &node)
{
    while (node.process->running())
        co_await sleepFor(milliseconds(20));
}

// Ends the process with the signal and starts it again after a while, with an empty disk on demand.
asio::awaitable<void> restartNode(SoakWorld &world, SoakNode &node, int signal, bool isWiped,
                                  Duration downTime)
{
    say(world, node.name + (signal == SIGTERM ? " is stopped" : " is killed")
                       + (isWiped ? ", its disk is lost" : ""));
    node.isMeantToRun = false;
    signalNode(node, signal);
    co_await waitForExit(node);
    if (isWiped)
        std::filesystem::remove_all(node.folder + "/data");
    co_await sleepFor(downTime);
    startNode(world, node);
    say(world, node.name + " is started");
}

asio::awaitable<void> pauseNode(SoakWorld &world, SoakNode &node, Duration duration)
{
    say(world, node.name + " is paused");
    node.isPaused = true;
    signalNode(node, SIGSTOP);
    co_await sleepFor(duration);
    signalNode(node, SIGCONT);
    node.isPaused = false;
    say(world, node.name + " goes on");
}

asio::awaitable<void> disturbNode(SoakWorld &world, FaultPlan &plan, Duration duration)
{
    SoakNode &node = world.nodes[randomBelow(world, world.nodes.size())];
    const bool isControl = node.role == "control";
    if (!node.isMeantToRun || node.isPaused || (isControl && plan.disturbedControls > 0))
        co_return;
    plan.disturbedControls += isControl ? 1 : 0;
    const std::uint64_t draw = randomBelow(world, 10);
    if (draw < 3) {
        co_await restartNode(world, node, SIGKILL, false, duration);
    } else if (draw < 5) {
        co_await restartNode(world, node, SIGTERM, false, duration);
    } else if (draw < 8) {
        co_await pauseNode(world, node, duration);
    } else if (draw == 8) {
        say(world, node.name + " reads its settings again");
        signalNode(node, SIGHUP);
    } else if (isControl && plan.runningWipes == 0) {
        ++plan.runningWipes;
        co_await restartNode(world, node, SIGKILL, true, duration);
        co_await sleepFor(SettlingTime);
        --plan.runningWipes;
    }
    plan.disturbedControls -= isControl ? 1 : 0;
}

// All control VMs lose power at the same moment and come back with their disks.
asio::awaitable<void> killControl(SoakWorld &world, FaultPlan &plan, Duration duration)
{
    if (plan.disturbedControls > 0)
        co_return;
    for (SoakNode &node : world.nodes) {
        if (node.role != "control")
            continue;
        ++plan.disturbedControls;
        ++plan.underWay;
        asio::co_spawn(world.context, restartNode(world, node, SIGKILL, false, duration),
                       [&plan](const std::exception_ptr &) {
                           --plan.disturbedControls;
                           --plan.underWay;
                       });
    }
}

asio::awaitable<void> disturbConnections(SoakWorld &world, SoakEndpoint &endpoint,
                                         Duration duration)
{
    ProxyFault fault;
    switch (randomBelow(world, 4)) {
    case 0:
        fault.delay = randomDuration(world, milliseconds(5), milliseconds(400));
        break;
    case 1:
        fault.holdsAnswers = true;
        break;
    case 2:
        fault.holdsAll = true;
        break;
    default:
        say(world, "connections to " + endpoint.id + " are reset");
        endpoint.proxy->resetConnections();
        co_return;
    }
    say(world, "connections to " + endpoint.id + " are delayed or silenced");
    endpoint.proxy->setFault(fault);
    co_await sleepFor(duration);
    endpoint.proxy->setFault({});
}

asio::awaitable<void> disturbEndpoint(SoakWorld &world, Duration duration)
{
    SoakEndpoint &endpoint = *world.endpoints[randomBelow(world, world.endpoints.size())];
    if (!isRunning(endpoint))
        co_return;
    switch (randomBelow(world, 6)) {
    case 0:
        say(world, endpoint.id + " crashes");
        crashEndpoint(world, endpoint);
        co_await sleepFor(duration);
        restartEndpoint(world, endpoint);
        co_return;
    case 1:
        say(world, "answers of " + endpoint.id + " are lost");
        endpoint.lostAnswerShare = 0.3;
        co_await sleepFor(duration);
        endpoint.lostAnswerShare = UsualLostAnswers;
        co_return;
    case 2:
        say(world, "a foreign report for " + endpoint.id);
        co_await sendForeignReport(world, endpoint);
        co_return;
    default:
        co_await disturbConnections(world, endpoint, duration);
    }
}

asio::awaitable<void> injectFault(SoakWorld &world, FaultPlan &plan)
{
    const Duration duration = randomDuration(world, ShortestFault, LongestFault);
    const std::uint64_t draw = randomBelow(world, 20);
    if (draw == 0)
        co_await killControl(world, plan, duration / 2);
    else if (draw < 9)
        co_await disturbNode(world, plan, duration);
    else
        co_await disturbEndpoint(world, duration);
}

} // namespace

asio::awaitable<void> injectFaults(SoakWorld &world)
{
    const TimePoint until = RuntimeClock::now() + world.options.duration;
    FaultPlan plan;
    while (RuntimeClock::now() < until) {
        ++world.counts.faults;
        ++plan.underWay;
        asio::co_spawn(world.context, injectFault(world, plan),
                       [&plan](const std::exception_ptr &failure) {
                           --plan.underWay;
                           if (failure)
                               std::rethrow_exception(failure);
                       });
        co_await sleepFor(randomDuration(world, ShortestPause, LongestPause));
    }
    while (plan.underWay > 0)
        co_await sleepFor(ShortestPause);
    say(world, "all faults are over");
}

} // namespace Trefoil
