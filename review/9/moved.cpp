// Case 9: an entry reads its settings again. A stream that a worker has preempted is taken from this worker,
// the only other group is full, and the entry closes the connection of its consumer.

#include "operator.h"

using namespace Review;

namespace {

constexpr std::size_t Slots = 4;
constexpr long PauseMs = 1900; // below the two seconds after which consumers abandon a stream
constexpr int Events = 60;
constexpr long EventMs = 100;

// The stream that a worker without memory preempts: the newest one that runs there.
std::mutex newestMutex;
std::map<std::string, std::string> newestByWorker;
std::string preemptedId;

std::atomic<bool> wasPreempted{false};
std::atomic<long> pausedAt{-1};
std::atomic<bool> wasClosedInPause{false};

// Writes the events of a stream. One stream is preempted for a time.
bool writeStream(Engine &engine, Connection &connection, const Message &request)
{
    const std::string id = request.field("X-Trefoilrun-Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const bool isEarly = id.starts_with("early-");
    const int events = isEarly ? 4 : Events;
    const long eventMs = isEarly ? 30 : EventMs;
    record.line("worker %s: runs %s%s%s", engine.id.c_str(), id.c_str(), last.empty() ? "" : " after event ",
                last.c_str());
    if (!isEarly) {
        const std::lock_guard lock(newestMutex);
        newestByWorker[engine.id] = id;
    }
    sleepMs(engine.all.options.firstEventMs);
    bool isOpen = connection.write(streamHead(request));
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; isOpen && event <= events; ++event) {
        bool pauses = false;
        {
            const std::lock_guard lock(newestMutex);
            pauses = event >= 8 && id == preemptedId && !wasPreempted.exchange(true);
        }
        if (pauses) {
            record.line("worker %s: preempts %s after event %d", engine.id.c_str(), id.c_str(), event - 1);
            pausedAt = nowMs();
        }
        const long until = nowMs() + (pauses ? PauseMs : eventMs);
        while (nowMs() < until) {
            sleepMs(5);
            if (connection.isClosedByPeer()) {
                record.line("worker %s: the connection of %s was closed after event %d", engine.id.c_str(),
                            id.c_str(), event - 1);
                wasClosedInPause = wasClosedInPause || pauses;
                return false;
            }
        }
        isOpen = writeEvent(connection, event);
    }
    return isOpen && connection.write("0\r\n\r\n");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5)
        return 2;
    const std::string net = argv[1];
    const std::string entry = argv[2];
    const auto entryPid = static_cast<pid_t>(std::atoi(argv[3]));
    const std::vector<std::string> controls(argv + 4, argv + argc);
    record.open(std::getenv("RECORD"));

    static Engines engines;
    engines.options.service = "kitchen-llm";
    engines.options.controls = controls;
    engines.options.slots = Slots;
    engines.options.queue = 0;
    engines.run = &writeStream;
    const char *const zones[] = {"bole", "kazanchis", "piassa"};
    for (int i = 0; i < 4; ++i)
        addEngine(engines, "i-7f3a91c" + std::to_string(i), net + "." + std::to_string(21 + i) + ":8080",
                  zones[i % 3], "rack-1");
    startEngines(engines);
    publish(controls,
            configuration(1, streamRoute(10000, 2000) + "," + bookingRoute(),
                          engineService(Slots) + "," + plainService()),
            "version 1");
    waitForGroups(engines, 2);
    sleepMs(4000); // longer than the connectivity window, without a disruption

    // Earlier requests, which give the entry a budget for repeats.
    std::vector<std::thread> earlier;
    for (int number = 0; number < 4; ++number) {
        earlier.emplace_back([&, number] {
            const auto connection = connectTo(entry);
            for (int i = 0; connection && i < 10; ++i) {
                const std::string id = "early-" + std::to_string(10 * number + i);
                recordStream(id, readStream(*connection, streamRequest(id, 10000, 1420, 20), 11000));
            }
        });
    }
    for (std::thread &thread : earlier)
        thread.join();

    // As many streams as both groups have places, each on a kept connection.
    std::vector<std::thread> consumers;
    std::map<std::string, StreamResult> results;
    std::mutex resultsMutex;
    for (std::size_t i = 0; i < 2 * Slots; ++i) {
        consumers.emplace_back([&, i] {
            const std::string id = "stream-" + std::to_string(i);
            for (int attempt = 0; attempt < 20; ++attempt) {
                const auto connection = connectTo(entry);
                if (!connection)
                    return;
                const std::string own = id + "-" + std::to_string(attempt);
                const StreamResult result =
                        readStream(*connection, streamRequest(own, 10000, 1420, 5 * Events), 11000);
                recordStream(own, result);
                const std::lock_guard lock(resultsMutex);
                results[own] = result;
                if (result.status == 200)
                    return;
                sleepMs(150);
            }
        });
        sleepMs(120);
    }
    sleepMs(500);
    const long reloadedAt = nowMs();
    record.line("platform: SIGHUP to the entry");
    ::kill(entryPid, SIGHUP);
    if (hasTrouble()) {
        const std::scoped_lock lock(newestMutex, engines.mutex);
        for (const auto &[worker, id] : newestByWorker) {
            // A stream that a full worker has refused has no attempt left, so it can't be moved.
            if (!engines.refused.contains(id))
                preemptedId = id;
        }
    }
    for (std::thread &consumer : consumers)
        consumer.join();
    if (hasTrouble() && pausedAt < 0)
        cannotRun("no stream was preempted");
    bool isBroken = false;
    for (const auto &[id, result] : results) {
        const bool isCut = result.status == 200 && !result.isWhole && result.isClosed;
        const bool counts = result.sentAt <= reloadedAt + 2000 && result.endedAt >= reloadedAt
                            && result.endedAt - result.sentAt < 10000;
        if (!isCut || !counts)
            continue;
        record.line("%s: passed on, and the connection ended after %d of %d events, %ld ms after it was sent",
                    id.c_str(), result.events, Events, result.endedAt - result.sentAt);
        isBroken = true;
    }
    record.line(isBroken ? "LOST was broken" : "LOST held");
    std::_Exit(isBroken ? 1 : 0);
}
