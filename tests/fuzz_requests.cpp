#define BOOST_TEST_MODULE fuzz_requests
#include "support/requestworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Stateful fuzzing of the origin and dispatcher logic. The outcomes that callers are told are
// checked against a ledger of what the endpoints ran.

namespace Trefoil {

namespace {

enum class Action {
    Advance,
    Call,
    KeyedCall,
    Stream,
    CallerGone,
    CrashEntry,
    SetLoss,
    SetFaults,
    CloseTargets,
    OpenTargets,
};

// A random action. The meaning of the two random operands depends on the action.
struct Step
{
    Action action;
    std::uint32_t first;
    std::uint32_t second;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << static_cast<int>(step.action) << "(" << step.first << "," << step.second << ")";
}

rc::Gen<Step> generateStep()
{
    const auto action = rc::gen::weightedElement<Action>({
            {10, Action::Advance},
            {8, Action::Call},
            {8, Action::KeyedCall},
            {6, Action::Stream},
            {2, Action::CallerGone},
            {1, Action::CrashEntry},
            {1, Action::SetLoss},
            {1, Action::SetFaults},
            {1, Action::CloseTargets},
            {1, Action::OpenTargets},
    });
    return rc::gen::construct<Step>(action, rc::gen::inRange<std::uint32_t>(0, 64),
                                    rc::gen::inRange<std::uint32_t>(0, 64));
}

CallSpec makeCallSpec(const Step &step)
{
    CallSpec spec;
    spec.callNumber = step.second;
    spec.isIdempotent = step.first % 2 == 0;
    spec.deadlineMs = step.second % 5 == 0 ? 120 : 4000;
    if (step.action == Action::Stream) {
        spec.isService = false;
        spec.isIdempotent = true;
    }
    if (step.action == Action::KeyedCall) {
        // Uses few keys, so that calls with the same key arrive at several entries.
        spec.callNumber = step.second % 6;
        spec.key = "key-" + std::to_string(spec.callNumber);
        spec.isIdempotent = false;
    }
    return spec;
}

void runStep(RequestSimulation &world, const Step &step)
{
    switch (step.action) {
    case Action::Advance:
        world.advance(std::chrono::milliseconds(10 * (1 + step.first)));
        break;
    case Action::Call:
    case Action::KeyedCall:
    case Action::Stream:
        world.submit(step.first, makeCallSpec(step));
        break;
    case Action::CallerGone:
        world.disconnectCaller(step.first);
        break;
    case Action::CrashEntry:
        world.crashEntry(step.first);
        break;
    case Action::SetLoss:
        world.setMessageLossRate(step.first % 4 * 0.15);
        break;
    case Action::SetFaults:
        world.setEndpointFaultRate(step.first % 5 * 0.2);
        break;
    case Action::CloseTargets:
    case Action::OpenTargets:
        world.setTargetsClosed(step.first, step.action == Action::CloseTargets);
        break;
    }
}

} // namespace

// Crashes, lost messages, endpoint faults and closed targets could make an entry report an outcome
// that contradicts what the endpoints ran, or run a call with an idempotency key twice.
BOOST_AUTO_TEST_CASE(outcomeContradictsLedger)
{
    const bool passed = rc::check("requests under faults", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps =
                *rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(generateStep()));
        RequestSimulation world(seed);
        for (const Step &step : steps)
            runStep(world, step);
        world.settle();
        RC_CLASSIFY(world.doneCount() > 10, "more than 10 done");
        RC_CLASSIFY(world.unknownCount() > 0, "some unknown");
        RC_CLASSIFY(world.notRunCount() > 0, "some not run");
    });
    BOOST_TEST(passed);
}

} // namespace Trefoil
