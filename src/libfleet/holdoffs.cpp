#include "libfleet/holdoffs.h"

#include <algorithm>

namespace Trefoil {

Duration recordHoldOff(HoldOffs &holdOffs, const EndpointId &endpoint, std::uint64_t startedAtMs,
                       Duration duration, std::mt19937_64 &rng, TimePoint now)
{
    if (duration <= Duration::zero())
        return Duration::zero();
    std::uniform_real_distribution<double> spread(0, HoldOffSpread);
    const auto extra = std::chrono::duration_cast<Duration>(duration * spread(rng));
    HoldOff &holdOff = holdOffs.byEndpoint[endpoint];
    if (startedAtMs < holdOff.startedAtMs)
        return Duration::zero(); // A late answer of an incarnation that has ended.
    if (holdOff.startedAtMs != startedAtMs)
        holdOff = {startedAtMs, now};
    holdOff.until = std::max(holdOff.until, now + duration + std::min(extra, MaxHoldOffSpread));
    return holdOff.until - now;
}

Duration timeUntilReturn(const HoldOffs &holdOffs, const Endpoint &endpoint, TimePoint now)
{
    const auto found = holdOffs.byEndpoint.find(endpoint.report.id);
    const bool isSameIncarnation = found != holdOffs.byEndpoint.end()
                                   && found->second.startedAtMs == endpoint.report.startedAtMs;
    return isSameIncarnation ? std::max(found->second.until - now, Duration::zero())
                             : Duration::zero();
}

void removeExpiredHoldOffs(HoldOffs &holdOffs, TimePoint now)
{
    std::erase_if(holdOffs.byEndpoint,
                  [now](const auto &item) { return item.second.until <= now; });
}

} // namespace Trefoil
