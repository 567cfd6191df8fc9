#include "libserving/serving.h"

// Power-of-two-choices routing: picks two random endpoints and chooses the one with the shorter
// expected wait. The expected wait is the latency times the number of requests per slot, including
// the new one.

namespace Trefoil {

namespace {

double expectedWaitMs(const RoutingCandidate &candidate)
{
    const double latencyMs = candidate.latencyMs > 0 ? candidate.latencyMs : 1;
    return latencyMs * (candidate.inFlight + 1.0) / candidate.slots;
}

std::size_t choosePowerOfTwo(std::span<const RoutingCandidate> candidates, std::mt19937_64 &rng)
{
    std::uniform_int_distribution<std::size_t> randomIndex(0, candidates.size() - 1);
    const std::size_t first = randomIndex(rng);
    const std::size_t second = randomIndex(rng);
    return expectedWaitMs(candidates[second]) < expectedWaitMs(candidates[first]) ? second : first;
}

const RoutingPolicies::Registration PowerOfTwo("power-of-two", {choosePowerOfTwo});

} // namespace

} // namespace Trefoil
