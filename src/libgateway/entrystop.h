#pragma once

#include "libgateway/entryprocess.h"

namespace Trefoil {

// Returns whether the entry takes new requests.
bool takesRequests(const EntryState &state);

// Returns when a request with this deadline ends at the latest. During a planned stop that may be
// before its deadline, so that it gets a final answer.
TimePoint lastMomentOf(const EntryState &state, TimePoint deadline);

// Returns whether an attempt with this estimate ends before a planned stop of the entry does.
bool endsBeforeStop(const EntryState &state, const TimingEstimate &estimate, TimePoint deadline);

} // namespace Trefoil
