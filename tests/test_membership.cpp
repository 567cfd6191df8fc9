#define BOOST_TEST_MODULE membership
#include "libcoord/coord.h"
#include "libserving/serving.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start(std::chrono::hours(1));

// Membership cores over a network without delays; cut pairs lose everything.
struct Net
{
    explicit Net(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Member self;
            self.entry = "e" + std::to_string(i);
            self.peerAddress = "a" + std::to_string(i);
            self.incarnation = 1;
            states.push_back(makeMembership(self, {"a0"}, {}, i + 1, Start));
        }
    }

    void send(std::size_t from, MembershipOutput &out)
    {
        for (GossipSend &gossip : out.send) {
            const std::size_t to = std::stoul(gossip.address.substr(1));
            if (down.contains(to) || cuts.contains({from, to}))
                continue;
            MembershipOutput next;
            membershipReceive(states[to], gossip.message, "a" + std::to_string(from), {}, now,
                              next);
            send(to, next);
        }
    }

    void advance(Duration span)
    {
        const TimePoint end = now + span;
        while (now < end) {
            now += milliseconds(20);
            for (std::size_t i = 0; i < states.size(); ++i) {
                if (down.contains(i))
                    continue;
                MembershipOutput out;
                membershipTick(states[i], {}, now, out);
                paused = paused || out.wasPaused;
                send(i, out);
            }
        }
    }

    MemberStatus status(std::size_t at, std::size_t of)
    {
        return states[at].members.at("e" + std::to_string(of)).info.status;
    }

    TimePoint now = Start;
    std::vector<MembershipState> states;
    std::set<std::size_t> down;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    bool paused = false;
};

const SeatSet ThreeSeats = {{1, "a", true}, {2, "b", true}, {3, "c", true}};

} // namespace

BOOST_AUTO_TEST_CASE(everyEntryLearnsOfEveryOther)
{
    Net net(9);
    net.advance(seconds(10));
    for (const MembershipState &state : net.states) {
        BOOST_TEST(state.members.size() == 8u);
        BOOST_TEST(membersDigest(state) == membersDigest(net.states[0]));
    }
    net.down = {4};
    net.advance(seconds(8));
    BOOST_TEST(membersDigest(net.states[4]) != membersDigest(net.states[0]));
}

BOOST_AUTO_TEST_CASE(deadEntryIsFoundAndComesBack)
{
    Net net(5);
    net.advance(seconds(5));
    net.down = {4};
    net.advance(seconds(8));
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST((net.status(i, 4) == MemberStatus::Dead));
    net.down.clear();
    net.states[4].self.incarnation = 0; // a restart that lost its own count
    net.advance(seconds(8));
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST((net.status(i, 4) == MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(restartWithinTheSuspicionTimeLearnsTheMembers)
{
    Net net(5);
    net.advance(seconds(20));
    Member self = net.states[4].self;
    self.incarnation += 1;
    net.states[4] = makeMembership(self, {"a0"}, {}, 9, net.now);
    net.advance(seconds(5));
    BOOST_TEST(net.states[4].members.contains("e0"));
}

BOOST_AUTO_TEST_CASE(cutBetweenTwoIsBridgedByTheOthers)
{
    Net net(5);
    net.advance(seconds(5));
    net.cuts = {{0, 1}, {1, 0}};
    net.advance(seconds(10));
    BOOST_TEST((net.status(0, 1) == MemberStatus::Alive));
    BOOST_TEST((net.status(1, 0) == MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(pausedEntryAccusesNobody)
{
    Net net(5);
    net.advance(seconds(5));
    net.down = {0};
    net.advance(seconds(1));
    net.down.clear();
    net.advance(seconds(3));
    BOOST_TEST(net.paused);
    for (std::size_t of = 1; of < 5; ++of)
        BOOST_TEST((net.status(0, of) == MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(leavingEntryIsNotSuspected)
{
    Net net(3);
    net.advance(seconds(3));
    setSelfLeft(net.states[2]);
    net.advance(seconds(2));
    BOOST_TEST((net.status(0, 2) == MemberStatus::Left));
}

// --- Freshness

BOOST_AUTO_TEST_CASE(freshOnlyWithAQuorumOfRecentSamples)
{
    FreshnessState state;
    setAppliedVersion(state, 10);
    addSeatSample(state, {1, Start, 10});
    BOOST_TEST(!isFresh(state, ThreeSeats, seconds(3), Start));
    addSeatSample(state, {2, Start, 10});
    BOOST_TEST(isFresh(state, ThreeSeats, seconds(3), Start + seconds(3)));
    BOOST_TEST(!isFresh(state, ThreeSeats, seconds(3), Start + seconds(3) + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(newerVersionInASeatsLogMustBeAppliedFirst)
{
    FreshnessState state;
    setAppliedVersion(state, 10);
    addSeatSample(state, {1, Start, 11});
    addSeatSample(state, {2, Start, 11});
    addSeatSample(state, {3, Start, 10});
    BOOST_TEST(!isFresh(state, ThreeSeats, seconds(3), Start));
    setAppliedVersion(state, 11);
    BOOST_TEST(isFresh(state, ThreeSeats, seconds(3), Start));
}

BOOST_AUTO_TEST_CASE(learnersDoNotConfirm)
{
    FreshnessState state;
    setAppliedVersion(state, 1);
    SeatSet seats = ThreeSeats;
    seats.push_back({4, "d", false});
    addSeatSample(state, {1, Start, 1});
    addSeatSample(state, {4, Start, 1});
    BOOST_TEST(!isFresh(state, seats, seconds(3), Start));
}

// --- Feed

BOOST_AUTO_TEST_CASE(feedFallsBackToASnapshotAndNeverGoesBack)
{
    FeedState source;
    source.maxItems = 10;
    source.config.seats = ThreeSeats;
    for (LogIndex index = 1; index <= 50; ++index)
        applyFeedItem(source, {index, Command(SetWorkspace{{"w" + std::to_string(index), 1}})});
    FeedState entry;
    applyFeedReply(entry, answerFeedRequest(source, {0, false, 0}));
    BOOST_TEST((entry.config == source.config));
    applyFeedItem(source, {51, Command(RemoveWorkspace{"w1"})});
    const FeedReply delta = answerFeedRequest(source, {50, false, 0});
    BOOST_TEST(delta.snapshot.empty());
    BOOST_TEST(applyFeedReply(entry, delta));
    BOOST_TEST((entry.config == source.config));
    // A late copy of the snapshot or of the delta changes nothing.
    const Configuration before = entry.config;
    BOOST_TEST(!applyFeedReply(entry, delta));
    BOOST_TEST(!adoptConfiguration(entry, Configuration{}));
    BOOST_TEST((entry.config == before));
    // A gap of more than the kept items needs a snapshot again.
    BOOST_TEST(!answerFeedRequest(source, {20, false, 0}).snapshot.empty());
}

} // namespace Trefoil
