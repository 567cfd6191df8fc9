#define BOOST_TEST_MODULE holdoffs
#include "libfleet/fleet.h"

#include <boost/test/unit_test.hpp>

// Tests that endpoints which want no requests for a while get none, and get them back spread out.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint(std::chrono::hours(1));

ServiceConfiguration makeConfiguration()
{
    ServiceConfiguration config;
    config.services = {{"bookings", "/health", 100, std::nullopt}};
    Route route;
    route.name = "book";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.timeout = seconds(6);
    route.trafficSplit = {{"bookings", 1}};
    config.routes = {route};
    indexConfiguration(config);
    return config;
}

EndpointReport makeReport(const EndpointId &id, std::uint64_t startedAtMs)
{
    EndpointReport report;
    report.id = id;
    report.service = "bookings";
    report.address = "10.0.0.1:" + id.substr(1);
    report.slots = 6;
    report.startedAtMs = startedAtMs;
    report.sequence = 1;
    return report;
}

struct HoldOffFixture
{
    ServiceConfiguration config = makeConfiguration();
    PlacementState state;

    HoldOffFixture()
    {
        state.options.heartbeatTimeout = std::chrono::hours(100);
        applyReport(state.table, makeReport("e1", 5), {}, Start);
        applyReport(state.table, makeReport("e2", 5), {}, Start);
    }

    Duration holdOff(const EndpointId &id, Duration duration, TimePoint now)
    {
        return recordHoldOff(state.holdOffs, id, 5, duration, state.rng, now);
    }

    PlacementRequest makeRequest() const
    {
        PlacementRequest request;
        request.config = &config;
        request.route = &config.routes.front();
        request.service = "bookings";
        request.timeLeft = seconds(6);
        request.targetTimeLeft = seconds(6);
        return request;
    }

    Placement place(TimePoint now) { return placeRequest(state, makeRequest(), now); }
};

} // namespace

BOOST_AUTO_TEST_CASE(an_endpoint_gets_requests_before_its_time_is_over)
{
    HoldOffFixture fixture;
    fixture.holdOff("e1", seconds(10), Start);
    for (int tenth = 0; tenth <= 100; ++tenth)
        BOOST_CHECK_EQUAL(fixture.place(Start + milliseconds(100 * tenth)).endpoint, "e2");
    PlacementRequest retry = fixture.makeRequest();
    retry.triedEndpoints = {"e2"};
    BOOST_CHECK(!hasUntriedEndpoint(fixture.state, retry, Start + seconds(9)));
    BOOST_CHECK(hasUntriedEndpoint(fixture.state, retry, Start + seconds(12)));
    // A shorter time that is named later does not end it.
    fixture.holdOff("e1", seconds(20), Start + seconds(20));
    fixture.holdOff("e1", seconds(1), Start + seconds(21));
    BOOST_CHECK_EQUAL(fixture.place(Start + seconds(39)).endpoint, "e2");
}

BOOST_AUTO_TEST_CASE(callers_are_not_told_when_the_first_endpoint_returns)
{
    HoldOffFixture fixture;
    const Duration first = fixture.holdOff("e1", seconds(1), Start);
    fixture.holdOff("e2", std::chrono::hours(24), Start);
    const Placement placement = fixture.place(Start);
    BOOST_CHECK(placement.verdict == PlacementVerdict::HeldOff);
    BOOST_CHECK(placement.retryAfter == first);
    // At most a third of the time that the caller has.
    fixture.holdOff("e1", seconds(100), Start);
    BOOST_CHECK(fixture.place(Start).retryAfter == seconds(2));
    // The day that the other one named is kept.
    BOOST_CHECK_EQUAL(fixture.place(Start + std::chrono::hours(23)).endpoint, "e1");
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_held_off)
{
    HoldOffFixture fixture;
    fixture.holdOff("e1", seconds(10), Start);
    fixture.holdOff("e2", seconds(10), Start);
    applyReport(fixture.state.table, makeReport("e1", 6), {}, Start);
    BOOST_CHECK_EQUAL(fixture.place(Start + seconds(1)).endpoint, "e1");
    // A time that an earlier incarnation named is not prolonged to the new one.
    BOOST_CHECK(recordHoldOff(fixture.state.holdOffs, "e1", 6, {}, fixture.state.rng, Start)
                == Duration::zero());
    removeExpiredHoldOffs(fixture.state.holdOffs, Start + seconds(12));
    BOOST_CHECK(fixture.state.holdOffs.byEndpoint.empty());
}

// The answer of an incarnation that has ended arrives after one of the next.
BOOST_AUTO_TEST_CASE(a_late_answer_ends_the_time_of_a_later_incarnation)
{
    HoldOffFixture fixture;
    applyReport(fixture.state.table, makeReport("e1", 6), {}, Start);
    recordHoldOff(fixture.state.holdOffs, "e1", 6, seconds(10), fixture.state.rng, Start);
    BOOST_CHECK(fixture.holdOff("e1", seconds(1), Start + seconds(1)) == Duration::zero());
    BOOST_CHECK_EQUAL(fixture.place(Start + seconds(5)).endpoint, "e2");
}

// The request was placed, and another one was told to hold off while its connection was opened.
BOOST_AUTO_TEST_CASE(a_request_is_sent_to_an_endpoint_that_became_unusable)
{
    HoldOffFixture fixture;
    const Placement placement = fixture.place(Start);
    BOOST_CHECK(isStillUsable(fixture.state, placement, Start));
    HoldOffFixture heldOff = fixture;
    heldOff.holdOff(placement.endpoint, seconds(1), Start);
    BOOST_CHECK(!isStillUsable(heldOff.state, placement, Start));
    HoldOffFixture leaving = fixture;
    applyDeparture(leaving.state.table, {placement.endpoint, 5}, Start);
    BOOST_CHECK(!isStillUsable(leaving.state, placement, Start));
    HoldOffFixture restarted = fixture;
    applyReport(restarted.state.table, makeReport(placement.endpoint, 6), {}, Start);
    BOOST_CHECK(!isStillUsable(restarted.state, placement, Start));
}

// All entries are told the same time at the same moment.
BOOST_AUTO_TEST_CASE(all_entries_return_at_the_same_moment)
{
    std::set<Duration> waits;
    std::mt19937_64 rng(1);
    for (int entry = 0; entry < 100; ++entry) {
        HoldOffs holdOffs;
        const Duration wait = recordHoldOff(holdOffs, "e1", 5, seconds(10), rng, Start);
        BOOST_CHECK_GE(wait / milliseconds(1), 10'000);
        BOOST_CHECK_LE(wait / milliseconds(1), 11'000);
        waits.insert(wait);
    }
    BOOST_CHECK_GT((*waits.rbegin() - *waits.begin()) / milliseconds(1), 500);
}

} // namespace Trefoil
