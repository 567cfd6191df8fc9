#define BOOST_TEST_MODULE runtime
#include "libruntime/runtime.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace Trefoil {

// Invalid settings and the finding that they must cause.
struct InvalidSettings
{
    // Lines that are appended to ValidSettings.
    std::string appendedLines;

    // Line and part of the message of the first finding.
    std::size_t line;
    std::string message;
};

std::ostream &operator<<(std::ostream &out, const InvalidSettings &invalid)
{
    return out << invalid.appendedLines;
}

namespace {

const std::string ValidSettings = R"(entry: alpha
domain: bole
listen:
  callers: 127.0.0.1:7101
  peers: 127.0.0.1:7201
  operators: 127.0.0.1:7301
peers: [127.0.0.1:7201]
)";

// The first appended line is line 8 of the settings.
const std::vector<InvalidSettings> InvalidSettingsTable = {
        {"colour: red\n", 8, "unknown key 'colour'"},
        {"memberships:\n  probe_period: 1s\n", 8, "did you mean 'membership'?"},
        {"membership:\n  probe_period: soon\n", 9, "expected a duration"},
        {"membership:\n  probe_period: 1ms\n", 9, "out of range"},
        {"control:\n  seats: [alpha]\n", 9, "missing key 'data'"},
        {"control:\n  data: /d\n  seats: alpha\n", 10, "expected a list"},
        {"requests:\n  max_attempts: -1\n", 9, "expected a whole number"},
        {"requests:\n  engine_routing: magic\n", 9, "unknown policy 'magic'"},
        {"requests:\n  known_workspaces_only: maybe\n", 9, "expected true or false"},
        {"entry: beta\n", 8, "duplicate key 'entry'"},
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

// A change of the settings reader can reject settings that are valid.
BOOST_AUTO_TEST_CASE(validSettingsAreRejected)
{
    const LoadedSettings loaded = readSettings(ValidSettings, "a.yaml");
    BOOST_TEST(toText(loaded.findings) == "");
    BOOST_TEST(loaded.settings.node.self.callerAddress == "127.0.0.1:7101");
}

// An operator cannot correct the file when the finding is missing or names another line. Values can
// be out of range, have the wrong type or contradict each other, and keys can be unknown or
// repeated.
BOOST_DATA_TEST_CASE(invalidSettingsAreReportedAtTheWrongLine,
                     boost::unit_test::data::make(InvalidSettingsTable), invalid)
{
    const LoadedSettings loaded = readSettings(ValidSettings + invalid.appendedLines, "a.yaml");
    BOOST_REQUIRE(!loaded.findings.empty());
    const Finding &finding = loaded.findings.front();
    BOOST_TEST(finding.file == "a.yaml");
    BOOST_TEST(finding.line == invalid.line, finding.message);
    BOOST_TEST(finding.message.find(invalid.message) != std::string::npos, finding.message);
}

// A reader that stops at the first error makes operators correct a file one error at a time.
BOOST_AUTO_TEST_CASE(readingStopsAtTheFirstFinding)
{
    const LoadedSettings loaded = readSettings("entry: alpha\ncolour: red\nlisten:\n  x: 1\n", "f");
    BOOST_TEST(loaded.findings.size() >= 6u);
}

// Without a finding, a process would start with the default settings.
BOOST_AUTO_TEST_CASE(missingSettingsFileIsNotReported)
{
    BOOST_TEST(loadSettings("no/such/file.yaml").findings.size() == 1u);
}

// A renamed key or a new check can invalidate the example settings in the operator documentation.
BOOST_AUTO_TEST_CASE(documentedExampleSettingsAreInvalid)
{
    for (const char *name : {"haldar.yaml", "gursha.yaml"}) {
        const std::string path = std::string(TREFOIL_SOURCE_DIR) + "/docs/operators/" + name;
        BOOST_TEST(toText(loadSettings(path).findings) == "");
    }
}

// An event can be added or reworded in the code while docs/events.md keeps the old state.
BOOST_AUTO_TEST_CASE(eventCatalogueIsOutdated)
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

// Tests in virtual time fail at random when a paused clock moves by itself, and timers fire late
// when the clock jumps back on resume.
BOOST_AUTO_TEST_CASE(pausedClockMovesOrResumesInThePast)
{
    RuntimeClock::pause();
    const TimePoint pausedAt = RuntimeClock::now();
    BOOST_TEST((RuntimeClock::now() == pausedAt));
    RuntimeClock::advance(std::chrono::hours(2));
    BOOST_TEST((RuntimeClock::now() == pausedAt + std::chrono::hours(2)));
    RuntimeClock::resume();
    BOOST_TEST((RuntimeClock::now() >= pausedAt + std::chrono::hours(2)));
}

// A full queue that overwrites values loses messages between threads, and a missing notification
// leaves a queued value unhandled.
BOOST_AUTO_TEST_CASE(boundedQueueLosesValuesOrNotifications)
{
    int notifications = 0;
    BoundedQueue<int> queue(2, [&notifications] { ++notifications; });
    BOOST_TEST(queue.tryPush(1));
    BOOST_TEST(queue.tryPush(2));
    BOOST_TEST(!queue.tryPush(3));
    BOOST_TEST(notifications == 1);
    std::vector<int> values;
    queue.drain(values);
    BOOST_TEST((values == std::vector<int>{1, 2}));
    BOOST_TEST(queue.tryPush(4));
    BOOST_TEST(notifications == 2);
}

// An address with a host name or without a valid port passes the settings check and fails only when
// the process connects or listens.
BOOST_AUTO_TEST_CASE(hostNamesOrInvalidPortsAreAccepted)
{
    BOOST_TEST(parseAddress("10.0.0.1:80").has_value());
    BOOST_TEST(parseAddress("[::1]:80").has_value());
    for (const char *invalid :
         {"localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999"})
        BOOST_TEST(!parseAddress(invalid).has_value(), invalid);
}

// Series of different classes can be mixed up, a quote in a workspace name can break the Prometheus
// text, and a duration beyond the last bucket can enter the histogram of another workspace.
BOOST_AUTO_TEST_CASE(metricsMixSeriesOrWriteUnescapedLabels)
{
    Metrics metrics;
    metrics.recordFirstByteTime("haldar", RequestClass::Draft, std::chrono::milliseconds(20));
    metrics.recordFirstByteTime("haldar", RequestClass::Lookup, std::chrono::microseconds(1));
    metrics.recordFirstByteTime("gur\"sha", RequestClass::Draft, std::chrono::hours(100));
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("trefoil_first_byte_seconds_count{workspace=\"haldar\",class=\"draft\"} 1")
               != std::string::npos);
    BOOST_TEST(text.find("workspace=\"gur\\\"sha\"") != std::string::npos);
    const auto histograms = metrics.firstByteHistograms();
    BOOST_TEST(quantileMs(histograms.at("haldar"), 1.0) >= 20);
    BOOST_TEST(quantileMs(histograms.at("haldar"), 1.0) <= 26);
}

} // namespace Trefoil
