#include "libserving/limiter.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double MinGradient = 0.5;
constexpr double DropFactor = 0.9;

} // namespace

void addLatencySample(ConcurrencyLimiter &limiter, Duration latency, std::uint32_t inFlight,
                      TimePoint now)
{
    latency = std::max(latency, Duration(1));
    const bool expired = now - limiter.floorSince >= limiter.floorLifetime;
    if (limiter.floorLatency == Duration{} || latency < limiter.floorLatency || expired) {
        limiter.floorLatency = latency;
        limiter.floorSince = now;
    }
    // An endpoint that is not kept busy says nothing about a higher limit.
    if (inFlight * 2.0 < limiter.limit)
        return;
    const double ratio = limiter.tolerance * static_cast<double>(limiter.floorLatency.count())
                         / static_cast<double>(latency.count());
    const double gradient = std::clamp(ratio, MinGradient, 1.0);
    const double target = limiter.limit * gradient + std::sqrt(limiter.limit);
    limiter.limit += limiter.smoothing * (target - limiter.limit);
    limiter.limit = std::clamp(limiter.limit, limiter.minLimit, limiter.maxLimit);
}

void addDrop(ConcurrencyLimiter &limiter)
{
    limiter.limit = std::max(limiter.minLimit, limiter.limit * DropFactor);
}

void addSuccess(RetryBudget &budget)
{
    budget.credits = std::min(budget.maxCredits, budget.credits + 1);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.credits < budget.retryCost)
        return false;
    budget.credits -= budget.retryCost;
    return true;
}

} // namespace Trefoil
