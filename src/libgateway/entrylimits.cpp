#include "libgateway/entrylimits.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace {

std::string limitText(const std::optional<double> &perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

// Reports a figure that cannot be used, once for each incarnation of an endpoint.
void reportInvalidLimit(EntryState &state, const Placement &placement, const std::string &text,
                        const std::string &reason)
{
    constexpr std::size_t maxLoggedBytes = 64;
    const auto [reported, isNew] =
            state.invalidLimits.try_emplace(placement.endpoint, placement.startedAtMs);
    if (!isNew && reported->second == placement.startedAtMs)
        return;
    reported->second = placement.startedAtMs;
    state.metrics.incrementCounter("trefoil_invalid_limits_total", "");
    logEvent(Event::EndpointLimitInvalid, {{"endpoint", placement.endpoint},
                                           {"limit", text.substr(0, maxLoggedBytes)},
                                           {"reason", reason}});
}

} // namespace

void recordLimit(EntryState &state, const Placement &placement, const HttpHead &answer,
                 TimePoint sentAt)
{
    const TimePoint now = RuntimeClock::now();
    LimitStatement statement{placement.endpoint, placement.startedAtMs, {}, sentAt};
    if (const std::string *text = findField(answer, state.dialect.headers.requestLimit)) {
        const auto decoded = state.dialect.decodeRequestLimit(*text);
        if (const auto *reason = std::get_if<std::string>(&decoded)) {
            reportInvalidLimit(state, placement, *text, *reason);
            return;
        }
        statement.perSecond = std::get<double>(decoded);
    }
    EndpointLimits &limits = state.placement.limits;
    const auto known = limits.byEndpoint.find(placement.endpoint);
    const EndpointLimit before = known == limits.byEndpoint.end() ? EndpointLimit{} : known->second;
    if (!recordStatement(limits, statement, now))
        return;
    logEvent(Event::EndpointLimitChanged,
             {{"endpoint", placement.endpoint},
              {"limit", limitText(statement.perSecond)},
              {"limit_before", limitText(before.perSecond)},
              {"confirmed_ms",
               std::to_string(before.perSecond
                                      ? (now - before.confirmedAt) / std::chrono::milliseconds(1)
                                      : 0)}});
}

} // namespace Trefoil
