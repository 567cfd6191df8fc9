#pragma once

#include "libfleet/fleet.h"
#include "libruntime/findings.h"

#include <string>
#include <vector>

namespace Trefoil {

// Settings of an entry or a control VM.
struct GatewaySettings
{
    std::string name;
    std::string region;

    // Failure domain.
    std::string domain;

    // IP address without port.
    std::string address;
    std::uint16_t internalPort = 0;

    // Control addresses of the seeds, IP:port.
    std::vector<std::string> seeds;

    bool isFirstStart = false;
    std::string dialect;

    std::string callerListenAddress;
    std::string readinessListenAddress;
    std::string controlListenAddress;
    std::string entryListListenAddress;
    std::string metricsListenAddress;
    std::string dataFolder;

    // Number of control VMs that may be lost at once.
    std::uint32_t toleratedLosses = 1;

    std::size_t maxConnections = 4096;

    // Memory of the VM that this process may use, in MB.
    std::size_t memoryMb = 256;

    // Interval of the heartbeats that endpoints send.
    Duration heartbeatInterval = std::chrono::seconds(1);

    Duration maxStopTime = std::chrono::seconds(8);
    Duration entryListLifetime = std::chrono::seconds(2);
    WindowedRetryBudgetOptions retryBudget;
};

struct LoadedGatewaySettings
{
    GatewaySettings settings;

    // The settings are usable only when there are no findings.
    std::vector<Finding> findings;
};

// Returns the address at which this process accepts links (TCP) and load digests (UDP).
std::string linkAddress(const GatewaySettings &settings);

// Returns the link addresses of the seeds: the IP addresses from their control addresses with the
// internal port of this process.
std::vector<std::string> seedLinkAddresses(const GatewaySettings &settings);

LoadedGatewaySettings loadGatewaySettings(const std::string &path);
LoadedGatewaySettings parseGatewaySettings(const std::string &text, const std::string &file);

} // namespace Trefoil
