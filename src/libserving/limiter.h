#pragma once

#include "libcoord/time.h"

#include <cstdint>

namespace Trefoil {

// Concurrency limit of one endpoint that follows its latency: the limit shrinks while latency is
// above the lowest one seen by more than the tolerance, and grows by a square-root allowance else.
struct ConcurrencyLimiter
{
    double limit = 8;
    double minLimit = 1;
    double maxLimit = 256;
    double tolerance = 2.0; // latency ratio that is still taken for normal
    double smoothing = 0.2;
    Duration floorLatency{}; // lowest recent latency
    TimePoint floorSince{};
    Duration floorLifetime = std::chrono::seconds(30); // the floor is measured anew after this
};

// Records a completed call. `inFlight` is the concurrency at its start.
void addLatencySample(ConcurrencyLimiter &limiter, Duration latency, std::uint32_t inFlight,
                      TimePoint now);

// Records a timeout or a lost connection.
void addDrop(ConcurrencyLimiter &limiter);

// Retries as a share of recent successes.
struct RetryBudget
{
    std::uint32_t credits = 100;
    std::uint32_t maxCredits = 1000;
    std::uint32_t retryCost = 10; // successes that pay for one retry
};

void addSuccess(RetryBudget &budget);
bool takeRetry(RetryBudget &budget);

} // namespace Trefoil
