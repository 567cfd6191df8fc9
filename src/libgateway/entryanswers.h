#pragma once

#include "libgateway/relayrequest.h"

// Records what endpoints say about themselves in the heads of their answers.

namespace Trefoil {

// Records the head of the answer to a request: the limit that the endpoint names, that it leaves,
// and how long it wants no requests. `sentAt` is the time at which the request was sent.
void recordAnswer(EntryState &state, const RelayRequest &request, const Placement &placement,
                  EndpointConnection &connection, const HttpHead &answer, TimePoint sentAt);

} // namespace Trefoil
