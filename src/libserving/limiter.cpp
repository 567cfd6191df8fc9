#include "libserving/limiter.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double MinGradient = 0.5;
constexpr double DropBackoffFactor = 0.9;

} // namespace

void recordLatency(ConcurrencyLimiter &limiter, Duration latency, std::uint32_t inFlight,
                   TimePoint now)
{
    latency = std::max(latency, Duration(1));
    const bool isExpired = now - limiter.minLatencyAt >= limiter.minLatencyLifetime;
    if (limiter.minLatency == Duration{} || latency < limiter.minLatency || isExpired) {
        limiter.minLatency = latency;
        limiter.minLatencyAt = now;
    }
    // An endpoint that is used at less than half of the limit gives no evidence for a higher one.
    if (inFlight * 2.0 < limiter.limit)
        return;
    const double ratio = limiter.latencyTolerance * static_cast<double>(limiter.minLatency.count())
                         / static_cast<double>(latency.count());
    const double gradient = std::clamp(ratio, MinGradient, 1.0);
    const double target = limiter.limit * gradient + std::sqrt(limiter.limit);
    limiter.limit += limiter.smoothing * (target - limiter.limit);
    limiter.limit = std::clamp(limiter.limit, limiter.minLimit, limiter.maxLimit);
}

void recordDroppedCall(ConcurrencyLimiter &limiter)
{
    limiter.limit = std::max(limiter.minLimit, limiter.limit * DropBackoffFactor);
}

void recordSuccess(RetryBudget &budget)
{
    budget.credits = std::min(budget.maxCredits, budget.credits + 1);
}

bool tryTakeRetry(RetryBudget &budget)
{
    if (budget.credits < budget.retryCost)
        return false;
    budget.credits -= budget.retryCost;
    return true;
}

} // namespace Trefoil
