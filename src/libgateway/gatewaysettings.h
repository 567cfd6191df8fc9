#pragma once

#include "libfleet/fleet.h"
#include "libruntime/findings.h"

#include <string>
#include <vector>

namespace Trefoil {

// Settings of an entry or a control VM that runs all its duties on one thread.
struct GatewaySettings
{
    std::string name;
    std::string region;
    std::string domain;
    std::string address; // IP number
    std::uint16_t internalPort = 0;
    std::vector<std::string> seeds; // control addresses, IP:port
    bool isFirstStart = false;
    std::string dialect;

    std::string callerListen;
    std::string readinessListen;
    std::string controlListen;
    std::string entryListListen;
    std::string metricsListen;
    std::string dataFolder;

    std::uint32_t toleratedLosses = 1; // control VMs that may be lost at once
    std::size_t maxConnections = 4096;
    Duration heartbeat = std::chrono::seconds(1); // of endpoints
    Duration stopBound = std::chrono::seconds(8);
    Duration entryListLifetime = std::chrono::seconds(2);
    WindowedRetryBudgetOptions retryBudget;
};

struct LoadedGatewaySettings
{
    GatewaySettings settings;
    std::vector<Finding> findings; // settings are usable only when empty
};

// Address at which this process takes links or datagrams of others.
std::string linkAddress(const GatewaySettings &settings);

// Addresses at which the seeds take links; the settings name those for operators.
std::vector<std::string> seedLinkAddresses(const GatewaySettings &settings);

LoadedGatewaySettings loadGatewaySettings(const std::string &path);
LoadedGatewaySettings readGatewaySettings(const std::string &text, const std::string &file);

} // namespace Trefoil
