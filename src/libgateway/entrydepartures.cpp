#include "libgateway/entrydepartures.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace {

// As long as the control VMs keep them.
constexpr auto DepartureRetention = std::chrono::hours(1);
constexpr std::size_t MaxDepartures = 10'000;

} // namespace

void applyDepartures(EntryState &state, std::span<const DepartureNotice> notices)
{
    const TimePoint now = RuntimeClock::now();
    for (const DepartureNotice &notice : notices) {
        if (applyDeparture(state.placement.table, notice, now) != DepartureOutcome::Learned)
            continue;
        logEvent(Event::EndpointDeparted, {{"endpoint", notice.endpoint},
                                           {"started", std::to_string(notice.startedAtMs)},
                                           {"committed", notice.isDurable ? "yes" : "no"},
                                           {"source", "link"}});
    }
}

void removeExpiredDepartures(EntryState &state, TimePoint now)
{
    removeExpiredDepartures(state.placement.table.departures, DepartureRetention, MaxDepartures,
                            now);
}

} // namespace Trefoil
