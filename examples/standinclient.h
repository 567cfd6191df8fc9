#pragma once

#include "libruntime/runtime.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

// The endpoint's half of docs/interfaces.md: announces itself, sends heartbeats to the entry that
// it is pointed to, and falls back to the other entries.

namespace Trefoil {

struct EndpointFacts
{
    std::string vm;
    std::string address;
    std::string domain;
    std::string fabric;
    std::string service; // empty for an engine
    std::uint32_t accelerators = 4;
    std::uint32_t slots = 8;
    bool enforcesFencing = true;
    std::uint64_t incarnation = 0;
    std::vector<std::string> entries;
};

// What a heartbeat reports.
struct EndpointReport
{
    std::uint64_t group = 0;
    std::string state = "idle";
    std::vector<std::string> weights;
    std::uint32_t inFlight = 0;
};

// Announces the endpoint and sends heartbeats until the process ends. `isSilent` pauses them.
boost::asio::awaitable<void> keepAnnounced(EndpointFacts facts,
                                           std::function<EndpointReport()> report,
                                           std::function<bool()> isSilent);

// Tells an entry that the endpoint leaves. True when it was accepted.
boost::asio::awaitable<bool> announceLeaving(EndpointFacts facts);

} // namespace Trefoil
