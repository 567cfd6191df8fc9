#include "callers.h"
#include "standinservers.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

// A randomized soak of the real programs on the loopback interface. One process plays one seed.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;

constexpr std::uint64_t Callers = 10;
constexpr auto StartLimit = std::chrono::seconds(40);
constexpr auto RecoveryLimit = std::chrono::seconds(40);
constexpr auto RecoveryPause = std::chrono::milliseconds(200);
constexpr auto ProcessCheckInterval = std::chrono::milliseconds(100);

asio::awaitable<void> watchProcesses(SoakWorld &world)
{
    while (!world.isOver) {
        checkProcesses(world);
        co_await sleepFor(ProcessCheckInterval);
    }
}

// After all faults the system serves again and holds what it acknowledged.
asio::awaitable<void> checkRecovery(SoakWorld &world)
{
    const TimePoint until = RuntimeClock::now() + RecoveryLimit;
    bool isServing = false;
    bool isRead = false;
    while (RuntimeClock::now() < until && !(isServing && isRead)) {
        co_await sleepFor(RecoveryPause);
        const std::uint64_t acked = world.ackedVersion;
        isRead = co_await readVersion(world) >= acked;
        isServing = co_await allEntriesServe(world) && countOpenGroups(world.fleet, "large") > 0;
    }
    if (!isRead)
        noteBroken(world, "the acknowledged configuration cannot be read after all faults");
    if (!isServing)
        noteBroken(world, "not all entries serve after all faults");
    const std::uint64_t before = world.counts.served;
    co_await sleepFor(std::chrono::seconds(3));
    if (world.counts.served < before + Callers)
        noteBroken(world, "callers are not served after all faults");
}

void printCounts(const SoakWorld &world)
{
    const SoakCounts &counts = world.counts;
    std::cout << "seed " << world.options.seed << ": " << counts.requests << " requests, "
              << counts.served << " served, " << counts.refused << " refused, " << counts.failed
              << " failed; " << counts.faults << " faults, " << counts.published
              << " configurations" << std::endl;
    for (const auto &[what, count] : counts.failures)
        std::cout << "    " << count << " " << what << std::endl;
}

asio::awaitable<void> play(SoakWorld &world)
{
    makeEndpoints(world);
    asio::co_spawn(world.context, runEndpoints(world), asio::detached);
    world.fleet.planner.hasTraffic = false;
    for (SoakNode &node : world.nodes)
        startNode(world, node);
    asio::co_spawn(world.context, watchProcesses(world), asio::detached);
    const bool isServed = co_await waitUntilServed(world, StartLimit);
    if (!isServed) {
        noteBroken(world, "the system does not serve after its start");
    } else {
        world.fleet.planner.hasTraffic = true;
        for (std::uint64_t number = 1; number <= Callers; ++number)
            asio::co_spawn(world.context, runCaller(world, number), asio::detached);
        asio::co_spawn(world.context, runOperator(world), asio::detached);
        co_await injectFaults(world);
        co_await checkRecovery(world);
    }
    printCounts(world);
    // Callers keep using their connections until the processes are gone.
    co_await stopNodes(world);
    world.isOver = true;
    world.context.stop();
}

std::optional<SoakOptions> parseOptions(int argc, char *argv[])
{
    SoakOptions options;
    int seconds = static_cast<int>(options.duration.count());
    po::options_description description("Soak of the gateway processes under random faults");
    description.add_options()("help", "this text");
    description.add_options()("seed", po::value(&options.seed)->default_value(1),
                              "of the faults and the callers");
    description.add_options()("seconds", po::value(&seconds)->default_value(seconds),
                              "with faults");
    description.add_options()("daemon", po::value(&options.daemon)->required(),
                              "path of trefoilrund");
    description.add_options()("folder", po::value(&options.folder)->required(),
                              "for settings, data and logs; it is removed when all went well");
    description.add_options()("verbose", po::bool_switch(&options.isVerbose), "prints each fault");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description;
        return std::nullopt;
    }
    po::notify(values);
    options.duration = std::chrono::seconds(seconds);
    return options;
}

int run(SoakOptions options)
{
    std::filesystem::remove_all(options.folder);
    SoakWorld world(std::move(options));
    asio::co_spawn(world.context, play(world), [](const std::exception_ptr &failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    world.context.run();
    std::cout << "seed " << world.options.seed << ": " << world.broken.size() << " promises broken"
              << std::endl;
    const bool isGood = world.broken.empty();
    if (isGood)
        std::filesystem::remove_all(world.options.folder);
    // Coroutines that still wait refer to the world; they end with the process.
    std::quick_exit(isGood ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

} // namespace Trefoil

int main(int argc, char *argv[])
{
    try {
        const auto options = Trefoil::parseOptions(argc, argv);
        return options ? Trefoil::run(*options) : EXIT_SUCCESS;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << std::endl;
        return EXIT_FAILURE;
    }
}
