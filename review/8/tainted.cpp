// Case 8: one part of a prompt crashes each worker that begins to write an answer on it. The worker gets its
// first event out before it ends. Counts the requests with this part that still reach workers later than the
// connectivity window after the fifth crash.

#include "operator.h"

using namespace Review;

namespace {

constexpr long ConnectivityWindowMs = 3000;
constexpr long DownMs = 4000;
constexpr int Events = 12;
const std::string Part = "bad0bad0";

std::mutex countMutex;
std::vector<long> crashes;
std::vector<long> lateArrivals;

bool writeStream(Engine &engine, Connection &connection, const Message &request)
{
    const std::string id = request.field("X-Trefoilrun-Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const bool isTainted = request.field("X-Trefoilrun-Prompt-Prefix").find(Part) != std::string::npos;
    if (isTainted) {
        const std::lock_guard lock(countMutex);
        const bool isLate = crashes.size() >= 5 && nowMs() > crashes[4] + ConnectivityWindowMs;
        if (isLate)
            lateArrivals.push_back(nowMs());
        record.line("worker %s: gets %s with the part, %zu crashes so far%s", engine.id.c_str(), id.c_str(),
                    crashes.size(), isLate ? ", LATE" : "");
    }
    sleepMs(engine.all.options.firstEventMs);
    bool isOpen = connection.write(streamHead(request));
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; isOpen && event <= Events; ++event) {
        sleepMs(engine.all.options.eventMs);
        {
            const std::lock_guard lock(engine.all.mutex);
            if (engine.isDown || !engine.membership)
                return false;
        }
        isOpen = writeEvent(connection, event);
        if (isTainted && hasTrouble()) {
            sleepMs(10);
            {
                const std::lock_guard lock(countMutex);
                crashes.push_back(nowMs());
            }
            crash(engine, DownMs);
            return false;
        }
    }
    return isOpen && connection.write("0\r\n\r\n");
}

void sendStream(const std::string &entry, const std::string &id, bool hasPart)
{
    const auto connection = connectTo(entry);
    if (!connection)
        return;
    std::string request = streamRequest(id, 6000, 674, 5 * Events);
    if (hasPart)
        request.replace(request.find("5c1e07a2:40,"), 12, "5c1e07a2:40," + Part + ":200,");
    recordStream(id, readStream(*connection, request, 7000));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5)
        return 2;
    const std::string net = argv[1];
    const std::vector<std::string> entries(argv + 2, argv + 4);
    const std::vector<std::string> controls(argv + 4, argv + argc);
    record.open(std::getenv("RECORD"));

    static Engines engines;
    engines.options.service = "kitchen-llm";
    engines.options.controls = controls;
    engines.run = &writeStream;
    const char *const zones[] = {"bole", "kazanchis", "piassa"};
    for (int i = 0; i < 16; ++i)
        addEngine(engines, "i-7f3a" + std::to_string(10 + i), net + "." + std::to_string(21 + i) + ":8080",
                  zones[i % 3], i < 8 ? "rack-1" : "rack-2");
    startEngines(engines);
    publish(controls,
            configuration(1, streamRoute(6000, 500) + "," + bookingRoute(),
                          engineService(26) + "," + plainService()),
            "version 1");
    waitForGroups(engines, 8);
    sleepMs(4000);

    std::vector<std::thread> consumers;
    for (int i = 0; i < 60; ++i) {
        const std::string &entry = entries[static_cast<std::size_t>(i) % entries.size()];
        for (int k = 0; k < 2; ++k)
            consumers.emplace_back(sendStream, entry, "sound-" + std::to_string(2 * i + k), false);
        if (i % 3 == 2)
            consumers.emplace_back(sendStream, entries[static_cast<std::size_t>(i / 3) % entries.size()],
                                   "tainted-" + std::to_string(i / 3), true);
        sleepMs(800);
    }
    for (std::thread &consumer : consumers)
        consumer.join();
    record.line("crashes: %zu; requests with the part that reached a worker more than %ld ms after the fifth: %zu",
                crashes.size(), ConnectivityWindowMs, lateArrivals.size());
    const bool isBroken = lateArrivals.size() > 3;
    record.line(isBroken ? "BUDGET was broken" : "BUDGET held");
    std::_Exit(isBroken ? 1 : 0);
}
