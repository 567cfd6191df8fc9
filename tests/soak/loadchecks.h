#pragma once

#include "libcoord/time.h"

#include <map>
#include <optional>
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

constexpr auto LimitWindow = std::chrono::seconds(4);

// Limits that an incarnation of an endpoint named, and the requests that it got from entries which
// had passed on such an answer half a second before or earlier.
struct LimitedLoad
{
    std::vector<std::pair<TimePoint, std::optional<double>>> limits;
    std::vector<TimePoint> arrivals;

    // Time at which each entry first passed on an answer with the limit, by address for callers.
    std::map<std::string, TimePoint> toldAt;
};

using LimitedLoads = std::map<std::string, LimitedLoad>;

// Sets the limit that the incarnation of an endpoint names from now on.
void setLimit(SoakState &soak, const std::string &endpoint, std::optional<double> perSecond);

// Returns the limit that the incarnation of an endpoint names.
std::optional<double> currentLimit(const SoakState &soak, const std::string &endpoint);

// Records that an entry got an answer that names the limit, or sent a request. Entries are given by
// their address for callers.
void recordToldEntry(SoakState &soak, const std::string &endpoint, const std::string &entry);
void recordLimitedArrival(SoakState &soak, const std::string &endpoint, const std::string &entry);

// Reports a violation for each incarnation that got more in a window than one and a half times what
// its limits allow and five requests.
void checkLimits(SoakState &soak);

// Reports a violation for each service that got more repeats in a window than its requests in that
// window, in the one before it or in the one half a window before it allow.
void checkRepeats(SoakState &soak);

} // namespace Trefoil
