#include "standinservers.h"

#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time between the starts of two faults.
constexpr auto MinFaultInterval = milliseconds(100);
constexpr auto MaxFaultInterval = milliseconds(1500);

constexpr auto MinFaultDuration = milliseconds(100);
constexpr auto MaxFaultDuration = seconds(4);

// Time that control needs to recover after the loss of a disk. No other control VM fails until
// then.
constexpr auto DiskRecoveryTime = seconds(8);

// Fraction of the requests that endpoints reject while they reject requests.
constexpr double RejectionRatio = 0.8;

// Largest limit that an endpoint names, in requests a second, and the time until limits change.
constexpr double MaxLimit = 4;
constexpr auto MinLimitTime = seconds(2);
constexpr auto MaxLimitTime = seconds(8);

// Pause between two departures, and the time that an endpoint still serves after its own.
constexpr auto MinDepartureInterval = milliseconds(500);
constexpr auto MaxDepartureInterval = seconds(4);
constexpr auto MinLingerTime = seconds(3);
constexpr auto MaxLingerTime = seconds(8);

// Time from the start of an endpoint until it leaves without having reported.
constexpr auto MinUnreportedTime = milliseconds(200);
constexpr auto MaxUnreportedTime = milliseconds(800);

// Pause between planned stops and reloads of entries, and the time without a fault before them.
constexpr auto MinPlannedInterval = milliseconds(300);
constexpr auto MaxPlannedInterval = seconds(3);
constexpr auto MinCalmTime = milliseconds(3100);

// Times for which endpoints want no requests.
constexpr auto MinHoldOff = milliseconds(200);
constexpr auto MaxHoldOff = seconds(20);

// Counts the active faults, so that no more control VMs fail at the same time than the settings
// tolerate.
struct ActiveFaults
{
    std::size_t count = 0;
    std::size_t controlNodes = 0;
    std::size_t lostDisks = 0;
};

// Prints the text in verbose mode.
void logFault(const SoakState &soak, const std::string &text)
{
    if (!soak.options.isVerbose)
        return;
    std::cout << std::chrono::duration<double>(RuntimeClock::now() - soak.startedAt).count()
              << " s: " << text << std::endl;
}

asio::awaitable<void> waitForExit(SoakNode &node)
{
    while (node.process->running())
        co_await sleepFor(milliseconds(20));
}

// Ends the process with the signal and starts it again after `downTime`, if `losesDisk` with an
// empty disk.
asio::awaitable<void> restartNode(SoakState &soak, SoakNode &node, int signal, bool losesDisk,
                                  Duration downTime)
{
    logFault(soak, node.name + (signal == SIGTERM ? " is stopped" : " is killed")
                           + (losesDisk ? ", its disk is erased" : ""));
    node.shouldRun = false;
    signalNode(node, signal);
    co_await waitForExit(node);
    if (losesDisk)
        std::filesystem::remove_all(node.folder + "/data");
    co_await sleepFor(downTime);
    startNode(soak, node);
    logFault(soak, node.name + " is started");
}

asio::awaitable<void> pauseNode(SoakState &soak, SoakNode &node, Duration duration)
{
    logFault(soak, node.name + " is paused");
    node.isPaused = true;
    signalNode(node, SIGSTOP);
    co_await sleepFor(duration);
    signalNode(node, SIGCONT);
    node.isPaused = false;
    logFault(soak, node.name + " is resumed");
}

asio::awaitable<void> injectNodeFault(SoakState &soak, ActiveFaults &active, Duration duration)
{
    SoakNode &node = soak.nodes[randomBelow(soak, soak.nodes.size())];
    const bool isControl = node.role == "control";
    if (!node.shouldRun || node.isPaused || (isControl && active.controlNodes > 0))
        co_return;
    active.controlNodes += isControl ? 1 : 0;
    const std::uint64_t draw = randomBelow(soak, 10);
    if (draw < 3) {
        co_await restartNode(soak, node, SIGKILL, false, duration);
    } else if (draw < 5) {
        soak.counts.plannedWork += isControl ? 0 : 1;
        co_await restartNode(soak, node, SIGTERM, false, duration);
    } else if (draw < 8) {
        co_await pauseNode(soak, node, duration);
    } else if (draw == 8) {
        logFault(soak, node.name + " reads its settings again");
        soak.counts.plannedWork += isControl ? 0 : 1;
        signalNode(node, SIGHUP);
    } else if (isControl && active.lostDisks == 0) {
        ++active.lostDisks;
        co_await restartNode(soak, node, SIGKILL, true, duration);
        co_await sleepFor(DiskRecoveryTime);
        --active.lostDisks;
    }
    active.controlNodes -= isControl ? 1 : 0;
}

// Kills all control processes at the same time and starts them again with their data, as after a
// power failure.
asio::awaitable<void> killControlNodes(SoakState &soak, ActiveFaults &active, Duration duration)
{
    if (active.controlNodes > 0)
        co_return;
    for (SoakNode &node : soak.nodes) {
        if (node.role != "control")
            continue;
        ++active.controlNodes;
        ++active.count;
        asio::co_spawn(soak.context, restartNode(soak, node, SIGKILL, false, duration),
                       [&active](const std::exception_ptr &) {
                           --active.controlNodes;
                           --active.count;
                       });
    }
}

asio::awaitable<void> injectConnectionFault(SoakState &soak, SoakEndpoint &endpoint,
                                            Duration duration)
{
    ProxyFault fault;
    switch (randomBelow(soak, 4)) {
    case 0:
        fault.delay = randomDuration(soak, milliseconds(5), milliseconds(400));
        break;
    case 1:
        fault.blocksResponses = true;
        break;
    case 2:
        fault.blocksAll = true;
        break;
    default:
        logFault(soak, "connections to " + endpoint.id + " are reset");
        endpoint.lastConnectionFaultAt = RuntimeClock::now();
        endpoint.proxy->resetConnections();
        co_return;
    }
    logFault(soak, "connections to " + endpoint.id + " are delayed or blocked");
    endpoint.hasConnectionFault = true;
    endpoint.proxy->setFault(fault);
    co_await sleepFor(duration);
    endpoint.proxy->setFault({});
    endpoint.hasConnectionFault = false;
    endpoint.lastConnectionFaultAt = RuntimeClock::now();
}

asio::awaitable<void> injectEndpointFault(SoakState &soak, Duration duration)
{
    SoakEndpoint &endpoint = *soak.endpoints[randomBelow(soak, soak.endpoints.size())];
    if (!isRunning(endpoint))
        co_return;
    switch (randomBelow(soak, 6)) {
    case 0:
        logFault(soak, endpoint.id + " crashes");
        crashEndpoint(soak, endpoint);
        co_await sleepFor(duration);
        if (!isRunning(endpoint))
            restartEndpoint(soak, endpoint);
        co_return;
    case 1:
        logFault(soak, "responses of " + endpoint.id + " are lost");
        endpoint.lostResponseRatio = 0.3;
        co_await sleepFor(duration);
        endpoint.lostResponseRatio = DefaultLostResponseRatio;
        co_return;
    case 2:
        logFault(soak, "a false report is sent for " + endpoint.id);
        co_await sendFalseReport(soak, endpoint);
        co_return;
    default:
        co_await injectConnectionFault(soak, endpoint, duration);
    }
}

asio::awaitable<void> injectFault(SoakState &soak, ActiveFaults &active)
{
    const Duration duration = randomDuration(soak, MinFaultDuration, MaxFaultDuration);
    const std::uint64_t draw = randomBelow(soak, 20);
    if (draw == 0)
        co_await killControlNodes(soak, active, duration / 2);
    else if (draw < 9)
        co_await injectNodeFault(soak, active, duration);
    else
        co_await injectEndpointFault(soak, duration);
}

// Kills or pauses the control VM that has just acknowledged a departure.
asio::awaitable<void> disturbNode(SoakState &soak, ActiveFaults &active, SoakNode &node,
                                  Duration duration)
{
    if (!node.shouldRun || node.isPaused || active.controlNodes > 0)
        co_return;
    ++active.controlNodes;
    if (randomBelow(soak, 2) == 0)
        co_await restartNode(soak, node, SIGKILL, false, duration);
    else
        co_await pauseNode(soak, node, duration);
    --active.controlNodes;
}

// Lets the endpoint announce that it leaves, serve on, and end. The control VM that acknowledges
// it, or all of them, may be lost at that moment, and a report that was made before may arrive
// late.
asio::awaitable<void> departEndpoint(SoakState &soak, ActiveFaults &active, SoakEndpoint &endpoint)
{
    // An endpoint that starts again under its id may leave before its first report arrives.
    const bool isUnreported = !endpoint.isEngine && randomBelow(soak, 2) == 0;
    if (isUnreported) {
        restartSilently(soak, endpoint);
        co_await sleepFor(randomDuration(soak, MinUnreportedTime, MaxUnreportedTime));
    }
    const std::uint64_t incarnation = endpoint.incarnation;
    const EndpointReport earlier = findReport(soak, endpoint);
    const Duration duration = randomDuration(soak, MinFaultDuration, MaxFaultDuration);
    SoakNode *acknowledgedBy =
            co_await announceDeparture(soak, endpoint, !isUnreported && randomBelow(soak, 2) == 0);
    if (endpoint.incarnation != incarnation)
        co_return;
    if (acknowledgedBy) {
        endpoint.departedAt = RuntimeClock::now();
        ++soak.counts.departures;
        logFault(soak,
                 "the departure of " + endpoint.id + " is acknowledged by " + acknowledgedBy->name);
        const std::uint64_t draw = randomBelow(soak, 4);
        if (draw < 2)
            co_await disturbNode(soak, active, *acknowledgedBy, duration);
        else if (draw == 2)
            co_await killControlNodes(soak, active, duration / 2);
    }
    co_await sleepFor(randomDuration(soak, MinLingerTime, MaxLingerTime) / 2);
    co_await sendLateReport(soak, earlier);
    co_await sleepFor(randomDuration(soak, MinLingerTime, MaxLingerTime) / 2);
    if (endpoint.incarnation != incarnation || !isRunning(endpoint))
        co_return;
    crashEndpoint(soak, endpoint);
    restartEndpoint(soak, endpoint);
}

// Lets endpoints leave one after another, some of them at the same time.
asio::awaitable<void> runDepartures(SoakState &soak, ActiveFaults &active, TimePoint until)
{
    while (RuntimeClock::now() < until) {
        co_await sleepFor(randomDuration(soak, MinDepartureInterval, MaxDepartureInterval));
        SoakEndpoint &endpoint = *soak.endpoints[randomBelow(soak, soak.endpoints.size())];
        if (!isRunning(endpoint) || endpoint.departedAt)
            continue;
        ++active.count;
        asio::co_spawn(soak.context, departEndpoint(soak, active, endpoint),
                       [&active](const std::exception_ptr &failure) {
                           --active.count;
                           if (failure)
                               std::rethrow_exception(failure);
                       });
    }
    --active.count;
}

// Lets the endpoint say in its answers that it leaves, serve on, and end. Control does not hear it.
asio::awaitable<void> leaveByAnswers(SoakState &soak, SoakEndpoint &endpoint)
{
    const std::uint64_t incarnation = endpoint.incarnation;
    logFault(soak, endpoint.id + " says in its answers that it leaves");
    endpoint.saysThatItLeaves = true;
    co_await sleepFor(randomDuration(soak, MinLingerTime, MaxLingerTime));
    if (endpoint.incarnation != incarnation || !isRunning(endpoint))
        co_return;
    crashEndpoint(soak, endpoint);
    restartEndpoint(soak, endpoint);
}

// Lets endpoints leave by their answers, or refuse requests of some entries with a time in which
// they want none.
asio::awaitable<void> runAnswerSignals(SoakState &soak, ActiveFaults &active, TimePoint until)
{
    while (RuntimeClock::now() < until) {
        co_await sleepFor(randomDuration(soak, MinDepartureInterval, MaxDepartureInterval));
        SoakEndpoint &endpoint = *soak.endpoints[randomBelow(soak, soak.endpoints.size())];
        if (!isRunning(endpoint) || endpoint.departedAt || endpoint.saysThatItLeaves)
            continue;
        if (randomBelow(soak, 3) == 0) {
            ++active.count;
            asio::co_spawn(soak.context, leaveByAnswers(soak, endpoint),
                           [&active](const std::exception_ptr &) { --active.count; });
            continue;
        }
        endpoint.holdOff = randomDuration(soak, MinHoldOff, MaxHoldOff);
        if (randomBelow(soak, 4) != 0)
            endpoint.holdOff /= 10;
        endpoint.heldOffEntries = randomBelow(soak, std::uint64_t{1} << soak.nodes.size());
        endpoint.holdsOffUntil =
                RuntimeClock::now() + std::min<Duration>(endpoint.holdOff, MaxHoldOff / 10);
        logFault(soak, endpoint.id + " wants no requests for a while");
    }
    --active.count;
}

// Stops entries as planned and lets them read their settings again, in series. Entries with a
// recent fault are left out, so that what is lost there is known to come from the planned work.
asio::awaitable<void> runPlannedWork(SoakState &soak, ActiveFaults &active, TimePoint until)
{
    while (RuntimeClock::now() < until) {
        co_await sleepFor(randomDuration(soak, MinPlannedInterval, MaxPlannedInterval));
        SoakNode &node = randomNode(soak, "entry");
        if (!isUndisturbed(node, MinCalmTime))
            continue;
        ++soak.counts.plannedWork;
        if (randomBelow(soak, 2) == 0) {
            logFault(soak, node.name + " reads its settings again");
            signalNode(node, SIGHUP);
            continue;
        }
        ++active.count;
        asio::co_spawn(soak.context,
                       restartNode(soak, node, SIGTERM, false,
                                   randomDuration(soak, MinFaultDuration, MaxFaultDuration)),
                       [&active](const std::exception_ptr &) { --active.count; });
    }
    --active.count;
}

// Lets requests with one prompt part end engines for a part of the test.
asio::awaitable<void> runEndingPart(SoakState &soak)
{
    co_await sleepFor(randomDuration(soak, Duration::zero(), soak.options.duration / 2));
    logFault(soak, "a prompt part ends engines");
    soak.isEndingPartActive = true;
    co_await sleepFor(randomDuration(soak, soak.options.duration / 4, soak.options.duration / 2));
    soak.isEndingPartActive = false;
    logFault(soak, "the prompt part ends no more engines");
}

// Lets the workers of another fleet, of a service that is not configured, report themselves and
// their many models for a part of the test.
asio::awaitable<void> runForeignFleet(SoakState &soak)
{
    constexpr auto reportInterval = seconds(2);
    co_await sleepFor(randomDuration(soak, Duration::zero(), soak.options.duration / 4));
    const TimePoint until =
            RuntimeClock::now()
            + randomDuration(soak, soak.options.duration / 2, soak.options.duration * 3 / 4);
    logFault(soak, "another fleet reports");
    while (RuntimeClock::now() < until) {
        co_await sendForeignReports(soak);
        co_await sleepFor(reportInterval);
    }
    logFault(soak, "the other fleet reports no more");
}

// Lets the endpoints reject most requests for a part of the test.
asio::awaitable<void> runRejections(SoakState &soak)
{
    co_await sleepFor(randomDuration(soak, Duration::zero(), soak.options.duration / 2));
    logFault(soak, "endpoints reject requests");
    soak.rejectionRatio = RejectionRatio;
    co_await sleepFor(randomDuration(soak, soak.options.duration / 4, soak.options.duration / 2));
    soak.rejectionRatio = 0;
    logFault(soak, "endpoints reject no more requests");
}

// Lets some endpoints name limits, which change, for a part of the test.
asio::awaitable<void> runLimits(SoakState &soak)
{
    co_await sleepFor(randomDuration(soak, Duration::zero(), soak.options.duration / 4));
    const TimePoint until =
            RuntimeClock::now()
            + randomDuration(soak, soak.options.duration / 2, soak.options.duration * 3 / 4);
    while (RuntimeClock::now() < until) {
        for (const auto &endpoint : soak.endpoints) {
            if (randomBelow(soak, 2) == 0)
                continue;
            const double limit = MaxLimit * randomFraction(soak);
            logFault(soak, endpoint->id + " names the limit " + std::to_string(limit));
            setLimit(soak, endpoint->id, limit);
        }
        co_await sleepFor(randomDuration(soak, MinLimitTime, MaxLimitTime));
    }
    for (const auto &endpoint : soak.endpoints) {
        if (currentLimit(soak, endpoint->id))
            setLimit(soak, endpoint->id, std::nullopt);
    }
    logFault(soak, "endpoints name no more limits");
}

} // namespace

asio::awaitable<void> injectFaults(SoakState &soak)
{
    asio::co_spawn(soak.context, runLimits(soak), asio::detached);
    asio::co_spawn(soak.context, runRejections(soak), asio::detached);
    asio::co_spawn(soak.context, runEndingPart(soak), asio::detached);
    asio::co_spawn(soak.context, runForeignFleet(soak), asio::detached);
    const TimePoint until = RuntimeClock::now() + soak.options.duration;
    asio::co_spawn(soak.context, runMisbehavingClients(soak, until), asio::detached);
    ActiveFaults active;
    active.count += 3;
    asio::co_spawn(soak.context, runPlannedWork(soak, active, until), asio::detached);
    asio::co_spawn(soak.context, runDepartures(soak, active, until), asio::detached);
    asio::co_spawn(soak.context, runAnswerSignals(soak, active, until), asio::detached);
    while (RuntimeClock::now() < until) {
        ++soak.counts.faults;
        ++active.count;
        asio::co_spawn(soak.context, injectFault(soak, active),
                       [&active](const std::exception_ptr &failure) {
                           --active.count;
                           if (failure)
                               std::rethrow_exception(failure);
                       });
        co_await sleepFor(randomDuration(soak, MinFaultInterval, MaxFaultInterval));
    }
    while (active.count > 0)
        co_await sleepFor(MinFaultInterval);
    logFault(soak, "all faults are over");
}

} // namespace Trefoil
