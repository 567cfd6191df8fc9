#include "libfleet/departures.h"

#include <algorithm>

namespace Trefoil {

DepartureNotice makeDepartureNotice(const LeavingAnnouncement &announcement)
{
    if (announcement.namedStartMs != 0)
        return {announcement.endpoint, announcement.namedStartMs};
    return {announcement.endpoint, std::max(announcement.knownStartMs, announcement.reachedAtMs)};
}

DepartureOutcome recordDeparture(DepartureTable &table, const DepartureNotice &notice,
                                 TimePoint now)
{
    const auto [found, isNew] = table.byEndpoint.try_emplace(notice.endpoint);
    KnownDeparture &known = found->second;
    if (isNew || known.startedAtMs < notice.startedAtMs) {
        known = {notice.startedAtMs, now - std::chrono::milliseconds(notice.ageMs),
                 notice.isDurable};
        if (notice.isDurable)
            table.notDurable.erase(notice.endpoint);
        else
            table.notDurable.insert(notice.endpoint);
        return DepartureOutcome::Learned;
    }
    if (!notice.isDurable || known.isDurable || known.startedAtMs != notice.startedAtMs)
        return DepartureOutcome::Known;
    known.isDurable = true;
    table.notDurable.erase(notice.endpoint);
    return DepartureOutcome::MadeDurable;
}

bool hasDeparted(const DepartureTable &table, const EndpointId &endpoint, std::uint64_t startedAtMs)
{
    const auto found = table.byEndpoint.find(endpoint);
    return found != table.byEndpoint.end() && startedAtMs <= found->second.startedAtMs;
}

bool hasDurableDeparture(const DepartureTable &table, const EndpointId &endpoint,
                         std::uint64_t startedAtMs)
{
    const auto found = table.byEndpoint.find(endpoint);
    return found != table.byEndpoint.end() && startedAtMs <= found->second.startedAtMs
           && found->second.isDurable;
}

DepartureNotice makeDepartureNotice(const DepartureTable &table, const EndpointId &endpoint,
                                    TimePoint now)
{
    const KnownDeparture &known = table.byEndpoint.at(endpoint);
    const auto age = (now - known.announcedAt) / std::chrono::milliseconds(1);
    return {endpoint, known.startedAtMs, static_cast<std::uint32_t>(std::max<long>(age, 0)),
            known.isDurable};
}

void removeExpiredDepartures(DepartureTable &table, Duration retention, std::size_t maxCount,
                             TimePoint now)
{
    std::erase_if(table.byEndpoint,
                  [&](const auto &item) { return now - item.second.announcedAt > retention; });
    while (table.byEndpoint.size() > maxCount) {
        table.byEndpoint.erase(std::min_element(
                table.byEndpoint.begin(), table.byEndpoint.end(), [](const auto &a, const auto &b) {
                    return a.second.announcedAt < b.second.announcedAt;
                }));
    }
    std::erase_if(table.notDurable,
                  [&table](const EndpointId &id) { return !table.byEndpoint.contains(id); });
}

} // namespace Trefoil
