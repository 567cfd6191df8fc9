#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

// Relays the responses of endpoints to callers.

namespace Trefoil {

// Number of bytes of a response that are read ahead.
constexpr std::size_t ResponseInputCapacity = 256 * 1024;

// Reads the endpoint's response and forwards it to the caller.
boost::asio::awaitable<AttemptOutcome>
relayResponse(RelayContext &context, RelayRequest &request, RelayProgress &progress,
              const Placement &placement, EndpointConnection &connection, EndpointLoad &load);

// Forwards a response with its complete body. Returns whether the connection stays open.
boost::asio::awaitable<bool> forwardResponse(RelayContext &context, const RelayRequest &request,
                                             const HttpHead &response, const std::string &body);

} // namespace Trefoil
