#include "answerchecks.h"

#include "soakworld.h"

#include "libruntime/clock.h"

namespace Trefoil {

namespace {

constexpr auto DrainTimeout = std::chrono::seconds(2);

// Time after which an entry must obey a hold-off of which it was told, and the requests that are
// allowed after it.
constexpr auto HoldOffDelay = std::chrono::milliseconds(500);
constexpr std::size_t AllowedArrivals = 2;

constexpr auto DisturbedTime = std::chrono::seconds(1);

} // namespace

bool isDisturbed(const SoakEndpoint &endpoint, TimePoint since)
{
    return endpoint.hasConnectionFault || endpoint.lastConnectionFaultAt > since - DisturbedTime;
}

void recordLeavingTold(SoakState &soak, const SoakEndpoint &endpoint, const std::string &entry)
{
    const TimePoint now = RuntimeClock::now();
    if (!isDisturbed(endpoint, now))
        soak.toldEntries[endpoint.id][entry].leavingAt.push_back(now);
}

void recordHoldOffTold(SoakState &soak, const SoakEndpoint &endpoint, const std::string &entry,
                       Duration duration)
{
    const TimePoint now = RuntimeClock::now();
    if (!isDisturbed(endpoint, now))
        soak.toldEntries[endpoint.id][entry].holdOffs.push_back({now, now + duration});
}

void checkToldEntry(SoakState &soak, const SoakEndpoint &endpoint, const SentRequest &request)
{
    const SoakNode *entry = findEntry(soak, request.entry);
    const auto told = soak.toldEntries.find(endpoint.id);
    if (!entry || told == soak.toldEntries.end())
        return;
    ToldEntry &signals = told->second[request.entry];
    // An entry that was started, stopped or paused since may not know it any more.
    std::erase_if(signals.leavingAt, [entry](TimePoint at) { return at < entry->lastFaultAt; });
    std::erase_if(signals.holdOffs, [entry](const ToldEntry::HoldOff &holdOff) {
        return holdOff.at < entry->lastFaultAt;
    });
    const TimePoint now = RuntimeClock::now();
    const bool isLate =
            signals.leavingAt.size() > 1 && request.sentAt - signals.leavingAt[1] > DrainTimeout;
    if (isLate)
        reportViolation(soak, entry->name + " sent a request to " + endpoint.id
                                      + " that had told it that it leaves");
    for (ToldEntry::HoldOff &holdOff : signals.holdOffs) {
        const bool isCounted = now > holdOff.at + HoldOffDelay && now < holdOff.until
                               && !isDisturbed(endpoint, holdOff.at);
        if (isCounted && ++holdOff.arrivals == AllowedArrivals + 1)
            reportViolation(soak, entry->name + " sent requests to " + endpoint.id
                                          + " that had told it to hold off");
    }
}

} // namespace Trefoil
