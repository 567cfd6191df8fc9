#include "libserving/serving.h"

// Random routing, the baseline: spreads the requests like round robin, but needs no state.

namespace Trefoil {

namespace {

std::size_t chooseRandom(std::span<const RoutingCandidate> candidates, std::mt19937_64 &rng)
{
    std::uniform_int_distribution<std::size_t> randomIndex(0, candidates.size() - 1);
    return randomIndex(rng);
}

const RoutingPolicies::Registration RandomChoice("random", {chooseRandom});

} // namespace

} // namespace Trefoil
