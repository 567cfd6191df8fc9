#pragma once

#include "soakworld.h"

// Stub endpoints of the soak test: engines that follow group orders and write streams, and a plain
// service for bookings and lookups. They check that each request equals what its caller sent.

namespace Trefoil {

constexpr std::size_t StreamEvents = 25;

// Service of the last endpoint, which versions of the configuration add and remove.
constexpr const char *ExtraService = "extra";

// Returns an event of a stream. Ids begin at 1.
std::string makeEventText(std::uint64_t id);

// Returns the response body of the plain service.
std::string makePlainBody(const std::string &body);

// Creates all endpoints and starts to listen.
void makeEndpoints(SoakState &soak);

// Advances the engines and sends the reports of all endpoints.
boost::asio::awaitable<void> runEndpoints(SoakState &soak);

// Stops the endpoint without notice and resets its connections.
void crashEndpoint(SoakState &soak, SoakEndpoint &endpoint);

// Starts the endpoint again as a new incarnation with a new id.
void restartEndpoint(SoakState &soak, SoakEndpoint &endpoint);

// Lets a plain endpoint crash and start again under its id. It sends no report of the new life, and
// does not name it in a departure.
void restartSilently(SoakState &soak, SoakEndpoint &endpoint);

// Starts the endpoint of the further service again unless it is down or leaves.
void restartExtraEndpoint(SoakState &soak);

bool isRunning(const SoakEndpoint &endpoint);

// Announces that the endpoint leaves, by a report that it drains or by a departure. Returns the
// control VM that acknowledged it, or null.
boost::asio::awaitable<SoakNode *> announceDeparture(SoakState &soak, SoakEndpoint &endpoint,
                                                     bool isDraining);

// Delivers a report that an endpoint made earlier to a random control VM.
boost::asio::awaitable<void> sendLateReport(SoakState &soak, EndpointReport report);

// Returns the report that the endpoint sends.
EndpointReport &findReport(SoakState &soak, SoakEndpoint &endpoint);

// Reports once for each worker of another fleet, of a service that no configuration names.
boost::asio::awaitable<void> sendForeignReports(SoakState &soak);

// Sends a false report that gives the endpoint's address, with an unknown service and a later start
// time. Some of these reports are truncated.
boost::asio::awaitable<void> sendFalseReport(SoakState &soak, const SoakEndpoint &endpoint);

} // namespace Trefoil
