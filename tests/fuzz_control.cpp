#define BOOST_TEST_MODULE fuzz_control
#include "support/controlcluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// Stateful fuzzing of the replicated control state. ControlCluster checks the applied log entries,
// the first reply to each command, and that there is one leader per term and one leader lease at a
// time.

namespace Trefoil {

namespace {

enum class Action {
    Advance,
    Propose,
    ProposeDeparture,
    CheckLeaseRead,
    BlockLinkOneWay,
    BlockLinkBothWays,
    Heal,
    LoseMessages,
    Crash,
    Restart,
    Pause,
    WipeSeat,
    ReplaceWipedSeat,
    SlowDownDisk,
    PowerCycleAllSeats,
};

// The meaning of the arguments depends on the action.
struct Step
{
    Action action;
    std::uint32_t firstArgument;
    std::uint32_t secondArgument;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << static_cast<int>(step.action) << "(" << step.firstArgument << ","
               << step.secondArgument << ")";
}

rc::Gen<Step> generateStep()
{
    const auto action = rc::gen::weightedElement<Action>({
            {8, Action::Advance},
            {16, Action::Propose},
            {3, Action::ProposeDeparture},
            {4, Action::CheckLeaseRead},
            {2, Action::BlockLinkOneWay},
            {2, Action::BlockLinkBothWays},
            {2, Action::Heal},
            {1, Action::LoseMessages},
            {2, Action::Crash},
            {3, Action::Restart},
            {1, Action::Pause},
            {1, Action::WipeSeat},
            {2, Action::ReplaceWipedSeat},
            {2, Action::SlowDownDisk},
            {2, Action::PowerCycleAllSeats},
    });
    return rc::gen::construct<Step>(action, rc::gen::inRange<std::uint32_t>(0, 64),
                                    rc::gen::inRange<std::uint32_t>(0, 64));
}

void applyStep(ControlCluster &cluster, const Step &step)
{
    using std::chrono::milliseconds;
    switch (step.action) {
    case Action::Advance:
        cluster.advance(milliseconds(20 * (1 + step.firstArgument)));
        break;
    case Action::Propose:
        // Uses few operators and numbers, so that numbers are reused and commands are resent.
        cluster.propose(step.secondArgument % 2 == 0 ? "ann" : "bob", step.secondArgument / 2 % 12,
                        step.firstArgument % 2);
        break;
    case Action::ProposeDeparture:
        cluster.proposeDeparture(step.firstArgument);
        break;
    case Action::CheckLeaseRead:
        cluster.checkLeaseRead(step.firstArgument);
        break;
    case Action::BlockLinkOneWay:
        cluster.blockLink(step.firstArgument, step.secondArgument, false);
        break;
    case Action::BlockLinkBothWays:
        cluster.blockLink(step.firstArgument, step.secondArgument, true);
        break;
    case Action::Heal:
        cluster.heal();
        break;
    case Action::LoseMessages:
        cluster.setMessageLossRate(step.firstArgument % 4 * 0.1);
        break;
    case Action::Crash:
        cluster.crash(step.firstArgument, step.secondArgument % 3);
        break;
    case Action::Restart:
        cluster.restart(step.firstArgument);
        break;
    case Action::Pause:
        cluster.pause(step.firstArgument, milliseconds(100 * (1 + step.secondArgument)));
        break;
    case Action::WipeSeat:
        cluster.wipeSeat(step.firstArgument);
        break;
    case Action::ReplaceWipedSeat:
        cluster.replaceWipedSeat();
        break;
    case Action::SlowDownDisk:
        cluster.setDiskSlowdown(step.firstArgument, 1 + static_cast<int>(step.secondArgument % 16));
        break;
    case Action::PowerCycleAllSeats:
        cluster.powerCycleAllSeats();
        break;
    }
}

} // namespace

// Commands are proposed while seats crash, pause, lose data, are replaced and lose messages.
// Accepted commands and departures must survive, and a resend must get the first reply.
BOOST_AUTO_TEST_CASE(acceptedCommandIsLostOrLeadersOverlap)
{
    const bool passed = rc::check("control state under faults", [] {
        ControlClusterOptions options;
        options.seats = *rc::gen::element<std::size_t>(3, 5);
        options.seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps =
                *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(generateStep()));
        ControlCluster cluster(options);
        cluster.advance(std::chrono::seconds(2));
        for (const Step &step : steps)
            applyStep(cluster, step);
        cluster.settle();
        RC_CLASSIFY(cluster.committedEntryCount() > 20, "more than 20 entries");
        RC_CLASSIFY(cluster.leaderTermCount() > 2, "more than 2 leaders");
    });
    BOOST_TEST(passed);
}

} // namespace Trefoil
