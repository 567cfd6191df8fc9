#define BOOST_TEST_MODULE addedservices
#include "libgateway/endpointreports.h"
#include "support/stateparts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

// Tests that nodes use the endpoints of a service that a later configuration adds, whichever of the
// configuration and the reports they learn first.

namespace Trefoil {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint(hours(1));

EndpointReport makeReport(const EndpointId &id, const std::string &service, std::uint64_t sequence)
{
    EndpointReport report;
    report.id = id;
    report.service = service;
    report.address = "10.0.0.1:" + id.substr(1);
    report.startedAtMs = 5;
    report.sequence = sequence;
    return report;
}

ServiceConfiguration makeConfiguration(const std::vector<std::string> &services)
{
    ServiceConfiguration config;
    for (const std::string &name : services)
        config.services.push_back({name, "/health", 100, std::nullopt});
    indexConfiguration(config);
    return config;
}

bool isInUse(const EndpointTable &table, const EndpointId &id, TimePoint now)
{
    const Endpoint *endpoint = findEndpoint(table, id);
    return endpoint && isUsable(*endpoint, seconds(3), now);
}

EndpointUpdate makeUpdate(const EndpointReport &report)
{
    EndpointUpdate update;
    update.changed.push_back({report, 0, false});
    return update;
}

} // namespace

// The entry still applies the version before when the endpoint of the added service is announced.
// After that only signs of life of it arrive.
BOOST_AUTO_TEST_CASE(an_endpoint_that_reports_before_its_service_is_known_stays_unused)
{
    EndpointTable entry;
    setServices(entry, makeConfiguration({"tray-api"}), Start);
    applyEndpointUpdate(entry, makeUpdate(makeReport("e1", "booking-api", 1)), Start);
    BOOST_CHECK(!findEndpoint(entry, "e1"));
    EndpointUpdate heard;
    heard.heard.push_back({"e1", 5, 100});
    applyEndpointUpdate(entry, heard, Start + seconds(10));
    setServices(entry, makeConfiguration({"tray-api", "booking-api"}), Start + seconds(11));
    BOOST_CHECK(isInUse(entry, "e1", Start + seconds(11)));
    applyEndpointUpdate(entry, heard, Start + seconds(20));
    BOOST_CHECK(isInUse(entry, "e1", Start + seconds(20)));
    // Its silence counts as that of any other endpoint.
    BOOST_CHECK(!isInUse(entry, "e1", Start + seconds(24)));
}

// The service is removed for a while. Its endpoints report on, and others start.
BOOST_AUTO_TEST_CASE(endpoints_of_a_service_that_returns_stay_unused)
{
    EndpointTable entry;
    const ServiceConfiguration both = makeConfiguration({"tray-api", "booking-api"});
    setServices(entry, both, Start);
    applyEndpointUpdate(entry, makeUpdate(makeReport("e1", "booking-api", 1)), Start);
    setServices(entry, makeConfiguration({"tray-api"}), Start + seconds(1));
    applyEndpointUpdate(entry, makeUpdate(makeReport("e2", "booking-api", 1)), Start + seconds(2));
    EndpointUpdate heard;
    heard.heard = {{"e1", 5, 0}, {"e2", 5, 0}};
    applyEndpointUpdate(entry, heard, Start + seconds(20));
    BOOST_CHECK(!findEndpoint(entry, "e2"));
    setServices(entry, both, Start + seconds(21));
    BOOST_CHECK(isInUse(entry, "e1", Start + seconds(21)));
    BOOST_CHECK(isInUse(entry, "e2", Start + seconds(21)));
}

// An endpoint at an address that an endpoint of another service had before replaces it only once
// its service is known.
BOOST_AUTO_TEST_CASE(an_endpoint_of_an_unknown_service_replaces_one_in_use)
{
    EndpointTable entry;
    setServices(entry, makeConfiguration({"tray-api"}), Start);
    applyReport(entry, makeReport("e1", "tray-api", 1), {}, Start);
    EndpointReport successor = makeReport("e2", "booking-api", 1);
    successor.address = "10.0.0.1:1";
    successor.startedAtMs = 9;
    applyReport(entry, successor, {}, Start);
    BOOST_CHECK(isInUse(entry, "e1", Start));
    setServices(entry, makeConfiguration({"tray-api", "booking-api"}), Start);
    BOOST_CHECK(!isInUse(entry, "e1", Start));
    BOOST_CHECK(isInUse(entry, "e2", Start));
}

// The endpoint announced that it leaves before the service was known.
BOOST_AUTO_TEST_CASE(an_endpoint_that_left_comes_into_use_with_its_service)
{
    EndpointTable entry;
    setServices(entry, makeConfiguration({}), Start);
    applyReport(entry, makeReport("e1", "booking-api", 1), {}, Start);
    applyDeparture(entry, {"e1"}, Start);
    setServices(entry, makeConfiguration({"booking-api"}), Start);
    BOOST_REQUIRE(findEndpoint(entry, "e1"));
    BOOST_CHECK(!isInUse(entry, "e1", Start));
}

// Programs that are no endpoints of the system report any number of names.
BOOST_AUTO_TEST_CASE(unrelated_reports_fill_the_memory)
{
    EndpointTable table;
    table.services.emplace();
    for (std::size_t i = 0; i < MaxUnconfiguredEndpoints + 10; ++i)
        applyReport(table, makeReport("e" + std::to_string(i), "unheard-of", 1), {}, Start);
    BOOST_CHECK_EQUAL(endpointCount(table), MaxUnconfiguredEndpoints);
    removeExpiredEndpoints(table, seconds(10), Start + seconds(11));
    BOOST_CHECK_EQUAL(endpointCount(table), 0);
}

// The control VM that gets the report is behind the leader that acknowledged the configuration.
BOOST_AUTO_TEST_CASE(a_control_vm_that_is_behind_keeps_a_report_to_itself)
{
    boost::asio::io_context context;
    ServiceConfiguration config = makeConfiguration({"tray-api"});
    std::vector<EndpointUpdate> updates;
    EndpointReports *reports = nullptr;
    EndpointReports::Handlers handlers;
    handlers.refreshConfiguration = [&] { setServices(reports->table(), config, Start); };
    handlers.reportAddress = [] { return std::string(); };
    handlers.propose = [](const RecordDepartures &, const auto &) { return false; };
    StateReader link;
    handlers.broadcast = [&](const LinkMessage &message) {
        updates.push_back(std::get<EndpointUpdate>(message));
    };
    handlers.onStateChanged = [&] { receiveParts(*reports, link, updates); };
    handlers.onChanged = [] {};
    handlers.onChangeSent = [] {};
    EndpointReports control(context, *findDialect("platform"), 1, std::move(handlers));
    reports = &control;
    link = control.makeReader({});
    const std::string body = R"({"service":"booking-api","address":"10.0.0.1:80","slots":6,)"
                             R"("state":"ready","sequence":7,"born":5})";
    boost::asio::co_spawn(context, control.handleHeartbeat("e1", body), boost::asio::detached);
    context.run_for(milliseconds(30));
    BOOST_REQUIRE_EQUAL(updates.size(), 1);
    EndpointTable entry;
    setServices(entry, makeConfiguration({"tray-api", "booking-api"}), Start);
    applyEndpointUpdate(entry, updates[0], Start);
    BOOST_CHECK(isInUse(entry, "e1", Start));
    // A new link gets it as well.
    EndpointTable later;
    setServices(later, makeConfiguration({"booking-api"}), Start);
    std::vector<EndpointUpdate> parts;
    StateReader newLink = control.makeReader({});
    receiveParts(control, newLink, parts);
    BOOST_REQUIRE_EQUAL(parts.size(), 1);
    applyEndpointUpdate(later, parts[0], Start);
    BOOST_CHECK(isInUse(later, "e1", Start));
}

// Another program reports in the name of an engine and says nothing of models and group. That must
// not count as an engine without a group.
BOOST_AUTO_TEST_CASE(a_report_of_an_engine_without_models_is_used)
{
    ServiceConfiguration config = makeConfiguration({"tray-api", "drafts"});
    config.services[1].engine.emplace();
    boost::asio::io_context context;
    EndpointReports *reports = nullptr;
    EndpointReports::Handlers handlers;
    handlers.refreshConfiguration = [&] { setServices(reports->table(), config, Start); };
    handlers.reportAddress = [] { return std::string(); };
    handlers.propose = [](const RecordDepartures &, const auto &) { return false; };
    handlers.broadcast = [](const LinkMessage &) {};
    handlers.onStateChanged = [] {};
    handlers.onChanged = [] {};
    handlers.onChangeSent = [] {};
    EndpointReports control(context, *findDialect("platform"), 1, std::move(handlers));
    reports = &control;
    const auto report = [&](const std::string &service, int sequence, const std::string &more) {
        const std::string body = R"({"service":")" + service + R"(","address":"10.0.0.1:80",)"
                                 + R"("slots":6,"state":"ready","sequence":)"
                                 + std::to_string(sequence) + R"(,"born":5)" + more + "}";
        std::uint32_t status = 0;
        boost::asio::co_spawn(context, control.handleHeartbeat("e-" + service, body),
                              [&status](const std::exception_ptr &, const ServerResponse &answer) {
                                  status = answer.status;
                              });
        context.restart();
        context.run_for(milliseconds(20));
        return status;
    };
    const std::string engine = R"(,"models":[],"group":{"name":"g","epoch":1,"rank":0,)"
                               R"("state":"open"})";
    BOOST_CHECK_EQUAL(report("drafts", 1, engine), 200);
    BOOST_CHECK_EQUAL(report("drafts", 2, ""), 400);
    BOOST_REQUIRE(findEndpoint(control.table(), "e-drafts"));
    BOOST_CHECK(findEndpoint(control.table(), "e-drafts")->report.membership);
    BOOST_CHECK_EQUAL(report("drafts", 2, engine), 200);
    // Plain services have no models.
    BOOST_CHECK_EQUAL(report("tray-api", 1, ""), 200);
    // The service is known to have engines while the configuration leaves it out.
    config = makeConfiguration({"tray-api"});
    BOOST_CHECK_EQUAL(report("drafts", 3, ""), 400);
    // The draining state of such a report does not count either.
    const std::string draining = R"({"service":"drafts","address":"10.0.0.1:80","slots":6,)"
                                 R"("state":"draining","sequence":9,"born":5})";
    boost::asio::co_spawn(context, control.handleHeartbeat("e-drafts", draining),
                          boost::asio::detached);
    context.restart();
    context.run_for(milliseconds(20));
    BOOST_CHECK(!findEndpoint(control.table(), "e-drafts")->isLeaving);
}

} // namespace Trefoil
