#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

// Attempts to have endpoints serve a request.

namespace Trefoil {

// Makes one attempt at the best endpoint. Returns true when another attempt may follow.
boost::asio::awaitable<bool> tryNextEndpoint(RelayContext &context, RelayRequest &request,
                                             RelayProgress &progress);

} // namespace Trefoil
