#pragma once

#include "libcoord/time.h"

#include <array>
#include <cstdint>

// Limits how often requests for a service are sent to a second endpoint. All entries share a fixed
// allowance in equal parts; besides, each entry earns retries with the requests that it receives.
//
// The budget is a token bucket that starts empty and that only requests fill. In any window, an
// entry takes at most the tokens that it held at the start of the window and those that it earned
// since. What it holds is limited by its part of the allowance and by its requests in the window
// before, so the sum over all entries is bounded without any message between them, whenever entries
// restart.

namespace Trefoil {

struct WindowedRetryBudgetOptions
{
    double retriesPerRequest = 0.1;
    double allowance = 10; // retries of all entries together that need no requests
    Duration window = std::chrono::seconds(10); // in which requests and retries are counted
    // Fraction of the budget that may be spent. The rest is a margin for requests and retries that
    // are on their way when a window begins or ends.
    double usableShare = 0.9;
    // Fraction of the earned retries that each request adds. The rest limits, as a part of what the
    // entry may hold, how many retries can be taken at once.
    double steadyShare = 0.75;
};

struct WindowedRetryBudget
{
    static constexpr std::size_t SlotCount = 10;
    WindowedRetryBudgetOptions options;

    // Requests received in each slot of the sliding window.
    std::array<double, SlotCount> requests{};
    std::uint64_t currentSlot = 0;

    // Retries that may be taken now.
    double tokens = 0;
};

// The `entryCount` of these functions is the number of entries that share the allowance. While it
// is not known it is 0, and the entry has no part of the allowance.

// Counts a request for the service that this entry received.
void recordRequest(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now);

// Takes one retry out of the budget. Returns false when none is left.
bool tryTakeRetry(WindowedRetryBudget &budget, std::size_t entryCount, TimePoint now);

// Fill of a budget at a moment.
struct RetryBudgetUsage
{
    double requests = 0; // received in the window
    double tokens = 0;   // retries that may be taken now
    double limit = 0;    // largest number of tokens that the entry may hold
};

RetryBudgetUsage retryBudgetUsage(WindowedRetryBudget &budget, std::size_t entryCount,
                                  TimePoint now);

} // namespace Trefoil
