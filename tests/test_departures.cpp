#define BOOST_TEST_MODULE departures
#include "libfleet/fleet.h"
#include "libgateway/endpointreports.h"
#include "libnode/controlseat.h"
#include "support/stateparts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

// Tests that an endpoint which announced that it leaves takes no new work, whichever process is
// lost and whatever arrives late.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint(hours(1));

EndpointReport makeReport(std::uint64_t startedAtMs, std::uint64_t sequence)
{
    EndpointReport report;
    report.id = "e1";
    report.service = "bookings";
    report.address = "10.0.0.1:80";
    report.startedAtMs = startedAtMs;
    report.sequence = sequence;
    return report;
}

bool isInUse(const EndpointTable &table, TimePoint now = Start)
{
    const Endpoint *endpoint = findEndpoint(table, "e1");
    return endpoint && isUsable(*endpoint, seconds(3), now);
}

ServiceConfiguration makeConfiguration()
{
    ServiceConfiguration config;
    config.services = {{"bookings", "/health", 100, std::nullopt}};
    return config;
}

const std::string ReadyReport =
        R"({"service":"bookings","address":"10.0.0.1:80","slots":6,"state":"ready",)"
        R"("sequence":7,"born":5})";
const std::string DrainingReport =
        R"({"service":"bookings","address":"10.0.0.1:80","slots":6,"state":"draining",)"
        R"("sequence":8,"born":5})";
const std::string Departure = R"({"born":5})";

// The reports of one control VM. The test plays the replicated log.
struct ControlFixture
{
    asio::io_context context;
    bool isLeader = true;
    ServiceConfiguration config = makeConfiguration();
    std::vector<RecordDepartures> proposals;
    std::vector<std::function<void(bool)>> proposalEnds;
    std::vector<EndpointUpdate> updates;
    EndpointReports reports{context, *findDialect("platform"), 1, makeHandlers()};
    StateReader link = reports.makeReader({});

    EndpointReports::Handlers makeHandlers()
    {
        EndpointReports::Handlers handlers;
        handlers.refreshConfiguration = [this] { setServices(reports.table(), config, Start); };
        handlers.reportAddress = [] { return std::string(); };
        handlers.propose = [this](RecordDepartures command, auto onDone) {
            if (!isLeader)
                return false;
            proposals.push_back(std::move(command));
            proposalEnds.push_back(std::move(onDone));
            return true;
        };
        handlers.broadcast = [this](const LinkMessage &message) {
            updates.push_back(std::get<EndpointUpdate>(message));
        };
        handlers.onStateChanged = [this] { receiveParts(reports, link, updates); };
        handlers.onChanged = [] {};
        handlers.onChangeSent = [] {};
        return handlers;
    }

    // Starts a call and returns where its status will be, 0 until then.
    std::shared_ptr<std::uint32_t> start(asio::awaitable<ServerResponse> call)
    {
        auto status = std::make_shared<std::uint32_t>(0);
        asio::co_spawn(context, std::move(call),
                       [status](const std::exception_ptr &, const ServerResponse &response) {
                           *status = response.status;
                       });
        runFor(milliseconds(20));
        return status;
    }

    void runFor(Duration duration)
    {
        context.restart();
        context.run_for(std::chrono::duration_cast<std::chrono::nanoseconds>(duration));
    }

    void commit()
    {
        const auto proposal = std::exchange(proposals, {});
        const auto ends = std::exchange(proposalEnds, {});
        for (std::size_t i = 0; i < proposal.size(); ++i) {
            reports.applyLog(proposal[i].departures, true);
            ends[i](true);
        }
        runFor(milliseconds(20));
    }
};

} // namespace

// A node that never heard of the endpoint, such as a restarted one, learns of the departure first
// and of an earlier report later.
BOOST_AUTO_TEST_CASE(a_late_report_brings_an_endpoint_back_that_has_left)
{
    EndpointTable table;
    applyDeparture(table, {"e1", 5, 500, true}, Start);
    applyReport(table, makeReport(5, 3), {}, Start);
    BOOST_CHECK(!isInUse(table));
    recordSignOfLife(table, "e1", 5, {}, Start);
    recordGroupProgress(table, "e1", 5, {}, Start);
    BOOST_CHECK(!isInUse(table));
    // An earlier incarnation has ended as well, a later one is a new endpoint.
    EndpointTable other;
    applyDeparture(other, {"e1", 5}, Start);
    applyReport(other, makeReport(4, 9), {}, Start);
    BOOST_CHECK(!isInUse(other));
    applyReport(other, makeReport(6, 1), {}, Start);
    BOOST_CHECK(isInUse(other));
}

// Draining is announced once, and then forgotten by a restart.
BOOST_AUTO_TEST_CASE(a_late_report_brings_an_endpoint_back_that_drains)
{
    EndpointTable table;
    EndpointReport draining = makeReport(5, 8);
    draining.isDraining = true;
    applyReport(table, draining, {}, Start);
    removeExpiredEndpoints(table, seconds(10), Start + seconds(20));
    BOOST_REQUIRE(!findEndpoint(table, "e1"));
    applyReport(table, makeReport(5, 7), {}, Start + seconds(20));
    BOOST_CHECK(!isInUse(table, Start + seconds(20)));
}

BOOST_AUTO_TEST_CASE(departures_pile_up_or_end_too_early)
{
    DepartureTable table;
    for (std::uint64_t i = 0; i < 5; ++i)
        recordDeparture(table, {"e" + std::to_string(i), 1},
                        Start + seconds(static_cast<std::int64_t>(i)));
    removeExpiredDepartures(table, seconds(10), 100, Start + seconds(10));
    BOOST_CHECK_EQUAL(table.byEndpoint.size(), 5);
    removeExpiredDepartures(table, seconds(10), 3, Start + seconds(11));
    BOOST_CHECK_EQUAL(table.byEndpoint.size(), 3);
    BOOST_CHECK(hasDeparted(table, "e4", 1));
    BOOST_CHECK_EQUAL(table.notDurable.size(), 3);
}

// An endpoint starts again under its id and leaves before its first report arrives. The call does
// not say which incarnation leaves, nor does an answer; a report that drains does.
BOOST_AUTO_TEST_CASE(the_late_first_report_of_an_incarnation_undoes_its_departure)
{
    enum class Source { Call, OrderAnswer, Report };
    for (const Source source : {Source::Call, Source::OrderAnswer, Source::Report}) {
        ControlFixture control;
        control.start(control.reports.handleHeartbeat("e1", ReadyReport));
        const std::uint64_t startedAtMs = wallTimeMs() - 600;
        const auto report = [&](const std::string &state, int sequence) {
            return R"({"service":"bookings","address":"10.0.0.1:80","slots":6,"state":")" + state
                   + R"(","sequence":)" + std::to_string(sequence) + R"(,"born":)"
                   + std::to_string(startedAtMs) + "}";
        };
        if (source == Source::Call) {
            control.start(control.reports.handleDeparture("e1", ""));
        } else if (source == Source::Report) {
            control.start(control.reports.handleHeartbeat("e1", report("draining", 2)));
        } else {
            HttpHead answer;
            answer.status = 202;
            answer.fields = {{"Server-Leaving", "1"}};
            control.reports.recordAnswer("e1", 5, wallTimeMs(), answer);
            control.reports.tick(RuntimeClock::now());
        }
        control.commit();
        control.start(control.reports.handleHeartbeat("e1", report("ready", 1)));
        BOOST_TEST_CONTEXT("source " << static_cast<int>(source))
        {
            BOOST_CHECK(!isInUse(control.reports.table(), RuntimeClock::now()));
            // The entries learn the same.
            EndpointTable entry;
            for (const EndpointUpdate &update : control.updates) {
                for (const DepartureNotice &notice : update.departures)
                    applyDeparture(entry, notice, Start);
                applyEndpointUpdate(entry, update, Start);
            }
            BOOST_CHECK(!isInUse(entry));
            // Another one that starts later is used.
            applyReport(entry, makeReport(wallTimeMs() + 1000, 1), {}, Start);
            BOOST_CHECK(isInUse(entry));
        }
    }
}

// A late draining report of an incarnation that has ended does not take the next one out of use.
BOOST_AUTO_TEST_CASE(a_late_report_that_drains_takes_a_later_incarnation_out_of_use)
{
    EndpointTable table;
    applyReport(table, makeReport(9, 1), {}, Start);
    EndpointReport draining = makeReport(5, 8);
    draining.isDraining = true;
    applyReport(table, draining, {}, Start);
    BOOST_CHECK(isInUse(table));
    // So does an answer of it on a connection that was opened before the next one started.
    applyDeparture(table, makeDepartureNotice({"e1", 0, 5, 8}), Start);
    BOOST_CHECK(isInUse(table));
    applyDeparture(table, makeDepartureNotice({"e1", 0, 5, 9}), Start);
    BOOST_CHECK(!isInUse(table));
}

// The process that acknowledges ends at once. Nothing may depend on it alone.
BOOST_AUTO_TEST_CASE(a_departure_is_acknowledged_before_it_is_committed)
{
    for (const bool isDraining : {false, true}) {
        ControlFixture control;
        control.start(control.reports.handleHeartbeat("e1", ReadyReport));
        const auto status =
                control.start(isDraining ? control.reports.handleHeartbeat("e1", DrainingReport)
                                         : control.reports.handleDeparture("e1", Departure));
        BOOST_CHECK_EQUAL(*status, 0);
        BOOST_REQUIRE_EQUAL(control.proposals.size(), 1);
        // The entries know at once.
        BOOST_REQUIRE(!control.updates.empty());
        BOOST_REQUIRE_EQUAL(control.updates.back().departures.size(), 1);
        BOOST_CHECK(!control.updates.back().departures[0].isDurable);
        control.commit();
        BOOST_CHECK_EQUAL(*status, 200);
        BOOST_CHECK(control.updates.back().departures[0].isDurable);
        // The endpoint repeats itself, and no further entry of the log is needed.
        const auto repeated = control.start(control.reports.handleHeartbeat("e1", DrainingReport));
        BOOST_CHECK_EQUAL(*repeated, 200);
        BOOST_CHECK(control.proposals.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_departure_that_cannot_be_committed_is_acknowledged)
{
    ControlFixture control;
    control.isLeader = false;
    const auto status = control.start(control.reports.handleDeparture("e1", Departure));
    control.runFor(milliseconds(1000));
    BOOST_CHECK_EQUAL(*status, 503);
    // It is kept, and proposed once this seat leads.
    control.isLeader = true;
    control.reports.tick(RuntimeClock::now());
    BOOST_REQUIRE_EQUAL(control.proposals.size(), 1);
    BOOST_CHECK_EQUAL(control.proposals[0].departures[0].endpoint, "e1");
    // A proposal that is lost is repeated.
    control.proposalEnds[0](false);
    control.reports.tick(RuntimeClock::now());
    BOOST_CHECK_EQUAL(control.proposals.size(), 2);
}

// A control VM that does not lead passes the departure to the leader and hears from it when it is
// committed.
BOOST_AUTO_TEST_CASE(a_follower_does_not_acknowledge_what_the_leader_has_committed)
{
    ControlFixture leader;
    ControlFixture follower;
    follower.isLeader = false;
    const auto status = follower.start(follower.reports.handleDeparture("e1", Departure));
    leader.reports.applyUpdate(follower.updates.back());
    leader.reports.tick(RuntimeClock::now());
    BOOST_REQUIRE_EQUAL(leader.proposals.size(), 1);
    leader.commit();
    BOOST_CHECK_EQUAL(*status, 0);
    follower.reports.applyUpdate(leader.updates.back());
    follower.runFor(milliseconds(20));
    BOOST_CHECK_EQUAL(*status, 200);
}

// All processes are killed. What is left is the log, of which the end may not be known to be
// committed.
BOOST_AUTO_TEST_CASE(a_restart_of_all_control_vms_forgets_a_departure)
{
    const std::vector<DepartedEndpoint> departures = {{"e1", 5, wallTimeMs()}};
    Proposal proposal;
    proposal.command = RecordDepartures{departures};
    const std::vector<LogEntry> entries = {
            {1, 1, EntryKind::Command, encodeProposal(proposal), {}}};
    ControlFixture restarted;
    restarted.reports.applyLog(departuresInEntries(entries), false);
    restarted.start(restarted.reports.handleHeartbeat("e1", ReadyReport));
    BOOST_CHECK(!isInUse(restarted.reports.table(), RuntimeClock::now()));
    // A new link gets the departure with all reports, whatever it has heard before.
    EndpointTable entry;
    setServices(entry, restarted.config, Start);
    applyReport(entry, makeReport(5, 7), {}, Start);
    std::vector<EndpointUpdate> parts;
    StateReader newLink = restarted.reports.makeReader({});
    receiveParts(restarted.reports, newLink, parts);
    for (const EndpointUpdate &part : parts) {
        for (const DepartureNotice &notice : part.departures)
            applyDeparture(entry, notice, Start);
    }
    BOOST_CHECK(!isInUse(entry));
}

BOOST_AUTO_TEST_CASE(a_snapshot_loses_departures_or_that_of_an_earlier_version_is_not_read)
{
    ControlState state;
    Proposal proposal;
    proposal.wallTimeMs = 2000;
    proposal.command = RecordDepartures{{{"e1", 5, 1000}, {"e2", 6, 1500}}};
    applyProposal(state, proposal, 1);
    // A report of an earlier incarnation that comes last does not replace the later one.
    proposal.command = RecordDepartures{{{"e2", 4, 1600}}};
    applyProposal(state, proposal, 2);
    BOOST_CHECK(decodeControlState(encodeControlState(state)).departures == state.departures);
    BOOST_CHECK_EQUAL(state.departures.at("e2").startedAtMs, 6);
    BOOST_CHECK_EQUAL(state.config.version, 0);
    proposal.wallTimeMs = 1000 + state.limits.departureRetentionMs;
    proposal.command = RecordDepartures{};
    applyProposal(state, proposal, 3);
    BOOST_CHECK_EQUAL(state.departures.size(), 1);

    // The encoding ends with the departures, the groups and their first epoch.
    std::string earlier = encodeControlState(ControlState{});
    earlier.resize(earlier.size() - sizeof(std::uint64_t));
    for (int version = 0; version < 2; ++version) {
        earlier.resize(earlier.size() - sizeof(std::uint64_t));
        BOOST_CHECK(decodeControlState(earlier).departures.empty());
        BOOST_CHECK(decodeControlState(earlier).groups == GroupRecords{});
    }
}

} // namespace Trefoil
