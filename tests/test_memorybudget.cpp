#define BOOST_TEST_MODULE memorybudget
#include "libfleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

// Tests which connections keep their memory when the sum of a process is used up.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr std::size_t KiloByte = 1024;
constexpr std::size_t MegaByte = 1024 * KiloByte;
constexpr std::size_t SmallBytes = 56 * KiloByte;

MemoryBudget makeBudget()
{
    MemoryBudget budget;
    budget.maxBytes = 48 * MegaByte;
    budget.maxAccepted = 100;
    budget.maxOpened = 100;
    return budget;
}

// Adds connections whose messages have arrived in part.
std::vector<MemoryHolderId> addUnfinished(MemoryBudget &budget, std::size_t count,
                                          std::size_t bytes, TimePoint now)
{
    std::vector<MemoryHolderId> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(addHolder(budget, SmallBytes, true, now).id);
        resizeHolder(budget, ids.back(), bytes, now);
    }
    return ids;
}

bool contains(const std::vector<MemoryHolderId> &ids, MemoryHolderId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

BOOST_AUTO_TEST_CASE(largest_request_is_refused_in_calm)
{
    MemoryBudget budget = makeBudget();
    const auto id = addUnfinished(budget, 1, 5 * MegaByte, Start).front();
    BOOST_CHECK(budget.holders.contains(id));
    BOOST_CHECK(tryRun(budget, id, Start));
}

// Clients fill the memory with bodies and stop. A small request that comes then must be taken.
BOOST_AUTO_TEST_CASE(stalled_bodies_keep_a_small_request_out)
{
    MemoryBudget budget = makeBudget();
    addUnfinished(budget, 12, 4 * MegaByte, Start);
    const TimePoint later = Start + seconds(2);
    const MemoryAdmission admission = addHolder(budget, SmallBytes, true, later);
    BOOST_REQUIRE_NE(admission.id, 0);
    BOOST_CHECK(resizeHolder(budget, admission.id, 2 * SmallBytes, later).isGranted);
    BOOST_CHECK(tryRun(budget, admission.id, later));
    BOOST_CHECK_LE(budget.usedBytes, budget.maxBytes);
}

BOOST_AUTO_TEST_CASE(small_requests_give_way_to_growing_bodies)
{
    MemoryBudget budget = makeBudget();
    const auto small = addUnfinished(budget, 20, 2 * SmallBytes, Start);
    for (const auto id : addUnfinished(budget, 12, 4 * MegaByte, Start + milliseconds(50)))
        resizeHolder(budget, id, 5 * MegaByte, Start + milliseconds(100));
    for (const auto id : small)
        BOOST_CHECK(budget.holders.contains(id));
}

BOOST_AUTO_TEST_CASE(body_that_stalled_longest_is_kept)
{
    MemoryBudget budget = makeBudget();
    const auto stalled = addUnfinished(budget, 6, 4 * MegaByte, Start);
    const auto fresh = addUnfinished(budget, 5, 4 * MegaByte, Start + seconds(5));
    const MemoryDecision decision =
            resizeHolder(budget, fresh.back(), 10 * MegaByte, Start + seconds(5));
    BOOST_CHECK(decision.isGranted);
    BOOST_CHECK(!decision.evicted.empty());
    for (const auto id : decision.evicted)
        BOOST_CHECK(contains(stalled, id));
}

// A holder that would be the first to give up its memory gets no more.
BOOST_AUTO_TEST_CASE(largest_holder_evicts_smaller_ones)
{
    MemoryBudget budget = makeBudget();
    addUnfinished(budget, 10, 4 * MegaByte, Start);
    const auto large = addUnfinished(budget, 1, 7 * MegaByte, Start).front();
    const MemoryDecision decision = resizeHolder(budget, large, 30 * MegaByte, Start);
    BOOST_CHECK(!decision.isGranted);
    BOOST_CHECK(decision.evicted.empty());
    BOOST_CHECK_EQUAL(budget.holders.at(large).bytes, 7 * MegaByte);
}

// Large requests wait for their endpoints. Small ones must still run.
BOOST_AUTO_TEST_CASE(large_running_requests_keep_small_ones_out)
{
    MemoryBudget budget = makeBudget();
    std::size_t running = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = addUnfinished(budget, 1, 4 * MegaByte, Start).front();
        running += tryRun(budget, id, Start) ? 1 : 0;
        if (budget.holders.at(id).use != MemoryUse::Running)
            removeHolder(budget, id);
    }
    BOOST_CHECK_GE(running, 1);
    BOOST_CHECK_LT(running, 6);
    for (int i = 0; i < 20; ++i) {
        const auto id = addHolder(budget, SmallBytes, true, Start).id;
        BOOST_CHECK(tryRun(budget, id, Start));
    }
}

// Small requests use memory that large ones must leave to answers.
BOOST_AUTO_TEST_CASE(small_requests_have_the_share_of_large_ones)
{
    MemoryBudget budget = makeBudget();
    budget.maxAccepted = 1000;
    std::size_t running = 0;
    for (int i = 0; i < 800; ++i)
        running += tryRun(budget, addHolder(budget, SmallBytes, true, Start).id, Start) ? 1 : 0;
    BOOST_CHECK_EQUAL(running, 7 * budget.maxBytes / 8 / SmallBytes);
}

// Answers fill the memory of running requests. The largest of them gives way to a small one, and a
// new connection still finds memory.
BOOST_AUTO_TEST_CASE(large_answers_keep_small_ones_and_new_connections_out)
{
    MemoryBudget budget = makeBudget();
    std::vector<MemoryHolderId> large;
    for (int i = 0; i < 6; ++i) {
        large.push_back(addHolder(budget, SmallBytes, false, Start).id);
        setUse(budget, large.back(), MemoryUse::Running, Start);
        resizeHolder(budget, large.back(), (4 + i) * MegaByte, Start);
    }
    const auto answer = addHolder(budget, SmallBytes, false, Start).id;
    BOOST_REQUIRE_NE(answer, 0);
    setUse(budget, answer, MemoryUse::Running, Start);
    const MemoryDecision decision = resizeHolder(budget, answer, 6 * MegaByte, Start);
    BOOST_CHECK(decision.isGranted);
    BOOST_CHECK(decision.evicted == std::vector<MemoryHolderId>{large[5]});
    BOOST_CHECK(!resizeHolder(budget, answer, 30 * MegaByte, Start).isGranted);
    BOOST_CHECK_NE(addHolder(budget, SmallBytes, true, Start).id, 0);
}

BOOST_AUTO_TEST_CASE(answer_that_is_not_taken_keeps_its_memory)
{
    MemoryBudget budget = makeBudget();
    const auto blocked = addHolder(budget, SmallBytes, true, Start).id;
    resizeHolder(budget, blocked, 8 * MegaByte, Start);
    setUse(budget, blocked, MemoryUse::Leaving, Start);
    addUnfinished(budget, 11, 4 * MegaByte, Start + seconds(3));
    BOOST_CHECK(!budget.holders.contains(blocked));
}

// With all places taken, the connection that was idle longest makes room.
BOOST_AUTO_TEST_CASE(idle_connections_keep_a_new_one_out)
{
    MemoryBudget budget = makeBudget();
    budget.maxAccepted = 3;
    const auto running = addHolder(budget, SmallBytes, true, Start).id;
    const auto oldest = addHolder(budget, SmallBytes, true, Start + seconds(1)).id;
    const auto newer = addHolder(budget, SmallBytes, true, Start + seconds(2)).id;
    BOOST_CHECK(tryRun(budget, running, Start));
    const MemoryAdmission admission = addHolder(budget, SmallBytes, true, Start + seconds(3));
    BOOST_CHECK_NE(admission.id, 0);
    BOOST_CHECK(admission.evicted == std::vector<MemoryHolderId>{oldest});
    BOOST_CHECK(budget.holders.contains(newer));
    // A connection that the process opens itself takes no place of these.
    BOOST_CHECK_NE(addHolder(budget, SmallBytes, false, Start).id, 0);
}

// Connections to endpoints that no request uses make room for new ones.
BOOST_AUTO_TEST_CASE(idle_opened_connections_keep_a_new_one_out)
{
    MemoryBudget budget = makeBudget();
    budget.maxOpened = 64;
    for (int i = 0; i < 64; ++i)
        addHolder(budget, SmallBytes, false, Start + milliseconds(i));
    const auto accepted = addHolder(budget, SmallBytes, true, Start).id;
    const MemoryAdmission admission = addHolder(budget, SmallBytes, false, Start + seconds(1));
    BOOST_CHECK_NE(admission.id, 0);
    BOOST_CHECK_EQUAL(admission.evicted.size(), 3);
    BOOST_CHECK(budget.holders.contains(accepted));
}

BOOST_AUTO_TEST_CASE(new_connection_displaces_a_running_request)
{
    MemoryBudget budget = makeBudget();
    budget.maxAccepted = 2;
    for (int i = 0; i < 2; ++i)
        BOOST_CHECK(tryRun(budget, addHolder(budget, SmallBytes, true, Start).id, Start));
    const MemoryAdmission admission = addHolder(budget, SmallBytes, true, Start + seconds(9));
    BOOST_CHECK_EQUAL(admission.id, 0);
    BOOST_CHECK(admission.evicted.empty());
}

// The sums equal those of the holders and stay within the maximum after any series of changes.
BOOST_AUTO_TEST_CASE(sums_exceed_the_budget)
{
    const bool holds = rc::check("sums stay within the budget", [] {
        MemoryBudget budget = makeBudget();
        std::vector<MemoryHolderId> ids;
        TimePoint now = Start;
        const auto steps = *rc::gen::inRange<std::size_t>(1, 200);
        for (std::size_t step = 0; step < steps; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 1000));
            const bool mustAdd = ids.empty() || *rc::gen::inRange(0, 3) == 0;
            if (mustAdd) {
                const auto added = addHolder(budget, SmallBytes, *rc::gen::arbitrary<bool>(), now);
                if (added.id != 0)
                    ids.push_back(added.id);
                continue;
            }
            const auto id = *rc::gen::elementOf(ids);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                removeHolder(budget, id);
                break;
            case 1:
                tryRun(budget, id, now);
                break;
            case 2:
                setUse(budget, id, MemoryUse::Leaving, now);
                break;
            case 3:
                setUse(budget, id, MemoryUse::Arriving, now);
                break;
            default:
                resizeHolder(budget, id, *rc::gen::inRange<std::size_t>(0, 9 * MegaByte), now);
            }
            std::size_t used = 0;
            std::size_t running = 0;
            std::size_t accepted = 0;
            std::size_t opened = 0;
            for (const auto &[holderId, holder] : budget.holders) {
                used += holder.bytes;
                running += holder.use == MemoryUse::Running ? holder.bytes : 0;
                accepted += holder.isAccepted ? 1 : 0;
                opened += holder.isAccepted ? 0 : 1;
            }
            RC_ASSERT(used == budget.usedBytes);
            RC_ASSERT(running == budget.runningBytes);
            RC_ASSERT(accepted == budget.acceptedCount);
            RC_ASSERT(used <= budget.maxBytes);
            RC_ASSERT(accepted <= budget.maxAccepted);
            RC_ASSERT(opened == budget.openedCount);
            RC_ASSERT(opened <= budget.maxOpened);
        }
    });
    BOOST_CHECK(holds);
}

} // namespace Trefoil
