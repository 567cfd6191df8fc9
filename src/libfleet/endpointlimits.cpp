#include "libfleet/endpointlimits.h"

#include <xxhash.h>

#include <algorithm>

namespace Trefoil {

namespace {

// Largest number of tokens of other entries that an entry keeps for an endpoint.
constexpr double MaxGrantedTokens = 4;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint32_t entryHash(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

// Weight of an entry for an endpoint. The entries with the highest weights hold its limit, so that
// each endpoint has other holders.
std::uint64_t holderWeight(EndpointHash endpoint, std::string_view entry)
{
    return XXH64(entry.data(), entry.size(), endpoint);
}

void updateRank(const EndpointLimits &limits, EndpointLimit &limit)
{
    const std::uint64_t own = holderWeight(limit.hash, limits.entryName);
    limit.rank = static_cast<std::size_t>(std::count_if(
            limits.entryNames.begin(), limits.entryNames.end(),
            [&](const std::string &name) { return holderWeight(limit.hash, name) > own; }));
}

// Returns the tokens of this entry's own bucket at this time.
double ownTokens(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now)
{
    const LimitShare share = limitShare(limits, limit, now);
    if (share.perSecond <= 0)
        return 0;
    const double before = limit.refilledAt >= share.heldSince ? limit.tokens : 0;
    const TimePoint from = std::max(limit.refilledAt, share.heldSince);
    return std::min(1.0, before + share.perSecond * toSeconds(now - from));
}

double grantedTokens(const EndpointLimit &limit, TimePoint now)
{
    return now < limit.grantedUntil ? limit.grantedTokens : 0;
}

// Brings the bucket up to date. Called before anything changes that its rate depends on.
void refill(const EndpointLimits &limits, EndpointLimit &limit, TimePoint now)
{
    limit.tokens = ownTokens(limits, limit, now);
    limit.refilledAt = now;
    limit.grantedTokens = grantedTokens(limit, now);
}

// Returns what a bucket holds when its limit is named. The entries start with different parts of a
// token, so that they do not send at the same time.
double initialTokens(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now)
{
    constexpr double weightRange = 18446744073709551616.0; // 2^64
    const Duration startupTime = limits.options.startupTime;
    if (now - limits.startedAt < startupTime || now - limit.changedAt < startupTime)
        return 0;
    return static_cast<double>(holderWeight(~limit.hash, limits.entryName)) / weightRange;
}

// Sets what is known of a limit. Returns the change, if there is one.
std::optional<LimitChange> setLimit(EndpointLimits &limits, const EndpointId &endpoint,
                                    EndpointLimit &limit, std::optional<double> perSecond,
                                    TimePoint confirmedAt, TimePoint now)
{
    refill(limits, limit, now);
    // After a time without answers, other holders have used the tokens.
    const bool hadOtherHolders = limitShare(limits, limit, now).heldSince > TimePoint{};
    if (hadOtherHolders)
        limit.tokens = 0;
    const LimitChange change{endpoint, limit.perSecond, now - limit.confirmedAt};
    limit.perSecond = perSecond;
    limit.confirmedAt = confirmedAt;
    if (change.before == perSecond)
        return std::nullopt;
    if (!change.before)
        limit.tokens = initialTokens(limits, limit, now);
    limit.changedAt = now;
    return change;
}

// Returns the state of an incarnation, or null if a later one is known.
EndpointLimit *openLimit(EndpointLimits &limits, const EndpointId &endpoint,
                         std::uint64_t startedAtMs, TimePoint now)
{
    const auto [found, isNew] = limits.byEndpoint.try_emplace(endpoint);
    EndpointLimit &limit = found->second;
    if (!isNew && startedAtMs < limit.startedAtMs)
        return nullptr;
    if (isNew || startedAtMs > limit.startedAtMs) {
        limit = EndpointLimit{};
        limit.hash = endpointHash(endpoint);
        limit.startedAtMs = startedAtMs;
        limit.refilledAt = now;
        updateRank(limits, limit);
    }
    return &limit;
}

// Returns the id of an endpoint, or null if it is not known.
const EndpointId *findEndpointId(const EndpointLimits &limits, EndpointHash hash,
                                 const EndpointTable &table)
{
    for (const auto &[id, limit] : limits.byEndpoint) {
        if (limit.hash == hash)
            return &id;
    }
    for (const auto &[id, endpoint] : table.endpoints) {
        if (endpointHash(id) == hash)
            return &id;
    }
    return nullptr;
}

} // namespace

EndpointHash endpointHash(const EndpointId &endpoint)
{
    return XXH32(endpoint.data(), endpoint.size(), 0);
}

void setEntries(EndpointLimits &limits, const EntryRoster &roster)
{
    std::vector<std::string> names;
    for (const auto &[name, seenAt] : roster.lastSeen)
        names.push_back(name);
    if (names == limits.entryNames)
        return;
    limits.entryNames = std::move(names);
    for (auto &[id, limit] : limits.byEndpoint)
        updateRank(limits, limit);
}

std::optional<LimitChange> recordStatement(EndpointLimits &limits, const LimitStatement &statement,
                                           TimePoint now)
{
    if (!statement.perSecond && !limits.byEndpoint.contains(statement.endpoint))
        return std::nullopt;
    EndpointLimit *limit = openLimit(limits, statement.endpoint, statement.startedAtMs, now);
    const bool isOutdated =
            !limit || (!statement.perSecond && statement.sentAt <= limit->confirmedAt);
    if (isOutdated)
        return std::nullopt;
    return setLimit(limits, statement.endpoint, *limit, statement.perSecond, now, now);
}

std::vector<LimitReport> takeLimitReports(EndpointLimits &limits, TimePoint now)
{
    const bool reportsAll = now >= limits.nextReportAt;
    if (reportsAll)
        limits.nextReportAt = now + limits.options.reportInterval;
    std::vector<LimitReport> reports;
    for (const auto &[id, limit] : limits.byEndpoint) {
        const bool isRecent = now - limit.changedAt < limits.options.changeReportTime;
        if (!isRecent && !(reportsAll && limit.perSecond))
            continue;
        const auto age = std::max(now - limit.confirmedAt, Duration::zero());
        reports.push_back({limit.hash, limit.startedAtMs, limit.perSecond,
                           static_cast<std::uint32_t>(age / std::chrono::milliseconds(1))});
    }
    return reports;
}

std::optional<LimitChange> applyLimitReport(EndpointLimits &limits, const LimitReport &report,
                                            const EndpointTable &table, TimePoint now)
{
    const EndpointId *known = findEndpointId(limits, report.endpoint, table);
    if (!known)
        return std::nullopt;
    const EndpointId id = *known;
    if (!report.perSecond && !limits.byEndpoint.contains(id))
        return std::nullopt;
    EndpointLimit *limit = openLimit(limits, id, report.startedAtMs, now);
    const TimePoint confirmedAt = now - std::chrono::milliseconds(report.ageMs);
    if (!limit || confirmedAt <= limit->confirmedAt)
        return std::nullopt;
    return setLimit(limits, id, *limit, report.perSecond, confirmedAt, now);
}

void removeUnknownLimits(EndpointLimits &limits, const EndpointTable &table, TimePoint now)
{
    std::erase_if(limits.byEndpoint, [&](const auto &item) {
        const auto &[id, limit] = item;
        const Endpoint *endpoint = findEndpoint(table, id);
        const bool hasEnded =
                !limit.perSecond && now - limit.changedAt > limits.options.endRetention;
        return !endpoint || endpoint->report.startedAtMs > limit.startedAtMs || hasEnded;
    });
}

const EndpointLimit *findLimit(const EndpointLimits &limits, const Endpoint &endpoint)
{
    const auto found = limits.byEndpoint.find(endpoint.report.id);
    if (found == limits.byEndpoint.end() || found->second.startedAtMs != endpoint.report.startedAtMs
        || !found->second.perSecond)
        return nullptr;
    return &found->second;
}

LimitShare limitShare(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now)
{
    const EndpointLimitOptions &options = limits.options;
    const std::size_t entries = limits.entryNames.size();
    if (entries == 0 || !limit.perSecond)
        return {};
    LimitShare share;
    share.holders =
            std::min(static_cast<std::size_t>(*limit.perSecond + options.extraHolders), entries);
    const double perSecond = std::max(*limit.perSecond * options.usableShare, options.minPerSecond)
                             / static_cast<double>(share.holders);
    // Holders that may be lost are replaced only after they had time to send a request.
    constexpr double requestsBeforeChange = 1.5;
    const Duration period =
            std::max(options.confirmationTimeout,
                     std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(requestsBeforeChange / perSecond)));
    const auto periods = std::max<Duration::rep>((now - limit.confirmedAt) / period, 0);
    const std::size_t sets = (entries + share.holders - 1) / share.holders;
    if (limit.rank / share.holders == static_cast<std::size_t>(periods) % sets)
        share.perSecond = perSecond;
    if (periods > 0)
        share.heldSince = limit.confirmedAt + periods * period;
    return share;
}

Duration timeUntilToken(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now)
{
    const double tokens = ownTokens(limits, limit, now);
    if (tokens >= 1 || grantedTokens(limit, now) >= 1)
        return Duration::zero();
    const LimitShare share = limitShare(limits, limit, now);
    // An entry that does not hold the limit waits for a token of another one.
    const double perSecond = share.perSecond > 0 ? share.perSecond
                                                 : std::max(limit.perSecond.value_or(0),
                                                            limits.options.minPerSecond);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((1 - tokens) / perSecond));
}

void takeToken(EndpointLimits &limits, const Endpoint &endpoint, TimePoint now)
{
    if (!findLimit(limits, endpoint))
        return;
    EndpointLimit &limit = limits.byEndpoint.at(endpoint.report.id);
    refill(limits, limit, now);
    if (limit.grantedTokens >= 1)
        limit.grantedTokens -= 1;
    else
        limit.tokens = std::max(0.0, limit.tokens - 1);
}

void recordNeed(EndpointLimits &limits, const EndpointId &endpoint, TimePoint now)
{
    const auto found = limits.byEndpoint.find(endpoint);
    if (found != limits.byEndpoint.end())
        found->second.neededUntil = now + limits.options.needTime;
}

std::vector<EndpointHash> neededEndpoints(const EndpointLimits &limits, TimePoint now)
{
    std::vector<EndpointHash> endpoints;
    for (const auto &[id, limit] : limits.byEndpoint) {
        if (limit.perSecond && now < limit.neededUntil)
            endpoints.push_back(limit.hash);
    }
    return endpoints;
}

std::vector<LimitGrant> takeGrants(EndpointLimits &limits, std::span<const LimitNeed> needs,
                                   std::mt19937_64 &rng, TimePoint now)
{
    std::vector<LimitGrant> grants;
    for (auto &[id, limit] : limits.byEndpoint) {
        if (!limit.perSecond || now < limit.neededUntil || ownTokens(limits, limit, now) < 1)
            continue;
        std::vector<std::string_view> entries;
        for (const LimitNeed &need : needs) {
            if (std::find(need.endpoints.begin(), need.endpoints.end(), limit.hash)
                != need.endpoints.end())
                entries.push_back(need.entry);
        }
        if (entries.empty())
            continue;
        refill(limits, limit, now);
        limit.tokens -= 1;
        grants.push_back({limit.hash, entryHash(entries[rng() % entries.size()])});
    }
    return grants;
}

void applyGrant(EndpointLimits &limits, const LimitGrant &grant, TimePoint now)
{
    if (grant.entry != entryHash(limits.entryName))
        return;
    for (auto &[id, limit] : limits.byEndpoint) {
        if (limit.hash != grant.endpoint || !limit.perSecond)
            continue;
        limit.grantedTokens = std::min(grantedTokens(limit, now) + 1, MaxGrantedTokens);
        limit.grantedUntil = now + limits.options.grantLifetime;
    }
}

} // namespace Trefoil
