#define BOOST_TEST_MODULE platform
#include "libfleet/fleet.h"
#include "libgateway/documentpacking.h"
#include "libgateway/eventstream.h"
#include "libgateway/gatewaysettings.h"
#include "libgateway/httpmessage.h"
#include "libgateway/linkmessages.h"

#include <boost/test/unit_test.hpp>

// Decoding and encoding of external messages: the platform's JSON bodies, HTTP messages, event
// streams, link messages and settings. The platform's messages follow the examples in its
// documentation.

namespace Trefoil {

namespace {

const Dialect &dialect()
{
    return *findDialect("platform");
}

constexpr const char *ConfigurationText =
        R"({"version":7,"routes":[{"name":"r1","host":"ficu95.example",
"path-prefix":"/lohu930/","kind":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,
"traffic-split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"attempts":2,
"public":false,"sticky":true,"stream-resume":true,"gap-aim-ms":300},{"name":"r2",
"host":"ficu95.example","path-prefix":"/pufi791/","kind":"idempotent","timeout-ms":6000,
"service":"wuno96b","attempts":2}],"services":[{"name":"huvo11a","health-path":"/health",
"max-connections":394,"engine":{"slots":26,"kv-tokens":1400000,"stride":5,"models":[{"name":"m4",
"size":4,"share":0.67,"pace":1.0,"load-s":16.0,"warm-s":1.6}],"step_ms":6.07,"read_per_s":46000.0,
"usual":{"prompt":1076,"answer":116}}},{"name":"wuno96b","health-path":"/health"}],"limits":
{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","keys":["k1"],"priority":1}]})";

constexpr const char *HeartbeatText =
        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"bole","version":"v1","slots":26,
"state":"ready","cold-remaining-ms":0,"stage":"hybrid","models":[{"name":"m4","version":1}],
"sequence":4,"born":1780000000000,"domain":"f1","staged":["m4"],
"group":{"name":"m4.7","epoch":7,"rank":1,"state":"ready"}})";

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(configuration_fields_are_lost_or_mixed_up)
{
    const DecodedConfiguration decoded = dialect().decodeConfiguration(ConfigurationText);
    BOOST_REQUIRE(decoded.config);
    const ServiceConfiguration &config = *decoded.config;
    BOOST_CHECK_EQUAL(config.version, 7);
    BOOST_CHECK(config.requiresKeys);
    BOOST_CHECK(config.routes[0].kind == RouteKind::Stream);
    BOOST_CHECK(config.routes[0].isResumable);
    BOOST_CHECK_EQUAL(config.routes[0].trafficSplit.size(), 2);
    BOOST_CHECK(config.routes[1].kind == RouteKind::Idempotent);
    BOOST_CHECK_EQUAL(config.routes[1].trafficSplit[0].service, "wuno96b");
    BOOST_CHECK_EQUAL(config.services[0].engine->models[0].vmsPerGroup, 4);
    BOOST_CHECK_EQUAL(findWorkspace(config, "k1")->name, "hule930");
}

BOOST_AUTO_TEST_CASE(invalid_configuration_is_accepted)
{
    const std::string text = ConfigurationText;
    const std::string cases[] = {
            text.substr(0, text.size() / 2),
            "[]",
            replaceFirst(text, "\"version\":7", "\"version\":\"7\""),
            replaceFirst(text, "\"version\":7", "\"version\":-7"),
            replaceFirst(text, "\"timeout-ms\":8000", "\"timeout-ms\":0"),
            replaceFirst(text, "\"service\":\"wuno96b\",\"attempts\"",
                         "\"service\":\"x\",\"attempts\""),
            replaceFirst(text, "/pufi791/", "/lohu930/"),
            replaceFirst(replaceFirst(text, "\"weight\":90", "\"weight\":0"), "\"weight\":10",
                         "\"weight\":0"),
    };
    for (const std::string &invalid : cases) {
        const DecodedConfiguration decoded = dialect().decodeConfiguration(invalid);
        BOOST_CHECK(!decoded.config);
        BOOST_CHECK(!decoded.findings.empty());
    }
}

BOOST_AUTO_TEST_CASE(heartbeat_fields_are_lost_or_mixed_up)
{
    const auto decoded = dialect().decodeHeartbeat("i-1", HeartbeatText);
    BOOST_REQUIRE(std::holds_alternative<EndpointReport>(decoded));
    const auto &report = std::get<EndpointReport>(decoded);
    BOOST_CHECK_EQUAL(report.id, "i-1");
    BOOST_CHECK_EQUAL(report.fabric, "f1");
    BOOST_CHECK_EQUAL(report.domain, "bole");
    BOOST_CHECK_EQUAL(report.startedAtMs, 1780000000000);
    BOOST_CHECK_EQUAL(report.membership->group, "m4.7");
    BOOST_CHECK(report.membership->phase == MembershipPhase::Ready);
}

// A client that does not follow the interface posts to the heartbeat path. Its body must be
// refused.
BOOST_AUTO_TEST_CASE(invalid_heartbeat_adds_an_endpoint)
{
    const std::string text = HeartbeatText;
    const std::string cases[] = {
            "\xff\xfe not JSON",
            "[1]",
            replaceFirst(text, "\"service\":\"huvo11a\",", ""),
            replaceFirst(text, "\"sequence\":4", "\"sequence\":\"4\""),
            replaceFirst(text, "\"state\":\"ready\",\"cold", "\"state\":\"asleep\",\"cold"),
            replaceFirst(text, "\"address\":\"10.128.0.9:8080\"", "\"address\":17"),
    };
    for (const std::string &invalid : cases)
        BOOST_CHECK(std::holds_alternative<std::string>(dialect().decodeHeartbeat("i-1", invalid)));
}

// A report that is sound but for one field changed what was believed of the endpoint: a head whose
// group is a text counted as being in no group, and its members joined another one.
BOOST_AUTO_TEST_CASE(report_with_one_odd_field_is_applied_in_part)
{
    const std::string text = HeartbeatText;
    const std::string group = R"("group":{"name":"m4.7","epoch":7,"rank":1,"state":"ready"})";
    const std::string deep = std::string(5000, '[') + std::string(5000, ']');
    const std::string tooLong(5000, 'x');
    const std::pair<std::string, std::vector<std::string>> fields[] = {
            {R"("service":"huvo11a")", {R"("service":17)", R"("service":")" + tooLong + "\""}},
            {R"("address":"10.128.0.9:8080")",
             {R"("address":"10.128.0.9:99999")", R"("address":"10.128.0.9:0")",
              R"("address":"10.128.0.9")", R"("address":"host:80")", R"("address":"")"}},
            {R"("zone":"bole")", {R"("zone":7)", R"("zone":)" + deep}},
            {R"("slots":26)",
             {R"("slots":"26")", R"("slots":-1)", R"("slots":2.5)", R"("slots":1e300)",
              R"("slots":4294967296)", R"("slots":18446744073709551616)"}},
            {R"("sequence":4)", {R"("sequence":18446744073709551616)", R"("sequence":4.5)"}},
            {R"("born":1780000000000)", {R"("born":"x")", R"("born":1e30)", R"("born":null)"}},
            {R"("domain":"f1")", {R"("domain":{})"}},
            {R"("staged":["m4"])", {R"("staged":"m4")", R"("staged":[7])", R"("staged":)" + deep}},
            {group,
             {R"("group":"m4.7")", R"("group":[])", R"("group":{})",
              R"("group":{"name":"m4.7","epoch":7,"rank":1})",
              R"("group":{"name":"m4.7","epoch":"7","rank":1,"state":"ready"})",
              R"("group":{"name":"m4.7","epoch":7,"rank":4294967297,"state":"ready"})",
              R"("group":{"name":"m4.7","epoch":7,"rank":1,"state":"asleep"})"}},
    };
    for (const auto &[field, replacements] : fields) {
        for (const std::string &replacement : replacements) {
            const std::string odd = replaceFirst(text, field, replacement);
            BOOST_CHECK_MESSAGE(
                    std::holds_alternative<std::string>(dialect().decodeHeartbeat("i-1", odd)),
                    replacement.substr(0, 60));
        }
    }
    // Fields that a plain service does not send.
    const auto plain = dialect().decodeHeartbeat(
            "i-1", R"({"service":"s","address":"10.0.0.1:80","state":"ready","sequence":1})");
    BOOST_CHECK(std::holds_alternative<EndpointReport>(plain));
}

// A call of another program ended the use of an endpoint that it named.
BOOST_AUTO_TEST_CASE(odd_departure_is_taken_for_one_of_the_known_incarnation)
{
    BOOST_CHECK(std::get<std::uint64_t>(dialect().decodeDeparture(R"({"born":7})")) == 7);
    BOOST_CHECK(std::get<std::uint64_t>(dialect().decodeDeparture("")) == 0);
    BOOST_CHECK(std::get<std::uint64_t>(dialect().decodeDeparture("{}")) == 0);
    for (const std::string &odd :
         {std::string("x"), std::string("[1]"), std::string(R"({"born":"7"})"),
          std::string(R"({"born":-7})"), std::string(5000, '[')})
        BOOST_CHECK(std::holds_alternative<std::string>(dialect().decodeDeparture(odd)));
}

// What an endpoint says of itself in the heads of its answers.
BOOST_AUTO_TEST_CASE(times_and_departures_in_answers_are_misread)
{
    using std::chrono::milliseconds;
    const auto holdOff = [](std::string_view text) {
        return std::get<Duration>(dialect().decodeHoldOff(text));
    };
    BOOST_CHECK(holdOff("2") == milliseconds(2000));
    BOOST_CHECK(holdOff("0.25") == milliseconds(250));
    BOOST_CHECK(holdOff("0") == Duration::zero());
    BOOST_CHECK(holdOff("86400") == std::chrono::hours(24));
    BOOST_CHECK(holdOff("100000000000000000000") == std::chrono::seconds(10'000'000));
    for (const std::string &invalid :
         {std::string(""), std::string("-1"), std::string("soon"), std::string("nan"),
          std::string("inf"), std::string("1 "), std::string("1e3"),
          std::string("Wed, 21 Oct 2026 07:28:00 GMT")})
        BOOST_CHECK(std::holds_alternative<std::string>(dialect().decodeHoldOff(invalid)));
    BOOST_CHECK(dialect().decodeLeaving("1"));
    for (const std::string_view other : {"", "0", "11", "true"})
        BOOST_CHECK(!dialect().decodeLeaving(other));
}

BOOST_AUTO_TEST_CASE(call_is_mistaken_for_another)
{
    BOOST_CHECK(dialect().parseCall("GET", "/trefoilrun/readiness").kind == CallKind::Readiness);
    const SystemCall entryListCall = dialect().parseCall(
            "GET", "/trefoilrun/resolution?name=a.example&region=addis&zone=bole%20x");
    BOOST_CHECK(entryListCall.kind == CallKind::EntryList);
    BOOST_CHECK_EQUAL(entryListCall.domain, "bole x");
    const SystemCall heartbeatCall =
            dialect().parseCall("POST", "/trefoilrun/instances/i-7f3a91c2/heartbeat");
    BOOST_CHECK(heartbeatCall.kind == CallKind::Heartbeat);
    BOOST_CHECK_EQUAL(heartbeatCall.endpoint, "i-7f3a91c2");
    BOOST_CHECK(dialect().parseCall("GET", "/trefoilrun/instances/i-1/heartbeat").kind
                == CallKind::Unknown);
    BOOST_CHECK(dialect().parseCall("POST", "/trefoilrun/instances/i-1").kind == CallKind::Unknown);
}

// An entry that misreads the parts of prompts blames the wrong ones.
BOOST_AUTO_TEST_CASE(parts_of_a_prompt_are_lost_or_mixed_up)
{
    const Dialect &dialect = *findDialect("platform");
    const std::vector<PromptPart> expected{{0x5c1e07a2, 800}, {0x91bd3f06, 410}, {0xe4402b7d, 250}};
    BOOST_CHECK(dialect.decodePromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == expected);
    BOOST_CHECK(dialect.decodePromptParts(" 5c1e07a2:800, 91BD3F06:410 ,e4402b7d:250") == expected);
    BOOST_CHECK(dialect.decodePromptParts("").empty());
    // Ids that are no numbers of 64 bits stand for themselves. Otherwise the part before them would
    // count as the last one.
    const auto odd =
            dialect.decodePromptParts(",:1,x:2,12,123456789abcdef01:3,123456789abcdef02:3");
    BOOST_REQUIRE_EQUAL(odd.size(), 5);
    std::set<PromptPartId> ids;
    for (const PromptPart &part : odd)
        ids.insert(part.id);
    BOOST_CHECK_EQUAL(ids.size(), 5);
    BOOST_CHECK(dialect.decodePromptParts("123456789abcdef01:9")[0].id == odd[3].id);
    BOOST_CHECK_EQUAL(odd[2].id, 0x12);
    const std::vector<PromptPartId> shared{0x5c1e07a2, 0x91bd3f06};
    BOOST_CHECK(sharedParts(expected) == shared);
    BOOST_CHECK(sharedParts({}).empty());
    BOOST_CHECK_EQUAL(toText(shared), "5c1e07a2,91bd3f06");
}

BOOST_AUTO_TEST_CASE(limits_of_endpoints_are_misread)
{
    const auto decode = dialect().decodeRequestLimit;
    BOOST_CHECK_EQUAL(std::get<double>(decode("3.5")), 3.5);
    BOOST_CHECK_EQUAL(std::get<double>(decode("12")), 12);
    BOOST_CHECK_EQUAL(std::get<double>(decode("0")), 0);
    for (const std::string_view text :
         {"", "many", "3.5/s", "3,5", "-1", "nan", "inf", "1e3", "1000001", "3.5 4"})
        BOOST_CHECK_MESSAGE(std::holds_alternative<std::string>(decode(text)), text);
}

BOOST_AUTO_TEST_CASE(order_is_encoded_wrongly)
{
    GroupOrder order;
    order.kind = OrderKind::Join;
    order.group = "m4.12";
    order.epoch = 12;
    order.fencingToken = 3;
    order.model = "m4";
    order.members = {"i-1", "i-2"};
    BOOST_CHECK_EQUAL(dialect().encodeOrder(order),
                      R"({"operation":"join","group":"m4.12","epoch":12,"model":"m4",)"
                      R"("members":["i-1","i-2"],"fencing-token":3})");
    order.kind = OrderKind::Close;
    order.closeMode = CloseMode::AbortRequests;
    BOOST_CHECK_EQUAL(dialect().encodeOrder(order),
                      R"({"operation":"close","group":"m4.12","epoch":12,"mode":"cutover",)"
                      R"("fencing-token":3})");
}

BOOST_AUTO_TEST_CASE(entry_list_lacks_its_lifetime)
{
    const std::vector<std::string> addresses = {"10.1.0.40:8227"};
    BOOST_CHECK_EQUAL(dialect().encodeEntryList(addresses, std::chrono::seconds(2)),
                      R"({"addresses":["10.1.0.40:8227"],"ttl-s":2})");
}

// A request arrives in pieces of any size, followed by the start of the next one.
BOOST_AUTO_TEST_CASE(request_split_into_pieces_is_misread)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                             "X-Own: Value \r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        HttpParser parser(HttpMessageKind::Request, 1024, 1024);
        std::string input;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            input += text.substr(at, piece);
            BOOST_REQUIRE(parser.consume(input));
        }
        BOOST_REQUIRE(parser.isDone());
        BOOST_CHECK_EQUAL(parser.head().target, "/a/b?c=d");
        BOOST_CHECK_EQUAL(parser.takeBody(), "abcde");
        BOOST_CHECK_EQUAL(*findField(parser.head(), "x-own"), "Value");
        BOOST_CHECK_EQUAL(input, "GET"); // The next request stays in the input.
    }
}

BOOST_AUTO_TEST_CASE(invalid_request_is_accepted_or_gets_the_wrong_error)
{
    struct Case
    {
        std::string text;
        HttpParseError error;
    };
    const Case cases[] = {
            {"nonsense\r\n\r\n", HttpParseError::Malformed},
            {"GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
             HttpParseError::HeaderTooLarge},
            {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", HttpParseError::BodyTooLarge},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", HttpParseError::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
             HttpParseError::Malformed},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
             HttpParseError::Malformed},
    };
    for (const Case &item : cases) {
        HttpParser parser(HttpMessageKind::Request, 1024, 1024);
        std::string input = item.text;
        BOOST_CHECK(!parser.consume(input));
        BOOST_CHECK_MESSAGE(parser.error() == item.error, item.text.substr(0, 60));
    }
}

// The connection ends after a response without a length, which is complete then, and in the middle
// of a response with a length.
BOOST_AUTO_TEST_CASE(truncated_response_counts_as_complete)
{
    HttpParser parser(HttpMessageKind::Response, 1024, 1024);
    std::string input = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc";
    BOOST_CHECK(parser.consume(input));
    BOOST_CHECK(!parser.isDone());
    BOOST_CHECK(parser.endsWithConnection());
    BOOST_CHECK(!parser.keepsAlive());
    parser.finishInput();
    BOOST_CHECK(parser.isDone());
    BOOST_CHECK_EQUAL(parser.takeBody(), "abc");
    HttpParser truncated(HttpMessageKind::Response, 1024, 1024);
    input = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
    truncated.consume(input);
    truncated.finishInput();
    BOOST_CHECK(!truncated.isDone());
    BOOST_CHECK(!truncated.endsWithConnection());
    HttpParser chunked(HttpMessageKind::Response, 1024, 1024);
    input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    chunked.consume(input);
    chunked.finishInput();
    BOOST_CHECK(!chunked.isDone());
    BOOST_CHECK(!chunked.endsWithConnection());
    HttpParser headOnly(HttpMessageKind::Response, 1024, 1024);
    input = "HTTP/1.1 200 OK\r\nX: y\r\n";
    headOnly.consume(input);
    headOnly.finishInput();
    BOOST_CHECK(!headOnly.isDone());
}

BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_forwarded)
{
    HttpHead head;
    head.fields = {{"Connection", "close, X-Private"}, {"X-Private", "1"}, {"X-Own", "2"}};
    const HopByHopFields fields(head);
    BOOST_CHECK(fields.contains("x-private"));
    BOOST_CHECK(fields.contains("Transfer-Encoding"));
    BOOST_CHECK(!fields.contains("X-Own"));
}

BOOST_AUTO_TEST_CASE(partial_or_repeated_events_are_forwarded)
{
    EventFilter filter;
    BOOST_CHECK_EQUAL(filterEvents(filter, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    BOOST_CHECK_EQUAL(filterEvents(filter, "ta: b\n\n"), "id: 2\ndata: b\n\n");
    // Another endpoint resumes the stream and repeats an event that the caller already has.
    filter.incompleteEvent.clear();
    BOOST_CHECK_EQUAL(filterEvents(filter, "id: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"),
                      "id: 3\r\ndata: c\r\n\r\n");
    BOOST_CHECK_EQUAL(*filter.lastEventId, 3);
    BOOST_CHECK_EQUAL(countEvents("id: 1\n\nid: 2\n\nid: 3\n"), 2);
}

BOOST_AUTO_TEST_CASE(link_message_loses_content)
{
    EndpointUpdate news;
    news.changed.push_back(
            {std::get<EndpointReport>(dialect().decodeHeartbeat("i-1", HeartbeatText)), 250, true});
    news.heard.push_back({"i-2", 5, 100});
    news.departures = {{"i-3", 6, 700, true}};
    const LinkMessage message = decodeLinkMessage(encodeLinkMessage(news));
    const auto &decoded = std::get<EndpointUpdate>(message);
    BOOST_CHECK(decoded.changed[0].report == news.changed[0].report);
    BOOST_CHECK(decoded.changed[0].hasLeft);
    BOOST_CHECK_EQUAL(decoded.heard[0].ageMs, 100);
    BOOST_CHECK(decoded.departures == news.departures);
    BOOST_CHECK_THROW(decodeLinkMessage("garbage"), std::exception);
}

// An entry that loses a field of the evidence sends on requests that end engines.
BOOST_AUTO_TEST_CASE(evidence_about_prompt_parts_loses_content)
{
    EndpointUpdate update;
    update.partEvidence.ends = {{7, 12, {{9, {1, 2}}, {10, {3}}}}};
    update.partEvidence.answers = {{2, 40}};
    update.partEvidence.verdicts = {{{1, 2}, 5, true, 6, 7, 8, 9, 10, true}};
    const auto decoded = std::get<EndpointUpdate>(decodeLinkMessage(encodeLinkMessage(update)));
    const PartEvidence &evidence = decoded.partEvidence;
    BOOST_REQUIRE_EQUAL(evidence.ends.size(), 1);
    BOOST_CHECK_EQUAL(evidence.ends[0].engine, 7);
    BOOST_CHECK_EQUAL(evidence.ends[0].ageMs, 12);
    BOOST_CHECK(evidence.ends[0].suspects == update.partEvidence.ends[0].suspects);
    BOOST_REQUIRE_EQUAL(evidence.answers.size(), 1);
    BOOST_CHECK_EQUAL(evidence.answers[0].part, 2);
    BOOST_CHECK_EQUAL(evidence.answers[0].ageMs, 40);
    BOOST_REQUIRE_EQUAL(evidence.verdicts.size(), 1);
    BOOST_CHECK(evidence.verdicts[0] == update.partEvidence.verdicts[0]);
}

// During an upgrade, entries and control VMs of two versions are linked.
BOOST_AUTO_TEST_CASE(endpoint_update_of_an_earlier_version_ends_the_link)
{
    EndpointUpdate update;
    update.heard = {{"e1", 5, 6}};
    update.departures = {{"e2", 7, 8, true}};
    std::string bytes = encodeLinkMessage(update);
    // The version before sends no position, those before it no departures and no evidence either.
    bytes.resize(bytes.size() - sizeof(StatePosition));
    const auto withoutPosition = std::get<EndpointUpdate>(decodeLinkMessage(bytes));
    BOOST_CHECK(withoutPosition.departures == update.departures);
    BOOST_CHECK(withoutPosition.position == StatePosition{});
    update.departures.clear();
    bytes = encodeLinkMessage(update);
    bytes.resize(bytes.size() - sizeof(StatePosition) - 4 * sizeof(std::uint64_t));
    const auto decoded = std::get<EndpointUpdate>(decodeLinkMessage(bytes));
    BOOST_CHECK_EQUAL(decoded.heard.size(), 1);
    BOOST_CHECK(decoded.partEvidence.isEmpty());
    BOOST_CHECK(decoded.departures.empty());
    bytes.resize(bytes.size() - 1);
    bytes.resize(bytes.size() / 2);
    BOOST_CHECK_THROW(decodeLinkMessage(bytes), std::exception);
}

// An entry that loses a field of a digest exceeds limits or leaves them unused.
BOOST_AUTO_TEST_CASE(limits_in_digests_lose_content)
{
    LoadDigest digest;
    digest.entryName = "entry-1";
    digest.loads = {{7, 1, 100}};
    digest.limits = {{7, 12, 3.5, 40}, {8, 13, std::nullopt, 50}};
    digest.neededEndpoints = {7, 9};
    digest.grants = {{8, 77}};
    std::string bytes = encodeLoadDigest(digest);
    const LoadDigest decoded = decodeLoadDigest(bytes);
    BOOST_CHECK(decoded.limits == digest.limits);
    BOOST_CHECK(decoded.neededEndpoints == digest.neededEndpoints);
    BOOST_CHECK(decoded.grants == digest.grants);
    // Entries of the version before send digests without limits.
    digest.limits.clear();
    digest.neededEndpoints.clear();
    digest.grants.clear();
    bytes = encodeLoadDigest(digest);
    bytes.resize(bytes.size() - 3 * sizeof(std::uint64_t));
    BOOST_CHECK_EQUAL(decodeLoadDigest(bytes).loads.size(), 1);
}

// Configurations with 1,600 routes are sent one after another to 75 processes over slow links, so
// documents are packed. A damaged or truncated one must be detected.
BOOST_AUTO_TEST_CASE(packed_document_is_too_large_or_unpacked_wrongly)
{
    std::string document = "{\"routes\":[";
    for (int route = 0; route < 1600; ++route)
        document += "{\"name\":\"r-" + std::to_string(route * 7919)
                    + "\",\"host\":\"a.example\",\"kind\":\"streaming\",\"timeout-ms\":8000},";
    document += "]}";
    const std::string packed = compressDocument(document);
    BOOST_CHECK_LT(packed.size(), document.size() / 5);
    BOOST_REQUIRE(decompressDocument(packed));
    BOOST_CHECK(*decompressDocument(packed) == document);
    BOOST_CHECK(*decompressDocument(document)
                == document); // Logs of older versions are not packed.
    BOOST_CHECK(!decompressDocument(packed.substr(0, packed.size() / 2)));
    std::string damaged = packed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    BOOST_CHECK(!decompressDocument(damaged));
    BOOST_CHECK(decompressDocument("")->empty());
}

// A control VM without a configuration cannot check heartbeats and passes on one that a faulty
// client made up. It must not replace the endpoint of a known service.
BOOST_AUTO_TEST_CASE(endpoint_of_an_unknown_service_replaces_a_known_one)
{
    ServiceConfiguration config;
    config.services = {{"desk", "/health", 100, std::nullopt}};
    indexConfiguration(config);
    EndpointUpdate news;
    EndpointReport known;
    known.id = "e1";
    known.service = "desk";
    known.address = "10.0.0.1:80";
    known.startedAtMs = 1;
    EndpointReport fabricated = known;
    fabricated.service = "unheard-of";
    fabricated.startedAtMs = 2;
    news.changed = {{known, 0, false}, {fabricated, 0, false}};
    const TimePoint now(std::chrono::hours(1));
    EndpointTable table;
    setServices(table, config, now);
    applyEndpointUpdate(table, news, now);
    BOOST_REQUIRE(findEndpoint(table, "e1"));
    BOOST_CHECK_EQUAL(findEndpoint(table, "e1")->report.service, "desk");
    // Without a configuration, all reports are kept, and none is lost to another.
    EndpointTable unconfiguredTable;
    unconfiguredTable.services.emplace();
    applyEndpointUpdate(unconfiguredTable, news, now);
    BOOST_CHECK_EQUAL(findAllEndpoints(unconfiguredTable, "e1").size(), 2);
    setServices(unconfiguredTable, config, now);
    BOOST_REQUIRE(findEndpoint(unconfiguredTable, "e1"));
    BOOST_CHECK_EQUAL(findEndpoint(unconfiguredTable, "e1")->report.service, "desk");
}

BOOST_AUTO_TEST_CASE(settings_error_lacks_its_line_or_its_suggestion)
{
    const std::string validSettings =
            "node:\n  name: e1\n  region: r\n  domain: d\n  address: 10.0.0.1\n"
            "  internal_port: 7000\n  seeds: [\"10.0.0.2:80\"]\n"
            "  dialect: platform\nlisten:\n  callers: 10.0.0.1:80\nlimits:\n  retry_ratio: 0.2\n";
    BOOST_CHECK(parseGatewaySettings(validSettings, "f").findings.empty());
    const std::string invalidSettings =
            replaceFirst(replaceFirst(validSettings, "7000", "x"), "retry_ratio", "retry_ratoi");
    const auto findings = parseGatewaySettings(invalidSettings, "f").findings;
    BOOST_REQUIRE_EQUAL(findings.size(), 2);
    BOOST_CHECK_EQUAL(findings[0].line, 6);
    BOOST_CHECK(findings[1].message.find("did you mean 'retry_ratio'") != std::string::npos);
}

} // namespace Trefoil
