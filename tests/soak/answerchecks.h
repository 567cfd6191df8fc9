#pragma once

#include "libcoord/time.h"

#include <map>
#include <string>
#include <vector>

// Checks that entries obey what endpoints say of themselves in their answers: that they leave, and
// for how long they want no requests.

namespace Trefoil {

struct SoakEndpoint;
struct SoakState;
struct SentRequest;

// What one incarnation of an endpoint told one entry.
struct ToldEntry
{
    // The answers that said that the endpoint leaves. The first one may be lost with its caller.
    std::vector<TimePoint> leavingAt;

    struct HoldOff
    {
        TimePoint at{};
        TimePoint until{};
        std::size_t arrivals = 0;
    };
    std::vector<HoldOff> holdOffs;
};

// By endpoint id, then by the entry's address for callers.
using ToldEntries = std::map<std::string, std::map<std::string, ToldEntry>>;

// Returns whether the connections to the endpoint were disturbed since shortly before this time, so
// that what was sent then may arrive later or never.
bool isDisturbed(const SoakEndpoint &endpoint, TimePoint since);

void recordLeavingTold(SoakState &soak, const SoakEndpoint &endpoint, const std::string &entry);
void recordHoldOffTold(SoakState &soak, const SoakEndpoint &endpoint, const std::string &entry,
                       Duration duration);

// Reports a violation when a request that was sent long after the endpoint told its entry that it
// leaves reaches the endpoint, and when more than two requests do while the endpoint wants none.
void checkToldEntry(SoakState &soak, const SoakEndpoint &endpoint, const SentRequest &request);

} // namespace Trefoil
