#include "libserving/serving.h"

#include <algorithm>

// Prefix-affinity routing: chooses an endpoint that holds the prompt's prefix, unless its load
// exceeds the load of the least loaded endpoint by more than MaxExtraLoad.

namespace Trefoil {

namespace {

// Additional load that is accepted for affinity, as a share of the slots.
constexpr double MaxExtraLoad = 0.25;

double loadPerSlot(const RoutingCandidate &candidate)
{
    return static_cast<double>(candidate.inFlight) / candidate.slots;
}

std::size_t choosePrefixAffinity(std::span<const RoutingCandidate> candidates, std::mt19937_64 &)
{
    const auto leastLoaded =
            std::min_element(candidates.begin(), candidates.end(),
                             [](const RoutingCandidate &a, const RoutingCandidate &b) {
                                 return loadPerSlot(a) < loadPerSlot(b);
                             });
    const auto prefixHolder =
            std::find_if(candidates.begin(), candidates.end(),
                         [](const RoutingCandidate &candidate) { return candidate.holdsPrefix; });
    const bool usesHolder =
            prefixHolder != candidates.end()
            && loadPerSlot(*prefixHolder) <= loadPerSlot(*leastLoaded) + MaxExtraLoad;
    return static_cast<std::size_t>((usesHolder ? prefixHolder : leastLoaded) - candidates.begin());
}

const RoutingPolicies::Registration PrefixAffinity("prefix-affinity", {choosePrefixAffinity});

} // namespace

} // namespace Trefoil
