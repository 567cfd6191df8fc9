#pragma once

#include "crowds/standinengine.h"
#include "libgateway/endpointpool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

// A system of control VMs and one entry, run as real processes on loopback addresses, with a plain
// endpoint and engines that the test plays.

namespace Trefoil {

struct GatewaySystemOptions
{
    // Values of the settings `limits.connections` and `limits.memory` of both processes.
    std::size_t connections = 400;
    std::size_t memoryMb = 96;

    // The first three are the seeds of all nodes.
    std::size_t controlVms = 1;

    // Engines of the service `drafts`, which form groups of two.
    std::size_t engines = 0;

    // Text in the published configuration that cannot be compressed.
    std::size_t configurationPaddingBytes = 0;

    // Limits of requests in the published configuration.
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15'000};
};

// What a process holds at one moment.
struct ProcessUsage
{
    std::size_t residentBytes = 0;

    // Bytes that the kernel holds for the process: received and not read, or sent and not taken by
    // the peer.
    std::size_t queuedBytes = 0;

    std::size_t openDescriptors = 0;
};

// A process of the system.
struct GatewayNode
{
    std::string name;
    std::string role;    // "entry" or "control"
    std::string address; // IP address without a port
    std::unique_ptr<boost::process::child> process;
};

bool isRunning(GatewayNode &node);
ProcessUsage readUsage(const GatewayNode &node);

// Returns the largest resident size that the process ever had.
std::size_t readPeakResidentBytes(const GatewayNode &node);

constexpr std::uint16_t InternalPort = 7100;
constexpr std::uint16_t CallerPort = 7101;
constexpr std::uint16_t ReadinessPort = 7102;
constexpr std::uint16_t ControlPort = 7103;
constexpr std::uint16_t EntryListPort = 7104;
constexpr std::uint16_t MetricsPort = 7105;

std::string addressOf(const GatewayNode &node, std::uint16_t port);

// Returns the value of a metric without labels, -1 when the node does not answer or has no such
// one.
boost::asio::awaitable<double> readMetric(const GatewayNode &node, std::string name);

// Target of requests that the endpoint answers at once with a few bytes.
constexpr std::string_view OrdinaryTarget = "/book/ordinary";

// Target of requests that the endpoint answers with LargeAnswerBytes.
constexpr std::string_view LargeAnswerTarget = "/book/large";
constexpr std::size_t LargeAnswerBytes = 6 * 1024 * 1024;

// Target of requests that the endpoint does not answer.
constexpr std::string_view UnansweredTarget = "/book/unanswered";

class GatewaySystem
{
public:
    // Removes and creates the folder, which gets the settings, data and logs of the processes.
    GatewaySystem(boost::asio::io_context &context, std::string folder,
                  GatewaySystemOptions options);

    // Ends the processes.
    ~GatewaySystem();

    // Starts the endpoint and the processes and waits until the entry serves. Returns false when it
    // does not.
    boost::asio::awaitable<bool> start();

    // Sends ordinary requests until one is answered, as a caller does that was refused. Returns
    // false when none of them is.
    boost::asio::awaitable<bool> serveOneRequest();

    // Reads the configuration until it is answered. Returns false when it never is.
    boost::asio::awaitable<bool> readConfiguration();

    // Stops the process, waits for its end and starts it again.
    void restart(GatewayNode &node);

    // Returns the control VM that leads, or null.
    boost::asio::awaitable<GatewayNode *> findLeader();

    GatewayNode entry;
    std::vector<GatewayNode> controls;
    std::vector<std::unique_ptr<StandInEngine>> engines;

    // Bytes that the endpoint sends on each connection on which no request waits.
    std::size_t unsolicitedBytes = 0;

private:
    void startNode(GatewayNode &node);
    std::string controlAddress(std::size_t index) const;
    boost::asio::awaitable<bool> publishConfiguration();
    boost::asio::awaitable<void> sendHeartbeats();
    boost::asio::awaitable<void> serveEndpoint(ChannelPointer channel);

    boost::asio::io_context &context_;

    // The endpoint runs on a thread of its own, so that the clients do not slow it down.
    boost::asio::io_context endpointContext_{1};
    std::thread endpointThread_;

    std::string folder_;
    GatewaySystemOptions options_;
    std::unique_ptr<ChannelListener> endpointListener_;
    std::uint64_t nextRequest_ = 1;
};

} // namespace Trefoil
