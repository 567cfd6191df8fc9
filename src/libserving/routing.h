#pragma once

#include "libserving/pluginregistry.h"

#include <cstdint>
#include <random>
#include <span>

// Interface of the routing policies, which choose the endpoint of the next request of a pool.

namespace Trefoil {

struct RoutingCandidate
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;
    // True when the candidate recently served a request with the same prompt prefix.
    bool holdsPrefix = false;
    // The smoothed latency. It is 0 when unknown.
    double latencyMs = 0;
};

// Returns the index of the chosen candidate. `candidates` is never empty.
using RoutingFunction = std::size_t (*)(std::span<const RoutingCandidate> candidates,
                                        std::mt19937_64 &rng);

struct RoutingPolicy
{
    RoutingFunction choose = nullptr;
};

using RoutingPolicies = PluginRegistry<RoutingPolicy>;

} // namespace Trefoil
