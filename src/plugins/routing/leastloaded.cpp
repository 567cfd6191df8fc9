#include "libserving/serving.h"

#include <algorithm>

// Least-loaded routing: chooses the endpoint with the fewest requests in flight per slot.

namespace Trefoil {

namespace {

std::size_t chooseLeastLoaded(std::span<const RoutingCandidate> candidates, std::mt19937_64 &)
{
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [](const RoutingCandidate &a, const RoutingCandidate &b) {
                                           return a.inFlight * b.slots < b.inFlight * a.slots;
                                       });
    return static_cast<std::size_t>(best - candidates.begin());
}

const RoutingPolicies::Registration LeastLoaded("least-loaded", {chooseLeastLoaded});

} // namespace

} // namespace Trefoil
