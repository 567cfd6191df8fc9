#include "libfleet/endpointlimits.h"

namespace Trefoil {

bool recordStatement(EndpointLimits &limits, const LimitStatement &statement, TimePoint now)
{
    const auto found = limits.byEndpoint.find(statement.endpoint);
    if (found == limits.byEndpoint.end() && !statement.perSecond)
        return false;
    EndpointLimit &limit = limits.byEndpoint[statement.endpoint];
    if (statement.startedAtMs < limit.startedAtMs)
        return false;
    if (statement.startedAtMs > limit.startedAtMs)
        limit = EndpointLimit{statement.startedAtMs, {}, {}};
    const bool isOutdated = !statement.perSecond && statement.sentAt <= limit.confirmedAt;
    if (isOutdated)
        return false;
    const bool isChanged = limit.perSecond != statement.perSecond;
    limit.perSecond = statement.perSecond;
    limit.confirmedAt = now;
    return isChanged;
}

void removeUnknownLimits(EndpointLimits &limits, const EndpointTable &table)
{
    std::erase_if(limits.byEndpoint, [&table](const auto &item) {
        const Endpoint *endpoint = findEndpoint(table, item.first);
        return !endpoint || endpoint->report.startedAtMs > item.second.startedAtMs;
    });
}

std::optional<double> findLimit(const EndpointLimits &limits, const Endpoint &endpoint)
{
    const auto found = limits.byEndpoint.find(endpoint.report.id);
    if (found == limits.byEndpoint.end()
        || found->second.startedAtMs != endpoint.report.startedAtMs)
        return std::nullopt;
    return found->second.perSecond;
}

} // namespace Trefoil
