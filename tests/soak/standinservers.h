#pragma once

#include "soakworld.h"

// The endpoints of the soak: engines that obey group orders and write streams, and a plain service
// that books and looks up. They check each request against what its caller sent.

namespace Trefoil {

constexpr std::size_t StreamEvents = 25;

// One event of a stream; ids begin at 1.
std::string eventText(std::uint64_t id);

// The answer of the plain service.
std::string plainAnswer(const std::string &body);

void makeEndpoints(SoakWorld &world);

// Runs the engines and sends the reports of all endpoints.
boost::asio::awaitable<void> runEndpoints(SoakWorld &world);

// The endpoint falls silent and its connections end.
void crashEndpoint(SoakWorld &world, SoakEndpoint &endpoint);

// The endpoint starts again as another life with another id.
void restartEndpoint(SoakWorld &world, SoakEndpoint &endpoint);

bool isRunning(const SoakEndpoint &endpoint);

// Sends a report that names another service or a later start at the endpoint's address.
boost::asio::awaitable<void> sendForeignReport(SoakWorld &world, const SoakEndpoint &endpoint);

} // namespace Trefoil
