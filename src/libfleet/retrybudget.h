#pragma once

#include "libcoord/time.h"

#include <array>
#include <cstdint>

// Budget of second sends to endpoints, shared by all entries. Each entry uses its part of the fixed
// allowance and earns more with the requests that it takes.

namespace Trefoil {

struct WindowedBudgetOptions
{
    double ratio = 0.1;                         // repeats for each request
    double allowance = 10;                      // repeats of all entries without any request
    Duration window = std::chrono::seconds(10); // over which both are counted
    double safety = 0.7; // part of the budget that is used; other entries count differently
};

struct WindowedBudget
{
    static constexpr std::size_t Slots = 10;
    WindowedBudgetOptions options;
    std::array<double, Slots> requests{};
    std::array<double, Slots> repeats{};
    std::uint64_t slot = 0;
};

void noteRequest(WindowedBudget &budget, TimePoint now);

// Takes one repeat out of the budget. `entries` is the number of entries that share the allowance.
bool tryRepeat(WindowedBudget &budget, std::size_t entries, TimePoint now);

} // namespace Trefoil
