#include "loadchecks.h"

#include "soakworld.h"

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

} // namespace

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
