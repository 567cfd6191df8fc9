#pragma once

#include "libserving/model.h"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>

// Request types shared by the origin, which is the entry that received a request from its caller,
// and the dispatcher, which is the entry that starts requests on an endpoint.

namespace Trefoil {

struct RequestId
{
    // The origin and the incarnation of its process.
    EntryId entry;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const RequestId &) const = default;
};

std::string toString(const RequestId &id);

struct AttemptId
{
    RequestId request;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

enum class RequestClass : std::uint8_t { Lookup, Draft, Batch };

constexpr std::size_t RequestClassCount = 3;
constexpr std::array<const char *, RequestClassCount> RequestClassNames = {"lookup", "draft",
                                                                           "batch"};

// The result of a request that the caller is told.
enum class Outcome : std::uint8_t {
    // The caller received the whole answer.
    Done,
    // The request provably never started on an endpoint.
    NotRun,
    // The request may have run.
    Unknown,
    // The request ran and the endpoint reported a failure.
    Failed,
};

const char *toString(Outcome outcome);

// The result of one attempt on an endpoint.
enum class AttemptResult : std::uint8_t {
    Completed,
    // The request was never sent, or the endpoint proved that it did not start it.
    NotStarted,
    Failed,
    // The request may have run.
    Lost,
};

// Why a request was refused or an attempt did not start.
enum class Reason : std::uint8_t {
    None,
    // The deployment or service does not exist.
    UnknownTarget,
    UnknownWorkspace,
    // This entry cannot confirm that its configuration is current.
    Stale,
    // This entry is stopping.
    Draining,
    Overloaded,
    // No group or endpoint is open.
    NoCapacity,
    DeadlinePassed,
    KeyMismatch,
    KeyRunning,
    // The control state could not be reached to claim the idempotency key.
    KeyUnavailable,
    ConnectFailed,
    EndpointRefused,
    EndpointFailed,
    ConnectionLost,
    // The endpoint made no progress within the time limit.
    Silent,
    CallerGone,
    // The dispatcher is gone.
    EntryLost,
};

const char *toString(Reason reason);

// The HTTP request for the endpoint. Dispatch decisions do not read it.
struct CallPayload
{
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

// One attempt of a request, as the origin sends it to a dispatcher.
struct DispatchRequest
{
    RequestId id;
    std::uint32_t attempt = 0;
    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    // The name of the deployment or service.
    std::string pool;
    bool isService = false;
    bool isIdempotent = false;
    // True when the answer is collected and returned whole instead of being relayed.
    bool isAnswerBuffered = false;
    TimePoint deadline{};
    // The work known at arrival, in prompt tokens.
    double promptCost = 1;
    std::uint64_t prefixHash = 0;
    // The number of events that earlier attempts relayed to the caller.
    std::uint64_t resumeFrom = 0;
    std::shared_ptr<const CallPayload> payload;
};

// Reports the end of an attempt from the dispatcher to the origin.
struct AttemptReport
{
    RequestId id;
    std::uint32_t attempt = 0;
    AttemptResult result = AttemptResult::NotStarted;
    Reason reason = Reason::None;
    Duration retryAfter{};
    // The events of this attempt that were relayed, and their bytes. The origin compares the bytes
    // with what it received, to detect a gap.
    std::uint64_t relayedEvents = 0;
    std::uint64_t relayedBytes = 0;
    // The HTTP status from the endpoint.
    std::uint32_t status = 0;
    std::string contentType;
    // The body of a buffered answer.
    std::string body;
};

} // namespace Trefoil
