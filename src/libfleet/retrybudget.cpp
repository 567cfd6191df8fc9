#include "libfleet/retrybudget.h"

#include <algorithm>
#include <numeric>

namespace Trefoil {

namespace {

// Clears the slots that have passed since the last call.
void advanceWindow(WindowedRetryBudget &budget, TimePoint now)
{
    const Duration slotLength = budget.options.window / WindowedRetryBudget::SlotCount;
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / slotLength);
    const std::uint64_t elapsedSlots =
            std::min<std::uint64_t>(slot - budget.currentSlot, WindowedRetryBudget::SlotCount);
    for (std::uint64_t i = 0; i < elapsedSlots; ++i) {
        const std::size_t index = (slot - i) % WindowedRetryBudget::SlotCount;
        budget.requests[index] = 0;
        budget.retries[index] = 0;
    }
    budget.currentSlot = slot;
}

} // namespace

void recordRequest(WindowedRetryBudget &budget, TimePoint now)
{
    advanceWindow(budget, now);
    budget.requests[budget.currentSlot % WindowedRetryBudget::SlotCount] += 1;
}

RetryBudgetUsage retryBudgetUsage(WindowedRetryBudget &budget, std::size_t entryCount,
                                  TimePoint now)
{
    advanceWindow(budget, now);
    RetryBudgetUsage usage;
    usage.requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0.0);
    usage.retries = std::accumulate(budget.retries.begin(), budget.retries.end(), 0.0);
    const double allowance =
            budget.options.allowance / static_cast<double>(std::max<std::size_t>(entryCount, 1));
    usage.limit = budget.options.usableShare
                  * (budget.options.retriesPerRequest * usage.requests + allowance);
    return usage;
}

bool tryTakeRetry(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now)
{
    const RetryBudgetUsage usage = retryBudgetUsage(budget, entryCount, now);
    if (usage.retries + 1 > usage.limit)
        return false;
    budget.retries[budget.currentSlot % WindowedRetryBudget::SlotCount] += 1;
    return true;
}

} // namespace Trefoil
