#pragma once

#include "answerchecks.h"
#include "faultproxy.h"
#include "loadchecks.h"
#include "support/enginefleet.h"

#include "libgateway/httpmessage.h"
#include "libruntime/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// State of the soak test of one seed: the real processes, the stub endpoints behind their proxies,
// the requests of the callers and the violations that were found.

namespace Trefoil {

struct SoakOptions
{
    std::uint64_t seed = 1;

    // Time with faults. Start, recovery and stop take additional time.
    std::chrono::seconds duration{20};

    // Numbers of entries and control VMs.
    std::size_t entries = 3;
    std::size_t controlVms = 3;

    // Path of trefoilrund.
    std::string daemon;

    // Folder for the settings, data and logs of the processes.
    std::string folder;

    // Prints each fault.
    bool isVerbose = false;
};

// A process of the system.
struct SoakNode
{
    std::string name;

    // "entry" or "control".
    std::string role;

    std::string domain;

    // IP address without a port.
    std::string address;

    std::string folder;
    std::unique_ptr<boost::process::child> process;
    bool shouldRun = false;
    bool isPaused = false;
    bool isFirstStart = true;

    // Time of the last start or signal.
    TimePoint lastFaultAt{};

    // Time of the last planned work on this node, a stop or new settings, that began without
    // another fault shortly before.
    TimePoint plannedWorkAt{};
};

// Fraction of the requests of which a plain endpoint loses the response after it ran them.
constexpr double DefaultLostResponseRatio = 0.03;

// A VM with a stub endpoint behind a proxy.
struct SoakEndpoint
{
    std::size_t index = 0;
    bool isEngine = false;

    // Identifies the current incarnation.
    EndpointId id;

    // Address at which the endpoint listens.
    std::string address;

    // Address at which the system reaches the endpoint.
    std::string proxyAddress;
    std::unique_ptr<FaultProxy> proxy;
    std::unique_ptr<ChannelListener> listener;

    // Connections of earlier incarnations are closed.
    std::uint64_t incarnation = 0;

    // Report of a plain endpoint. The fleet holds the reports of engines.
    EndpointReport report;

    // Address to which the system asked the endpoint to send its reports.
    std::string reportAddress;

    // The endpoint keeps to the first control VM that answers it, whatever it is asked for.
    bool keepsReportAddress = false;

    // The endpoint sends no reports of its own.
    bool isSilent = false;

    double lostResponseRatio = DefaultLostResponseRatio;

    // Time at which a control VM acknowledged that this incarnation leaves.
    std::optional<TimePoint> departedAt;

    // The endpoint says in its answers that it leaves, and to nobody else.
    bool saysThatItLeaves = false;

    // The endpoint refuses requests of some entries with this time until then.
    Duration holdOff{};
    TimePoint holdsOffUntil{};
    std::size_t heldOffEntries = 0; // bit for each entry

    bool hasConnectionFault = false;
    TimePoint lastConnectionFaultAt{};
};

// A booking must run at most once. A lookup can be repeated.
enum class RequestKind : std::uint8_t { Stream, Booking, Lookup };

// A request as its caller sent it, and its outcome.
struct SentRequest
{
    RequestKind kind = RequestKind::Stream;
    std::string path;
    std::string body;
    std::uint32_t executions = 0;

    // The caller was told that the request has not run.
    bool isRefused = false;

    // Prompt parts of a stream. One of them ends engines if `hasEndingPart`.
    std::string parts;
    bool hasEndingPart = false;

    // Address of the entry for callers.
    std::string entry;
    TimePoint sentAt{};

    // Times that the request reached an endpoint, whether it was run or not.
    std::uint32_t arrivals = 0;
};

// Returns the service to which requests of the kind are sent.
std::string serviceOf(RequestKind kind);

struct SoakCounts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    // Failures by the request kind and the result that the caller saw.
    std::map<std::string, std::uint64_t> failures;

    std::uint64_t publishedConfigurations = 0;
    std::uint64_t faults = 0;
    std::uint64_t misbehavingClients = 0;
    std::uint64_t departures = 0;
    std::uint64_t plannedWork = 0; // on entries

    // Requests that were sent to entries during planned work there.
    std::uint64_t duringPlannedWork = 0;
};

// The running soak test.
struct SoakState
{
    explicit SoakState(SoakOptions soakOptions);

    boost::asio::io_context context{1};
    SoakOptions options;
    std::mt19937_64 rng;
    std::vector<SoakNode> nodes;

    // State of the engines.
    EngineFleet fleet;

    std::vector<std::unique_ptr<SoakEndpoint>> endpoints;
    std::map<std::string, SentRequest> sent;

    // Violated guarantees, with the time at which they were found.
    std::vector<std::string> violations;

    SoakCounts counts;
    TimePoint startedAt{};
    std::uint64_t nextRequest = 1;

    // Newest configuration versions that were sent and acknowledged.
    std::uint64_t sentVersion = 0;
    std::uint64_t acknowledgedVersion = 0;

    bool hasFaults = false;

    // Requests with the ending part are sent, and end the engines that begin to answer them.
    bool isEndingPartActive = false;

    // Times at which requests ended engines, and the number of such requests that undisturbed
    // entries sent to engines when this was no longer allowed.
    std::vector<TimePoint> engineEnds;
    std::size_t lateEndingRequests = 0;

    // Fraction of the requests that endpoints reject.
    double rejectionRatio = 0;

    ServiceLoads serviceLoads;

    // By endpoint id.
    LimitedLoads limitedLoads;

    ToldEntries toldEntries;

    // Stops the callers and the operator.
    bool isOver = false;
};

// Records and prints a violated guarantee with the current time.
void reportViolation(SoakState &soak, const std::string &text);

// Returns a random number from 0 to 1.
double randomFraction(SoakState &soak);

std::uint64_t randomBelow(SoakState &soak, std::uint64_t bound);
Duration randomDuration(SoakState &soak, Duration from, Duration to);
boost::asio::awaitable<void> sleepFor(Duration duration);

std::string addressOf(const SoakNode &node, std::uint16_t port);
// Returns a random node of the role.
SoakNode &randomNode(SoakState &soak, const std::string &role);

// Returns the entry with this address for callers, or null.
const SoakNode *findEntry(const SoakState &soak, const std::string &callerAddress);

// Returns whether the node runs and had no fault for the duration.
bool isUndisturbed(const SoakNode &node, Duration duration);

constexpr std::uint16_t InternalPort = 7000;
constexpr std::uint16_t CallerPort = 7001;
constexpr std::uint16_t ReadinessPort = 7002;
constexpr std::uint16_t ControlPort = 7003;
constexpr std::uint16_t EntryListPort = 7004;
constexpr std::uint16_t MetricsPort = 7005;
constexpr std::uint16_t EndpointPort = 8000;

// Memory that the settings allow each process.
constexpr std::size_t MemoryMb = 96;

// Writes the settings of the node and starts its process.
void startNode(SoakState &soak, SoakNode &node);
// Sends the signal to the process, which counts as a fault.
void signalNode(SoakNode &node, int signal);

// Reports a violation for each process that exited without being stopped.
void reportUnexpectedExits(SoakState &soak);

// Stops all processes with SIGTERM, waits until they exit and checks their exit status.
boost::asio::awaitable<void> stopNodes(SoakState &soak);

// Lets crowds of clients break the limits of requests until the given time.
boost::asio::awaitable<void> runMisbehavingClients(SoakState &soak, TimePoint until);

// Reports a violation for each process that uses more memory than its settings allow.
void checkMemory(SoakState &soak);

// Injects random, overlapping faults for the configured duration and waits until all have ended.
boost::asio::awaitable<void> injectFaults(SoakState &soak);

} // namespace Trefoil
