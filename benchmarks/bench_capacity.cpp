#include "support/nodeworld.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <numeric>

// Measures the cost of the control plane per entry for several numbers of entries, with the
// settings for the size expected in two years: bytes sent per second, CPU time, memory, the time
// from the acceptance of a change until all entries apply it, and the age of the confirmed
// configuration. Complete nodes run in virtual time; the CPU time is real.

using namespace Trefoil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t EntryCounts[] = {9, 50, 150, 350};
constexpr double WorkersPerEntry = 850.0 / 350.0;
constexpr std::size_t VmsPerGroup = 8;
constexpr std::size_t VmsPerFabric = 17;
constexpr auto WarmUpTime = seconds(45);
constexpr auto MeasuringTime = seconds(20);
constexpr int ChangeCount = 5;

// Sets the intervals and timeouts of every node.
void applySettings(NodeSettings &settings)
{
    settings.membership.probePeriod = milliseconds(1000);
    settings.membership.probeTimeout = milliseconds(300);
    settings.membership.suspicionTimeout = seconds(5);
    settings.feedInterval = milliseconds(500);
    settings.fullWatchReportInterval = seconds(30);
    settings.freshnessBound = seconds(10);
    settings.heartbeatIntervalMs = 300;
}

double readCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double readHeapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Results for one number of entries.
struct Sample
{
    // Bytes that an entry sends per second.
    double meanBytes = 0;
    double maxBytes = 0;

    // Share of one core per entry.
    double cpuPercent = 0;

    double heapKbPerEntry = 0;

    // Longest time from the acceptance of a change until all entries applied it.
    double slowestApplyMs = 0;

    // Age of the confirmed configuration.
    double ageP99Ms = 0;
    double ageMaxMs = 0;
};

std::vector<double> readConfigurationAgesMs(NodeSimulation &world)
{
    std::vector<double> ages;
    for (std::size_t i = 0; i < world.size(); ++i) {
        const NodeState &node = world.node(i);
        const auto age = world.now() - confirmedUpTo(node.freshness, node.feed.config.seats);
        ages.push_back(std::chrono::duration<double, std::milli>(age).count());
    }
    return ages;
}

// Measures the traffic, the CPU time and the ages of the configuration over the measuring time.
void measureTraffic(NodeSimulation &world, Sample &sample)
{
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < world.size(); ++i)
        before.push_back(world.bytesSentBy(i));
    const double cpuBefore = readCpuSeconds();
    std::vector<double> ages;
    for (int second = 0; second < MeasuringTime.count(); ++second) {
        world.advance(seconds(1));
        const auto newAges = readConfigurationAgesMs(world);
        ages.insert(ages.end(), newAges.begin(), newAges.end());
    }
    const double spanSeconds = static_cast<double>(MeasuringTime.count());
    const auto count = static_cast<double>(world.size());
    sample.cpuPercent = 100 * (readCpuSeconds() - cpuBefore) / spanSeconds / count;
    for (std::size_t i = 0; i < world.size(); ++i) {
        const double rate = static_cast<double>(world.bytesSentBy(i) - before[i]) / spanSeconds;
        sample.meanBytes += rate / count;
        sample.maxBytes = std::max(sample.maxBytes, rate);
    }
    std::sort(ages.begin(), ages.end());
    sample.ageP99Ms = ages[ages.size() * 99 / 100];
    sample.ageMaxMs = ages.back();
}

// Measures how long each change takes to reach all entries.
void measureChanges(NodeSimulation &world, Sample &sample)
{
    for (int change = 0; change < ChangeCount; ++change) {
        const std::string text = "set workspace w" + std::to_string(change) + " weight 2";
        const std::uint64_t session =
                world.executeStatement(0, text, 100 + static_cast<unsigned>(change));
        while (!world.operatorReplies().contains(session))
            world.advance(milliseconds(20));
        const ConfigVersion version = world.operatorReplies().at(session).version;
        const TimePoint accepted = world.now();
        while (world.countEntriesBehind(version) > 0 && world.now() - accepted < seconds(60))
            world.advance(milliseconds(20));
        const double ms = std::chrono::duration<double, std::milli>(world.now() - accepted).count();
        sample.slowestApplyMs = std::max(sample.slowestApplyMs, ms);
    }
}

// Runs one number of entries and measures it after the warm-up.
Sample measure(std::size_t entries)
{
    const double heapBefore = readHeapBytes();
    NodeSimulationOptions options;
    options.seats = entries >= 50 ? 7 : 3;
    options.entriesWithoutSeat = entries - options.seats;
    options.engines = static_cast<std::size_t>(static_cast<double>(entries) * WorkersPerEntry);
    options.services = 3;
    options.fabrics = std::max<std::size_t>(1, options.engines / VmsPerFabric);
    options.adjustSettings = applySettings;
    options.raft.heartbeatInterval = milliseconds(700);
    options.raft.electionTimeout = milliseconds(2800);
    NodeSimulation world(options);
    world.advance(seconds(8));
    const std::size_t groups = std::max<std::size_t>(1, options.engines / VmsPerGroup * 9 / 10);
    world.executeStatement(0, "set workspace haldar weight 1", 1);
    world.executeStatement(0,
                           "set deployment desk-model model m version v vms-per-group 8 groups "
                                   + std::to_string(groups),
                           2);
    world.advance(WarmUpTime);
    Sample sample;
    measureTraffic(world, sample);
    measureChanges(world, sample);
    sample.heapKbPerEntry = (readHeapBytes() - heapBefore) / 1024 / static_cast<double>(entries);
    return sample;
}

} // namespace

// Takes the numbers of entries from the command line, if it names any.
int main(int argc, char **argv)
{
    std::vector<std::size_t> entryCounts(std::begin(EntryCounts), std::end(EntryCounts));
    if (argc > 1)
        entryCounts.clear();
    for (int i = 1; i < argc; ++i)
        entryCounts.push_back(std::strtoul(argv[i], nullptr, 10));
    std::printf("| entries | workers | bytes/s mean | bytes/s max | CPU %% of a core | heap KB | "
                "in force ms | age p99 ms | age max ms |\n|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t entries : entryCounts) {
        const Sample sample = measure(entries);
        std::printf("| %zu | %zu | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f |\n", entries,
                    static_cast<std::size_t>(static_cast<double>(entries) * WorkersPerEntry),
                    sample.meanBytes, sample.maxBytes, sample.cpuPercent, sample.heapKbPerEntry,
                    sample.slowestApplyMs, sample.ageP99Ms, sample.ageMaxMs);
        std::fflush(stdout);
    }
    return 0;
}
