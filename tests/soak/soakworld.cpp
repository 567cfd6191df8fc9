#include "soakworld.h"

#include "libruntime/clock.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>
#include <iostream>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t LoopbackNetworks = 200;
constexpr std::uint64_t FirstNetwork = 20;

std::string networkOf(const SoakOptions &options)
{
    return "127." + std::to_string(FirstNetwork + options.seed % LoopbackNetworks);
}

SoakNode makeNode(const SoakWorld &world, const std::string &role, std::size_t number)
{
    SoakNode node;
    node.role = role;
    node.name = role + "-" + std::to_string(number);
    node.domain = "d" + std::to_string(number);
    node.address =
            networkOf(world.options) + (role == "control" ? ".1." : ".2.") + std::to_string(number);
    node.folder = world.options.folder + "/" + node.name;
    return node;
}

} // namespace

SoakWorld::SoakWorld(SoakOptions soakOptions)
    : options(std::move(soakOptions))
    , rng(options.seed)
    , startedAt(RuntimeClock::now())
{
    constexpr std::size_t nodesOfRole = 3;
    for (std::size_t i = 1; i <= nodesOfRole; ++i)
        nodes.push_back(makeNode(*this, "control", i));
    for (std::size_t i = 1; i <= nodesOfRole; ++i)
        nodes.push_back(makeNode(*this, "entry", i));
}

void noteBroken(SoakWorld &world, const std::string &text)
{
    const double at = std::chrono::duration<double>(RuntimeClock::now() - world.startedAt).count();
    char moment[32];
    std::snprintf(moment, sizeof moment, "%.3f s: ", at);
    world.broken.push_back(moment + text);
    std::cout << "broken at " << world.broken.back() << std::endl;
}

double randomShare(SoakWorld &world)
{
    return std::uniform_real_distribution<double>(0, 1)(world.rng);
}

std::uint64_t randomBelow(SoakWorld &world, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(world.rng);
}

Duration randomDuration(SoakWorld &world, Duration from, Duration to)
{
    return Duration(
            std::uniform_int_distribution<Duration::rep>(from.count(), to.count())(world.rng));
}

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, RuntimeClock::now() + duration);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string addressOf(const SoakNode &node, std::uint16_t port)
{
    return node.address + ":" + std::to_string(port);
}

SoakNode &anyNode(SoakWorld &world, const std::string &role)
{
    while (true) {
        SoakNode &node = world.nodes[randomBelow(world, world.nodes.size())];
        if (node.role == role)
            return node;
    }
}

bool isCalm(const SoakNode &node, Duration duration)
{
    return node.isMeantToRun && !node.isPaused && RuntimeClock::now() - node.disturbedAt > duration;
}

} // namespace Trefoil
