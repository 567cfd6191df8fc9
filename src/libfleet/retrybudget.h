#pragma once

#include "libcoord/time.h"

#include <array>
#include <cstdint>

// Limits how often requests are sent to a second endpoint. All entries share a fixed allowance in
// equal parts; each entry earns further retries with the requests that it receives.

namespace Trefoil {

struct WindowedRetryBudgetOptions
{
    double retriesPerRequest = 0.1;
    double allowance = 10; // retries of all entries together that need no requests
    Duration window = std::chrono::seconds(10); // in which requests and retries are counted
    // Fraction of the budget that may be spent. The rest is a margin, since entries count requests
    // and retries differently.
    double usableShare = 0.7;
};

// Counts of requests and retries in the slots of a sliding window.
struct WindowedRetryBudget
{
    static constexpr std::size_t SlotCount = 10;
    WindowedRetryBudgetOptions options;
    std::array<double, SlotCount> requests{};
    std::array<double, SlotCount> retries{};
    std::uint64_t currentSlot = 0;
};

// Counts a request that this entry received.
void recordRequest(WindowedRetryBudget &budget, TimePoint now);

// Fill of a budget at a moment.
struct RetryBudgetUsage
{
    double requests = 0; // received in the window
    double retries = 0;  // taken in the window
    double limit = 0;    // retries that may be taken in the window
};

RetryBudgetUsage retryBudgetUsage(WindowedRetryBudget &budget, std::size_t entryCount,
                                  TimePoint now);

// Takes one retry out of the budget. Returns false when none is left. `entryCount` is the number of
// entries that share the allowance.
bool tryTakeRetry(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now);

} // namespace Trefoil
