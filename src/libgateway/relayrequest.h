#pragma once

#include "libgateway/entryprocess.h"
#include "libgateway/eventstream.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

// A request that an entry relays, and its state across the attempts to have an endpoint serve it.

namespace Trefoil {

constexpr auto DefaultRetryAfter = std::chrono::milliseconds(500);

// A write to a caller that does not read its response fails after this time.
constexpr auto CallerWriteTimeout = std::chrono::seconds(10);

// Connection of a caller, on which an entry serves one request after the other.
struct RelayContext
{
    EntryState &state;
    ChannelPointer channel;

    // Notified when data arrives at the connection of the caller or of the endpoint.
    AsyncCondition signal;
};

struct RelayRequest
{
    HttpHead head;
    std::string body;
    std::string id;

    // Owns the objects that `route` and `workspace` point to.
    std::shared_ptr<const ServiceConfiguration> config;
    const Route *route = nullptr;
    const WorkspaceKeys *workspace = nullptr;

    std::string service;
    std::string model;
    RequestSize size;

    // Parts of the prompt that other requests may share.
    PartSet sharedParts;

    // Equal for the repeats of a request.
    std::uint64_t contentKey = 0;

    TimePoint arrivedAt{};

    // The earlier of the deadline of the caller and the timeout of the route.
    TimePoint deadline{};

    // A response after this time misses the target latency of the route.
    TimePoint targetDeadline{};

    bool keepsAlive = true;

    // Memory of the head and the body.
    std::size_t memoryBytes = 0;

    // What is known of whether it runs at endpoints.
    SendLog sends;
};

// Result of one attempt to have an endpoint serve the request.
enum class AttemptOutcome : std::uint8_t {
    // The whole response was forwarded.
    Answered,

    // The endpoint returned an error and does not say that it did not execute the request.
    Failed,

    // No connection could be opened, or the endpoint proved that it did not execute the request.
    NotExecuted,

    // The endpoint may have executed the request.
    Unknown,

    // Another endpoint goes on with the stream, which got no event for too long.
    Moved,

    // No request of this entry makes progress at the endpoint.
    EndpointStalled,

    // This request makes no progress, but others at the endpoint do.
    RequestStalled,

    // The request was taken back before its answer began, because its parts end engines.
    Withdrawn,

    // The answer got no memory.
    OutOfMemory,

    // The deadline of the caller or the route passed.
    TimedOut,

    CallerDisconnected,
};

// A request that was sent to one endpoint.
struct EndpointAttempt
{
    Placement placement;
    EndpointConnection connection;
    EndpointLoad load;
    TimePoint sentAt{};
    bool isWritten = false;

    // The endpoint's word that it did not execute the request, if it gave it.
    std::optional<EndpointRefusal> refusal;
};

using EndpointAttemptPointer = std::unique_ptr<EndpointAttempt>;

// State of a request across all its attempts.
struct RelayProgress
{
    std::uint32_t sendCount = 0;
    std::set<EndpointId> triedEndpoints;
    EventFilter eventFilter;
    bool isResponseHeadSent = false;
    std::optional<TimePoint> firstByteAt;

    // Attempt at another endpoint to go on with a stream that gets no events. The stream stays at
    // its endpoint until the other one sends an event.
    EndpointAttemptPointer takeover;

    // Whether the current attempt received an event or a whole answer.
    bool hasBegun = false;

    // Whether the connection of the last attempt ended before its answer did.
    bool isConnectionLost = false;

    // Whether an engine ended before it began to answer, and the request was not repeated since.
    bool isSuspect = false;

    // Whether the request tries parts that are quarantined.
    bool isTrial = false;

    // Whether the request is refused because of its parts.
    bool isQuarantined = false;

    TimePoint lastEventAt{};

    // Time at which the latest event was forwarded to the caller, and the longest time between two
    // forwarded events.
    TimePoint lastForwardedAt{};
    Duration longestEventGap{};

    // Error response of an endpoint, forwarded if no other attempt succeeds. Its status is none by
    // which a caller would learn that the request has not run.
    std::optional<HttpHead> failureHead;
    std::string failureBody;

    AttemptOutcome lastOutcome = AttemptOutcome::NotExecuted;
    std::string lastEndpoint;
    std::string lastReason;
    Duration retryAfter = DefaultRetryAfter;
    TimingEstimate estimate;
    std::size_t candidateCount = 0;
};

// Returns the name of an outcome in the log.
std::string_view toString(AttemptOutcome outcome);

// Returns whether the connection of the caller stays open after the response.
bool keepsConnectionOpen(const RelayContext &context, const RelayRequest &request);

// Describes the request to the placement.
PlacementRequest makePlacementRequest(const RelayRequest &request, const RelayProgress &progress,
                                      TimePoint now);

// Formats a duration in whole milliseconds.
std::string millisecondsText(Duration duration);

// Formats a duration in seconds with three decimals.
std::string secondsText(Duration duration);

} // namespace Trefoil
