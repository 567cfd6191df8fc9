#define BOOST_TEST_MODULE requests
#include "libserving/fairqueue.h"
#include "libserving/serving.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace Trefoil {

namespace {

const TimePoint Start(std::chrono::hours(1));

QueueItem item(std::uint64_t number, RequestClass requestClass, double cost,
               TimePoint deadline = TimePoint::max())
{
    QueueItem result;
    result.id = {"entry", 1, number};
    result.requestClass = requestClass;
    result.cost = cost;
    result.deadline = deadline;
    return result;
}

// Serves `count` items and returns the work done for each workspace.
std::map<WorkspaceId, double> serve(FairQueue &queue, std::size_t count)
{
    std::map<WorkspaceId, double> before;
    for (const auto &[id, workspace] : queue.workspaces)
        before[id] = workspace.charged;
    for (std::size_t i = 0; i < count; ++i)
        dequeue(queue);
    std::map<WorkspaceId, double> work;
    for (const auto &[id, workspace] : queue.workspaces)
        work[id] = workspace.charged - before[id];
    return work;
}

void fill(FairQueue &queue, const WorkspaceId &workspace, RequestClass requestClass, double cost,
          std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        enqueue(queue, workspace, item(queue.queued + 1, requestClass, cost));
}

} // namespace

BOOST_AUTO_TEST_CASE(backloggedWorkspacesGetTheirWeights)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "haldar", 3);
    setWorkspaceWeight(queue, "gursha", 1);
    // Different sizes: shares are of work, not of requests.
    fill(queue, "haldar", RequestClass::Draft, 10, 2000);
    fill(queue, "gursha", RequestClass::Draft, 1, 2000);
    const auto work = serve(queue, 1000);
    const double share = work.at("haldar") / (work.at("haldar") + work.at("gursha"));
    BOOST_TEST(share == 0.75, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(idleWorkspaceBanksNothing)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "busy", 1);
    setWorkspaceWeight(queue, "idle", 1);
    fill(queue, "busy", RequestClass::Draft, 1, 2000);
    serve(queue, 1000);
    fill(queue, "idle", RequestClass::Draft, 1, 1000);
    const auto work = serve(queue, 200);
    BOOST_TEST(work.at("idle") <= 101);
    BOOST_TEST(work.at("idle") >= 99);
}

BOOST_AUTO_TEST_CASE(classLabelBuysNoLargerShare)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "urgent", 1);
    setWorkspaceWeight(queue, "modest", 1);
    fill(queue, "urgent", RequestClass::Lookup, 1, 1000);
    fill(queue, "modest", RequestClass::Batch, 1, 1000);
    const auto work = serve(queue, 500);
    BOOST_TEST(work.at("urgent") == work.at("modest"), boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(classesShareInsideAWorkspace)
{
    FairQueue queue;
    fill(queue, "haldar", RequestClass::Batch, 1, 500);
    fill(queue, "haldar", RequestClass::Lookup, 1, 500);
    std::size_t lookups = 0;
    for (int i = 0; i < 90; ++i)
        lookups += dequeue(queue)->requestClass == RequestClass::Lookup ? 1 : 0;
    // Lookups weigh 8, batch 1.
    BOOST_TEST(lookups == 80u);
}

BOOST_AUTO_TEST_CASE(workElsewhereCounts)
{
    FairQueue queue;
    setWorkspaceWeight(queue, "split", 1);
    setWorkspaceWeight(queue, "local", 1);
    fill(queue, "split", RequestClass::Draft, 1, 500);
    fill(queue, "local", RequestClass::Draft, 1, 500);
    chargeRemoteWork(queue, "split", 100);
    const auto work = serve(queue, 200);
    BOOST_TEST(work.at("local") - work.at("split") == 100, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(expiredItemsLeave)
{
    FairQueue queue;
    enqueue(queue, "haldar", item(1, RequestClass::Draft, 1, Start));
    enqueue(queue, "haldar", item(2, RequestClass::Draft, 1, Start + std::chrono::seconds(1)));
    BOOST_TEST(takeExpired(queue, Start).size() == 1u);
    BOOST_TEST(queue.queued == 1u);
    BOOST_TEST(dequeue(queue)->id.number == 2u);
}

BOOST_AUTO_TEST_CASE(limitsHold)
{
    FairQueue queue;
    queue.options.maxQueuedPerWorkspace = 2;
    queue.options.maxQueued = 3;
    BOOST_TEST(enqueue(queue, "a", item(1, RequestClass::Draft, 1)));
    BOOST_TEST(enqueue(queue, "a", item(2, RequestClass::Draft, 1)));
    BOOST_TEST(!enqueue(queue, "a", item(3, RequestClass::Draft, 1)));
    BOOST_TEST(enqueue(queue, "b", item(4, RequestClass::Draft, 1)));
    BOOST_TEST(!enqueue(queue, "b", item(5, RequestClass::Draft, 1)));
}

BOOST_AUTO_TEST_CASE(limiterFollowsLatency)
{
    ConcurrencyLimiter limiter;
    TimePoint now = Start;
    const auto run = [&](Duration latency, int calls) {
        for (int i = 0; i < calls; ++i) {
            now += std::chrono::milliseconds(10);
            const auto inFlight = static_cast<std::uint32_t>(limiter.limit);
            addLatencySample(limiter, latency, inFlight, now);
        }
    };
    run(std::chrono::milliseconds(5), 50);
    const double grown = limiter.limit;
    BOOST_TEST(grown > 20);
    run(std::chrono::milliseconds(100), 200);
    BOOST_TEST(limiter.limit < grown / 2);
}

BOOST_AUTO_TEST_CASE(retriesAreAShareOfSuccesses)
{
    RetryBudget budget;
    budget.credits = 0;
    for (std::uint32_t i = 0; i < budget.retryCost; ++i)
        addSuccess(budget);
    BOOST_TEST(takeRetry(budget));
    BOOST_TEST(!takeRetry(budget));
}

// --- Dispatcher

namespace {

DispatchState dispatcherWith(std::uint32_t slots, bool isService = false)
{
    DispatchState state;
    DispatchOutput out;
    setTargets(state, "pool", isService, {{"t1", "a", 1, 1, slots, true}}, Start, out);
    return state;
}

DispatchRequest request(std::uint64_t number, Duration deadline = std::chrono::seconds(10))
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

AttemptEnd endOf(const DispatchRequest &started, AttemptResult result)
{
    AttemptEnd end;
    end.id = started.id;
    end.attempt = started.attempt;
    end.result = result;
    return end;
}

} // namespace

BOOST_AUTO_TEST_CASE(startsWithinSlots)
{
    DispatchState state = dispatcherWith(2);
    DispatchOutput out;
    for (std::uint64_t i = 1; i <= 3; ++i)
        submit(state, request(i), Start, out);
    BOOST_TEST(out.start.size() == 2u);
    DispatchOutput next;
    attemptEnded(state, endOf(request(1), AttemptResult::Completed), Start, next);
    BOOST_TEST(next.start.size() == 1u);
    BOOST_TEST(next.reports.size() == 1u);
}

BOOST_AUTO_TEST_CASE(closedTargetStartsNothing)
{
    DispatchState state = dispatcherWith(1);
    DispatchOutput out;
    submit(state, request(1), Start, out);
    submit(state, request(2), Start, out);
    DispatchOutput closed;
    setTargets(state, "pool", false, {{"t1", "a", 1, 1, 2, false}}, Start, closed);
    BOOST_TEST(closed.start.empty());
    // What waits is given back, so that its origin can look elsewhere; what runs goes on.
    BOOST_REQUIRE(closed.reports.size() == 1u);
    BOOST_TEST((closed.reports[0].reason == Reason::NoCapacity));
    BOOST_TEST(closed.cancel.empty());
    submit(state, request(3), Start, closed);
    BOOST_TEST(closed.start.empty());
    BOOST_TEST(closed.reports.size() == 2u);
    DispatchOutput opened;
    setTargets(state, "pool", false, {{"t1", "a", 1, 1, 2, true}}, Start, opened);
    submit(state, request(4), Start, opened);
    BOOST_TEST(opened.start.size() == 1u);
}

BOOST_AUTO_TEST_CASE(overdueRequestIsAnsweredAtOnce)
{
    DispatchState state = dispatcherWith(1);
    DispatchOutput out;
    submit(state, request(1), Start, out);
    submit(state, request(2, std::chrono::seconds(1)), Start, out);
    DispatchOutput late;
    dispatchTick(state, Start + std::chrono::seconds(1), late);
    BOOST_REQUIRE(late.reports.size() == 1u);
    BOOST_TEST((late.reports[0].result == AttemptResult::NotStarted));
    BOOST_TEST((late.reports[0].reason == Reason::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(lateEndOfEarlierAttemptIsIgnored)
{
    DispatchState state = dispatcherWith(1);
    DispatchOutput out;
    DispatchRequest second = request(1);
    second.attempt = 2;
    submit(state, second, Start, out);
    DispatchOutput late;
    attemptEnded(state, endOf(request(1), AttemptResult::Completed), Start, late);
    BOOST_TEST(late.reports.empty());
    BOOST_TEST(state.running.size() == 1u);
}

BOOST_AUTO_TEST_CASE(failingTargetIsSuspendedAndTriedAgain)
{
    DispatchState state = dispatcherWith(4, true);
    DispatchOutput out;
    TimePoint now = Start;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        submit(state, request(i), now, out);
        attemptEnded(state, endOf(request(i), AttemptResult::Lost), now, out);
    }
    DispatchOutput suspended;
    submit(state, request(4), now, suspended);
    submit(state, request(5), now, suspended);
    BOOST_TEST(suspended.start.empty());
    now += state.options.firstSuspension;
    DispatchOutput trial;
    dispatchTick(state, now, trial);
    BOOST_TEST(trial.start.size() == 1u); // one request tries the target
    DispatchOutput recovered;
    attemptEnded(state, endOf(request(4), AttemptResult::Completed), now, recovered);
    BOOST_TEST(recovered.start.size() == 1u);
}

BOOST_AUTO_TEST_CASE(checkOfUnknownAttemptBindsTheDispatcher)
{
    DispatchState state = dispatcherWith(1);
    DispatchOutput out;
    const AttemptId id{request(1).id, 1};
    checkAttempts(state, std::span(&id, 1), out);
    BOOST_REQUIRE(out.reports.size() == 1u);
    BOOST_TEST((out.reports[0].result == AttemptResult::NotStarted));
    DispatchOutput late;
    submit(state, request(1), Start, late);
    BOOST_TEST(late.start.empty());
}

BOOST_AUTO_TEST_CASE(generatedTokensAreChargedAsTheyAccrue)
{
    DispatchState state = dispatcherWith(1);
    DispatchOutput out;
    submit(state, request(1), Start, out);
    addProgress(state, request(1).id, 10);
    const auto &workspace = state.pools.at("pool").queue.workspaces.at("haldar");
    BOOST_TEST(workspace.charged == 1 + 10 * state.options.generatedTokenCost);
    // An engine that proves that it did not start gives the charge back.
    attemptEnded(state, endOf(request(1), AttemptResult::NotStarted), Start, out);
    BOOST_TEST(workspace.charged == 0);
}

// --- Origin

BOOST_AUTO_TEST_CASE(heldRequestOfAGoneCallerIsNotDispatchedAgain)
{
    OriginState state;
    state.self = "origin";
    state.incarnation = 1;
    state.dispatchers["pool"] = {{"elsewhere", 1}};
    OriginOutput out;
    const RequestId id = originSubmit(state, request(0), {}, 0, Start, out);
    BOOST_REQUIRE(out.dispatch.size() == 1u);
    AttemptReport full;
    full.id = id;
    full.attempt = 1;
    full.reason = Reason::NoCapacity;
    OriginOutput held;
    originReport(state, full, Start, held);
    BOOST_TEST(held.dispatch.empty());
    BOOST_TEST(held.finish.empty());
    OriginOutput gone;
    originCallerGone(state, id, Start, gone);
    BOOST_TEST(gone.dispatch.empty());
    BOOST_REQUIRE(gone.finish.size() == 1u);
    BOOST_TEST((gone.finish[0].outcome == Outcome::NotRun));
    BOOST_TEST(state.requests.empty());
}

} // namespace Trefoil
