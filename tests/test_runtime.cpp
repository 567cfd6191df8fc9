#define BOOST_TEST_MODULE runtime
#include "libruntime/runtime.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace Trefoil {

struct BadSettings
{
    std::string change; // text that replaces the line `listen:` block's end
    std::size_t line;
    std::string message;
};

std::ostream &operator<<(std::ostream &out, const BadSettings &bad)
{
    return out << bad.change;
}

namespace {

const std::string GoodSettings = R"(entry: alpha
domain: bole
listen:
  callers: 127.0.0.1:7101
  peers: 127.0.0.1:7201
  operators: 127.0.0.1:7301
peers: [127.0.0.1:7201]
)";

// Lines added behind the good ones, the first of them on line 8.
const std::vector<BadSettings> BadTable = {
        {"colour: red\n", 8, "unknown key 'colour'"},
        {"memberships:\n  probe_period: 1s\n", 8, "did you mean 'membership'?"},
        {"membership:\n  probe_period: soon\n", 9, "expected a duration"},
        {"membership:\n  probe_period: 1ms\n", 9, "out of range"},
        {"control:\n  seats: [alpha]\n", 9, "missing key 'data'"},
        {"control:\n  data: /d\n  seats: alpha\n", 10, "expected a list"},
        {"requests:\n  max_attempts: -1\n", 9, "expected a whole number"},
        {"requests:\n  engine_routing: magic\n", 9, "unknown policy 'magic'"},
        {"requests:\n  known_workspaces_only: maybe\n", 9, "expected true or false"},
        {"entry: beta\n", 8, "stands twice"},
        {"groups:\n  heartbeat_bound: 300ms\n", 9, "at least twice"},
        {"peers2: [\n", 9, ""},
};

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(goodSettingsHaveNoFindings)
{
    const LoadedSettings loaded = readSettings(GoodSettings, "a.yaml");
    BOOST_TEST(toText(loaded.findings) == "");
    BOOST_TEST(loaded.settings.node.self.callerAddress == "127.0.0.1:7101");
}

BOOST_DATA_TEST_CASE(badSettingsNameTheirPlace, boost::unit_test::data::make(BadTable), bad)
{
    const LoadedSettings loaded = readSettings(GoodSettings + bad.change, "a.yaml");
    BOOST_REQUIRE(!loaded.findings.empty());
    const Finding &finding = loaded.findings.front();
    BOOST_TEST(finding.file == "a.yaml");
    BOOST_TEST(finding.line == bad.line, finding.message);
    BOOST_TEST(finding.message.find(bad.message) != std::string::npos, finding.message);
}

BOOST_AUTO_TEST_CASE(allFindingsAreReportedTogether)
{
    const LoadedSettings loaded = readSettings("entry: alpha\ncolour: red\nlisten:\n  x: 1\n", "f");
    BOOST_TEST(loaded.findings.size() >= 6u);
}

BOOST_AUTO_TEST_CASE(missingFileIsAFinding)
{
    BOOST_TEST(loadSettings("no/such/file.yaml").findings.size() == 1u);
}

BOOST_AUTO_TEST_CASE(examplesOfTheOperatorsPagesAreValid)
{
    for (const char *name : {"haldar.yaml", "gursha.yaml"}) {
        const std::string path = std::string(TREFOIL_SOURCE_DIR) + "/docs/operators/" + name;
        BOOST_TEST(toText(loadSettings(path).findings) == "");
    }
}

BOOST_AUTO_TEST_CASE(eventCatalogueAndCodeAgree)
{
    const std::string catalogue = readFile(std::string(TREFOIL_SOURCE_DIR) + "/docs/events.md");
    std::size_t rows = 0;
    for (std::size_t at = catalogue.find("\n| E"); at != std::string::npos;
         at = catalogue.find("\n| E", at + 1))
        ++rows;
    BOOST_TEST(rows == eventSpecs().size());
    for (const EventSpec &spec : eventSpecs()) {
        const std::string row = "| E" + std::to_string(static_cast<int>(spec.event)) + " | "
                                + std::string(spec.text) + " |";
        BOOST_TEST(catalogue.find(row) != std::string::npos, row);
    }
}

BOOST_AUTO_TEST_CASE(pausedClockStandsStill)
{
    RuntimeClock::pause();
    const TimePoint at = RuntimeClock::now();
    BOOST_TEST((RuntimeClock::now() == at));
    RuntimeClock::advance(std::chrono::hours(2));
    BOOST_TEST((RuntimeClock::now() == at + std::chrono::hours(2)));
    RuntimeClock::resume();
    BOOST_TEST((RuntimeClock::now() >= at + std::chrono::hours(2)));
}

BOOST_AUTO_TEST_CASE(ringRefusesWhenFullAndKeepsOrder)
{
    int wakes = 0;
    Ring<int> ring(2, [&wakes] { ++wakes; });
    BOOST_TEST(ring.tryPush(1));
    BOOST_TEST(ring.tryPush(2));
    BOOST_TEST(!ring.tryPush(3));
    BOOST_TEST(wakes == 1);
    std::vector<int> out;
    ring.drain(out);
    BOOST_TEST((out == std::vector<int>{1, 2}));
    BOOST_TEST(ring.tryPush(4));
    BOOST_TEST(wakes == 2);
}

BOOST_AUTO_TEST_CASE(addressesAreIpNumbers)
{
    BOOST_TEST(parseAddress("10.0.0.1:80").has_value());
    BOOST_TEST(parseAddress("[::1]:80").has_value());
    for (const char *bad :
         {"localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999"})
        BOOST_TEST(!parseAddress(bad).has_value(), bad);
}

BOOST_AUTO_TEST_CASE(metricsCountByWorkspaceAndClass)
{
    Metrics metrics;
    metrics.addFirstByte("haldar", RequestClass::Draft, std::chrono::milliseconds(20));
    metrics.addFirstByte("haldar", RequestClass::Lookup, std::chrono::microseconds(1));
    metrics.addFirstByte("gur\"sha", RequestClass::Draft, std::chrono::hours(100));
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("trefoil_first_byte_seconds_count{workspace=\"haldar\",class=\"draft\"} 1")
               != std::string::npos);
    BOOST_TEST(text.find("workspace=\"gur\\\"sha\"") != std::string::npos);
    const auto histograms = metrics.firstByteHistograms();
    BOOST_TEST(quantileMs(histograms.at("haldar"), 1.0) >= 20);
    BOOST_TEST(quantileMs(histograms.at("haldar"), 1.0) <= 26);
}

} // namespace Trefoil
