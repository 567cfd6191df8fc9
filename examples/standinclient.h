#pragma once

#include "libruntime/runtime.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

// Client of the endpoint protocol in docs/interfaces.md. It announces an endpoint, sends heartbeats
// to the entry that the response names, and falls back to the other entries.

namespace Trefoil {

// What an endpoint announces about itself, and the entries that it announces itself to.
struct EndpointInfo
{
    std::string vm;
    std::string address;
    std::string domain;
    std::string fabric;

    // Empty for an engine.
    std::string service;

    std::uint32_t accelerators = 4;
    std::uint32_t slots = 8;
    bool enforcesFencing = true;
    std::uint64_t incarnation = 0;
    std::vector<std::string> entries;
};

// State that a heartbeat reports.
struct HeartbeatReport
{
    std::uint64_t group = 0;
    std::string state = "idle";
    std::vector<std::string> weights;
    std::uint32_t inFlight = 0;
};

// Announces the endpoint and sends heartbeats until the process ends. Sends nothing while
// `suppressesHeartbeats` returns true.
boost::asio::awaitable<void> maintainRegistration(EndpointInfo info,
                                                  std::function<HeartbeatReport()> report,
                                                  std::function<bool()> suppressesHeartbeats);

// Tells the entries that the endpoint leaves. Returns whether one accepted the notice.
boost::asio::awaitable<bool> sendLeaveNotice(EndpointInfo info);

} // namespace Trefoil
