#define BOOST_TEST_MODULE fuzz_requests
#include "support/requestworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Stateful fuzzing of the request cores against the endpoints' ledger.

namespace Trefoil {

namespace {

enum class Action {
    Advance,
    Call,
    KeyedCall,
    Stream,
    CallerGone,
    CrashEntry,
    Loss,
    Faults,
    CloseTargets,
    OpenTargets,
};

struct Step
{
    Action action;
    std::uint32_t a;
    std::uint32_t b;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << static_cast<int>(step.action) << "(" << step.a << "," << step.b << ")";
}

rc::Gen<Step> genStep()
{
    const auto action = rc::gen::weightedElement<Action>({
            {10, Action::Advance},
            {8, Action::Call},
            {8, Action::KeyedCall},
            {6, Action::Stream},
            {2, Action::CallerGone},
            {1, Action::CrashEntry},
            {1, Action::Loss},
            {1, Action::Faults},
            {1, Action::CloseTargets},
            {1, Action::OpenTargets},
    });
    return rc::gen::construct<Step>(action, rc::gen::inRange<std::uint32_t>(0, 64),
                                    rc::gen::inRange<std::uint32_t>(0, 64));
}

CallSpec specOf(const Step &step)
{
    CallSpec spec;
    spec.callNumber = step.b;
    spec.isIdempotent = step.a % 2 == 0;
    spec.deadlineMs = step.b % 5 == 0 ? 120 : 4000;
    if (step.action == Action::Stream) {
        spec.isService = false;
        spec.isIdempotent = true;
    }
    if (step.action == Action::KeyedCall) {
        // Few keys, so that calls are sent again through other entries.
        spec.callNumber = step.b % 6;
        spec.key = "key-" + std::to_string(spec.callNumber);
        spec.isIdempotent = false;
    }
    return spec;
}

void run(RequestSimulation &world, const Step &step)
{
    switch (step.action) {
    case Action::Advance:
        world.advance(std::chrono::milliseconds(10 * (1 + step.a)));
        break;
    case Action::Call:
    case Action::KeyedCall:
    case Action::Stream:
        world.submit(step.a, specOf(step));
        break;
    case Action::CallerGone:
        world.disconnectCaller(step.a);
        break;
    case Action::CrashEntry:
        world.crashEntry(step.a);
        break;
    case Action::Loss:
        world.setMessageLossRate(step.a % 4 * 0.15);
        break;
    case Action::Faults:
        world.setEndpointFaultRate(step.a % 5 * 0.2);
        break;
    case Action::CloseTargets:
    case Action::OpenTargets:
        world.setTargetsClosed(step.a, step.action == Action::CloseTargets);
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(answersAgreeWithTheLedger)
{
    const bool passed = rc::check("requests under faults", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps = *rc::gen::scale(2.0, rc::gen::container<std::vector<Step>>(genStep()));
        RequestSimulation world(seed);
        for (const Step &step : steps)
            run(world, step);
        world.settle();
        RC_CLASSIFY(world.doneCount() > 10, "more than 10 done");
        RC_CLASSIFY(world.unknownCount() > 0, "some unknown");
        RC_CLASSIFY(world.notRunCount() > 0, "some not run");
    });
    BOOST_TEST(passed);
}

} // namespace Trefoil
