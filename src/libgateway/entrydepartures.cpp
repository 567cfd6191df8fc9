#include "libgateway/entrydepartures.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace {

// As long as the control VMs keep them.
constexpr auto DepartureRetention = std::chrono::hours(1);
constexpr std::size_t MaxDepartures = 10'000;

// Logs what was learned. `request` is the id of the request whose answer said so, if one did.
void logDeparture(const DepartureNotice &notice, const char *source, const std::string &request)
{
    logEvent(Event::EndpointDeparted, {{"endpoint", notice.endpoint},
                                       {"started", std::to_string(notice.startedAtMs)},
                                       {"committed", notice.isDurable ? "yes" : "no"},
                                       {"source", source},
                                       {"id", request}});
}

} // namespace

void applyDepartures(EntryState &state, std::span<const DepartureNotice> notices)
{
    const TimePoint now = RuntimeClock::now();
    for (const DepartureNotice &notice : notices) {
        if (applyDeparture(state.placement.table, notice, now) != DepartureOutcome::Learned)
            continue;
        recordChange(state.feed.departures, notice.endpoint, true);
        logDeparture(notice, "link", {});
    }
}

void recordLeavingAnswer(EntryState &state, const Placement &placement, std::uint64_t connectedAtMs,
                         const std::string &request)
{
    const DepartureNotice notice =
            makeDepartureNotice({placement.endpoint, 0, placement.startedAtMs, connectedAtMs});
    const DepartureOutcome outcome =
            applyDeparture(state.placement.table, notice, RuntimeClock::now());
    if (outcome != DepartureOutcome::Learned)
        return;
    state.metrics.incrementCounter("trefoil_departures_in_answers_total", "");
    logDeparture(notice, "answer", request);
    state.connectionPool.closeDeparted(state.placement.table.departures);
    recordChange(state.feed.departures, notice.endpoint, false);
    state.sendState();
}

StateTables stateTables(const EntryState &state)
{
    return {state.placement.table, state.quarantine, true};
}

void removeExpiredDepartures(EntryState &state, TimePoint now)
{
    removeExpiredDepartures(state.placement.table.departures, DepartureRetention, MaxDepartures,
                            now);
    state.connectionPool.closeDeparted(state.placement.table.departures);
}

} // namespace Trefoil
