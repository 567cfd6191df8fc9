#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

// Connections of an entry to the endpoints that its placement chose.

namespace Trefoil {

// Takes an idle connection or opens a new one. Returns nothing and sets `error` on failure, or when
// the endpoint has become unusable in the meantime.
boost::asio::awaitable<std::optional<EndpointConnection>>
connectEndpoint(RelayContext &context, const RelayRequest &request, const Placement &placement,
                std::string &error);

} // namespace Trefoil
