#include "libgateway/engineends.h"

#include "libruntime/clock.h"

#include <boost/asio/error.hpp>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto ProbeTimeout = std::chrono::milliseconds(250);
constexpr std::size_t ProbeInputCapacity = 256 * 1024;

// Returns whether this incarnation of the engine is known to stop as planned.
bool isStopping(const EntryState &state, const Placement &placement)
{
    const Endpoint *endpoint = findEndpoint(state.placement.table, placement.endpoint);
    return endpoint && endpoint->report.startedAtMs == placement.startedAtMs
           && (endpoint->isLeaving || endpoint->report.isDraining);
}

} // namespace

asio::awaitable<bool> hasEngineEnded(EntryState &state, Placement placement)
{
    if (isStopping(state, placement))
        co_return false;
    std::string error;
    ChannelLimits limits{state.ledger};
    const ChannelPointer channel = co_await connectChannel(
            placement.address, ProbeTimeout, ProbeInputCapacity, error, std::move(limits));
    if (!channel) {
        // The channel reports its errors as texts.
        const auto refused = make_error_code(asio::error::connection_refused);
        co_return error == refused.message();
    }
    EndpointConnection connection;
    connection.channel = channel;
    connection.address = placement.address;
    connection.endpoint = placement.endpoint;
    connection.startedAtMs = placement.startedAtMs;
    connection.connectedAtMs = unsteppedWallTimeMs();
    const TimePoint now = RuntimeClock::now();
    connection.idleDeadline = now + keepAliveTime(HttpHead{});
    state.connectionPool.putIdle(std::move(connection), now);
    co_return false;
}

} // namespace Trefoil
