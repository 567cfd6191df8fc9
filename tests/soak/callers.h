#pragma once

#include "soakworld.h"

// Callers and the operator of the soak. They speak only what the interfaces promise and check each
// answer.

namespace Trefoil {

// Sends requests over connections that it keeps, until the world is over.
boost::asio::awaitable<void> runCaller(SoakWorld &world, std::uint64_t number);

// Publishes configurations and reads them back, until the world is over.
boost::asio::awaitable<void> runOperator(SoakWorld &world);

// Publishes the first configuration and waits until each sort of request is served.
boost::asio::awaitable<bool> waitUntilServed(SoakWorld &world, std::chrono::seconds limit);

// Reads the configuration's version from any control VM, 0 when none answers with one.
boost::asio::awaitable<std::uint64_t> readVersion(SoakWorld &world);

// Checks that every entry is ready and serves the newest acknowledged configuration.
boost::asio::awaitable<bool> allEntriesServe(SoakWorld &world);

} // namespace Trefoil
