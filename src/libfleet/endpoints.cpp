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

// True when another endpoint at the address started later, so that this one has ended.
bool isSucceeded(const EndpointTable &table, const EndpointReport &report)
{
    return std::any_of(table.endpoints.begin(), table.endpoints.end(), [&](const auto &item) {
        const EndpointReport &other = item.second.report;
        return other.id != report.id && other.address == report.address
               && other.startedAtMs > report.startedAtMs;
    });
}

void retirePredecessors(EndpointTable &table, const EndpointReport &report)
{
    for (auto &[id, endpoint] : table.endpoints) {
        const bool replaced = id != report.id && endpoint.report.address == report.address
                              && endpoint.report.startedAtMs < report.startedAtMs;
        if (replaced)
            endpoint.isSucceeded = true;
    }
}

void noteMembership(Endpoint &endpoint)
{
    const auto &membership = endpoint.report.membership;
    if (membership && membership->phase != MembershipPhase::Joining)
        endpoint.loadedModel = modelOfGroup(*membership);
}

} // namespace

ReportOutcome takeReport(EndpointTable &table, const EndpointReport &report, Duration age,
                         TimePoint now)
{
    const auto found = table.endpoints.find(report.id);
    if (found == table.endpoints.end()) {
        Endpoint endpoint;
        endpoint.report = report;
        endpoint.lastHeard = now - age;
        endpoint.lastReport = endpoint.lastHeard;
        endpoint.isSucceeded = isSucceeded(table, report);
        noteMembership(endpoint);
        table.endpoints.emplace(report.id, endpoint);
        retirePredecessors(table, report);
        return ReportOutcome::Changed;
    }
    Endpoint &known = found->second;
    const bool sameLife = known.report.startedAtMs == report.startedAtMs;
    if (isOlder(report, known.report))
        return ReportOutcome::Stale;
    known.lastHeard = std::max(known.lastHeard, now - age);
    known.lastReport = std::max(known.lastReport, now - age);
    if (!sameLife) {
        known.hasLeft = false;
        known.isSucceeded = isSucceeded(table, report);
        known.loadedModel.clear();
    }
    EndpointReport unchanged = report;
    unchanged.sequence = known.report.sequence;
    const bool changed = unchanged != known.report;
    const bool moved = report.address != known.report.address || !sameLife;
    known.report = report;
    noteMembership(known);
    if (moved)
        retirePredecessors(table, report);
    return changed ? ReportOutcome::Changed : ReportOutcome::Refreshed;
}

bool takeDeparture(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs,
                   TimePoint now)
{
    const auto found = table.endpoints.find(id);
    if (found == table.endpoints.end() || found->second.hasLeft)
        return false;
    if (startedAtMs != 0 && startedAtMs < found->second.report.startedAtMs)
        return false;
    found->second.hasLeft = true;
    found->second.lastHeard = now;
    return true;
}

void takeSign(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs, Duration age,
              TimePoint now)
{
    const auto found = table.endpoints.find(id);
    if (found == table.endpoints.end() || found->second.report.startedAtMs != startedAtMs)
        return;
    found->second.lastHeard = std::max(found->second.lastHeard, now - age);
    found->second.lastReport = std::max(found->second.lastReport, now - age);
}

void takeProgress(EndpointTable &table, const EndpointId &head, std::uint64_t startedAtMs,
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

void excusePause(EndpointTable &table, Duration pause, TimePoint now)
{
    for (auto &[id, endpoint] : table.endpoints) {
        endpoint.lastHeard = std::min(now, endpoint.lastHeard + pause);
        endpoint.lastReport = std::min(now, endpoint.lastReport + pause);
    }
}

void dropUnknownServices(EndpointTable &table, const ServiceConfiguration &config)
{
    std::erase_if(table.endpoints, [&config](const auto &item) {
        return !findService(config, item.second.report.service);
    });
    for (auto &[id, endpoint] : table.endpoints)
        endpoint.isSucceeded = isSucceeded(table, endpoint.report);
}

void forgetEndpoints(EndpointTable &table, Duration retention, TimePoint now)
{
    std::erase_if(table.endpoints,
                  [&](const auto &item) { return now - item.second.lastHeard > retention; });
}

bool isUsable(const Endpoint &endpoint, Duration silence, TimePoint now)
{
    return !endpoint.hasLeft && !endpoint.isSucceeded && !endpoint.report.isDraining
           && now - endpoint.lastHeard <= silence;
}

const Endpoint *findEndpoint(const EndpointTable &table, const EndpointId &id)
{
    const auto found = table.endpoints.find(id);
    return found == table.endpoints.end() ? nullptr : &found->second;
}

} // namespace Trefoil
