#pragma once

#include "libgateway/entryprocess.h"

#include <string>

namespace Trefoil {

// Returns whether another endpoint can take a stalled request now. If none can, the request stays
// where it is, since a slow endpoint may still answer it.
bool canMove(EntryState &state, const PlacementRequest &request, TimePoint now);

// Avoids an endpoint at which no request of this entry makes progress, and reports it to the
// leader. `request` is the id of one of them.
void reportStall(EntryState &state, const EndpointId &endpoint, const std::string &request,
                 const std::string &reason, TimePoint now);

} // namespace Trefoil
