#pragma once

#include "libgateway/entryprocess.h"

namespace Trefoil {

// Returns whether the engine of a placement has ended, after a connection to it ended without an
// answer. An engine that refuses connections has ended, unless it was about to stop.
boost::asio::awaitable<bool> hasEngineEnded(EntryState &state, Placement placement);

} // namespace Trefoil
