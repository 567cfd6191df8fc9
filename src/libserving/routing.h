#pragma once

#include "libserving/pluginregistry.h"

#include <cstdint>
#include <random>
#include <span>

// Choice of the endpoint that takes the next request of a pool.

namespace Trefoil {

struct RoutingCandidate
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;
    bool holdsPrefix = false; // recently served a request with the same prompt prefix
    double latencyMs = 0;     // smoothed, 0 when unknown
};

// Returns an index into `candidates`, which is never empty.
using RoutingFunction = std::size_t (*)(std::span<const RoutingCandidate> candidates,
                                        std::mt19937_64 &rng);

struct RoutingPolicy
{
    RoutingFunction choose = nullptr;
};

using RoutingPolicies = PluginRegistry<RoutingPolicy>;

} // namespace Trefoil
