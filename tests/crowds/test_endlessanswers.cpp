#define BOOST_TEST_MODULE endlessanswers
#include "crowds/crowd.h"
#include "crowds/systemfixture.h"

// Tests that engines whose answers have no end do no harm, whatever part of an answer it is: the
// processes live, their memory and open descriptors stay under the limits of their settings,
// another service is answered meanwhile, and nobody takes what was cut for a whole answer.

namespace Trefoil {

namespace {

namespace asio = boost::asio;

constexpr std::size_t MegaByte = 1024 * 1024;

// An answer that goes on until its reader closes the connection.
struct EndlessAnswer
{
    const char *name;
    std::string start;
    std::string piece;
};

const std::string Head = "HTTP/1.1 200 OK\r\nX-Trefoilrun-Response-Seal: s\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string StreamHead =
        Head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string SmallAnswer = Head + "Content-Length: 2\r\n\r\n{}";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

// Engines answer in each of these ways in turn.
const EndlessAnswer Answers[] = {
        {"lines of a head", Head, repeated("X-Field: value\r\n", 4000)},
        {"one field of a head", Head + "X-Field: ", std::string(64'000, 'f')},
        {"interim answers", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 2000)},
        {"a body of a large length", Head + "Content-Length: 9000000000000\r\n\r\n",
         std::string(64'000, 'b')},
        {"chunks", ChunkedHead, toChunk(std::string(60'000, 'c'))},
        {"very small chunks", ChunkedHead, repeated(toChunk("c"), 8000)},
        {"the extension of a chunk", ChunkedHead + "1;", std::string(64'000, 'e')},
        {"trailers", ChunkedHead + "1\r\nx\r\n0\r\n", repeated("T: trailer\r\n", 4000)},
        {"a body without length", Head + "Connection: close\r\n\r\n", std::string(64'000, 'b')},
        {"an event of one line", StreamHead + toChunk("id: 2\ndata: "),
         toChunk(std::string(60'000, 'd'))},
        {"an event of many lines", StreamHead + toChunk("id: 2\n"),
         toChunk(repeated("data: d\n", 8000))},
        {"bytes after the answer", SmallAnswer, std::string(64'000, 'u')},
};

// A connection gets no more than this, so that a reader without bounds ends some time.
constexpr std::size_t MaxPiecesPerConnection = 1500;

asio::awaitable<bool> writeEndless(Channel &channel, const EndlessAnswer &answer)
{
    const TimePoint deadline = RuntimeClock::now() + std::chrono::seconds(20);
    bool isOpen = co_await channel.write(answer.start, deadline);
    for (std::size_t i = 0; isOpen && i < MaxPiecesPerConnection; ++i)
        isOpen = co_await channel.write(answer.piece, deadline);
    co_return false;
}

const EndlessAnswer &nextAnswer(std::size_t &count)
{
    return Answers[count++ % std::size(Answers)];
}

struct EndlessFixture : SystemFixture
{
    // Number of answers without end. Counted on the thread of the engines.
    std::size_t answerCount = 0;

    EndlessFixture()
    {
        options.connections = 1500;
        options.engines = 4 * std::size(Answers);
    }

    // Lets each engine answer requests without end, those that resume a stream or all.
    void answerWithoutEnd(bool onlyResumptions)
    {
        for (const auto &engine : system->engines) {
            engine->answer = [this,
                              onlyResumptions](StandInEngine &, Channel &channel,
                                               const HttpHead &head) -> asio::awaitable<bool> {
                if (!onlyResumptions || findField(head, "Last-Event-Id"))
                    co_return co_await writeEndless(channel, nextAnswer(answerCount));
                co_await channel.write(StreamHead + toChunk("id: 1\ndata: d\n\n"),
                                       RuntimeClock::now() + std::chrono::seconds(5));
                co_return false;
            };
        }
    }

    asio::awaitable<void> checkSystem(const UsageWatch &entryWatch, const UsageWatch &controlWatch)
    {
        const bool isServing = co_await system->serveOneRequest();
        BOOST_CHECK(isServing);
        const bool isReadable = co_await system->readConfiguration();
        BOOST_CHECK(isReadable);
        checkUsage(system->entry, entryWatch.peak());
        checkUsage(system->controls[0], controlWatch.peak());
    }

    void checkUsage(GatewayNode &node, const PeakUsage &peak) const
    {
        BOOST_TEST_CONTEXT(node.name)
        {
            BOOST_CHECK(isRunning(node));
            BOOST_CHECK_LE(peak.memoryBytes, options.memoryMb * MegaByte);
            BOOST_CHECK_LE(peak.openDescriptors, options.connections);
            BOOST_TEST_MESSAGE(node.name << ": " << peak.memoryBytes / MegaByte << " MB, "
                                         << peak.openDescriptors << " descriptors");
        }
    }

    // Sends requests to the engines and checks the system. The only whole answers are those before
    // bytes that nobody asked for.
    asio::awaitable<void> playRequests(std::string_view target)
    {
        const bool isReady =
                co_await reaches(system->controls[0], "groups_open", std::size(Answers));
        BOOST_REQUIRE(isReady);
        UsageWatch entryWatch(context, system->entry);
        UsageWatch controlWatch(context, system->controls[0]);
        const std::string request = "POST " + std::string(target)
                                    + " HTTP/1.1\r\nHost: crowds.example\r\n"
                                      "X-Trefoilrun-Model-Name: "
                                    + std::string(StreamModel)
                                    + "\r\nX-Trefoilrun-Token-Count: 10,20\r\n"
                                      "Content-Length: 0\r\n\r\n";
        CrowdScript script{addressOf(system->entry, CallerPort), 200, request, "", 0, true};
        Crowd crowd(context, std::move(script));
        co_await crowd.run();
        co_await checkSystem(entryWatch, controlWatch);
        const bool isStream = target == StreamTarget;
        const std::size_t whole = isStream ? crowd.countEndings("\r\n0\r\n\r\n")
                                           : crowd.countAnswers("HTTP/1.1 200 ");
        BOOST_CHECK_EQUAL(whole, isStream ? 0 : crowd.countEndings("{}"));
        int requests = 0;
        for (const auto &engine : system->engines)
            requests += engine->requestCount;
        BOOST_CHECK_GE(requests, 2 * static_cast<int>(std::size(Answers)));
        BOOST_TEST_MESSAGE(requests << " requests reached engines");
        crowd.close();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(endless_answers_to_requests_exhaust_the_memory, EndlessFixture)
{
    run([&] { return playRequests(SingleTarget); }, [&] { answerWithoutEnd(false); });
}

BOOST_FIXTURE_TEST_CASE(endless_answers_to_streams_exhaust_the_memory, EndlessFixture)
{
    run([&] { return playRequests(StreamTarget); }, [&] { answerWithoutEnd(false); });
}

// The first endpoint of each stream sends one event and ends, so that it is probed. Bytes without
// end come to the request that resumes the stream.
BOOST_FIXTURE_TEST_CASE(endless_answers_to_resumed_streams_exhaust_the_memory, EndlessFixture)
{
    run([&] { return playRequests(StreamTarget); }, [&] { answerWithoutEnd(true); });
}

// The answers to all orders of the control VM have no end.
BOOST_FIXTURE_TEST_CASE(endless_answers_to_orders_exhaust_the_memory, EndlessFixture)
{
    options.connections = 600;
    options.engines = 120;
    const auto prepare = [&] {
        for (const auto &engine : system->engines) {
            engine->answerOrder = [this](StandInEngine &, Channel &channel, const HttpHead &) {
                return writeEndless(channel, nextAnswer(answerCount));
            };
        }
    };
    const auto test = [&]() -> asio::awaitable<void> {
        UsageWatch entryWatch(context, system->entry);
        UsageWatch controlWatch(context, system->controls[0]);
        co_await sleepFor(std::chrono::seconds(8));
        co_await checkSystem(entryWatch, controlWatch);
        std::size_t ordered = 0;
        for (const auto &engine : system->engines)
            ordered += engine->orders().empty() ? 0 : 1;
        BOOST_CHECK_EQUAL(ordered, system->engines.size());
    };
    run(test, prepare);
}

// Engines send bytes on each connection before they got anything, also on those of probes.
BOOST_FIXTURE_TEST_CASE(bytes_before_any_request_exhaust_the_memory, EndlessFixture)
{
    const auto prepare = [&] {
        for (const auto &engine : system->engines)
            engine->greeting = std::string(64'000, 'g');
    };
    const auto test = [&]() -> asio::awaitable<void> {
        UsageWatch entryWatch(context, system->entry);
        UsageWatch controlWatch(context, system->controls[0]);
        co_await sleepFor(std::chrono::seconds(5));
        co_await checkSystem(entryWatch, controlWatch);
    };
    run(test, prepare);
}

} // namespace Trefoil
