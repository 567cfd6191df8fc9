#include "libgateway/entrylimits.h"

#include "libgateway/relayrequest.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

namespace Trefoil {

namespace {

std::string limitText(const std::optional<double> &perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

// Logs a change. `source` is the name of the entry that reported it, or "answer".
void logLimit(const EntryState &state, const LimitChange &change, const std::string &source,
              TimePoint now)
{
    const EndpointLimits &limits = state.placement.limits;
    const EndpointLimit &limit = limits.byEndpoint.at(change.endpoint);
    const LimitShare share = limitShare(limits, limit, now);
    logEvent(Event::EndpointLimitChanged,
             {{"endpoint", change.endpoint},
              {"limit", limitText(limit.perSecond)},
              {"limit_before", limitText(change.before)},
              {"before_ms", change.before ? millisecondsText(change.beforeAge) : ""},
              {"source", source},
              {"age_ms", millisecondsText(now - limit.confirmedAt)},
              {"entries", std::to_string(limits.entryNames.size())},
              {"holders", std::to_string(share.holders)},
              {"share", std::to_string(share.perSecond)}});
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
    if (const auto change = recordStatement(state.placement.limits, statement, now))
        logLimit(state, *change, "answer", now);
}

void addLimits(EntryState &state, LoadDigest &digest, TimePoint now)
{
    PlacementState &placement = state.placement;
    digest.limits = takeLimitReports(placement.limits, now);
    digest.neededEndpoints = neededEndpoints(placement.limits, now);
    std::vector<LimitNeed> needs;
    for (const auto &[name, peer] : placement.peers) {
        const bool isCurrent = now - peer.receivedAt < placement.options.peerLoadTimeout;
        if (isCurrent && !peer.neededEndpoints.empty())
            needs.push_back({name, peer.neededEndpoints});
    }
    digest.grants = takeGrants(placement.limits, needs, placement.rng, now);
    if (!digest.grants.empty())
        state.metrics.incrementCounter("trefoil_limit_grants_total", "",
                                       static_cast<double>(digest.grants.size()));
}

std::vector<LinkHello::LimitedHead> findLimitedHeads(const EntryState &state, TimePoint now)
{
    std::vector<LinkHello::LimitedHead> heads;
    for (const auto &[id, known] : state.placement.limits.byEndpoint) {
        const Endpoint *endpoint = findEndpoint(state.placement.table, id);
        const EndpointLimit *limit =
                endpoint ? findLimit(state.placement.limits, *endpoint) : nullptr;
        if (!limit || !endpoint->report.membership)
            continue;
        const std::string model(modelOfGroup(*endpoint->report.membership));
        const auto active = state.activeRequestsByModel.find(model);
        const double inProgress = active == state.activeRequestsByModel.end() ? 0 : active->second;
        heads.push_back({id, estimateLimitedSlots(state.placement, model, inProgress,
                                                  *limit->perSecond, now)});
    }
    return heads;
}

void applyLimits(EntryState &state, const LoadDigest &digest, TimePoint now)
{
    EndpointLimits &limits = state.placement.limits;
    for (const LimitReport &report : digest.limits) {
        if (const auto change = applyLimitReport(limits, report, state.placement.table, now))
            logLimit(state, *change, digest.entryName, now);
    }
    for (const LimitGrant &grant : digest.grants)
        applyGrant(limits, grant, now);
}

} // namespace Trefoil
