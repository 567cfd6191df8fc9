#pragma once

#include "soakworld.h"

// The callers and the operator of the soak test. They use only the documented interfaces and check
// each response.

namespace Trefoil {

// Sends random requests over persistent connections, until the soak test is over.
boost::asio::awaitable<void> runCaller(SoakState &soak, std::uint64_t number);

// Publishes configurations and reads them back, until the soak test is over.
boost::asio::awaitable<void> runOperator(SoakState &soak);

// Publishes the first configuration and waits until each entry serves requests and an engine group
// is open. Returns false when the limit passes first.
boost::asio::awaitable<bool> waitUntilServed(SoakState &soak, std::chrono::seconds limit);

// Returns the version of the configuration that a random control VM holds, or 0 without a valid
// response. Reports a configuration whose content differs from what was published.
boost::asio::awaitable<std::uint64_t> readVersion(SoakState &soak);

// Returns whether every entry serves the route of the newest acknowledged configuration, and the
// service that some versions add.
boost::asio::awaitable<bool> areAllEntriesServing(SoakState &soak);

} // namespace Trefoil
