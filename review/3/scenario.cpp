#include "clients.h"
#include "configuration.h"
#include "workers.h"

// CONFIG: an entry drops the report of a worker whose service its configuration does not name yet,
// and later gets only signs of life of that worker, which it ignores. When a service is added while
// entries still pause after a version before, its workers stay unknown at all entries, and the
// route that was added is refused from then on.

namespace {

using namespace Review;

constexpr int BigConfigRoutes = 1400;      // `big_config` of the sites adds 1,400 to 1,560
constexpr auto StormGap = Milliseconds(80); // `gap_s` of the sites' `config_storm`
constexpr auto WorkerStartTime = Milliseconds(30);
constexpr auto CalmGap = Milliseconds(4000);
constexpr auto ConnectivityWindow = Milliseconds(3000);
constexpr int Requests = 40; // to each entry on each route

int sendRequests(World &world, const Node &entry, const std::string &path)
{
    int served = 0;
    for (int i = 0; i < Requests; ++i) {
        const ConsumerRequest request{drawRequestId(), path, "key-1", "", 1500};
        const ConsumerResult result = consume(world, world.callerAddress(entry), request);
        world.record(entry.name + " " + toText(request, result)
                     + (result.status == 200 ? "" : " " + result.body));
        served += result.status == 200 && result.isComplete ? 1 : 0;
        sleepFor(Milliseconds(100));
    }
    world.record(entry.name + " " + path + ": " + std::to_string(served) + " of "
                 + std::to_string(Requests) + " served");
    return served;
}

bool run(World &world)
{
    Fleet &fleet = *new Fleet(world); // its threads outlive this function
    world.startNodes(3, 2);
    fleet.start();
    fleet.startWorker(fleet.add("a1", "tray-api", 1, false));
    std::string routes = plainRoute("r-1", "/lookup/", "tray-api", "idempotent");
    if (world.publish(configuration(1, routes, plainService("tray-api")), Milliseconds(20'000))
                .empty())
        return false;
    const std::vector<Node *> entries = {&world.node("entry-1"), &world.node("entry-2")};
    const bool isUp = waitUntil(Milliseconds(20'000), [&] {
        return world.isReady(*entries[0]) && world.isReady(*entries[1]);
    });
    if (!isUp)
        return false;
    sleepFor(Milliseconds(4000));

    for (int i = 0; i < BigConfigRoutes; ++i)
        routes += "," + plainRoute("big-" + std::to_string(i), "/big" + std::to_string(i) + "/",
                                   "tray-api", "idempotent");
    const std::string second = configuration(2, routes, plainService("tray-api"));
    std::string leader = world.publish(second, Milliseconds(5000));
    world.record("version 2, with many routes, " + std::to_string(second.size())
                 + " bytes: " + (leader.empty() ? "not acknowledged" : "acknowledged"));
    if (leader.empty())
        return false;
    sleepFor(world.hasTrouble() ? StormGap : CalmGap);
    routes += "," + plainRoute("r-2", "/booking/", "booking-api", "idempotent");
    leader = world.publish(configuration(3, routes,
                                         plainService("tray-api") + ","
                                                 + plainService("booking-api")),
                           Milliseconds(5000));
    if (leader.empty())
        return false;
    world.record("version 3, which adds the service booking-api and its route: acknowledged by "
                 + leader);
    sleepFor(WorkerStartTime);
    // The worker picks the node that acknowledged the version for its first report.
    Worker &worker = fleet.add("b2", "booking-api", 2, false);
    worker.heartbeatAddress = leader;
    fleet.startWorker(worker);

    // Both entries have been in touch all the time. The check starts three windows later.
    sleepFor(3 * ConnectivityWindow);
    int served[2] = {0, 0};
    int sent = 0;
    for (Node *entry : entries) {
        served[0] += sendRequests(world, *entry, "/lookup/x");
        served[1] += sendRequests(world, *entry, "/booking/x");
        sent += Requests;
    }
    const std::string figures = std::to_string(served[1]) + " of " + std::to_string(sent)
                                + " requests on the route that was added later were served, "
                                + std::to_string(served[0]) + " of " + std::to_string(sent)
                                + " on the first route";
    world.record(figures);
    if (sent >= 20 && served[1] * 4 < served[0])
        world.breakRule("CONFIG: " + figures);
    return served[0] > 0;
}

} // namespace

int main(int argc, char *argv[])
{
    return Review::runCase(argc, argv, run);
}
