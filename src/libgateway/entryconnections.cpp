#include "libgateway/entryconnections.h"

#include "libgateway/responserelay.h"
#include "libruntime/clock.h"

#include <algorithm>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto EndpointConnectTimeout = std::chrono::milliseconds(500);

} // namespace

asio::awaitable<std::optional<EndpointConnection>> connectEndpoint(RelayContext &context,
                                                                   const RelayRequest &request,
                                                                   const Placement &placement,
                                                                   std::string &error)
{
    EntryState &state = context.state;
    const TimePoint now = RuntimeClock::now();
    auto idle = state.connectionPool.takeIdle(placement.endpoint, placement.startedAtMs, request.id,
                                              now);
    if (idle)
        co_return idle;
    state.metrics.incrementCounter("trefoil_endpoint_connections_total", "");
    const Duration timeout = std::min<Duration>(EndpointConnectTimeout, request.deadline - now);
    ChannelLimits limits{state.ledger};
    ChannelPointer channel = co_await connectChannel(
            placement.address, timeout, ResponseInputCapacity, error, std::move(limits));
    if (!channel) {
        error = "cannot connect: " + error;
        recordAttempt(state.placement, placement.endpoint, EndpointResult::Failed, {},
                      RuntimeClock::now());
        co_return std::nullopt;
    }
    // Another request may have been told meanwhile that the endpoint leaves or wants no requests.
    if (!isStillUsable(state.placement, placement, RuntimeClock::now())) {
        channel->close();
        error = "the endpoint takes no requests any more";
        co_return std::nullopt;
    }
    EndpointConnection connection;
    connection.channel = std::move(channel);
    connection.address = placement.address;
    connection.endpoint = placement.endpoint;
    connection.startedAtMs = placement.startedAtMs;
    connection.connectedAtMs = unsteppedWallTimeMs();
    co_return connection;
}

} // namespace Trefoil
