#pragma once

#include "libcoord/time.h"
#include "libfleet/enginemodel.h"

// Decides which requests an entry still takes during a planned stop, and when those that run must
// end.

namespace Trefoil {

// Planned stop of an entry.
struct StopPlan
{
    TimePoint startedAt{};
    Duration maxTime{}; // after which the process is ended by force
};

// Returns when the entry ends its process at the latest.
TimePoint endOfStop(const StopPlan &plan);

// Returns when requests that still run get their final answers, so that these are sent before the
// process ends.
TimePoint lastAnswerAt(const StopPlan &plan);

// Returns true while the entry takes new requests. Later ones come from callers that do not know
// of the stop yet.
bool takesRequests(const StopPlan &plan, TimePoint now);

// Returns whether a request ends before the stop does: by its own deadline, or as predicted with a
// margin for what the prediction leaves out.
bool endsBeforeStop(const StopPlan &plan, const TimingEstimate &estimate, TimePoint deadline,
                    TimePoint now);

} // namespace Trefoil
