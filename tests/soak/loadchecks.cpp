#include "loadchecks.h"

#include "soakworld.h"

#include "libruntime/clock.h"

#include <algorithm>

namespace Trefoil {

namespace {

// Returns the number of times in [from, from + length). The times are in ascending order.
double countBetween(const std::vector<TimePoint> &times, TimePoint from, Duration length)
{
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    const auto last = std::lower_bound(first, times.end(), from + length);
    return static_cast<double>(last - first);
}

// A limit counts from this time after it was named.
constexpr auto LimitStartTime = std::chrono::seconds(3);

// Time after which an entry must obey a limit of which it was told.
constexpr auto LimitDelay = std::chrono::milliseconds(500);

// An endpoint without a limit takes what it gets.
constexpr double Unlimited = 1e6;

// Returns the time from which a limit counts. A higher one, or none, counts at once, since entries
// may use it as soon as they know it; a lower one counts after LimitDelay.
TimePoint countsFrom(const LimitedLoad &load, std::size_t index)
{
    const auto &[at, limit] = load.limits[index];
    const bool isLower =
            index > 0
            && limit.value_or(Unlimited) < load.limits[index - 1].second.value_or(Unlimited);
    return isLower ? at + LimitDelay : at;
}

// Returns the number of requests that the limits allow in a window.
double allowedBetween(const LimitedLoad &load, TimePoint from, TimePoint to)
{
    double allowed = 0;
    for (std::size_t i = 0; i < load.limits.size(); ++i) {
        const TimePoint end =
                i + 1 < load.limits.size() ? countsFrom(load, i + 1) : TimePoint::max();
        const Duration overlap = std::min(end, to) - std::max(countsFrom(load, i), from);
        if (overlap > Duration::zero())
            allowed += load.limits[i].second.value_or(Unlimited)
                       * std::chrono::duration<double>(overlap).count();
    }
    return allowed;
}

} // namespace

void setLimit(SoakState &soak, const std::string &endpoint, std::optional<double> perSecond)
{
    soak.limitedLoads[endpoint].limits.emplace_back(RuntimeClock::now(), perSecond);
}

std::optional<double> currentLimit(const SoakState &soak, const std::string &endpoint)
{
    const auto found = soak.limitedLoads.find(endpoint);
    return found == soak.limitedLoads.end() ? std::nullopt : found->second.limits.back().second;
}

void recordToldEntry(SoakState &soak, const std::string &endpoint, const std::string &entry)
{
    soak.limitedLoads[endpoint].toldAt.try_emplace(entry, RuntimeClock::now());
}

void recordLimitedArrival(SoakState &soak, const std::string &endpoint, const std::string &entry)
{
    const auto found = soak.limitedLoads.find(endpoint);
    if (found == soak.limitedLoads.end())
        return;
    LimitedLoad &load = found->second;
    const TimePoint now = RuntimeClock::now();
    const auto told = load.toldAt.find(entry);
    const SoakNode *node = findEntry(soak, entry);
    if (told == load.toldAt.end() || !node)
        return;
    // A process that was started, stopped or paused since may not know the limit any more.
    if (told->second < node->lastFaultAt) {
        load.toldAt.erase(told);
        return;
    }
    const bool isCounted =
            now - load.limits.front().first >= LimitStartTime && now - told->second >= LimitDelay;
    if (isCounted)
        load.arrivals.push_back(now);
}

void checkLimits(SoakState &soak)
{
    for (const auto &[endpoint, load] : soak.limitedLoads) {
        for (const TimePoint from : load.arrivals) {
            const double arrivals = countBetween(load.arrivals, from, LimitWindow);
            const double allowed = 1.5 * allowedBetween(load, from, from + LimitWindow) + 5;
            if (arrivals <= allowed)
                continue;
            reportViolation(soak, "endpoint " + endpoint + " got " + std::to_string(arrivals)
                                          + " requests in a window, its limit allows "
                                          + std::to_string(allowed));
            break;
        }
    }
}

void checkRepeats(SoakState &soak)
{
    for (const auto &[service, load] : soak.serviceLoads) {
        for (const TimePoint from : load.repeats) {
            const double repeats = countBetween(load.repeats, from, RetryWindow);
            const double requests =
                    std::max({countBetween(load.requests, from, RetryWindow),
                              countBetween(load.requests, from - RetryWindow / 2, RetryWindow),
                              countBetween(load.requests, from - RetryWindow, RetryWindow)});
            const double allowed = RetryRatio * requests + RetryAllowance;
            if (repeats <= allowed)
                continue;
            reportViolation(soak, "service " + service + " got " + std::to_string(repeats)
                                          + " repeats in a window, " + std::to_string(allowed)
                                          + " are allowed");
            break;
        }
    }
}

} // namespace Trefoil
