#pragma once

#include "libcoord/time.h"

#include <map>
#include <string>
#include <vector>

// Checks how much load the system as a whole puts on endpoints, from what callers send and
// endpoints receive.

namespace Trefoil {

struct SoakState;

constexpr double RetryRatio = 0.2;
constexpr double RetryAllowance = 12;
constexpr auto RetryWindow = std::chrono::seconds(10);

// Times of the requests that callers sent to a service and of the arrivals at its endpoints beyond
// the first of each request.
struct ServiceLoad
{
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;
};

using ServiceLoads = std::map<std::string, ServiceLoad>;

// Reports a violation for each service that got more repeats in a window than its requests in that
// window, in the one before it or in the one half a window before it allow.
void checkRepeats(SoakState &soak);

} // namespace Trefoil
