#include "libgateway/entrystalls.h"

#include "libruntime/events.h"

namespace Trefoil {

bool canMove(EntryState &state, const PlacementRequest &request, TimePoint now)
{
    if (state.stop || !hasUntriedEndpoint(state.placement, request, now))
        return false;
    const RetryBudgetUsage usage =
            retryBudgetUsage(retryBudget(state, request.service), entryCount(state.roster), now);
    return usage.tokens >= 1;
}

void reportStall(EntryState &state, const EndpointId &endpoint, const std::string &request,
                 const std::string &reason, TimePoint now)
{
    ejectEndpoint(state.placement, endpoint, now);
    state.stalledAt[endpoint] = now;
    state.sendStallReport();
    logEvent(Event::EndpointEjected, {{"endpoint", endpoint}, {"id", request}, {"reason", reason}});
}

} // namespace Trefoil
