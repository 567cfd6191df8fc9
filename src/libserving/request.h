#pragma once

#include "libserving/model.h"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>

// Vocabulary of requests, shared by the origin (the entry that the caller asked) and the dispatcher
// (the entry that starts requests on an endpoint).

namespace Trefoil {

struct RequestId
{
    EntryId entry;                 // origin
    std::uint64_t incarnation = 0; // of the origin's process
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

// How a request ended, as told to the caller.
enum class Outcome : std::uint8_t {
    Done,    // whole answer
    NotRun,  // provably never started on an endpoint
    Unknown, // may have run
    Failed,  // ran, and the endpoint said that it failed
};

const char *toString(Outcome outcome);

// How one attempt on an endpoint ended.
enum class AttemptResult : std::uint8_t {
    Completed,
    NotStarted, // never handed over, or the endpoint proved that it did not start
    Failed,
    Lost, // may have run
};

// Why a request was refused or an attempt did not start.
enum class Reason : std::uint8_t {
    None,
    UnknownTarget, // no such deployment or service
    UnknownWorkspace,
    Stale,    // this entry cannot confirm its configuration
    Draining, // this entry is stopping
    Overloaded,
    NoCapacity, // no open group or endpoint
    DeadlinePassed,
    KeyMismatch,
    KeyRunning,
    KeyUnavailable, // the control state could not be reached to claim the key
    ConnectFailed,
    EndpointRefused,
    EndpointFailed,
    ConnectionLost,
    Silent, // no progress within the bound
    CallerGone,
    EntryLost, // the dispatching entry is gone
};

const char *toString(Reason reason);

// What an endpoint is to receive. Opaque to the decisions.
struct CallPayload
{
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

// One attempt of a request, as handed from the origin to a dispatcher.
struct DispatchRequest
{
    RequestId id;
    std::uint32_t attempt = 0;
    WorkspaceId workspace;
    RequestClass requestClass = RequestClass::Draft;
    std::string pool; // deployment or service
    bool isService = false;
    bool isIdempotent = false;
    bool buffered = false; // collect the answer instead of relaying it
    TimePoint deadline{};
    double promptCost = 1; // work known at arrival, in prompt tokens
    std::uint64_t prefixHash = 0;
    std::uint64_t resumeFrom = 0; // events already relayed to the caller
    std::shared_ptr<const CallPayload> payload;
};

// What the dispatcher reports to the origin when an attempt ends.
struct AttemptReport
{
    RequestId id;
    std::uint32_t attempt = 0;
    AttemptResult result = AttemptResult::NotStarted;
    Reason reason = Reason::None;
    Duration retryAfter{};
    std::uint64_t relayedEvents = 0; // events of this attempt that reached the answer sink
    std::uint64_t relayedBytes = 0;  // their bytes, by which the origin sees a gap
    std::uint32_t status = 0;        // HTTP status of the endpoint
    std::string contentType;
    std::string body; // of buffered answers
};

} // namespace Trefoil
