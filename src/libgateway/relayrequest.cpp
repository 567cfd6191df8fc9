#include "libgateway/relayrequest.h"

#include <cstdio>

namespace Trefoil {

namespace {

constexpr std::string_view AttemptOutcomeNames[] = {
        "answered", "failed",    "not run",   "unknown",   "moved",      "stalled",
        "stuck",    "withdrawn", "no memory", "timed out", "caller gone"};

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    return AttemptOutcomeNames[static_cast<std::size_t>(outcome)];
}

bool keepsConnectionOpen(const RelayContext &context, const RelayRequest &request)
{
    return request.keepsAlive && !context.state.stop;
}

PlacementRequest makePlacementRequest(const RelayRequest &request, const RelayProgress &progress,
                                      TimePoint now)
{
    PlacementRequest placementRequest;
    placementRequest.config = request.config.get();
    placementRequest.route = request.route;
    placementRequest.service = request.service;
    placementRequest.model = request.model;
    placementRequest.size = request.size;
    placementRequest.timeLeft = request.deadline - now;
    placementRequest.targetTimeLeft = request.targetDeadline - now;
    placementRequest.triedEndpoints = progress.triedEndpoints;
    placementRequest.isResumption = progress.sendCount > 0;
    return placementRequest;
}

std::string millisecondsText(Duration duration)
{
    return std::to_string(
            static_cast<std::int64_t>(std::chrono::duration<double, std::milli>(duration).count()));
}

std::string secondsText(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

} // namespace Trefoil
