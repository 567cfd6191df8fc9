// Case 6: an operator takes a model service out of the configuration and brings it back with the next
// version, while groups serve. Checks the rule TWO at every join.

#include "operator.h"

using namespace Review;

namespace {

constexpr int Events = 12;

std::string fullConfiguration(int version)
{
    return configuration(version, streamRoute(6000, 300) + "," + bookingRoute(),
                         engineService(26) + "," + plainService());
}

std::string plainConfiguration(int version)
{
    return configuration(version, bookingRoute(), plainService());
}

// Sends a few streams, one after another on a kept connection.
void sendStreams(const std::string &entry, int count, const std::string &prefix)
{
    const auto connection = connectTo(entry);
    for (int i = 0; connection && i < count; ++i) {
        const std::string id = prefix + std::to_string(i);
        const StreamResult result =
                readStream(*connection, streamRequest(id, 6000, 674, 5 * Events), 7000);
        recordStream(id, result);
        if (result.isClosed)
            return;
        sleepMs(100);
    }
}

// Writes the events of a stream. They stop while the group lacks a member.
bool writeStream(Engine &engine, Connection &connection, const Message &request)
{
    record.line("worker %s: runs %s", engine.id.c_str(), request.field("X-Trefoilrun-Attempt-Id").c_str());
    sleepMs(engine.all.options.firstEventMs);
    bool isOpen = connection.write(streamHead(request));
    for (int event = 1; isOpen && event <= Events; ++event) {
        sleepMs(engine.all.options.eventMs);
        bool stands = true;
        while (stands) {
            const std::unique_lock lock(engine.all.mutex);
            if (!engine.membership || engine.membership->phase == Phase::Broken)
                return false;
            stands = !isComplete(engine.all, *engine.membership);
            if (stands && connection.isClosedByPeer())
                return false;
        }
        isOpen = writeEvent(connection, event);
    }
    return isOpen && connection.write("0\r\n\r\n");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    const std::string net = argv[1];
    const std::string entry = argv[2];
    const std::vector<std::string> controls(argv + 3, argv + argc);
    record.open(std::getenv("RECORD"));

    static Engines engines;
    engines.options.service = "kitchen-llm";
    engines.options.controls = controls;
    engines.run = &writeStream;
    const char *const zones[] = {"bole", "kazanchis", "piassa"};
    for (int i = 0; i < 8; ++i)
        addEngine(engines, "i-7f3a91c" + std::to_string(i), net + "." + std::to_string(21 + i) + ":8080",
                  zones[i % 3], "rack-1");
    startEngines(engines);
    publish(controls, fullConfiguration(1), "version 1, with the model service");
    waitForGroups(engines, 4);
    sendStreams(entry, 6, "before-");

    if (hasTrouble())
        publish(controls, plainConfiguration(2), "version 2, without the model service and its route");
    else
        publish(controls, fullConfiguration(2), "version 2, with the model service");
    sleepMs(4000);
    publish(controls, fullConfiguration(3), "version 3, with the model service");
    sleepMs(3000);
    sendStreams(entry, 6, "after-");
    sleepMs(5000);

    engines.isOver = true;
    const std::lock_guard lock(engines.mutex);
    record.line("joins of another group while the head may serve: %zu", engines.brokenJoins.size());
    record.line(engines.brokenJoins.empty() ? "TWO held" : "TWO was broken");
    std::_Exit(engines.brokenJoins.empty() ? 0 : 1);
}
