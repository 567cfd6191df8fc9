#define BOOST_TEST_MODULE crowds
#include "crowds/crowd.h"
#include "crowds/systemfixture.h"

#include "libgateway/linkmessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <functional>

// Tests that crowds of clients which break or use up the limits of requests do no harm: the
// processes live, their memory and open descriptors stay under the limits of their settings, and an
// ordinary request is answered while the crowd is still there.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;

constexpr std::size_t MegaByte = 1024 * 1024;

// Limit of requests that no test waits for.
constexpr auto LongTimeout = std::chrono::minutes(10);

struct CrowdFixture : SystemFixture
{
    std::size_t unsolicitedBytes = 0;

    void run(const std::function<asio::awaitable<void>()> &test)
    {
        SystemFixture::run(test, [this] { system->unsolicitedBytes = unsolicitedBytes; });
    }

    void checkUsage(GatewayNode &node, const PeakUsage &peak) const
    {
        BOOST_TEST_CONTEXT(node.role)
        {
            BOOST_CHECK(isRunning(node));
            BOOST_CHECK_LE(peak.memoryBytes, options.memoryMb * MegaByte);
            BOOST_CHECK_LE(peak.openDescriptors, options.connections);
        }
    }

    // Runs one crowd, checks both processes and that the system still serves.
    asio::awaitable<void> playCrowd(CrowdScript script)
    {
        UsageWatch entryWatch(context, system->entry);
        UsageWatch controlWatch(context, system->controls[0]);
        Crowd crowd(context, std::move(script));
        co_await crowd.run();
        const bool isServing = co_await system->serveOneRequest();
        BOOST_CHECK(isServing);
        const bool isReadable = co_await system->readConfiguration();
        BOOST_CHECK(isReadable);
        checkUsage(system->entry, entryWatch.peak());
        checkUsage(system->controls[0], controlWatch.peak());
        crowd.close();
    }

    void playCallers(std::size_t clients, const std::string &head, const std::string &piece,
                     std::size_t pieces)
    {
        run([&]() -> asio::awaitable<void> {
            CrowdScript script{
                    addressOf(system->entry, CallerPort), clients, head, piece, pieces, false};
            co_await playCrowd(std::move(script));
        });
    }
};

std::string makeHead(std::string_view target, const std::string &fields)
{
    return "POST " + std::string(target)
           + " HTTP/1.1\r\nHost: crowds.example\r\nX-Trefoilrun-Attempt-Id: c\r\n" + fields
           + "\r\n";
}

const std::string ChunkedHead = makeHead(OrdinaryTarget, "Transfer-Encoding: chunked\r\n");

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string makeChunk(std::size_t size)
{
    return toChunk(std::string(size, 'x'));
}

// The body of each client stays within the limit and short of its end.
constexpr std::size_t StalledBodyBytes = 3'900'000;

} // namespace

BOOST_FIXTURE_TEST_CASE(bodies_in_large_chunks_that_do_not_end_exhaust_the_memory, CrowdFixture)
{
    constexpr std::size_t chunkBytes = 60'000;
    playCallers(80, ChunkedHead, makeChunk(chunkBytes), StalledBodyBytes / chunkBytes);
}

BOOST_FIXTURE_TEST_CASE(bodies_in_very_small_chunks_that_do_not_end_exhaust_the_memory,
                        CrowdFixture)
{
    constexpr std::size_t chunkBytes = 4;
    constexpr std::size_t chunksPerPiece = 10'000;
    playCallers(40, ChunkedHead, repeated(makeChunk(chunkBytes), chunksPerPiece),
                StalledBodyBytes / chunkBytes / chunksPerPiece);
}

BOOST_FIXTURE_TEST_CASE(bodies_of_announced_length_that_do_not_end_exhaust_the_memory, CrowdFixture)
{
    constexpr std::size_t pieceBytes = 50'000;
    playCallers(80, makeHead(OrdinaryTarget, "Content-Length: 4000000\r\n"),
                std::string(pieceBytes, 'x'), StalledBodyBytes / pieceBytes);
}

BOOST_FIXTURE_TEST_CASE(chunk_extensions_without_end_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1500;
    playCallers(700, ChunkedHead + "1;", std::string(10'000, 'e'), 100);
}

BOOST_FIXTURE_TEST_CASE(trailers_without_end_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1500;
    playCallers(700, ChunkedHead + "1\r\nx\r\n0\r\n", repeated("T: trailer\r\n", 1000), 100);
}

// Each field of a head takes more memory than its bytes.
BOOST_FIXTURE_TEST_CASE(heads_of_many_short_fields_exhaust_the_memory, CrowdFixture)
{
    options.connections = 2000;
    playCallers(1000, makeHead(OrdinaryTarget, "Content-Length: 10\r\n" + repeated("a:\r\n", 3900)),
                "x", 1);
}

BOOST_FIXTURE_TEST_CASE(requests_pipelined_behind_a_running_one_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1500;
    const std::string request = makeHead(OrdinaryTarget, "Content-Length: 0\r\n");
    playCallers(350, makeHead(UnansweredTarget, "Content-Length: 0\r\n"), repeated(request, 100),
                60);
}

BOOST_FIXTURE_TEST_CASE(complete_requests_that_wait_for_their_endpoint_exhaust_the_memory,
                        CrowdFixture)
{
    constexpr std::size_t pieceBytes = 50'000;
    playCallers(80, makeHead(UnansweredTarget, "Content-Length: 4000000\r\n"),
                std::string(pieceBytes, 'x'), 80);
}

BOOST_FIXTURE_TEST_CASE(answers_to_callers_that_do_not_read_exhaust_the_memory, CrowdFixture)
{
    playCallers(60, makeHead(LargeAnswerTarget, "Content-Length: 0\r\n"), "", 0);
}

BOOST_FIXTURE_TEST_CASE(small_answers_to_callers_that_do_not_read_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1500;
    const std::string request = makeHead("/none", "Content-Length: 0\r\n");
    playCallers(300, request, repeated(request, 200), 200);
}

BOOST_FIXTURE_TEST_CASE(more_idle_connections_than_descriptors_keep_callers_out, CrowdFixture)
{
    options.idleTimeout = options.headerTimeout = LongTimeout;
    playCallers(600, "", "", 0);
}

BOOST_FIXTURE_TEST_CASE(unfinished_heads_on_all_connections_keep_callers_out, CrowdFixture)
{
    options.idleTimeout = options.headerTimeout = LongTimeout;
    playCallers(600, "POST /book/ordinary HTTP/1.1\r\nHost: crowds", "", 0);
}

// One request of the largest body that the limits allow is served, however it is framed.
BOOST_FIXTURE_TEST_CASE(single_request_of_the_largest_size_is_refused, CrowdFixture)
{
    run([&]() -> asio::awaitable<void> {
        constexpr std::size_t chunkBytes = 64 * 1024;
        const std::size_t chunks = options.maxBodyBytes / chunkBytes;
        const std::string length = std::to_string(options.maxBodyBytes);
        const std::string heads[] = {
                makeHead(OrdinaryTarget, "Content-Length: " + length + "\r\n")
                        + std::string(options.maxBodyBytes, 'x'),
                ChunkedHead + repeated(makeChunk(chunkBytes), chunks) + "0\r\n\r\n",
        };
        for (const std::string &head : heads) {
            CrowdScript script{addressOf(system->entry, CallerPort), 1, head, "", 0, true};
            Crowd crowd(context, std::move(script));
            co_await crowd.run();
            BOOST_CHECK_EQUAL(crowd.countAnswers("HTTP/1.1 200 "), 1);
            crowd.close();
        }
    });
}

// A caller that sends far more than the limit is told so, and what it sends is not kept.
BOOST_FIXTURE_TEST_CASE(refusal_of_a_body_over_the_limit_does_not_reach_its_caller, CrowdFixture)
{
    options.maxBodyBytes = MegaByte;
    run([&]() -> asio::awaitable<void> {
        for (const bool isAnnounced : {true, false}) {
            constexpr std::size_t clients = 20;
            const std::string head =
                    isAnnounced ? makeHead(OrdinaryTarget, "Content-Length: 400000000\r\n")
                                : ChunkedHead;
            CrowdScript script{addressOf(system->entry, CallerPort),
                               clients,
                               head,
                               makeChunk(60'000),
                               200,
                               true};
            Crowd crowd(context, std::move(script));
            UsageWatch watch(context, system->entry);
            co_await crowd.run();
            BOOST_CHECK_EQUAL(crowd.countAnswers("HTTP/1.1 413 "), clients);
            const bool isServing = co_await system->serveOneRequest();
            BOOST_CHECK(isServing);
            checkUsage(system->entry, watch.peak());
            crowd.close();
        }
    });
}

struct ListenPort
{
    bool isEntry;
    std::uint16_t port;
};

std::ostream &operator<<(std::ostream &stream, const ListenPort &listenPort)
{
    return stream << (listenPort.isEntry ? "entry" : "control") << " port " << listenPort.port;
}

const std::vector<ListenPort> HttpPorts = {{true, ReadinessPort},
                                           {true, MetricsPort},
                                           {false, ControlPort},
                                           {false, EntryListPort},
                                           {false, MetricsPort}};

BOOST_DATA_TEST_CASE_F(CrowdFixture, unfinished_bodies_on_other_ports_exhaust_the_memory,
                       data::make(HttpPorts), listenPort)
{
    run([&]() -> asio::awaitable<void> {
        const GatewayNode &node = listenPort.isEntry ? system->entry : system->controls[0];
        CrowdScript script{
                addressOf(node, listenPort.port), 40, ChunkedHead, makeChunk(60'000), 120, false};
        co_await playCrowd(std::move(script));
    });
}

BOOST_DATA_TEST_CASE_F(CrowdFixture, idle_connections_on_other_ports_take_all_descriptors,
                       data::make(HttpPorts), listenPort)
{
    run([&]() -> asio::awaitable<void> {
        const GatewayNode &node = listenPort.isEntry ? system->entry : system->controls[0];
        CrowdScript script{addressOf(node, listenPort.port), 600, "", "", 0, false};
        co_await playCrowd(std::move(script));
    });
}

BOOST_FIXTURE_TEST_CASE(link_messages_that_do_not_end_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1000;
    run([&]() -> asio::awaitable<void> {
        // The first bytes announce a message of 16 MB.
        const std::string length("\0\0\0\1", 4);
        CrowdScript script{addressOf(system->controls[0], InternalPort),
                           300,
                           length,
                           std::string(50'000, 'x'),
                           40,
                           false};
        co_await playCrowd(std::move(script));
    });
}

BOOST_FIXTURE_TEST_CASE(idle_links_take_all_descriptors, CrowdFixture)
{
    run([&]() -> asio::awaitable<void> {
        CrowdScript script{addressOf(system->controls[0], InternalPort), 600, "", "", 0, false};
        co_await playCrowd(std::move(script));
    });
}

// Anyone can send load digests, which each entry keeps by the name of their sender.
BOOST_FIXTURE_TEST_CASE(digests_of_unknown_entries_exhaust_the_memory, CrowdFixture)
{
    run([&]() -> asio::awaitable<void> {
        UsageWatch watch(context, system->entry);
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint target(asio::ip::make_address(system->entry.address),
                                             InternalPort);
        for (int number = 0; number < 2000; ++number) {
            LoadDigest digest;
            digest.entryName = "unknown-" + std::to_string(number);
            digest.sequence = 1;
            for (EndpointHash endpoint = 0; endpoint < 1500; ++endpoint)
                digest.loads.push_back({endpoint, 1, 1});
            const std::string bytes = encodeLoadDigest(digest);
            socket.send_to(asio::buffer(bytes), target);
            if (number % 4 == 0) {
                RuntimeTimer pause(context, RuntimeClock::now() + std::chrono::milliseconds(5));
                co_await pause.async_wait(asio::use_awaitable);
            }
        }
        const bool isServing = co_await system->serveOneRequest();
        BOOST_CHECK(isServing);
        checkUsage(system->entry, watch.peak());
    });
}

// Large answers to many requests at once, of callers that read them.
BOOST_FIXTURE_TEST_CASE(large_answers_at_once_exhaust_the_memory, CrowdFixture)
{
    run([&]() -> asio::awaitable<void> {
        CrowdScript script{addressOf(system->entry, CallerPort),
                           80,
                           makeHead(LargeAnswerTarget, "Content-Length: 0\r\n"),
                           "",
                           0,
                           true};
        co_await playCrowd(std::move(script));
    });
}

// An endpoint sends bytes on connections on which no request waits.
BOOST_FIXTURE_TEST_CASE(unsolicited_bytes_of_an_endpoint_exhaust_the_memory, CrowdFixture)
{
    options.connections = 1500;
    unsolicitedBytes = 2 * MegaByte;
    run([&]() -> asio::awaitable<void> {
        CrowdScript script{addressOf(system->entry, CallerPort),
                           400,
                           makeHead(OrdinaryTarget, "Content-Length: 0\r\n"),
                           "",
                           0,
                           true};
        co_await playCrowd(std::move(script));
    });
}

} // namespace Trefoil
