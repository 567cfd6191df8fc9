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

// Membership states connected by a network without delays. Pairs in `cuts` lose all messages.
struct MemberNetwork
{
    explicit MemberNetwork(std::size_t count)
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

    void advance(Duration duration)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            now += milliseconds(20);
            for (std::size_t i = 0; i < states.size(); ++i) {
                if (down.contains(i))
                    continue;
                MembershipOutput out;
                membershipTick(states[i], {}, now, out);
                sawPause = sawPause || out.wasPaused;
                send(i, out);
            }
        }
    }

    MemberStatus status(std::size_t observer, std::size_t subject)
    {
        return states[observer].members.at("e" + std::to_string(subject)).info.status;
    }

    TimePoint now = Start;
    std::vector<MembershipState> states;
    std::set<std::size_t> down;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    bool sawPause = false;
};

const SeatSet ThreeSeats = {{1, "a", true}, {2, "b", true}, {3, "c", true}};

} // namespace

BOOST_AUTO_TEST_CASE(noEntryMissesAnother)
{
    MemberNetwork network(9);
    network.advance(seconds(10));
    for (const MembershipState &state : network.states) {
        BOOST_TEST(state.members.size() == 8u);
        BOOST_TEST(membersDigest(state) == membersDigest(network.states[0]));
    }
    network.down = {4};
    network.advance(seconds(8));
    BOOST_TEST(membersDigest(network.states[4]) != membersDigest(network.states[0]));
}

BOOST_AUTO_TEST_CASE(deadEntryIsDetectedAndMayReturn)
{
    MemberNetwork network(5);
    network.advance(seconds(5));
    network.down = {4};
    network.advance(seconds(8));
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST((network.status(i, 4) == MemberStatus::Dead));
    network.down.clear();
    // The restarted entry has lost its incarnation number.
    network.states[4].self.incarnation = 0;
    network.advance(seconds(8));
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST((network.status(i, 4) == MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(entryThatRestartsBeforeSuspicionMissesNoMembers)
{
    MemberNetwork network(5);
    network.advance(seconds(20));
    Member self = network.states[4].self;
    self.incarnation += 1;
    network.states[4] = makeMembership(self, {"a0"}, {}, 9, network.now);
    network.advance(seconds(5));
    BOOST_TEST(network.states[4].members.contains("e0"));
}

// Two entries cannot reach each other, while the others reach both and answer indirect probes.
BOOST_AUTO_TEST_CASE(cutBetweenTwoEntriesDoesNotMakeThemDead)
{
    MemberNetwork network(5);
    network.advance(seconds(5));
    network.cuts = {{0, 1}, {1, 0}};
    network.advance(seconds(10));
    BOOST_TEST((network.status(0, 1) == MemberStatus::Alive));
    BOOST_TEST((network.status(1, 0) == MemberStatus::Alive));
}

// A paused entry misses the answers to its probes.
BOOST_AUTO_TEST_CASE(pausedEntrySuspectsNoOther)
{
    MemberNetwork network(5);
    network.advance(seconds(5));
    network.down = {0};
    network.advance(seconds(1));
    network.down.clear();
    network.advance(seconds(3));
    BOOST_TEST(network.sawPause);
    for (std::size_t subject = 1; subject < 5; ++subject)
        BOOST_TEST((network.status(0, subject) == MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(leavingEntryIsNotSuspected)
{
    MemberNetwork network(3);
    network.advance(seconds(3));
    setSelfLeft(network.states[2]);
    network.advance(seconds(2));
    BOOST_TEST((network.status(0, 2) == MemberStatus::Left));
}

BOOST_AUTO_TEST_CASE(viewWithoutAQuorumOfRecentSamplesIsNotFresh)
{
    FreshnessState state;
    setAppliedVersion(state, 10);
    addSeatSample(state, {1, Start, 10});
    BOOST_TEST(!isFresh(state, ThreeSeats, seconds(3), Start));
    addSeatSample(state, {2, Start, 10});
    BOOST_TEST(isFresh(state, ThreeSeats, seconds(3), Start + seconds(3)));
    BOOST_TEST(!isFresh(state, ThreeSeats, seconds(3), Start + seconds(3) + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(viewIsNotFreshBeforeItHasAppliedNewerVersions)
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

BOOST_AUTO_TEST_CASE(learnersDoNotConfirmFreshness)
{
    FreshnessState state;
    setAppliedVersion(state, 1);
    SeatSet seats = ThreeSeats;
    seats.push_back({4, "d", false});
    addSeatSample(state, {1, Start, 1});
    addSeatSample(state, {4, Start, 1});
    BOOST_TEST(!isFresh(state, seats, seconds(3), Start));
}

// A feed falls back to a snapshot when the gap is too large, and late copies of messages arrive.
BOOST_AUTO_TEST_CASE(feedDoesNotReturnToAnOlderConfiguration)
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
    // A gap that is larger than the number of kept items needs a snapshot again.
    BOOST_TEST(!answerFeedRequest(source, {20, false, 0}).snapshot.empty());
}

} // namespace Trefoil
