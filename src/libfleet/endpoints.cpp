#include "libfleet/endpoints.h"

#include "libfleet/groupname.h"

#include <algorithm>

namespace Trefoil {

namespace {

bool isOlder(const EndpointReport &a, const EndpointReport &b)
{
    if (a.startedAtMs != b.startedAtMs)
        return a.startedAtMs < b.startedAtMs;
    return a.sequence < b.sequence;
}

// Returns true when another endpoint at the same address started later, so that the reporting one
// has ended.
bool hasSuccessor(const EndpointTable &table, const EndpointReport &report)
{
    return std::any_of(table.endpoints.begin(), table.endpoints.end(), [&](const auto &item) {
        const EndpointReport &other = item.second.report;
        return other.id != report.id && other.address == report.address
               && other.startedAtMs > report.startedAtMs;
    });
}

// Marks endpoints at the same address that started before the reporting one as replaced.
void markPredecessorsReplaced(EndpointTable &table, const EndpointReport &report)
{
    for (auto &[id, endpoint] : table.endpoints) {
        const bool isPredecessor = id != report.id && endpoint.report.address == report.address
                                   && endpoint.report.startedAtMs < report.startedAtMs;
        if (isPredecessor)
            endpoint.isReplaced = true;
    }
}

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(duration / std::chrono::milliseconds(1), 0));
}

// Remembers the model of a group in which the endpoint has become ready.
void updateLoadedModel(Endpoint &endpoint)
{
    const auto &membership = endpoint.report.membership;
    if (membership && membership->phase != MembershipPhase::Joining)
        endpoint.loadedModel = modelOfGroup(*membership);
}

} // namespace

ReportOutcome applyReport(EndpointTable &table, const EndpointReport &report, Duration age,
                          TimePoint now)
{
    if (report.isDraining)
        recordDeparture(table.departures, {report.id, report.startedAtMs, toMilliseconds(age)},
                        now);
    const auto found = table.endpoints.find(report.id);
    if (found == table.endpoints.end()) {
        Endpoint endpoint;
        endpoint.report = report;
        endpoint.lastHeard = now - age;
        endpoint.lastReportAt = endpoint.lastHeard;
        endpoint.isReplaced = hasSuccessor(table, report);
        endpoint.isLeaving = hasDeparted(table.departures, report.id, report.startedAtMs);
        updateLoadedModel(endpoint);
        table.endpoints.emplace(report.id, endpoint);
        markPredecessorsReplaced(table, report);
        return ReportOutcome::Changed;
    }
    Endpoint &known = found->second;
    const bool isSameIncarnation = known.report.startedAtMs == report.startedAtMs;
    if (isOlder(report, known.report))
        return ReportOutcome::Stale;
    known.lastHeard = std::max(known.lastHeard, now - age);
    known.lastReportAt = std::max(known.lastReportAt, now - age);
    known.isLeaving = hasDeparted(table.departures, report.id, report.startedAtMs);
    if (!isSameIncarnation) {
        known.isReplaced = hasSuccessor(table, report);
        known.loadedModel.clear();
    }
    EndpointReport renumbered = report;
    renumbered.sequence = known.report.sequence;
    const bool hasChanged = renumbered != known.report;
    const bool hasNewAddress = report.address != known.report.address || !isSameIncarnation;
    known.report = report;
    updateLoadedModel(known);
    if (hasNewAddress)
        markPredecessorsReplaced(table, report);
    return hasChanged ? ReportOutcome::Changed : ReportOutcome::Refreshed;
}

DepartureOutcome applyDeparture(EndpointTable &table, DepartureNotice notice, TimePoint now)
{
    const auto found = table.endpoints.find(notice.endpoint);
    const bool isKnown = found != table.endpoints.end();
    if (notice.startedAtMs == 0 && isKnown)
        notice.startedAtMs = found->second.report.startedAtMs;
    const DepartureOutcome outcome = recordDeparture(table.departures, notice, now);
    if (!isKnown || found->second.isLeaving)
        return outcome;
    Endpoint &endpoint = found->second;
    endpoint.isLeaving =
            hasDeparted(table.departures, notice.endpoint, endpoint.report.startedAtMs);
    if (endpoint.isLeaving)
        endpoint.lastHeard =
                std::max(endpoint.lastHeard, now - std::chrono::milliseconds(notice.ageMs));
    return outcome;
}

void recordSignOfLife(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs,
                      Duration age, TimePoint now)
{
    const auto found = table.endpoints.find(id);
    if (found == table.endpoints.end() || found->second.report.startedAtMs != startedAtMs)
        return;
    found->second.lastHeard = std::max(found->second.lastHeard, now - age);
    found->second.lastReportAt = std::max(found->second.lastReportAt, now - age);
}

void recordGroupProgress(EndpointTable &table, const EndpointId &head, std::uint64_t startedAtMs,
                         Duration age, TimePoint now)
{
    const auto found = table.endpoints.find(head);
    if (found == table.endpoints.end() || found->second.report.startedAtMs != startedAtMs)
        return;
    found->second.lastHeard = std::max(found->second.lastHeard, now - age);
    const auto membership = found->second.report.membership;
    if (!membership || membership->rank != 0)
        return;
    for (auto &[id, endpoint] : table.endpoints) {
        const auto &other = endpoint.report.membership;
        if (other && other->group == membership->group && other->epoch == membership->epoch)
            endpoint.lastHeard = std::max(endpoint.lastHeard, now - age);
    }
}

void compensatePause(EndpointTable &table, Duration pause, TimePoint now)
{
    for (auto &[id, endpoint] : table.endpoints) {
        endpoint.lastHeard = std::min(now, endpoint.lastHeard + pause);
        endpoint.lastReportAt = std::min(now, endpoint.lastReportAt + pause);
    }
}

void removeUnknownServices(EndpointTable &table, const ServiceConfiguration &config)
{
    std::erase_if(table.endpoints, [&config](const auto &item) {
        return !findService(config, item.second.report.service);
    });
    for (auto &[id, endpoint] : table.endpoints)
        endpoint.isReplaced = hasSuccessor(table, endpoint.report);
}

void removeExpiredEndpoints(EndpointTable &table, Duration retention, TimePoint now)
{
    std::erase_if(table.endpoints,
                  [&](const auto &item) { return now - item.second.lastHeard > retention; });
}

bool isUsable(const Endpoint &endpoint, Duration heartbeatTimeout, TimePoint now)
{
    return !endpoint.isLeaving && !endpoint.isReplaced && !endpoint.report.isDraining
           && now - endpoint.lastHeard <= heartbeatTimeout;
}

const Endpoint *findEndpoint(const EndpointTable &table, const EndpointId &id)
{
    const auto found = table.endpoints.find(id);
    return found == table.endpoints.end() ? nullptr : &found->second;
}

} // namespace Trefoil
