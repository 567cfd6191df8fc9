#include "libgateway/entrystop.h"

#include "libruntime/clock.h"

#include <algorithm>

namespace Trefoil {

bool takesRequests(const EntryState &state)
{
    return !state.stop || takesRequests(*state.stop, RuntimeClock::now());
}

TimePoint lastMomentOf(const EntryState &state, TimePoint deadline)
{
    return state.stop ? std::min(deadline, lastAnswerAt(*state.stop)) : deadline;
}

bool endsBeforeStop(const EntryState &state, const TimingEstimate &estimate, TimePoint deadline)
{
    return !state.stop || endsBeforeStop(*state.stop, estimate, deadline, RuntimeClock::now());
}

} // namespace Trefoil
