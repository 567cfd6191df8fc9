#include "clients.h"
#include "configuration.h"
#include "workers.h"

#include <csignal>

// DRAIN: the departure of a worker is acknowledged before any other process knows of it. When the
// acknowledging process is killed at once, the worker stays in use until it exits.

namespace {

using namespace Review;

constexpr int ModelWorkers = 4; // two groups of two
constexpr double DrainTimeoutS = 2;
constexpr double ConnectivityWindowS = 3;
// Time that the worker still serves after its departure was acknowledged: `drain-timeout-ms` "and a
// little longer (at times many seconds)".
constexpr auto LingerTime = std::chrono::seconds(9);

std::vector<std::string> findOpenHeads(Fleet &fleet)
{
    std::vector<std::string> heads;
    for (const std::string &id : fleet.workerIds()) {
        const auto membership = fleet.membershipOf(id);
        if (membership && membership->rank == 0 && membership->state == "open")
            heads.push_back(id);
    }
    return heads;
}

bool run(World &world)
{
    Fleet &fleet = *new Fleet(world); // its threads outlive this function
    fleet.models = {{"daka510000", 2, 16, 1.6}};
    world.startNodes(3, 2);
    fleet.start();
    for (int i = 1; i <= ModelWorkers; ++i)
        fleet.startWorker(fleet.add("w" + std::to_string(i), "kitchen-llm", i, true));
    const std::string acknowledgedBy =
            world.publish(configuration(1, streamRoute("r-1", "/draft/", "kitchen-llm"),
                                        modelService("kitchen-llm", "daka510000", 2)),
                          Milliseconds(20'000));
    if (acknowledgedBy.empty())
        return false;
    if (!waitUntil(Milliseconds(40'000), [&] { return findOpenHeads(fleet).size() == 2; }))
        return false;
    sleepFor(Milliseconds(2000)); // the entries learn of the open groups

    std::atomic<int> complete{0};
    std::atomic<int> failed{0};
    std::atomic<bool> isSending{true};
    std::vector<std::thread> consumers;
    for (int i = 0; i < 8; ++i) {
        consumers.emplace_back([&, i] {
            const std::string entry =
                    world.callerAddress(world.node("entry-" + std::to_string(i % 2 + 1)));
            while (isSending) {
                const ConsumerRequest request{drawRequestId(), "/draft/a", "key-1", "daka510000",
                                              8000};
                const ConsumerResult result = consume(world, entry, request);
                world.record(toText(request, result));
                result.status == 200 &&result.isComplete ? ++complete : ++failed;
                sleepFor(Milliseconds(100));
            }
        });
    }
    sleepFor(Milliseconds(6000));
    const std::vector<std::string> heads = findOpenHeads(fleet);
    bool isPlayed = heads.size() == 2 && complete > 0 && failed == 0;
    double departedAt = 0;
    if (isPlayed) {
        Worker &worker = *fleet.find(heads.front());
        fleet.stopHeartbeats(worker);
        std::string leader;
        {
            const std::lock_guard lock(fleet.mutex);
            leader = worker.heartbeatAddress;
        }
        const std::string address = fleet.depart(worker, leader);
        departedAt = world.seconds();
        // The process that acknowledged is killed and stays away, one of three.
        for (const std::string name : {"control-1", "control-2", "control-3"}) {
            Node &node = world.node(name);
            if (world.hasTrouble() && world.controlAddress(node) == address)
                world.signalNode(node, SIGKILL);
        }
        world.record("the departure of " + worker.id + " was acknowledged by " + address);
        isPlayed = !address.empty();
        std::this_thread::sleep_for(LingerTime);
        isSending = false;
        int late = 0;
        double last = 0;
        for (const Run &run : fleet.runs()) {
            // The entries count as in touch again once the core is stable.
            const bool isLate = run.worker == worker.id
                                && run.at > departedAt + DrainTimeoutS
                                && run.at > departedAt + ConnectivityWindowS + 1;
            late += isLate ? 1 : 0;
            last = run.worker == worker.id ? run.at : last;
        }
        world.record("last request to reach " + worker.id + ": "
                     + std::to_string(last - departedAt) + " s after the acknowledgement");
        if (late > 0)
            world.breakRule("DRAIN: " + std::to_string(late) + " requests reached " + worker.id
                            + " later than 4 s after its departure was acknowledged");
    }
    isSending = false;
    for (std::thread &consumer : consumers)
        consumer.join();
    world.record("streams: " + std::to_string(complete) + " complete, " + std::to_string(failed)
                 + " refused or cut");
    return isPlayed;
}

} // namespace

int main(int argc, char *argv[])
{
    return Review::runCase(argc, argv, run);
}
