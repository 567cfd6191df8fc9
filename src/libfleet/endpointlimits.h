#pragma once

#include "libfleet/endpoints.h"

#include <map>
#include <optional>

// Tracks the limits that endpoints name in their answers: the number of requests a second that an
// endpoint takes from all entries together. A limit ends with an answer that does not name it, or
// with the incarnation of the endpoint.

namespace Trefoil {

struct EndpointLimit
{
    std::uint64_t startedAtMs = 0; // identifies the incarnation

    // Requests a second, nothing after the limit has ended.
    std::optional<double> perSecond;

    // Time at which the latest answer that is known named the limit, or did not.
    TimePoint confirmedAt{};
};

struct EndpointLimits
{
    std::map<EndpointId, EndpointLimit> byEndpoint;
};

// What an answer of an endpoint says about its limit.
struct LimitStatement
{
    EndpointId endpoint;
    std::uint64_t startedAtMs = 0;
    std::optional<double> perSecond;

    // Time at which the request that was answered was sent.
    TimePoint sentAt{};
};

// Records an answer of an endpoint. An answer without a limit ends one only if its request was sent
// after the limit was last named, since answers may overtake each other. Returns whether the limit
// changed.
bool recordStatement(EndpointLimits &limits, const LimitStatement &statement, TimePoint now);

// Removes the limits of endpoints and incarnations that are not in the table.
void removeUnknownLimits(EndpointLimits &limits, const EndpointTable &table);

// Returns the limit of the endpoint's current incarnation, or nothing.
std::optional<double> findLimit(const EndpointLimits &limits, const Endpoint &endpoint);

} // namespace Trefoil
