#include "libgateway/entryanswers.h"

#include "libgateway/entrydepartures.h"
#include "libgateway/entrylimits.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace {

// Reports a time that cannot be used, once for each incarnation of an endpoint.
void reportInvalidHoldOff(EntryState &state, const Placement &placement, const std::string &text,
                          const std::string &reason)
{
    constexpr std::size_t maxLoggedBytes = 64;
    const auto [reported, isNew] =
            state.invalidHoldOffs.try_emplace(placement.endpoint, placement.startedAtMs);
    if (!isNew && reported->second == placement.startedAtMs)
        return;
    reported->second = placement.startedAtMs;
    logEvent(Event::HoldOffInvalid, {{"endpoint", placement.endpoint},
                                     {"time", text.substr(0, maxLoggedBytes)},
                                     {"reason", reason}});
}

void recordHoldOffAnswer(EntryState &state, const RelayRequest &request, const Placement &placement,
                         const HttpHead &answer)
{
    const std::string *text = findField(answer, state.dialect.headers.holdOff);
    if (answer.status != 503 || !text)
        return;
    const auto decoded = state.dialect.decodeHoldOff(*text);
    if (const auto *reason = std::get_if<std::string>(&decoded)) {
        reportInvalidHoldOff(state, placement, *text, *reason);
        return;
    }
    const Duration duration =
            recordHoldOff(state.placement.holdOffs, placement.endpoint, placement.startedAtMs,
                          std::get<Duration>(decoded), state.placement.rng, RuntimeClock::now());
    state.metrics.incrementCounter("trefoil_hold_offs_total", "");
    logEvent(Event::EndpointHeldOff, {{"endpoint", placement.endpoint},
                                      {"id", request.id},
                                      {"ms", millisecondsText(duration)}});
}

} // namespace

void recordAnswer(EntryState &state, const RelayRequest &request, const Placement &placement,
                  EndpointConnection &connection, const HttpHead &answer, TimePoint sentAt)
{
    const HeaderNames &headers = state.dialect.headers;
    if (findField(answer, headers.notExecuted))
        connection.refusedIds.push_back(request.id);
    // An answer 421 comes from another endpoint at the address.
    if (answer.status == 421)
        return;
    recordLimit(state, placement, answer, sentAt);
    const std::string *leaving = findField(answer, headers.leaving);
    connection.isLast = leaving && state.dialect.decodeLeaving(*leaving);
    if (connection.isLast)
        recordLeavingAnswer(state, placement, connection.connectedAtMs, request.id);
    recordHoldOffAnswer(state, request, placement, answer);
}

} // namespace Trefoil
