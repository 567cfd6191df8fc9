#include "soakworld.h"

#include "libruntime/clock.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>
#include <iostream>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t LoopbackNetworkCount = 200;
constexpr std::uint64_t FirstNetwork = 20;

// Seeds use different loopback networks, so that their processes can run at the same time.
std::string loopbackNetwork(const SoakOptions &options)
{
    return "127." + std::to_string(FirstNetwork + options.seed % LoopbackNetworkCount);
}

SoakNode makeNode(const SoakState &soak, const std::string &role, std::size_t number)
{
    SoakNode node;
    node.role = role;
    node.name = role + "-" + std::to_string(number);
    constexpr std::size_t domains = 3;
    node.domain = "d" + std::to_string((number - 1) % domains + 1);
    node.address = loopbackNetwork(soak.options) + (role == "control" ? ".1." : ".2.")
                   + std::to_string(number);
    node.folder = soak.options.folder + "/" + node.name;
    return node;
}

} // namespace

SoakState::SoakState(SoakOptions soakOptions)
    : options(std::move(soakOptions))
    , rng(options.seed)
    , startedAt(RuntimeClock::now())
{
    for (std::size_t i = 1; i <= options.controlVms; ++i)
        nodes.push_back(makeNode(*this, "control", i));
    for (std::size_t i = 1; i <= options.entries; ++i)
        nodes.push_back(makeNode(*this, "entry", i));
}

void reportViolation(SoakState &soak, const std::string &text)
{
    const double at = std::chrono::duration<double>(RuntimeClock::now() - soak.startedAt).count();
    char prefix[32];
    std::snprintf(prefix, sizeof prefix, "%.3f s: ", at);
    soak.violations.push_back(prefix + text);
    std::cout << "violation at " << soak.violations.back() << std::endl;
}

std::string serviceOf(RequestKind kind)
{
    return kind == RequestKind::Stream ? "drafts" : "ledger";
}

double randomFraction(SoakState &soak)
{
    return std::uniform_real_distribution<double>(0, 1)(soak.rng);
}

std::uint64_t randomBelow(SoakState &soak, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(soak.rng);
}

Duration randomDuration(SoakState &soak, Duration from, Duration to)
{
    return Duration(
            std::uniform_int_distribution<Duration::rep>(from.count(), to.count())(soak.rng));
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

SoakNode &randomNode(SoakState &soak, const std::string &role)
{
    while (true) {
        SoakNode &node = soak.nodes[randomBelow(soak, soak.nodes.size())];
        if (node.role == role)
            return node;
    }
}

const SoakNode *findEntry(const SoakState &soak, const std::string &callerAddress)
{
    for (const SoakNode &node : soak.nodes) {
        if (addressOf(node, CallerPort) == callerAddress)
            return &node;
    }
    return nullptr;
}

bool isUndisturbed(const SoakNode &node, Duration duration)
{
    return node.shouldRun && !node.isPaused && RuntimeClock::now() - node.lastFaultAt > duration;
}

} // namespace Trefoil
