#pragma once

#include "libserving/commands.h"
#include "libserving/limiter.h"
#include "libserving/request.h"

#include <map>
#include <set>
#include <string>
#include <vector>

// Origin of requests: the entry that a caller asked. Claims idempotency keys, hands the request to
// a dispatcher, decides on retries and resumption, and decides the outcome that the caller is told.
// Pure: no I/O, no clock.

namespace Trefoil {

struct OriginOptions
{
    std::uint32_t maxAttempts = 4;                   // not counting refusals for want of room
    Duration capacityWait = std::chrono::seconds(4); // for a group to open
    Duration resumeWait = std::chrono::seconds(12);  // the same after a lost attempt
    Duration holdInterval = std::chrono::milliseconds(200); // between tries meanwhile
    Duration cancelGrace = std::chrono::milliseconds(500);  // wait for a report after a cancel
    Duration keyRetryInterval = std::chrono::milliseconds(300);
    Duration keyRunningRetryAfter = std::chrono::seconds(1);
    Duration checkInterval = std::chrono::seconds(1); // of requests at another entry
    Duration noDispatcherRetryAfter = std::chrono::seconds(1);
    std::size_t maxRequests = 50'000;
};

// An entry that dispatches groups of a pool.
struct DispatcherCandidate
{
    EntryId entry;
    std::uint32_t slots = 1;
};

enum class OriginPhase : std::uint8_t {
    ClaimingKey,
    Holding, // no dispatcher has room, the next try is due
    Dispatched,
    Cancelling,   // deadline passed, waiting for the dispatcher's report
    FinishingKey, // outcome known, being recorded under the key
    ReleasingKey, // already answered as not run, the claim is being given back
};

struct OriginRequest
{
    DispatchRequest request;
    std::string key; // empty for calls without an idempotency key
    std::uint64_t digest = 0;
    OriginPhase phase = OriginPhase::Dispatched;
    EntryId dispatcher;
    std::set<EntryId> refusedBy; // dispatchers without capacity for this request
    std::uint32_t refusals = 0;  // attempts that ended for want of room
    TimePoint holdUntil{};       // end of the wait for room
    TimePoint nextTry{};
    bool mayHaveRun = false; // an earlier attempt was lost or failed
    bool claimSent = false;
    bool callerGone = false;
    TimePoint phaseDeadline{};
    TimePoint nextKeySend{};
    TimePoint nextCheck{};
    AttemptReport last;
    Outcome keyOutcome = Outcome::Unknown;
};

struct OriginState
{
    OriginOptions options;
    EntryId self;
    std::uint64_t incarnation = 0;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, OriginRequest> requests;
    std::map<std::string, RetryBudget> budgets;                          // by pool
    std::map<std::string, std::vector<DispatcherCandidate>> dispatchers; // by deployment
    std::map<EntryId, std::uint32_t> outstanding; // own requests at each dispatcher
};

struct Dispatch
{
    EntryId to;
    DispatchRequest request;
};

struct DispatchCancel
{
    EntryId to;
    RequestId id;
};

struct KeyCommand
{
    std::uint64_t number = 0;
    Command command;
};

// Final answer of a request.
struct RequestFinish
{
    RequestId id;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    Duration retryAfter{};
    std::uint32_t status = 0; // of buffered or replayed answers
    std::string contentType;
    std::string body;
    bool isReplay = false; // the first outcome of an idempotency key
};

struct AttemptCheck
{
    EntryId at;
    AttemptId attempt;
};

struct OriginOutput
{
    std::vector<Dispatch> dispatch;
    std::vector<DispatchCancel> cancel;
    std::vector<KeyCommand> keyCommands;
    std::vector<AttemptCheck> checks;
    std::vector<RequestFinish> finish;
};

// Takes a request in. `request.id` is assigned here and returned.
RequestId originSubmit(OriginState &state, DispatchRequest request, std::string key,
                       std::uint64_t digest, TimePoint now, OriginOutput &out);

void originReport(OriginState &state, const AttemptReport &report, TimePoint now,
                  OriginOutput &out);

// Answer of the control state to the latest key command of the request.
void originKeyReply(OriginState &state, std::uint64_t number, const CommandReply &reply,
                    TimePoint now, OriginOutput &out);

void originCallerGone(OriginState &state, const RequestId &id, TimePoint now, OriginOutput &out);

// Reports of the attempts at a dispatcher that can no longer answer. Whoever holds the relayed
// answers completes them by what arrived, before they go to originReport.
std::vector<AttemptReport> lostAttempts(const OriginState &state, const EntryId &entry);

// Enforces deadlines and resends key commands.
void originTick(OriginState &state, TimePoint now, OriginOutput &out);

} // namespace Trefoil
