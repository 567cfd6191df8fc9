#pragma once

#include "libgateway/entryprocess.h"

// Connects the limits that endpoints name to the sessions and the log of an entry.

namespace Trefoil {

// Records what the head of an endpoint's answer says about its limit.
void recordLimit(EntryState &state, const Placement &placement, const HttpHead &answer,
                 TimePoint sentAt);

} // namespace Trefoil
