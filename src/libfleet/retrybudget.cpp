#include "libfleet/retrybudget.h"

#include <algorithm>
#include <numeric>

namespace Trefoil {

namespace {

void advance(WindowedBudget &budget, TimePoint now)
{
    const Duration slotLength = budget.options.window / WindowedBudget::Slots;
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / slotLength);
    const std::uint64_t passed = std::min<std::uint64_t>(slot - budget.slot, WindowedBudget::Slots);
    for (std::uint64_t i = 0; i < passed; ++i) {
        const std::size_t index = (slot - i) % WindowedBudget::Slots;
        budget.requests[index] = 0;
        budget.repeats[index] = 0;
    }
    budget.slot = slot;
}

} // namespace

void noteRequest(WindowedBudget &budget, TimePoint now)
{
    advance(budget, now);
    budget.requests[budget.slot % WindowedBudget::Slots] += 1;
}

bool tryRepeat(WindowedBudget &budget, std::size_t entries, TimePoint now)
{
    advance(budget, now);
    const double requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0.0);
    const double repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), 0.0);
    const double allowance =
            budget.options.allowance / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double limit = budget.options.safety * (budget.options.ratio * requests + allowance);
    if (repeats + 1 > limit)
        return false;
    budget.repeats[budget.slot % WindowedBudget::Slots] += 1;
    return true;
}

} // namespace Trefoil
