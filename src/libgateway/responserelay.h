#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

// Relays the responses of endpoints to callers.

namespace Trefoil {

// Number of bytes of a response that are read ahead.
constexpr std::size_t ResponseInputCapacity = 256 * 1024;

// Reads the endpoint's response and forwards it to the caller.
boost::asio::awaitable<AttemptOutcome> relayResponse(RelayContext &context, RelayRequest &request,
                                                     RelayProgress &progress,
                                                     EndpointAttempt &attempt);

HttpParser makeResponseParser(const RelayRequest &request);

// True for an interim response and for a late response to an earlier request.
bool isUnrelatedResponse(const RelayContext &context, const RelayRequest &request,
                         const HttpHead &head);

// Returns the endpoint's word that it did not execute the request, or nothing when this response
// does not prove it.
std::optional<EndpointRefusal> readEndpointRefusal(const RelayContext &context,
                                                   const RelayRequest &request,
                                                   const EndpointConnection &connection,
                                                   const HttpHead &response);

// True for the response that the endpoint itself produced to a stream request.
bool isEventStream(const RelayContext &context, const RelayRequest &request, const HttpHead &head);

// Forwards a response with its complete body. Returns whether the connection stays open. A response
// whose status promises that the request has not run must not be forwarded, see NotRunStatus.
boost::asio::awaitable<bool> forwardResponse(RelayContext &context, const RelayRequest &request,
                                             const HttpHead &response, const std::string &body);

} // namespace Trefoil
