#pragma once

#include "libgateway/entryprocess.h"

#include <boost/asio/awaitable.hpp>

namespace Trefoil {

// Serves the requests of one caller's connection until it ends.
boost::asio::awaitable<void> runRelaySession(EntryState &state, ChannelPointer channel);

} // namespace Trefoil
