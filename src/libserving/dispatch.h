#pragma once

#include "libserving/fairqueue.h"
#include "libserving/gate.h"
#include "libserving/limiter.h"
#include "libserving/routing.h"

#include <map>
#include <string>
#include <vector>

// Dispatcher: queues requests of each pool (a deployment or a plain service) by fair share and
// starts them on targets with room. Pure: no I/O, no clock.

namespace Trefoil {

struct DispatchOptions
{
    FairQueueOptions queue;
    double generatedTokenCost = 4; // work of one generated token, in prompt tokens
    double serviceCostPerMs = 1;   // work of a plain call, by the time that it holds a slot
    std::uint32_t failuresToSuspend = 3;
    Duration firstSuspension = std::chrono::seconds(1);
    Duration maxSuspension = std::chrono::seconds(30);
    Duration noCapacityRetryAfter = std::chrono::seconds(1);
    std::size_t maxPrefixHints = 10'000; // for each pool
    std::string engineRouting = "prefix-affinity";
    std::string serviceRouting = "power-of-two";
};

// An endpoint that requests can be started on: a serving group, or a VM of a plain service.
struct DispatchTarget
{
    std::string id;
    std::string address; // of the VM that takes the requests
    GroupId group = 0;   // 0 for plain services
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    bool isOpen = false;
    std::uint32_t inFlight = 0;
    ConcurrencyLimiter limiter;
    double latencyMs = 0;
    std::uint32_t failures = 0; // consecutive
    TimePoint suspendedUntil{};
};

struct RunningRequest
{
    DispatchRequest request;
    std::string target;
    TimePoint startedAt{};
    double charged = 0;
    std::uint64_t generatedTokens = 0;
};

struct DispatchPool
{
    bool isService = false;
    FairQueue queue;
    std::map<std::string, DispatchTarget> targets;
    std::map<RequestId, DispatchRequest> waiting;
    std::map<std::uint64_t, std::string> prefixHints; // prefix hash to target
    std::vector<std::uint64_t> prefixOrder;           // ring of the hints' hashes
    std::size_t prefixNext = 0;
    double serviceRate = 0;  // smoothed work per second while backlogged
    double meanCost = 1;     // smoothed work of a call, of plain services
    double costRatio = 1;    // smoothed work done per work known at arrival
    double finishedCost = 0; // since rateSince
    TimePoint rateSince{};
};

// Reports of ended attempts, kept for origins that missed them.
struct FinishedAttempts
{
    std::map<AttemptId, AttemptReport> reports;
    std::deque<AttemptId> order;
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

struct StartAttempt
{
    DispatchRequest request;
    std::string target;
    std::string address;
    GroupId group = 0;
};

// What the connection to the endpoint observed of an attempt.
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

struct DispatchOutput
{
    std::vector<StartAttempt> start;
    std::vector<RequestId> cancel;
    std::vector<AttemptReport> reports;
};

// A target as the configuration and the gates describe it.
struct TargetFacts
{
    std::string id;
    std::string address;
    GroupId group = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 1;
    bool isOpen = false;
};

// Replaces the pool's targets. Requests that run on a target that is gone are cancelled; waiting
// ones are refused when no target is open any more.
void setTargets(DispatchState &state, const std::string &pool, bool isService,
                const std::vector<TargetFacts> &targets, TimePoint now, DispatchOutput &out);

void submit(DispatchState &state, DispatchRequest request, TimePoint now, DispatchOutput &out);

// Ends a request whose caller or origin gave up. It is reported as not started when it was queued.
void cancel(DispatchState &state, const RequestId &id, TimePoint now, DispatchOutput &out);

// Keeps reports to other entries for checkAttempts.
void rememberReports(DispatchState &state, std::span<const AttemptReport> reports);

// Reports again what an origin may have missed. An attempt that is not known here is reported as
// not started and refused should it still arrive.
void checkAttempts(DispatchState &state, std::span<const AttemptId> attempts, DispatchOutput &out);

// Charges tokens that were generated since the last call.
void addProgress(DispatchState &state, const RequestId &id, std::uint64_t generatedTokens);

void attemptEnded(DispatchState &state, const AttemptEnd &end, TimePoint now, DispatchOutput &out);

// Reports all queued requests of the pool as not started, so that their origins look elsewhere.
void refuseWaiting(DispatchState &state, const std::string &pool, Reason reason,
                   DispatchOutput &out);

// Drops queued requests whose deadline has passed and starts what suspended targets can take.
void dispatchTick(DispatchState &state, TimePoint now, DispatchOutput &out);

} // namespace Trefoil
