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
    for (std::uint64_t i = 0; i < elapsedSlots; ++i)
        budget.requests[(slot - i) % WindowedRetryBudget::SlotCount] = 0;
    budget.currentSlot = slot;
}

// Returns the largest number of tokens that the entry may hold.
double tokenLimit(const WindowedRetryBudget &budget, std::size_t entryCount)
{
    const WindowedRetryBudgetOptions &options = budget.options;
    const double requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0.0);
    const double allowance =
            entryCount == 0 ? 0 : options.allowance / static_cast<double>(entryCount);
    return options.usableShare
           * (allowance + (1 - options.steadyShare) * options.retriesPerRequest * requests);
}

} // namespace

void recordRequest(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now)
{
    advanceWindow(budget, now);
    const WindowedRetryBudgetOptions &options = budget.options;
    budget.requests[budget.currentSlot % WindowedRetryBudget::SlotCount] += 1;
    budget.tokens = std::min(
            budget.tokens + options.usableShare * options.steadyShare * options.retriesPerRequest,
            tokenLimit(budget, entryCount));
}

bool tryTakeRetry(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now)
{
    if (retryBudgetUsage(budget, entryCount, now).tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

RetryBudgetUsage retryBudgetUsage(WindowedRetryBudget &budget, std::size_t entryCount,
                                  TimePoint now)
{
    advanceWindow(budget, now);
    RetryBudgetUsage usage;
    usage.requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0.0);
    usage.limit = tokenLimit(budget, entryCount);
    budget.tokens = std::min(budget.tokens, usage.limit);
    usage.tokens = budget.tokens;
    return usage;
}

} // namespace Trefoil
