#pragma once

#include "libserving/commands.h"
#include "libserving/limiter.h"
#include "libserving/request.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// The origin of a request is the entry that received it from the caller. It claims the idempotency
// key, sends the request to a dispatcher, decides on retries and resumption, and decides the
// outcome that the caller is told. The functions do no I/O and read no clock.

namespace Trefoil {

struct OriginOptions
{
    // The limit of attempts. Refusals for lack of capacity do not count.
    std::uint32_t maxAttempts = 4;
    // The time that a request waits for a group to open. After a lost attempt, resumeWait applies
    // instead.
    Duration capacityWait = std::chrono::seconds(4);
    Duration resumeWait = std::chrono::seconds(12);
    Duration capacityRetryInterval = std::chrono::milliseconds(200);
    // The time to wait for the dispatcher's report after a cancellation.
    Duration cancelGrace = std::chrono::milliseconds(500);
    Duration keyRetryInterval = std::chrono::milliseconds(300);
    Duration keyRunningRetryAfter = std::chrono::seconds(1);
    // The interval at which the dispatcher of a request is asked about it, if it is another entry.
    Duration checkInterval = std::chrono::seconds(1);
    Duration noDispatcherRetryAfter = std::chrono::seconds(1);
    std::size_t maxRequests = 50'000;
};

// An entry that dispatches groups of a deployment, and the total slots of these groups.
struct DispatcherCandidate
{
    EntryId entry;
    std::uint32_t slots = 1;
};

enum class OriginPhase : std::uint8_t {
    ClaimingKey,
    // No dispatcher has capacity. The request is tried again after an interval.
    WaitingForCapacity,
    Dispatched,
    // The deadline passed or the caller is gone. The origin waits for the dispatcher's report.
    Cancelling,
    // The outcome is known and is being recorded under the idempotency key.
    FinishingKey,
    // The caller was told that the request did not run. The claim is being released.
    ReleasingKey,
};

// A request that this entry received and that has not ended yet.
struct OriginRequest
{
    DispatchRequest request;
    // The idempotency key. It is empty for calls without one.
    std::string key;
    std::uint64_t digest = 0;
    OriginPhase phase = OriginPhase::Dispatched;
    EntryId dispatcher;
    // The dispatchers that refused the request for lack of capacity.
    std::set<EntryId> refusedBy;
    // The number of attempts that were refused for lack of capacity.
    std::uint32_t refusals = 0;
    TimePoint capacityWaitEnd{};
    TimePoint nextAttemptAt{};
    // True when an earlier attempt was lost or failed.
    bool mayHaveRun = false;
    bool isClaimSent = false;
    bool isCallerGone = false;
    TimePoint phaseDeadline{};
    TimePoint nextKeySendAt{};
    TimePoint nextCheckAt{};
    AttemptReport lastReportAt;
    Outcome outcomeToRecord = Outcome::Unknown;
};

struct OriginState
{
    OriginOptions options;
    EntryId self;
    std::uint64_t incarnation = 0;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, OriginRequest> requests;
    std::map<std::string, RetryBudget> retryBudgetByPool;
    std::map<std::string, std::vector<DispatcherCandidate>> dispatchersByDeployment;
    // The number of this origin's requests at each dispatcher.
    std::map<EntryId, std::uint32_t> requestsAtDispatcher;
};

// Sends an attempt to a dispatcher.
struct Dispatch
{
    EntryId to;
    DispatchRequest request;
};

// Cancels a request at a dispatcher.
struct DispatchCancel
{
    EntryId to;
    RequestId id;
};

// A command for the control state about the idempotency key of a request.
struct KeyCommand
{
    std::uint64_t number = 0;
    Command command;
};

// The end of a request, which is reported to the caller.
struct RequestFinish
{
    RequestId id;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    Duration retryAfter{};
    // The HTTP status of a buffered or replayed answer.
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    // True when the answer is the recorded outcome of an earlier call with the idempotency key.
    bool isReplay = false;
};

// Asks a dispatcher for the state of an attempt.
struct AttemptCheck
{
    EntryId at;
    AttemptId attempt;
};

// The actions that a call of the origin asks for.
struct OriginOutput
{
    std::vector<Dispatch> dispatch;
    std::vector<DispatchCancel> cancel;
    std::vector<KeyCommand> keyCommands;
    std::vector<AttemptCheck> checks;
    std::vector<RequestFinish> finish;
};

// Accepts a request from a caller. Returns the id that it assigns to the request.
RequestId submitCallerRequest(OriginState &state, DispatchRequest request, std::string key,
                              std::uint64_t digest, TimePoint now, OriginOutput &out);

// Retries the request or decides its outcome after a dispatcher's report.
void handleAttemptReport(OriginState &state, const AttemptReport &report, TimePoint now,
                         OriginOutput &out);

// Handles the reply of the control state to the latest key command of the request.
void handleKeyReply(OriginState &state, std::uint64_t number, const CommandReply &reply,
                    TimePoint now, OriginOutput &out);

// Cancels a request whose caller disconnected.
void handleCallerGone(OriginState &state, const RequestId &id, TimePoint now, OriginOutput &out);

// Returns reports of lost attempts for the requests at a dispatcher that can no longer answer. The
// component that holds the relayed answers adds the events that have arrived, and then passes the
// reports to handleAttemptReport.
std::vector<AttemptReport> lostAttempts(const OriginState &state, const EntryId &entry);

// Enforces deadlines, retries requests that wait for capacity, queries dispatchers and resends key
// commands. Call it periodically.
void runOriginTimers(OriginState &state, TimePoint now, OriginOutput &out);

} // namespace Trefoil
