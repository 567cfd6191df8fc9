#pragma once

#include "libcoord/time.h"
#include "libfleet/groupmembership.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

// Remembers which endpoints have announced that they leave, by a departure or by a report that they
// drain. The announcement is final for the incarnation: reports of it that arrive later, from
// anywhere, do not make the endpoint usable again.

namespace Trefoil {

// The latest incarnation of an endpoint that has announced that it leaves.
struct KnownDeparture
{
    std::uint64_t startedAtMs = 0; // Unix time of the start of the incarnation
    TimePoint announcedAt{};
    bool isDurable = false; // is committed in the replicated log
};

// Both members contain endpoints that may be missing from the endpoint table.
struct DepartureTable
{
    std::map<EndpointId, KnownDeparture> byEndpoint;
    std::set<EndpointId> notDurable;
};

// An announcement, as nodes pass it on.
struct DepartureNotice
{
    EndpointId endpoint;
    std::uint64_t startedAtMs = 0; // start of the incarnation, 0 for the known one
    std::uint32_t ageMs = 0;       // since the announcement
    bool isDurable = false;

    bool operator==(const DepartureNotice &) const = default;
};

// An announcement as it arrives: in a call, in a report or in an answer.
struct LeavingAnnouncement
{
    EndpointId endpoint;
    std::uint64_t namedStartMs = 0; // start of the incarnation that leaves, 0 if it does not say
    std::uint64_t knownStartMs =
            0; // start of the latest incarnation that it may come from and is known
    // Time at which the endpoint was reached. Whichever incarnation announced this had started.
    std::uint64_t reachedAtMs = 0;
};

// Returns the notice of an announcement. One that does not name its incarnation counts for all that
// had started when the endpoint was reached: an endpoint that starts again under its id may leave
// before its first report arrives.
DepartureNotice makeDepartureNotice(const LeavingAnnouncement &announcement);

enum class DepartureOutcome : std::uint8_t {
    Known,
    Learned,
    MadeDurable, // known before, and now known to be committed
};

DepartureOutcome recordDeparture(DepartureTable &table, const DepartureNotice &notice,
                                 TimePoint now);

// Returns true when this incarnation or a later one of the endpoint has announced that it leaves.
bool hasDeparted(const DepartureTable &table, const EndpointId &endpoint,
                 std::uint64_t startedAtMs);

// Returns true when such an announcement is also committed.
bool hasDurableDeparture(const DepartureTable &table, const EndpointId &endpoint,
                         std::uint64_t startedAtMs);

// Returns the notice that passes on what is known of the endpoint's departure, which must be in the
// table.
DepartureNotice makeDepartureNotice(const DepartureTable &table, const EndpointId &endpoint,
                                    TimePoint now);

// Removes departures that are older than `retention`, and the oldest beyond `maxCount`.
void removeExpiredDepartures(DepartureTable &table, Duration retention, std::size_t maxCount,
                             TimePoint now);

} // namespace Trefoil
