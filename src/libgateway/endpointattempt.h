#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

#include <string>

// One request that was sent to one endpoint, and the takeover of a stream by another endpoint.

namespace Trefoil {

// Connects to the endpoint and sends the request. Returns null, with the reason in
// `progress.lastReason`, when no connection can be opened or the caller is gone.
boost::asio::awaitable<EndpointAttemptPointer> startAttempt(RelayContext &context,
                                                            RelayRequest &request,
                                                            RelayProgress &progress,
                                                            const Placement &placement);

// Ends an attempt. Its connection is kept when the endpoint has answered completely.
void endAttempt(RelayContext &context, RelayRequest &request, EndpointAttempt &attempt,
                AttemptOutcome outcome);

// Chooses the endpoint of the next attempt. Returns no placement, with the reason in
// `progress.lastReason`, when the request must not be sent now.
std::optional<Placement> chooseEndpoint(RelayContext &context, RelayRequest &request,
                                        RelayProgress &progress);

// Sends a stream that has begun to another endpoint as well, if one may take it. The stream stays
// at its endpoint until the other one sends an event.
boost::asio::awaitable<void> startTakeover(RelayContext &context, RelayRequest &request,
                                           RelayProgress &progress);

// Looks at what has arrived of the takeover, if there is one, and leaves it to the attempt that
// goes on with the connection. Returns true when an event of the stream has arrived. Ends the
// takeover when the endpoint will send none.
bool isTakenOver(RelayContext &context, RelayRequest &request, RelayProgress &progress);

// Ends the takeover, if there is one: the stream stays where it is.
void cancelTakeover(RelayContext &context, RelayRequest &request, RelayProgress &progress);

} // namespace Trefoil
