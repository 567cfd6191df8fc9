#define BOOST_TEST_MODULE fuzz_control
#include "support/controlcluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Stateful fuzzing of the replicated control state against simple oracles: the list of committed
// entries, the first answer of each command, one leader and one lease at a time.

namespace Trefoil {

namespace {

enum class Action {
    Advance,
    Propose,
    Read,
    CutOneWay,
    CutBothWays,
    Heal,
    Lose,
    Crash,
    Restart,
    Pause,
    Wipe,
    ChangeSeats,
    SlowDisk,
    LosePower,
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
            {8, Action::Advance},
            {16, Action::Propose},
            {4, Action::Read},
            {2, Action::CutOneWay},
            {2, Action::CutBothWays},
            {2, Action::Heal},
            {1, Action::Lose},
            {2, Action::Crash},
            {3, Action::Restart},
            {1, Action::Pause},
            {1, Action::Wipe},
            {2, Action::ChangeSeats},
            {2, Action::SlowDisk},
            {2, Action::LosePower},
    });
    return rc::gen::construct<Step>(action, rc::gen::inRange<std::uint32_t>(0, 64),
                                    rc::gen::inRange<std::uint32_t>(0, 64));
}

void run(ControlCluster &cluster, const Step &step)
{
    using std::chrono::milliseconds;
    switch (step.action) {
    case Action::Advance:
        cluster.advance(milliseconds(20 * (1 + step.a)));
        break;
    case Action::Propose:
        // Few operators and numbers, so that commands collide and are sent again.
        cluster.propose(step.b % 2 == 0 ? "ann" : "bob", step.b / 2 % 12, step.a % 2);
        break;
    case Action::Read:
        cluster.read(step.a);
        break;
    case Action::CutOneWay:
        cluster.cut(step.a, step.b, false);
        break;
    case Action::CutBothWays:
        cluster.cut(step.a, step.b, true);
        break;
    case Action::Heal:
        cluster.heal();
        break;
    case Action::Lose:
        cluster.setLoss(step.a % 4 * 0.1);
        break;
    case Action::Crash:
        cluster.crash(step.a, step.b % 3);
        break;
    case Action::Restart:
        cluster.restart(step.a);
        break;
    case Action::Pause:
        cluster.pause(step.a, milliseconds(100 * (1 + step.b)));
        break;
    case Action::Wipe:
        cluster.wipe(step.a);
        break;
    case Action::ChangeSeats:
        cluster.changeSeats();
        break;
    case Action::SlowDisk:
        cluster.slowDisk(step.a, 1 + static_cast<int>(step.b % 16));
        break;
    case Action::LosePower:
        cluster.losePower();
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(acceptedCommandsSurviveEverything)
{
    const bool passed = rc::check("control state under faults", [] {
        ClusterOptions options;
        options.seats = *rc::gen::element<std::size_t>(3, 5);
        options.seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps = *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(genStep()));
        ControlCluster cluster(options);
        cluster.advance(std::chrono::seconds(2));
        for (const Step &step : steps)
            run(cluster, step);
        cluster.settle();
        RC_CLASSIFY(cluster.committed() > 20, "more than 20 entries");
        RC_CLASSIFY(cluster.leaderChanges() > 2, "more than 2 leaders");
    });
    BOOST_TEST(passed);
}

} // namespace Trefoil
