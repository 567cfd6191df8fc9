#include "support/nodeworld.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <numeric>

// Cost of control for each entry at several sizes, with the settings of the two-year size: bytes
// sent a second, processor time, memory, the time from accepted to in force, and the age of the
// confirmed configuration. Whole nodes in virtual time; processor time is measured.

using namespace Trefoil;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Sizes[] = {9, 50, 150, 350};
constexpr double WorkersPerEntry = 850.0 / 350.0;
constexpr std::size_t VmsPerGroup = 8;
constexpr std::size_t VmsPerFabric = 17;
constexpr auto WarmUp = seconds(45);
constexpr auto Measured = seconds(20);
constexpr int Changes = 5;

void tune(NodeSettings &settings)
{
    settings.membership.probePeriod = milliseconds(1000);
    settings.membership.probeTimeout = milliseconds(300);
    settings.membership.suspicionTimeout = seconds(5);
    settings.feedInterval = milliseconds(500);
    settings.fullWatchReportInterval = seconds(30);
    settings.freshnessBound = seconds(10);
    settings.heartbeatIntervalMs = 300;
}

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

struct Sample
{
    double meanBytes = 0; // sent by an entry in a second
    double maxBytes = 0;
    double cpuPercent = 0; // of one core, for each entry
    double heapKb = 0;     // for each entry
    double inForceMs = 0;  // slowest change
    double ageP99Ms = 0;
    double ageMaxMs = 0;
};

std::vector<double> confirmedAges(NodeSimulation &world)
{
    std::vector<double> ages;
    for (std::size_t i = 0; i < world.size(); ++i) {
        const NodeState &node = world.node(i);
        const auto age = world.now() - confirmedUpTo(node.freshness, node.feed.config.seats);
        ages.push_back(std::chrono::duration<double, std::milli>(age).count());
    }
    return ages;
}

// Advances and records what each entry sent meanwhile, and the ages seen on the way.
void measureTraffic(NodeSimulation &world, Sample &sample)
{
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < world.size(); ++i)
        before.push_back(world.bytesSentBy(i));
    const double cpuBefore = cpuSeconds();
    std::vector<double> ages;
    for (int second = 0; second < Measured.count(); ++second) {
        world.advance(seconds(1));
        const auto now = confirmedAges(world);
        ages.insert(ages.end(), now.begin(), now.end());
    }
    const double span = static_cast<double>(Measured.count());
    const auto count = static_cast<double>(world.size());
    sample.cpuPercent = 100 * (cpuSeconds() - cpuBefore) / span / count;
    for (std::size_t i = 0; i < world.size(); ++i) {
        const double rate = static_cast<double>(world.bytesSentBy(i) - before[i]) / span;
        sample.meanBytes += rate / count;
        sample.maxBytes = std::max(sample.maxBytes, rate);
    }
    std::sort(ages.begin(), ages.end());
    sample.ageP99Ms = ages[ages.size() * 99 / 100];
    sample.ageMaxMs = ages.back();
}

void measureChanges(NodeSimulation &world, Sample &sample)
{
    for (int change = 0; change < Changes; ++change) {
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
        sample.inForceMs = std::max(sample.inForceMs, ms);
    }
}

Sample measure(std::size_t entries)
{
    const double heapBefore = heapBytes();
    NodeSimulationOptions options;
    options.seats = entries >= 50 ? 7 : 3;
    options.entriesWithoutSeat = entries - options.seats;
    options.engines = static_cast<std::size_t>(static_cast<double>(entries) * WorkersPerEntry);
    options.services = 3;
    options.fabrics = std::max<std::size_t>(1, options.engines / VmsPerFabric);
    options.adjustSettings = tune;
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
    world.advance(WarmUp);
    Sample sample;
    measureTraffic(world, sample);
    measureChanges(world, sample);
    sample.heapKb = (heapBytes() - heapBefore) / 1024 / static_cast<double>(entries);
    return sample;
}

} // namespace

// Sizes may be named on the command line.
int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes(std::begin(Sizes), std::end(Sizes));
    if (argc > 1)
        sizes.clear();
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    std::printf("| entries | workers | bytes/s mean | bytes/s max | CPU %% of a core | heap KB | "
                "in force ms | age p99 ms | age max ms |\n|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t size : sizes) {
        const Sample s = measure(size);
        std::printf("| %zu | %zu | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | %.0f |\n", size,
                    static_cast<std::size_t>(static_cast<double>(size) * WorkersPerEntry),
                    s.meanBytes, s.maxBytes, s.cpuPercent, s.heapKb, s.inForceMs, s.ageP99Ms,
                    s.ageMaxMs);
        std::fflush(stdout);
    }
    return 0;
}
