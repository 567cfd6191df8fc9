#pragma once

#include "faultproxy.h"
#include "support/enginefleet.h"

#include "libgateway/httpmessage.h"
#include "libruntime/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

// What one seed of the soak runs and what it knows: the real processes, the stand-in endpoints
// behind their proxies, the requests of callers, and the promises that were broken.

namespace Trefoil {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{20}; // with faults; start, recovery and stop come on top
    std::string daemon;                // path of trefoilrund
    std::string folder;                // settings, data and logs of the processes
    bool isVerbose = false;            // prints each fault
};

// A process of the system.
struct SoakNode
{
    std::string name;
    std::string role; // entry or control
    std::string domain;
    std::string address; // IP number
    std::string folder;
    std::unique_ptr<boost::process::child> process;
    bool isMeantToRun = false;
    bool isPaused = false;
    bool isFirstStart = true;
    TimePoint disturbedAt{}; // last moment at which a fault touched it
};

// Part of the answers that plain endpoints lose after they ran a request.
constexpr double UsualLostAnswers = 0.03;

// A VM with a stand-in endpoint behind a proxy.
struct SoakEndpoint
{
    std::size_t index = 0;
    bool isEngine = false;
    EndpointId id;       // of the life that runs
    std::string address; // where it listens
    std::string proxyAddress;
    std::unique_ptr<FaultProxy> proxy;
    std::unique_ptr<ChannelListener> listener;
    std::uint64_t life = 0;    // connections of earlier lives end
    EndpointReport report;     // of a plain endpoint; engines have theirs in the fleet
    std::string reportAddress; // asked for by the system
    double lostAnswerShare = UsualLostAnswers; // of the requests that it runs
};

enum class RequestSort : std::uint8_t { Stream, Booking, Lookup };

// What a caller sent under one id, and what became of it.
struct SentRequest
{
    RequestSort sort = RequestSort::Stream;
    std::string path;
    std::string body;
    std::uint32_t runs = 0;
    bool isRefused = false; // the caller was told that it has not run
};

struct SoakCounts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::map<std::string, std::uint64_t> failures; // by what the caller saw
    std::uint64_t published = 0;
    std::uint64_t faults = 0;
};

struct SoakWorld
{
    explicit SoakWorld(SoakOptions soakOptions);

    boost::asio::io_context context{1};
    SoakOptions options;
    std::mt19937_64 rng;
    std::vector<SoakNode> nodes;
    EngineFleet fleet; // state of the engines
    std::vector<std::unique_ptr<SoakEndpoint>> endpoints;
    std::map<std::string, SentRequest> sent;
    std::vector<std::string> broken; // promises
    SoakCounts counts;
    TimePoint startedAt{};
    std::uint64_t nextRequest = 1;
    std::uint64_t sentVersion = 0; // newest configuration that was sent
    std::uint64_t ackedVersion = 0;
    bool hasFaults = false;
    bool isOver = false; // callers and the operator stop
};

// Notes a broken promise with its moment.
void noteBroken(SoakWorld &world, const std::string &text);

double randomShare(SoakWorld &world); // from 0 to 1
std::uint64_t randomBelow(SoakWorld &world, std::uint64_t bound);
Duration randomDuration(SoakWorld &world, Duration from, Duration to);
boost::asio::awaitable<void> sleepFor(Duration duration);

std::string addressOf(const SoakNode &node, std::uint16_t port);
SoakNode &anyNode(SoakWorld &world, const std::string &role);

// True when no fault touched the node for that long.
bool isCalm(const SoakNode &node, Duration duration);

constexpr std::uint16_t InternalPort = 7000;
constexpr std::uint16_t CallerPort = 7001;
constexpr std::uint16_t ReadinessPort = 7002;
constexpr std::uint16_t ControlPort = 7003;
constexpr std::uint16_t EntryListPort = 7004;
constexpr std::uint16_t MetricsPort = 7005;
constexpr std::uint16_t EndpointPort = 8000;

// ---- Processes

void startNode(SoakWorld &world, SoakNode &node);
void signalNode(SoakNode &node, int signal);

// Notes processes that ended although nobody stopped them.
void checkProcesses(SoakWorld &world);

// Stops all with SIGTERM and waits until they are gone; their exit status is checked.
boost::asio::awaitable<void> stopNodes(SoakWorld &world);

// ---- Faults

// Injects random faults, overlapping, until the time is over, then heals all.
boost::asio::awaitable<void> injectFaults(SoakWorld &world);

} // namespace Trefoil
