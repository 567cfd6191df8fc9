#pragma once

#include "libgateway/entryprocess.h"

#include <boost/asio/awaitable.hpp>

namespace Trefoil {

// Relays the requests of one caller connection until it ends.
boost::asio::awaitable<void> runRelaySession(EntryState &state, ChannelPointer channel);

} // namespace Trefoil
