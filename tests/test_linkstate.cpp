#define BOOST_TEST_MODULE linkstate
#include "libgateway/messageparts.h"
#include "libgateway/statefeed.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

// Tests that any state within the limits passes every link, however often the link breaks.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start{std::chrono::hours(1)};

std::string name(const char *prefix, std::size_t number, std::size_t length)
{
    std::string text = prefix + std::to_string(number);
    text.resize(std::max(length, text.size()), 'x');
    return text;
}

// Sizes of the names and lists of the rows.
struct Extent
{
    std::size_t rows = 0;
    std::size_t nameBytes = 0;
    std::size_t listRows = 0;
};

rc::Gen<Extent> generateExtent(std::size_t maxRows)
{
    return rc::gen::construct<Extent>(rc::gen::inRange<std::size_t>(0, maxRows),
                                      rc::gen::element<std::size_t>(1, 20, 256),
                                      rc::gen::element<std::size_t>(0, 3, 180));
}

EndpointReport makeReport(std::size_t number, const Extent &extent, bool isConfigured)
{
    EndpointReport report;
    report.id = name("e", number, extent.nameBytes);
    report.service = isConfigured ? "drafts" : name("other", number % 7, extent.nameBytes);
    report.address =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80";
    report.startedAtMs = 5;
    report.sequence = 1;
    for (std::size_t i = 0; i < extent.listRows; ++i)
        report.stagedModels.push_back(name("m", i, extent.nameBytes));
    if (number % 3 == 0)
        report.membership =
                GroupMembership{name("g", number, extent.nameBytes), 1, 0, MembershipPhase::Open};
    return report;
}

// What one node knows.
struct KnownState
{
    EndpointTable table;
    PartQuarantine quarantine;
    StateFeed feed;

    KnownState()
    {
        feed.process = 7;
        table.services = {"drafts"};
    }

    StateTables tables() const { return {table, quarantine}; }

    void addEndpoint(const EndpointReport &report)
    {
        if (applyReport(table, report, {}, Start) == ReportOutcome::Changed)
            recordEndpointChange(feed, table, report, false);
    }

    void addDeparture(const EndpointId &id)
    {
        if (applyDeparture(table, {id, 5}, Start) != DepartureOutcome::Known)
            recordChange(feed.departures, id, false);
    }

    void addEnd(IncarnationKey engine, const SuspectRequest &request)
    {
        recordEvidenceChange(feed, recordEngineEnd(quarantine, engine, request, Start), false);
    }
};

// Receives a part as a link carries it. Checks that the peer takes it and decodes it.
EndpointUpdate passOn(const EndpointUpdate &part)
{
    const std::string bytes = encodeLinkMessage(part);
    RC_ASSERT(bytes.size() <= MaxLinkMessageBytes);
    return std::get<EndpointUpdate>(decodeLinkMessage(bytes));
}

void apply(KnownState &peer, const EndpointUpdate &part)
{
    for (const DepartureNotice &notice : part.departures)
        applyDeparture(peer.table, notice, Start);
    applyEndpointUpdate(peer.table, part, Start);
    mergeEvidence(peer.quarantine, part.partEvidence, Start);
}

void checkEqual(const KnownState &known, const KnownState &peer)
{
    RC_ASSERT(known.table.endpoints.size() == peer.table.endpoints.size());
    for (const auto &[id, endpoint] : known.table.endpoints)
        RC_ASSERT(peer.table.endpoints.at(id).report == endpoint.report);
    RC_ASSERT(known.table.unconfigured.size() == peer.table.unconfigured.size());
    for (const auto &[key, endpoint] : known.table.unconfigured)
        RC_ASSERT(peer.table.unconfigured.at(key).report == endpoint.report);
    RC_ASSERT(known.table.departures.byEndpoint.size() == peer.table.departures.byEndpoint.size());
    for (const auto &[engine, end] : known.quarantine.ends)
        RC_ASSERT(peer.quarantine.ends.at(engine).suspects == end.suspects);
}

} // namespace

// A peer takes only messages up to a bound, and its link breaks after any number of parts.
BOOST_AUTO_TEST_CASE(state_larger_than_a_message_never_arrives)
{
    const bool passes = rc::check("state over a link that breaks", [] {
        KnownState known;
        KnownState peer;
        const Extent configured = *generateExtent(120);
        const Extent other = *generateExtent(60);
        const Extent departures = *generateExtent(2000);
        const auto ends = *rc::gen::inRange<std::size_t>(0, 12);
        for (std::size_t i = 0; i < configured.rows; ++i)
            known.addEndpoint(makeReport(i, configured, true));
        for (std::size_t i = 0; i < other.rows; ++i)
            known.addEndpoint(makeReport(10'000 + i, other, false));
        for (std::size_t i = 0; i < departures.rows; ++i)
            known.addDeparture(name("d", i, departures.nameBytes));
        for (std::size_t i = 0; i < ends; ++i) {
            const auto promptParts = *rc::gen::element<std::size_t>(1, 40, 4000, 20'000);
            PartSet parts(promptParts);
            std::iota(parts.begin(), parts.end(), 1000 * (i + 1));
            for (std::uint64_t request = 0; request < 10; ++request) {
                parts.front() = request;
                known.addEnd(i, {request, parts});
            }
        }
        StatePosition received;
        std::size_t parts = 0;
        std::size_t links = 0;
        bool isComplete = false;
        while (!isComplete) {
            StateReader reader = makeStateReader(known.feed, received);
            // Some parts of a link that breaks are lost.
            const auto delivered = *rc::gen::inRange<std::size_t>(1, 5);
            for (std::size_t i = 0; i < delivered + 2 && !isComplete; ++i) {
                const auto part = nextPart(known.feed, known.tables(), reader, Start);
                // A reader that has lost nothing and finds no more parts has sent everything.
                isComplete = !part && i <= delivered;
                if (!part)
                    break;
                ++parts;
                if (i >= delivered)
                    continue;
                const EndpointUpdate arrived = passOn(*part);
                apply(peer, arrived);
                received = arrived.position;
            }
            ++links;
            RC_ASSERT(links < 10'000U);
        }
        checkEqual(known, peer);
    });
    BOOST_CHECK(passes);
}

// A link that breaks after each part must not begin from the start, or what comes last never
// arrives.
BOOST_AUTO_TEST_CASE(a_link_that_breaks_begins_from_the_start)
{
    KnownState known;
    for (std::size_t i = 0; i < 400; ++i)
        known.addEndpoint(makeReport(i, {0, 20, 20}, true));
    KnownState peer;
    StatePosition received;
    std::size_t links = 0;
    for (; links < 100; ++links) {
        StateReader reader = makeStateReader(known.feed, received);
        const auto part = nextPart(known.feed, known.tables(), reader, Start);
        if (!part)
            break;
        apply(peer, *part);
        received = part->position;
    }
    BOOST_CHECK_LT(links, 20);
    BOOST_CHECK_EQUAL(peer.table.endpoints.size(), 400);
    // The positions of another process mean nothing.
    known.feed.process = 8;
    StateReader reader = makeStateReader(known.feed, received);
    BOOST_CHECK(nextPart(known.feed, known.tables(), reader, Start));
}

// An entry that starts must know the endpoints that it may use before those of other fleets.
BOOST_AUTO_TEST_CASE(foreign_reports_stand_before_configured_endpoints)
{
    KnownState known;
    for (std::size_t i = 0; i < 60; ++i)
        known.addEndpoint(makeReport(1000 + i, {0, 200, 100}, false));
    for (std::size_t i = 0; i < 50; ++i)
        known.addEndpoint(makeReport(i, {0, 20, 2}, true));
    StateReader reader = makeStateReader(known.feed, {});
    const auto part = nextPart(known.feed, known.tables(), reader, Start);
    BOOST_REQUIRE(part);
    BOOST_REQUIRE_GE(part->changed.size(), 50);
    for (std::size_t i = 0; i < 50; ++i)
        BOOST_CHECK_EQUAL(part->changed[i].report.service, "drafts");
}

// Reports that another control VM passed on reach a peer from there, unless its link is new.
BOOST_AUTO_TEST_CASE(relayed_reports_multiply_or_are_missing_on_new_links)
{
    KnownState known;
    StateReader live = makeStateReader(known.feed, {});
    const EndpointReport report = makeReport(1, {0, 1, 0}, true);
    applyReport(known.table, report, {}, Start);
    recordEndpointChange(known.feed, known.table, report, true);
    BOOST_CHECK(!nextPart(known.feed, known.tables(), live, Start));
    StateReader later = makeStateReader(known.feed, {});
    BOOST_CHECK(nextPart(known.feed, known.tables(), later, Start));
    BOOST_CHECK(!nextPart(known.feed, known.tables(), later, Start));
}

// A peer that had no room for the reports of a service gets them once it is configured.
BOOST_AUTO_TEST_CASE(reports_that_found_no_room_are_missing_once_their_service_is_named)
{
    KnownState known;
    const EndpointReport report = makeReport(1, {0, 1, 0}, false);
    known.addEndpoint(report);
    StateReader live = makeStateReader(known.feed, {});
    while (nextPart(known.feed, known.tables(), live, Start)) {
    }
    ServiceConfiguration config;
    config.services = {{report.service, "/health", 100, std::nullopt}};
    indexConfiguration(config);
    recordNamedServices(known.feed, known.table, config);
    setServices(known.table, config, Start);
    const auto part = nextPart(known.feed, known.tables(), live, Start);
    BOOST_REQUIRE(part);
    BOOST_REQUIRE_EQUAL(part->changed.size(), 1);
    BOOST_CHECK(part->changed[0].report == report);
}

// Reports of other fleets are bounded in bytes and take no room of configured endpoints or of
// services with fewer of them.
BOOST_AUTO_TEST_CASE(foreign_reports_crowd_out_others)
{
    EndpointTable table;
    table.services = {"drafts"};
    const Extent large{0, 100, 200};
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < 500; ++i) {
        EndpointReport report = makeReport(i, large, false);
        report.service = "flood";
        applyReport(table, report, {}, Start);
    }
    for (const auto &[key, endpoint] : table.unconfigured)
        bytes += reportBytes(endpoint.report);
    BOOST_CHECK_EQUAL(bytes, table.unconfiguredBytes);
    BOOST_CHECK_LE(bytes, MaxUnconfiguredBytes);
    BOOST_CHECK(applyReport(table, makeReport(1000, large, true), {}, Start)
                == ReportOutcome::Changed);
    EndpointReport planned = makeReport(1001, {0, 10, 2}, false);
    planned.service = "planned";
    BOOST_CHECK(applyReport(table, planned, {}, Start) == ReportOutcome::Changed);
    BOOST_CHECK_LE(table.unconfiguredBytes, MaxUnconfiguredBytes);
    removeExpiredEndpoints(table, seconds(10), Start + seconds(11));
    BOOST_CHECK_EQUAL(table.unconfiguredBytes, 0);
    BOOST_CHECK_EQUAL(table.configuredBytes, 0);
    BOOST_CHECK(table.bytesByUnconfiguredService.empty());
}

// Another program reports any number of endpoints of a configured service.
BOOST_AUTO_TEST_CASE(configured_endpoints_have_no_bound)
{
    EndpointTable table;
    table.services = {"drafts"};
    const Extent large{0, 200, 200};
    const std::size_t count = 2 * MaxConfiguredBytes / reportBytes(makeReport(0, large, true));
    std::size_t refused = 0;
    for (std::size_t i = 0; i < count; ++i)
        refused +=
                applyReport(table, makeReport(i, large, true), {}, Start) == ReportOutcome::Refused
                        ? 1
                        : 0;
    BOOST_CHECK_GT(refused, 0);
    BOOST_CHECK_LE(table.configuredBytes, MaxConfiguredBytes);
    // Endpoints that report stay; silent ones make room.
    BOOST_CHECK(findEndpoint(table, makeReport(0, large, true).id));
    recordSignOfLife(table, makeReport(0, large, true).id, 5, {}, Start + seconds(20));
    BOOST_CHECK(applyReport(table, makeReport(count, large, true), {}, Start + seconds(20))
                == ReportOutcome::Changed);
    BOOST_CHECK(findEndpoint(table, makeReport(0, large, true).id));
    BOOST_CHECK_EQUAL(table.endpoints.size(), 2);
}

// Hellos, topologies, signs of life and digests may also be larger than a message.
BOOST_AUTO_TEST_CASE(lists_of_hellos_topologies_and_digests_exceed_a_message)
{
    const bool passes = rc::check("lists in parts", [] {
        const Extent extent = *generateExtent(3000);
        LinkHello hello;
        hello.name = "entry";
        Topology topology;
        std::vector<EndpointUpdate::HeardEndpoint> heard;
        LoadDigest digest;
        digest.sequence = 9;
        for (std::size_t i = 0; i < extent.rows; ++i) {
            const std::string id = name("e", i, extent.nameBytes);
            hello.progress.push_back({id, i, 1});
            hello.stalledHeads.push_back(id);
            hello.demandByModel[id] = 2;
            hello.limitedHeads.push_back({id, 3});
            topology.nodes.push_back({NodeKind::Entry, id, id, id, id, i, true, 0});
            topology.rememberedEntries.push_back({id, 4});
            heard.push_back({id, i, 5});
            const auto hash = static_cast<EndpointHash>(i);
            digest.loads.push_back({hash, 1, 2});
            digest.limits.push_back({hash, 1, 2.0, 3});
            digest.neededEndpoints.push_back(hash);
            digest.grants.push_back({hash, 4});
        }
        LinkHello mergedHello;
        std::size_t progress = 0;
        std::size_t stalled = 0;
        for (const LinkHello &part : divide(hello)) {
            const std::string bytes = encodeLinkMessage(part);
            RC_ASSERT(bytes.size() <= MaxLinkMessageBytes);
            LinkHello decoded = std::get<LinkHello>(decodeLinkMessage(bytes));
            RC_ASSERT(decoded.name == hello.name);
            progress += decoded.progress.size();
            stalled += decoded.stalledHeads.size();
            if (decoded.isContinuation)
                mergeHello(mergedHello, std::move(decoded));
            else
                mergedHello = std::move(decoded);
        }
        RC_ASSERT(progress == extent.rows);
        RC_ASSERT(stalled == extent.rows);
        RC_ASSERT(mergedHello.demandByModel == hello.demandByModel);
        RC_ASSERT(mergedHello.limitedHeads.size() == extent.rows);
        std::vector<KnownNode> nodes;
        std::size_t remembered = 0;
        for (const Topology &part : divide(topology)) {
            const std::string bytes = encodeLinkMessage(part);
            RC_ASSERT(bytes.size() <= MaxLinkMessageBytes);
            const auto decoded = std::get<Topology>(decodeLinkMessage(bytes));
            RC_ASSERT(decoded.isContinuation == !nodes.empty() || nodes.empty());
            nodes.insert(nodes.end(), decoded.nodes.begin(), decoded.nodes.end());
            remembered += decoded.rememberedEntries.size();
        }
        RC_ASSERT(nodes == topology.nodes);
        RC_ASSERT(remembered == extent.rows);
        std::size_t heardRows = 0;
        for (const EndpointUpdate &part : divide(heard)) {
            RC_ASSERT(encodeLinkMessage(part).size() <= MaxLinkMessageBytes);
            heardRows += part.heard.size();
        }
        RC_ASSERT(heardRows == extent.rows);
        std::size_t loads = 0;
        std::size_t limits = 0;
        std::size_t needs = 0;
        std::size_t grants = 0;
        std::uint32_t number = 0;
        for (const LoadDigest &part : divide(digest)) {
            const std::string bytes = encodeLoadDigest(part);
            RC_ASSERT(bytes.size() <= 32U * 1024);
            const LoadDigest decoded = decodeLoadDigest(bytes);
            RC_ASSERT(decoded.sequence == 9U);
            RC_ASSERT(decoded.part == number++);
            loads += decoded.loads.size();
            limits += decoded.limits.size();
            needs += decoded.neededEndpoints.size();
            grants += decoded.grants.size();
        }
        RC_ASSERT(loads == extent.rows);
        RC_ASSERT(limits == extent.rows);
        RC_ASSERT(needs == extent.rows);
        RC_ASSERT(grants == extent.rows);
    });
    BOOST_CHECK(passes);
}

// The largest messages of the replicated log, including an entry that holds a large configuration.
BOOST_AUTO_TEST_CASE(an_append_or_snapshot_exceeds_a_message)
{
    const RaftOptions options;
    RaftMessage append;
    for (std::size_t i = 0; i < options.maxEntriesPerMessage; ++i) {
        LogEntry entry;
        entry.payload.assign(options.maxBytesPerMessage / options.maxEntriesPerMessage, 'x');
        append.entries.push_back(entry);
    }
    BOOST_CHECK_LE(encodeLinkMessage(RaftEnvelope{{append}}).size(), MaxLinkMessageBytes);
    RaftMessage chunk;
    chunk.chunk.assign(std::max(options.maxBytesPerMessage, options.snapshotChunkBytes), 'x');
    for (int i = 0; i < 10; ++i)
        chunk.seats.push_back({1, std::string(64, 'a'), true});
    chunk.entries.emplace_back();
    BOOST_CHECK_LE(encodeLinkMessage(RaftEnvelope{{chunk}}).size(), MaxLinkMessageBytes);
}

} // namespace Trefoil
