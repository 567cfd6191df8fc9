#pragma once

#include "libserving/fairqueue.h"
#include "libserving/gate.h"
#include "libserving/limiter.h"
#include "libserving/routing.h"

#include <map>
#include <string>
#include <vector>

// The dispatcher queues the requests of each pool by fair share and starts them on targets with a
// free slot. A pool serves a deployment of a model, or a plain service without a model engine. The
// functions do no I/O and read no clock.

namespace Trefoil {

struct DispatchOptions
{
    FairQueueOptions queue;
    // The work of one generated token, in prompt tokens.
    double generatedTokenCost = 4;
    // The work of a call to a plain service, for each millisecond that it holds a slot.
    double serviceCostPerMs = 1;
    std::uint32_t failuresToSuspend = 3;
    Duration firstSuspension = std::chrono::seconds(1);
    Duration maxSuspension = std::chrono::seconds(30);
    Duration noCapacityRetryAfter = std::chrono::seconds(1);
    std::size_t maxPrefixHashesPerPool = 10'000;
    std::string engineRouting = "prefix-affinity";
    std::string serviceRouting = "power-of-two";
};

// An endpoint that runs requests: a serving group, or a VM of a plain service.
struct DispatchTarget
{
    std::string id;
    // The address of the VM that receives the requests.
    std::string address;
    // The serving group, or 0 for a plain service.
    GroupId group = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    bool isOpen = false;
    std::uint32_t inFlight = 0;
    ConcurrencyLimiter limiter;
    double latencyMs = 0;
    std::uint32_t consecutiveFailures = 0;
    TimePoint suspendedUntil{};
};

struct RunningRequest
{
    DispatchRequest request;
    std::string target;
    TimePoint startedAt{};
    double chargedWork = 0;
    std::uint64_t generatedTokens = 0;
};

struct DispatchPool
{
    bool isService = false;
    FairQueue queue;
    std::map<std::string, DispatchTarget> targets;
    std::map<RequestId, DispatchRequest> queuedRequests;
    // The target that last started a request with the prompt prefix.
    std::map<std::uint64_t, std::string> targetByPrefixHash;
    // A ring buffer of the hashes in targetByPrefixHash, to evict the oldest.
    std::vector<std::uint64_t> prefixHashRing;
    std::size_t nextPrefixRingSlot = 0;
    // The smoothed throughput, updated only while requests are queued.
    double workPerSecond = 0;
    // The smoothed work of a call. It estimates the cost of calls to plain services.
    double meanCallCost = 1;
    // The smoothed ratio of the work done to the work known at arrival.
    double costCorrection = 1;
    // The work that finished since throughputWindowStart.
    double finishedWork = 0;
    TimePoint throughputWindowStart{};
};

// Caches the reports of ended attempts for origins that missed them. The oldest report is dropped
// first.
struct FinishedAttempts
{
    std::map<AttemptId, AttemptReport> reports;
    std::deque<AttemptId> idsByAge;
    std::size_t maxReports = 20'000;
};

struct DispatchState
{
    DispatchOptions options;
    std::mt19937_64 rng;
    std::map<std::string, DispatchPool> pools;
    std::map<RequestId, RunningRequest> running;
    FinishedAttempts finished;
};

// Instructs the connection layer to send a request to a target.
struct StartAttempt
{
    DispatchRequest request;
    std::string target;
    std::string address;
    GroupId group = 0;
};

// The end of an attempt, as the connection to the endpoint observed it.
struct AttemptEnd
{
    RequestId id;
    std::uint32_t attempt = 0;
    AttemptResult result = AttemptResult::Lost;
    Reason reason = Reason::None;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::uint64_t relayedEvents = 0;
    std::uint64_t relayedBytes = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
};

// The actions that a call of the dispatcher asks for: attempts to start, running requests to
// cancel and reports to send to origins.
struct DispatchOutput
{
    std::vector<StartAttempt> start;
    std::vector<RequestId> cancel;
    std::vector<AttemptReport> reports;
};

// Describes a target as the configuration and its gate define it.
struct TargetDescription
{
    std::string id;
    std::string address;
    GroupId group = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    bool isOpen = false;
};

// Replaces the pool's targets. Cancels the requests that run on a removed target, and refuses
// queued requests when no target is open.
void setTargets(DispatchState &state, const std::string &pool, bool isService,
                const std::vector<TargetDescription> &targets, TimePoint now, DispatchOutput &out);

// Queues a request, and starts it when a target has a free slot. Refuses a request that cannot meet
// its deadline. Answers a resend of a known attempt from its state.
void submit(DispatchState &state, DispatchRequest request, TimePoint now, DispatchOutput &out);

// Cancels a request whose caller or origin gave up. A queued request is reported as not started.
void cancel(DispatchState &state, const RequestId &id, TimePoint now, DispatchOutput &out);

// Caches reports that were sent to other entries, so that checkAttempts can repeat them.
void storeReports(DispatchState &state, std::span<const AttemptReport> reports);

// Repeats the reports of ended attempts that an origin may have missed. An unknown attempt is
// reported as not started, and is refused if it arrives later.
void checkAttempts(DispatchState &state, std::span<const AttemptId> attempts, DispatchOutput &out);

// Charges the tokens that a running request generated since the last call.
void chargeGeneratedTokens(DispatchState &state, const RequestId &id,
                           std::uint64_t generatedTokens);

// Reports the end of an attempt to its origin and settles the charged work. Ignores an end that
// does not belong to the running attempt.
void handleAttemptEnd(DispatchState &state, const AttemptEnd &end, TimePoint now,
                      DispatchOutput &out);

// Reports all queued requests of the pool as not started, so that their origins try another
// dispatcher.
void refuseQueuedRequests(DispatchState &state, const std::string &pool, Reason reason,
                          DispatchOutput &out);

// Refuses queued requests whose deadline has passed, and starts requests on targets whose
// suspension has ended. Call it periodically.
void runDispatchTimers(DispatchState &state, TimePoint now, DispatchOutput &out);

} // namespace Trefoil
