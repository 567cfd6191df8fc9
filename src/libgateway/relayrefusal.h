#pragma once

#include "libgateway/relayrequest.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

// Responses of the entry itself, which tell a caller that its request was not served.

namespace Trefoil {

// Sends a response of the entry itself. Returns whether the connection stays open.
boost::asio::awaitable<bool> sendErrorResponse(RelayContext &context, ErrorStatus status,
                                               std::string_view text, std::vector<HttpField> fields,
                                               bool keepsAlive);

// Refuses a request that was not read to its end. The connection must be closed afterwards.
boost::asio::awaitable<void> refuseUnread(RelayContext &context, ErrorStatus status,
                                          std::string_view text);

// Refuses bytes that are not a valid request.
boost::asio::awaitable<void> refuseMalformed(RelayContext &context, HttpParseError error);

// Refuses a request that gave up its memory before it was complete.
boost::asio::awaitable<void> refuseEvicted(RelayContext &context, const RelayRequest &request);

// Refuses a request before its first attempt. Returns whether the connection stays open.
boost::asio::awaitable<bool> refuseRequest(RelayContext &context, const RelayRequest &request,
                                           ErrorStatus status, std::string_view text,
                                           std::optional<Duration> retryAfter = {});

// Refuses a request after its last attempt. Returns whether the connection stays open.
boost::asio::awaitable<bool> refuseAfterAttempts(RelayContext &context, const RelayRequest &request,
                                                 const RelayProgress &progress, ErrorStatus status,
                                                 std::optional<Duration> retryAfter);

// Writes the log line and the metrics of a request that has ended.
void logRequestEnd(RelayContext &context, const RelayRequest &request,
                   const RelayProgress &progress, std::uint32_t status, std::string_view outcome);

} // namespace Trefoil
