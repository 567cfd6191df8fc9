#define BOOST_TEST_MODULE requests
#include "libserving/fairqueue.h"
#include "libserving/serving.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace Trefoil {

namespace {

const TimePoint Start(std::chrono::hours(1));

QueueItem makeItem(std::uint64_t number, RequestClass requestClass, double cost,
                   TimePoint deadline = TimePoint::max())
{
    QueueItem result;
    result.id = {"entry", 1, number};
    result.requestClass = requestClass;
    result.cost = cost;
    result.deadline = deadline;
    return result;
}

// Dequeues `count` items and returns the work that was charged to each workspace.
std::map<WorkspaceId, double> dequeueItems(FairQueue &queue, std::size_t count)
{
    std::map<WorkspaceId, double> before;
    for (const auto &[id, workspace] : queue.workspaces)
        before[id] = workspace.chargedWork;
    for (std::size_t i = 0; i < count; ++i)
        dequeue(queue);
    std::map<WorkspaceId, double> work;
    for (const auto &[id, workspace] : queue.workspaces)
        work[id] = workspace.chargedWork - before[id];
    return work;
}

void enqueueItems(FairQueue &queue, const WorkspaceId &workspace, RequestClass requestClass,
                  double cost, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        enqueue(queue, workspace, makeItem(queue.queuedCount + 1, requestClass, cost));
}

} // namespace

// Shares are of work, not of requests. A queue that counts requests would give the workspace with
// the larger requests more than its weight.
BOOST_AUTO_TEST_CASE(sharesDoNotFollowWeights)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "haldar", 3);
    setWorkspaceWeight(queue, "gursha", 1);
    enqueueItems(queue, "haldar", RequestClass::Draft, 10, 2000);
    enqueueItems(queue, "gursha", RequestClass::Draft, 1, 2000);
    const auto work = dequeueItems(queue, 1000);
    const double share = work.at("haldar") / (work.at("haldar") + work.at("gursha"));
    BOOST_TEST(share == 0.75, boost::test_tools::tolerance(0.05));
}

// A workspace that keeps its old virtual time while idle would take the whole capacity on its
// return.
BOOST_AUTO_TEST_CASE(idleWorkspaceEarnsCredit)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "busy", 1);
    setWorkspaceWeight(queue, "idle", 1);
    enqueueItems(queue, "busy", RequestClass::Draft, 1, 2000);
    dequeueItems(queue, 1000);
    enqueueItems(queue, "idle", RequestClass::Draft, 1, 1000);
    const auto work = dequeueItems(queue, 200);
    BOOST_TEST(work.at("idle") <= 101);
    BOOST_TEST(work.at("idle") >= 99);
}

// A workspace could get more than its share by labelling its requests with a class of high weight.
BOOST_AUTO_TEST_CASE(classChangesWorkspaceShare)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "urgent", 1);
    setWorkspaceWeight(queue, "modest", 1);
    enqueueItems(queue, "urgent", RequestClass::Lookup, 1, 1000);
    enqueueItems(queue, "modest", RequestClass::Batch, 1, 1000);
    const auto work = dequeueItems(queue, 500);
    BOOST_TEST(work.at("urgent") == work.at("modest"), boost::test_tools::tolerance(0.02));
}

// Batch requests that were queued first could delay the lookups of the same workspace.
BOOST_AUTO_TEST_CASE(classWeightsAreIgnored)
{
    FairQueue queue;
    enqueueItems(queue, "haldar", RequestClass::Batch, 1, 500);
    enqueueItems(queue, "haldar", RequestClass::Lookup, 1, 500);
    std::size_t lookups = 0;
    for (int i = 0; i < 90; ++i)
        lookups += dequeue(queue)->requestClass == RequestClass::Lookup ? 1 : 0;
    // The class weights are 8 for lookups and 1 for batch.
    BOOST_TEST(lookups == 80u);
}

// A workspace could exceed its share by spreading its requests over several dispatchers.
BOOST_AUTO_TEST_CASE(remoteWorkIsNotCharged)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "split", 1);
    setWorkspaceWeight(queue, "local", 1);
    enqueueItems(queue, "split", RequestClass::Draft, 1, 500);
    enqueueItems(queue, "local", RequestClass::Draft, 1, 500);
    chargeRemoteWork(queue, "split", 100);
    const auto work = dequeueItems(queue, 200);
    BOOST_TEST(work.at("local") - work.at("split") == 100, boost::test_tools::tolerance(0.02));
}

// Requests past their deadline could stay in the queue and hold back others.
BOOST_AUTO_TEST_CASE(expiredItemStaysQueued)
{
    FairQueue queue;
    enqueue(queue, "haldar", makeItem(1, RequestClass::Draft, 1, Start));
    enqueue(queue, "haldar", makeItem(2, RequestClass::Draft, 1, Start + std::chrono::seconds(1)));
    BOOST_TEST(removeExpired(queue, Start).size() == 1u);
    BOOST_TEST(queue.queuedCount == 1u);
    BOOST_TEST(dequeue(queue)->id.number == 2u);
}

// A full queue, or a full part of one workspace, could accept further items.
BOOST_AUTO_TEST_CASE(queueExceedsLimits)
{
    FairQueue queue;
    queue.options.maxQueuedPerWorkspace = 2;
    queue.options.maxQueued = 3;
    BOOST_TEST(enqueue(queue, "a", makeItem(1, RequestClass::Draft, 1)));
    BOOST_TEST(enqueue(queue, "a", makeItem(2, RequestClass::Draft, 1)));
    BOOST_TEST(!enqueue(queue, "a", makeItem(3, RequestClass::Draft, 1)));
    BOOST_TEST(enqueue(queue, "b", makeItem(4, RequestClass::Draft, 1)));
    BOOST_TEST(!enqueue(queue, "b", makeItem(5, RequestClass::Draft, 1)));
}

// The limit could stay low while the endpoint is fast, or stay high after the endpoint became slow.
BOOST_AUTO_TEST_CASE(limiterIgnoresLatency)
{
    ConcurrencyLimiter limiter;
    TimePoint now = Start;
    const auto run = [&](Duration latency, int calls) {
        for (int i = 0; i < calls; ++i) {
            now += std::chrono::milliseconds(10);
            const auto inFlight = static_cast<std::uint32_t>(limiter.limit);
            recordLatency(limiter, latency, inFlight, now);
        }
    };
    run(std::chrono::milliseconds(5), 50);
    const double grown = limiter.limit;
    BOOST_TEST(grown > 20);
    run(std::chrono::milliseconds(100), 200);
    BOOST_TEST(limiter.limit < grown / 2);
}

// Retries without successes would multiply the load on a failing endpoint.
BOOST_AUTO_TEST_CASE(retriesExceedBudget)
{
    RetryBudget budget;
    budget.credits = 0;
    for (std::uint32_t i = 0; i < budget.retryCost; ++i)
        recordSuccess(budget);
    BOOST_TEST(tryTakeRetry(budget));
    BOOST_TEST(!tryTakeRetry(budget));
}

namespace {

DispatchState makeDispatcher(std::uint32_t slots, bool isService = false)
{
    DispatchState state;
    DispatchOutput out;
    setTargets(state, "pool", isService, {{"t1", "a", 1, 1, slots, true}}, Start, out);
    return state;
}

DispatchRequest makeRequest(std::uint64_t number, Duration deadline = std::chrono::seconds(10))
{
    DispatchRequest result;
    result.id = {"origin", 1, number};
    result.attempt = 1;
    result.workspace = "haldar";
    result.pool = "pool";
    result.deadline = Start + deadline;
    result.payload = std::make_shared<CallPayload>();
    return result;
}

AttemptEnd makeEnd(const DispatchRequest &started, AttemptResult result)
{
    AttemptEnd end;
    end.id = started.id;
    end.attempt = started.attempt;
    end.result = result;
    return end;
}

} // namespace

// Requests could be started beyond the slots of a target, or stay queued after a slot became free.
BOOST_AUTO_TEST_CASE(dispatcherExceedsSlots)
{
    DispatchState state = makeDispatcher(2);
    DispatchOutput out;
    for (std::uint64_t i = 1; i <= 3; ++i)
        submit(state, makeRequest(i), Start, out);
    BOOST_TEST(out.start.size() == 2u);
    DispatchOutput next;
    handleAttemptEnd(state, makeEnd(makeRequest(1), AttemptResult::Completed), Start, next);
    BOOST_TEST(next.start.size() == 1u);
    BOOST_TEST(next.reports.size() == 1u);
}

// A closed target could get requests, or keep queued requests that another dispatcher could run.
BOOST_AUTO_TEST_CASE(closedTargetStartsRequests)
{
    DispatchState state = makeDispatcher(1);
    DispatchOutput out;
    submit(state, makeRequest(1), Start, out);
    submit(state, makeRequest(2), Start, out);
    DispatchOutput closed;
    setTargets(state, "pool", false, {{"t1", "a", 1, 1, 2, false}}, Start, closed);
    BOOST_TEST(closed.start.empty());
    // The queued request is refused, so that its origin can try another dispatcher. The running one
    // continues.
    BOOST_REQUIRE(closed.reports.size() == 1u);
    BOOST_TEST((closed.reports[0].reason == Reason::NoCapacity));
    BOOST_TEST(closed.cancel.empty());
    submit(state, makeRequest(3), Start, closed);
    BOOST_TEST(closed.start.empty());
    BOOST_TEST(closed.reports.size() == 2u);
    DispatchOutput opened;
    setTargets(state, "pool", false, {{"t1", "a", 1, 1, 2, true}}, Start, opened);
    submit(state, makeRequest(4), Start, opened);
    BOOST_TEST(opened.start.size() == 1u);
}

// A queued request whose deadline passed could wait for a free slot before it is answered.
BOOST_AUTO_TEST_CASE(expiredRequestStaysQueued)
{
    DispatchState state = makeDispatcher(1);
    DispatchOutput out;
    submit(state, makeRequest(1), Start, out);
    submit(state, makeRequest(2, std::chrono::seconds(1)), Start, out);
    DispatchOutput late;
    runDispatchTimers(state, Start + std::chrono::seconds(1), late);
    BOOST_REQUIRE(late.reports.size() == 1u);
    BOOST_TEST((late.reports[0].result == AttemptResult::NotStarted));
    BOOST_TEST((late.reports[0].reason == Reason::DeadlinePassed));
}

// The end of a first attempt that arrives after the start of the second one could end the second.
BOOST_AUTO_TEST_CASE(lateEndOfEarlierAttemptEndsCurrentOne)
{
    DispatchState state = makeDispatcher(1);
    DispatchOutput out;
    DispatchRequest second = makeRequest(1);
    second.attempt = 2;
    submit(state, second, Start, out);
    DispatchOutput late;
    handleAttemptEnd(state, makeEnd(makeRequest(1), AttemptResult::Completed), Start, late);
    BOOST_TEST(late.reports.empty());
    BOOST_TEST(state.running.size() == 1u);
}

// A failing target could keep getting requests, or get all queued requests at once after its
// suspension.
BOOST_AUTO_TEST_CASE(failingTargetIsNotSuspended)
{
    DispatchState state = makeDispatcher(4, true);
    DispatchOutput out;
    TimePoint now = Start;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        submit(state, makeRequest(i), now, out);
        handleAttemptEnd(state, makeEnd(makeRequest(i), AttemptResult::Lost), now, out);
    }
    DispatchOutput suspended;
    submit(state, makeRequest(4), now, suspended);
    submit(state, makeRequest(5), now, suspended);
    BOOST_TEST(suspended.start.empty());
    now += state.options.firstSuspension;
    DispatchOutput probe;
    runDispatchTimers(state, now, probe);
    // A single request probes the target.
    BOOST_TEST(probe.start.size() == 1u);
    DispatchOutput recovered;
    handleAttemptEnd(state, makeEnd(makeRequest(4), AttemptResult::Completed), now, recovered);
    BOOST_TEST(recovered.start.size() == 1u);
}

// The origin asks about an attempt that is still on its way. If the dispatcher reported it as not
// started and ran it later, a retry would run the request twice.
BOOST_AUTO_TEST_CASE(attemptStartsAfterReportedNotStarted)
{
    DispatchState state = makeDispatcher(1);
    DispatchOutput out;
    const AttemptId id{makeRequest(1).id, 1};
    checkAttempts(state, std::span(&id, 1), out);
    BOOST_REQUIRE(out.reports.size() == 1u);
    BOOST_TEST((out.reports[0].result == AttemptResult::NotStarted));
    DispatchOutput late;
    submit(state, makeRequest(1), Start, late);
    BOOST_TEST(late.start.empty());
}

// Charges only at the end of requests would let workspaces with long answers exceed their share.
BOOST_AUTO_TEST_CASE(generatedTokensAreChargedLate)
{
    DispatchState state = makeDispatcher(1);
    DispatchOutput out;
    submit(state, makeRequest(1), Start, out);
    chargeGeneratedTokens(state, makeRequest(1).id, 10);
    const auto &workspace = state.pools.at("pool").queue.workspaces.at("haldar");
    BOOST_TEST(workspace.chargedWork == 1 + 10 * state.options.generatedTokenCost);
    // The charge is returned when the engine proves that it did not start the request.
    handleAttemptEnd(state, makeEnd(makeRequest(1), AttemptResult::NotStarted), Start, out);
    BOOST_TEST(workspace.chargedWork == 0);
}

// The caller disconnects while its request waits for capacity. The request could be dispatched
// again when capacity returns.
BOOST_AUTO_TEST_CASE(requestOfGoneCallerIsDispatched)
{
    OriginState state;
    state.self = "origin";
    state.incarnation = 1;
    state.dispatchersByDeployment["pool"] = {{"elsewhere", 1}};
    OriginOutput out;
    const RequestId id = submitCallerRequest(state, makeRequest(0), {}, 0, Start, out);
    BOOST_REQUIRE(out.dispatch.size() == 1u);
    AttemptReport noCapacity;
    noCapacity.id = id;
    noCapacity.attempt = 1;
    noCapacity.reason = Reason::NoCapacity;
    OriginOutput waiting;
    handleAttemptReport(state, noCapacity, Start, waiting);
    BOOST_TEST(waiting.dispatch.empty());
    BOOST_TEST(waiting.finish.empty());
    OriginOutput gone;
    handleCallerGone(state, id, Start, gone);
    BOOST_TEST(gone.dispatch.empty());
    BOOST_REQUIRE(gone.finish.size() == 1u);
    BOOST_TEST((gone.finish[0].outcome == Outcome::NotRun));
    BOOST_TEST(state.requests.empty());
}

} // namespace Trefoil
