#pragma once

#include "libcoord/time.h"

#include <cstdint>

namespace Trefoil {

// Holds a concurrency limit of one endpoint that follows its latency. Each call moves the limit
// towards a target. The target is the limit plus its square root. The limit in this sum is scaled
// down while the latency exceeds the lowest recent latency by more than the tolerated ratio.
struct ConcurrencyLimiter
{
    double limit = 8;
    double minLimit = 1;
    double maxLimit = 256;
    // Latencies up to this multiple of minLatency count as normal.
    double latencyTolerance = 2.0;
    double smoothing = 0.2;
    // The lowest recent latency. It is measured anew after its lifetime.
    Duration minLatency{};
    TimePoint minLatencyAt{};
    Duration minLatencyLifetime = std::chrono::seconds(30);
};

// Adapts the limit to a completed call. `inFlight` is the concurrency at the start of the call.
void recordLatency(ConcurrencyLimiter &limiter, Duration latency, std::uint32_t inFlight,
                   TimePoint now);

// Reduces the limit after a timeout or a lost connection.
void recordDroppedCall(ConcurrencyLimiter &limiter);

// Limits retries to a share of recent successes.
struct RetryBudget
{
    std::uint32_t credits = 100;
    std::uint32_t maxCredits = 1000;
    // Each success adds one credit; a retry costs this many.
    std::uint32_t retryCost = 10;
};

void recordSuccess(RetryBudget &budget);

// Pays for a retry. Returns false when the credits do not suffice.
bool tryTakeRetry(RetryBudget &budget);

} // namespace Trefoil
