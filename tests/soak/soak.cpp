#include "callers.h"
#include "standinservers.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

// Soak test: runs the real programs on the loopback interface under random load and faults. One
// process runs one seed.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;

constexpr std::uint64_t CallerCount = 10;
constexpr auto StartTimeout = std::chrono::seconds(40);
constexpr auto RecoveryTimeout = std::chrono::seconds(40);
constexpr auto RecoveryPollInterval = std::chrono::milliseconds(200);
constexpr auto ProcessCheckInterval = std::chrono::milliseconds(100);

asio::awaitable<void> monitorProcesses(SoakState &soak)
{
    while (!soak.isOver) {
        reportUnexpectedExits(soak);
        checkMemory(soak);
        co_await sleepFor(ProcessCheckInterval);
    }
}

// Checks that the system serves requests again after all faults and kept the acknowledged
// configuration.
asio::awaitable<void> checkRecovery(SoakState &soak)
{
    const TimePoint until = RuntimeClock::now() + RecoveryTimeout;
    bool isServing = false;
    bool isConfigurationKept = false;
    while (RuntimeClock::now() < until && !(isServing && isConfigurationKept)) {
        co_await sleepFor(RecoveryPollInterval);
        const std::uint64_t acknowledgedVersion = soak.acknowledgedVersion;
        isConfigurationKept = co_await readVersion(soak) >= acknowledgedVersion;
        isServing = co_await areAllEntriesServing(soak) && countOpenGroups(soak.fleet, "large") > 0;
    }
    if (!isConfigurationKept)
        reportViolation(soak, "the acknowledged configuration cannot be read after all faults");
    if (!isServing)
        reportViolation(soak, "not all entries serve after all faults");
    const std::uint64_t servedBefore = soak.counts.served;
    co_await sleepFor(std::chrono::seconds(3));
    if (soak.counts.served < servedBefore + CallerCount)
        reportViolation(soak, "callers are not served after all faults");
}

void printCounts(const SoakState &soak)
{
    const SoakCounts &counts = soak.counts;
    std::size_t repeats = 0;
    for (const auto &[service, load] : soak.serviceLoads)
        repeats += load.repeats.size();
    std::size_t limitedArrivals = 0;
    for (const auto &[endpoint, load] : soak.limitedLoads)
        limitedArrivals += load.arrivals.size();
    std::cout << "seed " << soak.options.seed << ": " << counts.requests << " requests, "
              << counts.served << " served, " << counts.refused << " refused, " << counts.failed
              << " failed; " << counts.faults << " faults, " << counts.publishedConfigurations
              << " configurations, " << soak.engineEnds.size() << " engines ended by requests, "
              << soak.lateEndingRequests << " late ones, " << repeats << " repeats, "
              << limitedArrivals << " requests at limited endpoints, " << counts.departures
              << " departures, " << counts.misbehavingClients << " misbehaving clients, "
              << counts.plannedWork << " planned stops and reloads of entries with "
              << counts.duringPlannedWork << " requests" << std::endl;
    for (const auto &[what, count] : counts.failures)
        std::cout << "    " << count << " " << what << std::endl;
}

// Runs the whole test: start, faults, recovery and stop.
asio::awaitable<void> runSoak(SoakState &soak)
{
    makeEndpoints(soak);
    asio::co_spawn(soak.context, runEndpoints(soak), asio::detached);
    leaderOf(soak.fleet).planner.hasTraffic = false;
    for (SoakNode &node : soak.nodes)
        startNode(soak, node);
    asio::co_spawn(soak.context, monitorProcesses(soak), asio::detached);
    const bool isServing = co_await waitUntilServed(soak, StartTimeout);
    if (!isServing) {
        reportViolation(soak, "the system does not serve after its start");
    } else {
        leaderOf(soak.fleet).planner.hasTraffic = true;
        for (std::uint64_t number = 1; number <= CallerCount; ++number)
            asio::co_spawn(soak.context, runCaller(soak, number), asio::detached);
        asio::co_spawn(soak.context, runOperator(soak), asio::detached);
        co_await injectFaults(soak);
        co_await checkRecovery(soak);
    }
    printCounts(soak);
    // Callers keep using their connections until the processes have exited.
    co_await stopNodes(soak);
    soak.isOver = true;
    checkRepeats(soak);
    checkLimits(soak);
    soak.context.stop();
}

std::optional<SoakOptions> parseOptions(int argc, char *argv[])
{
    SoakOptions options;
    int seconds = static_cast<int>(options.duration.count());
    po::options_description description("Soak test of the gateway processes under random faults");
    description.add_options()("help", "shows this text");
    description.add_options()("seed", po::value(&options.seed)->default_value(1),
                              "seed of the faults and the callers");
    description.add_options()("seconds", po::value(&seconds)->default_value(seconds),
                              "duration of the faults in seconds");
    description.add_options()("entries", po::value(&options.entries)->default_value(3),
                              "number of entries");
    description.add_options()("control", po::value(&options.controlVms)->default_value(3),
                              "number of control VMs");
    description.add_options()("daemon", po::value(&options.daemon)->required(),
                              "path of trefoilrund");
    description.add_options()("folder", po::value(&options.folder)->required(),
                              "folder for settings, data and logs; removed when the test passes");
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
    SoakState soak(std::move(options));
    asio::co_spawn(soak.context, runSoak(soak), [](const std::exception_ptr &failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    soak.context.run();
    std::cout << "seed " << soak.options.seed << ": " << soak.violations.size() << " violations"
              << std::endl;
    const bool hasPassed = soak.violations.empty();
    if (hasPassed)
        std::filesystem::remove_all(soak.options.folder);
    // Coroutines that still wait refer to the state, so the process exits without destroying it.
    std::quick_exit(hasPassed ? EXIT_SUCCESS : EXIT_FAILURE);
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
