#pragma once

#include "libfleet/endpoints.h"
#include "libfleet/entryroster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

// Tracks the limits that endpoints name in their answers, the number of requests a second that an
// endpoint takes from all entries together, and decides when this entry may send a request to such
// an endpoint.
//
// A few entries, the holders, share a limit in equal parts; each has a token bucket that holds one
// request. Which entries hold a limit follows from the names in the roster and the time of the last
// answer, so all entries agree on it without a message. In a window of w seconds, an endpoint with
// the limit r gets at most one request for each holder and w * r others. A holder gives a token
// that it does not use to an entry that refuses callers for want of tokens; a lost message loses
// the token.

namespace Trefoil {

// Identifies an endpoint in the messages that entries exchange.
using EndpointHash = std::uint32_t;
EndpointHash endpointHash(const EndpointId &endpoint);

struct EndpointLimitOptions
{
    // Fraction of a limit that the entries use together. The rest is a margin for requests that are
    // on their way.
    double usableShare = 0.95;
    // Number of holders beyond one for each request a second. A window of 4 s tolerates five
    // requests beyond one and a half times the limit.
    double extraHolders = 2;
    // An endpoint with a lower limit gets this many requests a second all the same, so that the end
    // of the limit is noticed.
    double minPerSecond = 0.25;
    // The next entries become the holders when no answer of the endpoint is known for this time.
    Duration confirmationTimeout = std::chrono::seconds(5);
    // The bucket of a new limit starts with a part of a token, unless this process started less
    // than this time ago and an earlier one may have used its tokens.
    Duration startupTime = std::chrono::seconds(4);
    // Tokens of other entries are used within this time.
    Duration grantLifetime = std::chrono::milliseconds(500);
    // An entry asks others for tokens for this time after it refused a request.
    Duration needTime = std::chrono::seconds(1);
    // A change is reported to other entries for this time, and all limits at this interval.
    Duration changeReportTime = std::chrono::milliseconds(600);
    Duration reportInterval = std::chrono::seconds(1);
    // Time for which the end of a limit is remembered, so that late reports do not restore it.
    Duration endRetention = std::chrono::seconds(30);
};

struct EndpointLimit
{
    EndpointHash hash = 0;
    std::uint64_t startedAtMs = 0; // identifies the incarnation

    // Requests a second, nothing after the limit has ended.
    std::optional<double> perSecond;

    // Time at which the latest answer that is known named the limit, or did not.
    TimePoint confirmedAt{};

    TimePoint changedAt{};

    // Place of this entry among all entries; the first ones hold the limit.
    std::size_t rank = 0;

    // Requests that this entry may send.
    double tokens = 0;
    TimePoint refilledAt{};

    // Tokens of other entries.
    double grantedTokens = 0;
    TimePoint grantedUntil{};

    // This entry asks other entries for tokens until then.
    TimePoint neededUntil{};
};

struct EndpointLimits
{
    EndpointLimitOptions options;

    // Name of this entry, and the names of all entries of the fleet.
    std::string entryName;
    std::vector<std::string> entryNames;

    // Start of this process.
    TimePoint startedAt{};

    TimePoint nextReportAt{};

    // Includes limits that ended a short time ago.
    std::map<EndpointId, EndpointLimit> byEndpoint;
};

// Sets the entries that share the limits.
void setEntries(EndpointLimits &limits, const EntryRoster &roster);

// What an answer of an endpoint says about its limit.
struct LimitStatement
{
    EndpointId endpoint;
    std::uint64_t startedAtMs = 0;
    std::optional<double> perSecond;

    // Time at which the request that was answered was sent.
    TimePoint sentAt{};
};

// Change of what is known of a limit.
struct LimitChange
{
    EndpointId endpoint;
    std::optional<double> before; // requests a second
    Duration beforeAge{};         // since an answer last said so
};

// Records an answer of an endpoint. An answer without a limit ends one only if its request was sent
// after the limit was last named, since answers may overtake each other. Returns the change, if
// there is one.
std::optional<LimitChange> recordStatement(EndpointLimits &limits, const LimitStatement &statement,
                                           TimePoint now);

// What an entry tells the others about a limit.
struct LimitReport
{
    EndpointHash endpoint = 0;
    std::uint64_t startedAtMs = 0;
    std::optional<double> perSecond;
    std::uint32_t ageMs = 0; // of the latest answer that said so

    bool operator==(const LimitReport &) const = default;
};

// Returns the reports for the next message to the other entries.
std::vector<LimitReport> takeLimitReports(EndpointLimits &limits, TimePoint now);

// Applies the report of another entry if it is about a known endpoint and later than what is known.
// Returns the change, if there is one.
std::optional<LimitChange> applyLimitReport(EndpointLimits &limits, const LimitReport &report,
                                            const EndpointTable &table, TimePoint now);

// Removes the limits of endpoints and incarnations that are not in the table, and limits that ended
// some time ago.
void removeUnknownLimits(EndpointLimits &limits, const EndpointTable &table, TimePoint now);

// Returns the limit of the endpoint's current incarnation, or null.
const EndpointLimit *findLimit(const EndpointLimits &limits, const Endpoint &endpoint);

// Part of a limit that this entry has.
struct LimitShare
{
    std::size_t holders = 0; // entries that share the limit
    double perSecond = 0;    // 0 when this entry does not hold it

    // Time at which the present holders began to hold the limit.
    TimePoint heldSince{};
};

LimitShare limitShare(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now);

// Returns the time until this entry may send a request to the endpoint, zero if it may now.
Duration timeUntilToken(const EndpointLimits &limits, const EndpointLimit &limit, TimePoint now);

// Takes the token of a request that is sent to the endpoint. Does nothing without a limit.
void takeToken(EndpointLimits &limits, const Endpoint &endpoint, TimePoint now);

// Records that a request was refused for want of a token of the endpoint.
void recordNeed(EndpointLimits &limits, const EndpointId &endpoint, TimePoint now);

// Returns the endpoints for which this entry asks for tokens.
std::vector<EndpointHash> neededEndpoints(const EndpointLimits &limits, TimePoint now);

// A token that one entry gives to another.
struct LimitGrant
{
    EndpointHash endpoint = 0;
    std::uint32_t entry = 0; // hash of the name

    bool operator==(const LimitGrant &) const = default;
};

// An entry that asks for tokens.
struct LimitNeed
{
    std::string_view entry;
    std::span<const EndpointHash> endpoints;
};

// Takes unused tokens out of the buckets of this entry for entries that need them, one for each
// endpoint.
std::vector<LimitGrant> takeGrants(EndpointLimits &limits, std::span<const LimitNeed> needs,
                                   std::mt19937_64 &rng, TimePoint now);

// Adds the token if it is for this entry.
void applyGrant(EndpointLimits &limits, const LimitGrant &grant, TimePoint now);

} // namespace Trefoil
