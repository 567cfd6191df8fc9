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

// Changes the sum of the sizes of configured endpoints.
void countConfigured(EndpointTable &table, std::size_t removed, std::size_t added)
{
    table.configuredBytes -= std::min(table.configuredBytes, removed);
    table.configuredBytes += added;
}

void countUnconfigured(EndpointTable &table, const std::string &service, std::size_t removed,
                       std::size_t added)
{
    table.unconfiguredBytes -= std::min(table.unconfiguredBytes, removed);
    table.unconfiguredBytes += added;
    std::size_t &bytes = table.bytesByUnconfiguredService[service];
    bytes -= std::min(bytes, removed);
    bytes += added;
    if (bytes == 0)
        table.bytesByUnconfiguredService.erase(service);
}

// Removes endpoints that are silent if there is no room for a report of this size. Returns whether
// there is room.
bool makeConfiguredRoom(EndpointTable &table, std::size_t bytes, TimePoint now)
{
    constexpr auto silentTime = std::chrono::seconds(10);
    constexpr auto searchInterval = std::chrono::seconds(1);
    if (table.configuredBytes + bytes > MaxConfiguredBytes && now >= table.nextRoomAt) {
        table.nextRoomAt = now + searchInterval;
        std::erase_if(table.endpoints, [&](const auto &item) {
            if (now - item.second.lastHeard <= silentTime)
                return false;
            countConfigured(table, reportBytes(item.second.report), 0);
            return true;
        });
    }
    return table.configuredBytes + bytes <= MaxConfiguredBytes;
}

// Removes endpoints of the service that takes most of the room for unconfigured ones, unless it is
// that of the report. Returns whether there is room for the report.
bool makeUnconfiguredRoom(EndpointTable &table, const EndpointReport &report)
{
    const std::size_t bytes = reportBytes(report);
    while (table.unconfigured.size() >= MaxUnconfiguredEndpoints
           || table.unconfiguredBytes + bytes > MaxUnconfiguredBytes) {
        const auto &byService = table.bytesByUnconfiguredService;
        const auto largest =
                std::max_element(byService.begin(), byService.end(),
                                 [](const auto &a, const auto &b) { return a.second < b.second; });
        const auto own = byService.find(report.service);
        const std::size_t ownBytes = bytes + (own == byService.end() ? 0 : own->second);
        if (largest == byService.end() || largest->second < ownBytes)
            return false;
        const std::string service = largest->first;
        const auto victim =
                std::find_if(table.unconfigured.begin(), table.unconfigured.end(),
                             [&](const auto &item) { return item.first.second == service; });
        if (victim == table.unconfigured.end())
            return false;
        countUnconfigured(table, service, reportBytes(victim->second.report), 0);
        table.unconfigured.erase(victim);
    }
    return true;
}

// Remembers the model of a group in which the endpoint has become ready.
void updateLoadedModel(Endpoint &endpoint)
{
    const auto &membership = endpoint.report.membership;
    if (membership && membership->phase != MembershipPhase::Joining)
        endpoint.loadedModel = modelOfGroup(*membership);
}

// Returns true when the reports differ in more than their sequence number.
bool differs(EndpointReport a, const EndpointReport &b)
{
    a.sequence = b.sequence;
    a.lacksEngineState = b.lacksEngineState;
    return a != b;
}

// A service that is removed may return, so its known endpoints stay in use by the routes that name
// it, if any do.
bool isConfigured(const EndpointTable &table, const EndpointReport &report)
{
    if (!table.services || table.services->contains(report.service))
        return true;
    const auto found = table.endpoints.find(report.id);
    return found != table.endpoints.end() && found->second.report.service == report.service;
}

ReportOutcome applyUnconfigured(EndpointTable &table, const EndpointReport &report, Duration age,
                                TimePoint now)
{
    const auto key = std::make_pair(report.id, report.service);
    const auto found = table.unconfigured.find(key);
    if (found == table.unconfigured.end()) {
        if (!makeUnconfiguredRoom(table, report))
            return ReportOutcome::Refused;
        Endpoint endpoint;
        endpoint.report = report;
        endpoint.lastHeard = now - age;
        endpoint.lastReportAt = now - age;
        countUnconfigured(table, report.service, 0, reportBytes(report));
        table.unconfigured.emplace(key, std::move(endpoint));
        return ReportOutcome::Changed;
    }
    Endpoint &known = found->second;
    if (isOlder(report, known.report))
        return ReportOutcome::Stale;
    const std::size_t oldBytes = reportBytes(known.report);
    const std::size_t newBytes = reportBytes(report);
    if (newBytes > oldBytes && table.unconfiguredBytes + newBytes - oldBytes > MaxUnconfiguredBytes)
        return ReportOutcome::Refused;
    countUnconfigured(table, report.service, oldBytes, newBytes);
    known.lastHeard = std::max(known.lastHeard, now - age);
    known.lastReportAt = std::max(known.lastReportAt, now - age);
    const bool hasChanged = differs(report, known.report);
    known.report = report;
    return hasChanged ? ReportOutcome::Changed : ReportOutcome::Refreshed;
}

// Calls the function with each endpoint under this id and incarnation.
template <class Function>
void forIncarnation(EndpointTable &table, const EndpointId &id, std::uint64_t startedAtMs,
                    Function function)
{
    const auto found = table.endpoints.find(id);
    if (found != table.endpoints.end() && found->second.report.startedAtMs == startedAtMs)
        function(found->second);
    for (auto it = table.unconfigured.lower_bound({id, {}});
         it != table.unconfigured.end() && it->first.first == id; ++it) {
        if (it->second.report.startedAtMs == startedAtMs)
            function(it->second);
    }
}

// Calls the function with each endpoint.
template <class Function>
void forAll(EndpointTable &table, Function function)
{
    for (auto &[id, endpoint] : table.endpoints)
        function(endpoint);
    for (auto &[key, endpoint] : table.unconfigured)
        function(endpoint);
}

} // namespace

std::size_t reportBytes(const EndpointReport &report)
{
    constexpr std::size_t fixedBytes = 100;
    constexpr std::size_t nameBytes = 8;
    std::size_t bytes = fixedBytes + report.id.size() + report.service.size()
                        + report.address.size() + report.domain.size() + report.fabric.size();
    for (const std::string &model : report.stagedModels)
        bytes += nameBytes + model.size();
    if (report.membership)
        bytes += report.membership->group.size();
    return bytes;
}

bool isUnusable(const EndpointTable &table, const EndpointReport &report)
{
    return report.lacksEngineState && table.engineServices.contains(report.service);
}

ReportOutcome applyReport(EndpointTable &table, const EndpointReport &report, Duration age,
                          TimePoint now)
{
    if (isUnusable(table, report))
        return ReportOutcome::Unusable;
    if (!isConfigured(table, report))
        return applyUnconfigured(table, report, age, now);
    if (report.isDraining)
        recordDeparture(table.departures, {report.id, report.startedAtMs, toMilliseconds(age)},
                        now);
    const auto found = table.endpoints.find(report.id);
    const std::size_t newBytes = reportBytes(report);
    if (found == table.endpoints.end()) {
        if (!makeConfiguredRoom(table, newBytes, now))
            return ReportOutcome::Refused;
        countConfigured(table, 0, newBytes);
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
    const std::size_t oldBytes = reportBytes(known.report);
    if (newBytes > oldBytes && table.configuredBytes + newBytes - oldBytes > MaxConfiguredBytes)
        return ReportOutcome::Refused;
    countConfigured(table, oldBytes, newBytes);
    known.lastHeard = std::max(known.lastHeard, now - age);
    known.lastReportAt = std::max(known.lastReportAt, now - age);
    known.isLeaving = hasDeparted(table.departures, report.id, report.startedAtMs);
    if (!isSameIncarnation) {
        known.isReplaced = hasSuccessor(table, report);
        known.loadedModel.clear();
    }
    const bool hasChanged = differs(report, known.report);
    const bool hasNewAddress = report.address != known.report.address || !isSameIncarnation;
    known.report = report;
    updateLoadedModel(known);
    if (hasNewAddress)
        markPredecessorsReplaced(table, report);
    return hasChanged ? ReportOutcome::Changed : ReportOutcome::Refreshed;
}

DepartureOutcome applyDeparture(EndpointTable &table, DepartureNotice notice, TimePoint now)
{
    if (notice.startedAtMs == 0) {
        for (const Endpoint *known : findAllEndpoints(table, notice.endpoint))
            notice.startedAtMs = std::max(notice.startedAtMs, known->report.startedAtMs);
    }
    const DepartureOutcome outcome = recordDeparture(table.departures, notice, now);
    const auto found = table.endpoints.find(notice.endpoint);
    if (found == table.endpoints.end() || found->second.isLeaving)
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
    forIncarnation(table, id, startedAtMs, [&](Endpoint &endpoint) {
        endpoint.lastHeard = std::max(endpoint.lastHeard, now - age);
        endpoint.lastReportAt = std::max(endpoint.lastReportAt, now - age);
    });
}

void recordGroupProgress(EndpointTable &table, const EndpointId &head, std::uint64_t startedAtMs,
                         Duration age, TimePoint now)
{
    std::optional<GroupMembership> membership;
    forIncarnation(table, head, startedAtMs, [&](Endpoint &endpoint) {
        endpoint.lastHeard = std::max(endpoint.lastHeard, now - age);
        if (endpoint.report.membership && endpoint.report.membership->rank == 0)
            membership = endpoint.report.membership;
    });
    if (!membership)
        return;
    forAll(table, [&](Endpoint &endpoint) {
        const auto &other = endpoint.report.membership;
        if (other && other->group == membership->group && other->epoch == membership->epoch)
            endpoint.lastHeard = std::max(endpoint.lastHeard, now - age);
    });
}

void compensatePause(EndpointTable &table, Duration pause, TimePoint now)
{
    forAll(table, [&](Endpoint &endpoint) {
        endpoint.lastHeard = std::min(now, endpoint.lastHeard + pause);
        endpoint.lastReportAt = std::min(now, endpoint.lastReportAt + pause);
    });
}

void setServices(EndpointTable &table, const ServiceConfiguration &config, TimePoint now)
{
    table.services.emplace();
    for (const Service &service : config.services) {
        table.services->insert(service.name);
        if (service.engine)
            table.engineServices.insert(service.name);
        else
            table.engineServices.erase(service.name);
    }
    std::vector<Endpoint> named;
    std::erase_if(table.unconfigured, [&](const auto &item) {
        const bool isNamed = table.services->contains(item.first.second);
        if (isNamed) {
            named.push_back(item.second);
            countUnconfigured(table, item.first.second, reportBytes(item.second.report), 0);
        }
        return isNamed;
    });
    for (const Endpoint &endpoint : named) {
        const EndpointReport &report = endpoint.report;
        applyReport(table, report, now - endpoint.lastReportAt, now);
        forIncarnation(table, report.id, report.startedAtMs, [&](Endpoint &known) {
            known.lastHeard = std::max(known.lastHeard, endpoint.lastHeard);
        });
    }
}

void removeExpiredEndpoints(EndpointTable &table, Duration retention, TimePoint now)
{
    const auto isExpired = [&](const auto &item) {
        return now - item.second.lastHeard > retention;
    };
    std::erase_if(table.endpoints, [&](const auto &item) {
        if (!isExpired(item))
            return false;
        countConfigured(table, reportBytes(item.second.report), 0);
        return true;
    });
    std::erase_if(table.unconfigured, [&](const auto &item) {
        if (!isExpired(item))
            return false;
        countUnconfigured(table, item.first.second, reportBytes(item.second.report), 0);
        return true;
    });
}

bool isUsable(const Endpoint &endpoint, Duration heartbeatTimeout, TimePoint now)
{
    return !endpoint.isLeaving && !endpoint.isReplaced && !endpoint.report.isDraining
           && now - endpoint.lastHeard <= heartbeatTimeout;
}

std::size_t endpointCount(const EndpointTable &table)
{
    return table.endpoints.size() + table.unconfigured.size();
}

const Endpoint *findEndpoint(const EndpointTable &table, const EndpointId &id)
{
    const auto found = table.endpoints.find(id);
    return found == table.endpoints.end() ? nullptr : &found->second;
}

std::vector<const Endpoint *> findAllEndpoints(const EndpointTable &table, const EndpointId &id)
{
    std::vector<const Endpoint *> endpoints;
    if (const Endpoint *endpoint = findEndpoint(table, id))
        endpoints.push_back(endpoint);
    for (auto it = table.unconfigured.lower_bound({id, {}});
         it != table.unconfigured.end() && it->first.first == id; ++it)
        endpoints.push_back(&it->second);
    return endpoints;
}

} // namespace Trefoil
