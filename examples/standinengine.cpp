#include "standinengine.h"

#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace Trefoil {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(AsTuple);
}

std::uint64_t parseNumberHeader(const HttpRequest &request, const char *name)
{
    const std::string value(request[name]);
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

json::object parseJsonBody(const HttpRequest &request)
{
    boost::system::error_code error;
    const json::value value = json::parse(request.body(), error);
    return !error && value.is_object() ? value.as_object() : json::object();
}

std::uint64_t findNumber(const json::object &object, const char *field, std::uint64_t fallback)
{
    const json::value *value = object.if_contains(field);
    return value && value->is_int64() ? static_cast<std::uint64_t>(value->as_int64()) : fallback;
}

std::string findText(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

// Returns a stream event with one token.
std::string makeTokenEvent(std::uint64_t index)
{
    const json::object delta{{"content", "w" + std::to_string(index) + " "}};
    const json::array choices{json::object{{"index", 0}, {"delta", delta}}};
    return "data: "
           + json::serialize(
                   json::object{{"object", "chat.completion.chunk"}, {"choices", choices}})
           + "\n\n";
}

// Returns the response to a request that does not stream.
std::string makeCompletion(std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
        text += "w" + std::to_string(i) + " ";
    const json::object message{{"role", "assistant"}, {"content", text}};
    const json::object answer{
            {"object", "chat.completion"},
            {"choices", json::array{json::object{{"index", 0}, {"message", message}}}},
            {"usage", json::object{{"completion_tokens", tokens}}}};
    return json::serialize(answer);
}

std::string makeCallResponse(const std::string &vm, const std::string &call, std::uint32_t run)
{
    return json::serialize(json::object{{"vm", vm}, {"call", call}, {"run", run}});
}

// Counts a request as in progress for the lifetime of the object.
class InFlightCounter
{
public:
    explicit InFlightCounter(std::uint32_t &count)
        : count_(count)
    {
        ++count_;
    }
    ~InFlightCounter() { --count_; }
    InFlightCounter(const InFlightCounter &) = delete;
    InFlightCounter &operator=(const InFlightCounter &) = delete;

private:
    std::uint32_t &count_;
};

} // namespace

StandinEngine::StandinEngine(EndpointInfo info, const StandinOptions &options)
    : info_(std::move(info))
    , options_(options)
{}

HeartbeatReport StandinEngine::report() const
{
    HeartbeatReport report;
    report.group = group_;
    report.inFlight = inFlight_;
    report.weights.assign(weights_.begin(), weights_.end());
    if (!info_.service.empty())
        report.state = "ready";
    else if (group_ > 0)
        report.state = RuntimeClock::now() >= readyAt_ ? "ready" : "loading";
    return report;
}

asio::awaitable<bool> StandinEngine::handle(HttpConnection &connection, const HttpRequest &request)
{
    const std::string path(request.target());
    if (path == "/standin/ledger")
        co_return co_await handleLedger(connection, request);
    if (path == "/standin/control")
        co_return co_await handleControl(connection, request);
    if (path == "/v1/engine/order")
        co_return co_await handleOrder(connection, request);
    if (path == "/v1/chat/completions")
        co_return co_await handleChat(connection, request);
    co_return co_await handleServiceCall(connection, request);
}

asio::awaitable<bool> StandinEngine::writeJsonResponse(HttpConnection &connection,
                                                       const HttpRequest &request, unsigned status,
                                                       std::string body)
{
    co_return co_await writeResponse(connection,
                                     makeResponse(request, static_cast<http::status>(status),
                                                  std::move(body), "application/json"),
                                     limits_);
}

asio::awaitable<bool> StandinEngine::rejectWithoutRunning(HttpConnection &connection,
                                                          const HttpRequest &request,
                                                          unsigned status)
{
    ++refused_;
    HttpResponse response = makeResponse(request, static_cast<http::status>(status),
                                         R"({"error":"not run"})", "application/json");
    response.set("Trefoil-Ran", "no");
    co_return co_await writeResponse(connection, std::move(response), limits_);
}

asio::awaitable<bool> StandinEngine::handleOrder(HttpConnection &connection,
                                                 const HttpRequest &request)
{
    const json::object order = parseJsonBody(request);
    const std::uint64_t fencingToken = findNumber(order, "fence", 0);
    if (info_.enforcesFencing && fencingToken < highestFencingToken_)
        co_return co_await writeJsonResponse(connection, request, 409,
                                             R"({"error":"old fencing number"})");
    highestFencingToken_ = std::max(highestFencingToken_, fencingToken);
    const std::string weights = findText(order, "model") + "@" + findText(order, "version");
    const bool hasWeights = weights_.contains(weights);
    if (group_ != findNumber(order, "group", 0))
        readyAt_ = RuntimeClock::now() + (hasWeights ? Duration{} : options_.loadTime);
    group_ = findNumber(order, "group", 0);
    weights_ = {weights};
    co_return co_await writeJsonResponse(connection, request, 200, R"({"accepted":true})");
}

asio::awaitable<bool> StandinEngine::handleChat(HttpConnection &connection,
                                                const HttpRequest &request)
{
    const std::uint64_t group = parseNumberHeader(request, "Trefoil-Group");
    const bool isReady = group_ > 0 && RuntimeClock::now() >= readyAt_;
    if (group != group_ || !isReady)
        co_return co_await rejectWithoutRunning(connection, request, 409);
    if (inFlight_ >= info_.slots)
        co_return co_await rejectWithoutRunning(connection, request, 503);
    const InFlightCounter running(inFlight_);
    const json::object body = parseJsonBody(request);
    ++runs_[std::string(request["Trefoil-Request-Id"])];
    const auto tokens =
            static_cast<std::uint32_t>(findNumber(body, "max_tokens", options_.defaultTokens));
    const json::value *stream = body.if_contains("stream");
    if (stream && stream->is_bool() && stream->as_bool())
        co_return co_await streamTokens(connection, request, tokens);
    co_await sleepFor(options_.tokenInterval * tokens);
    co_return co_await writeJsonResponse(connection, request, 200, makeCompletion(tokens));
}

asio::awaitable<bool> StandinEngine::streamTokens(HttpConnection &connection,
                                                  const HttpRequest &request, std::uint32_t tokens)
{
    http::response<http::empty_body> response(http::status::ok, request.version());
    response.set(http::field::content_type, "text/event-stream");
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(connection.stream, serializer, asio::use_awaitable);
    const std::uint64_t first = parseNumberHeader(request, "Trefoil-Resume-From");
    const std::uint64_t tokensBeforeCut = std::exchange(cutAfterTokens_, 0);
    for (std::uint64_t i = first; i < tokens; ++i) {
        if (tokensBeforeCut > 0 && i >= first + tokensBeforeCut) {
            connection.stream.close();
            co_return false;
        }
        co_await sleepFor(options_.tokenInterval);
        const std::string event = makeTokenEvent(i);
        co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(event)),
                                   asio::use_awaitable);
    }
    const std::string done = "data: [DONE]\n\n";
    co_await asio::async_write(connection.stream, http::make_chunk(asio::buffer(done)),
                               asio::use_awaitable);
    co_await asio::async_write(connection.stream, http::make_chunk_last(), asio::use_awaitable);
    co_return true;
}

asio::awaitable<bool> StandinEngine::handleServiceCall(HttpConnection &connection,
                                                       const HttpRequest &request)
{
    if (inFlight_ >= info_.slots)
        co_return co_await rejectWithoutRunning(connection, request, 503);
    const InFlightCounter running(inFlight_);
    const std::string call = std::string(request.method_string()) + " "
                             + std::string(request.target()) + " " + request.body();
    const std::uint32_t run = ++runs_[call];
    co_await sleepFor(options_.callTime);
    co_return co_await writeJsonResponse(connection, request, 200,
                                         makeCallResponse(info_.vm, call, run));
}

asio::awaitable<bool> StandinEngine::handleLedger(HttpConnection &connection,
                                                  const HttpRequest &request)
{
    co_return co_await writeJsonResponse(connection, request, 200, formatLedger());
}

std::string StandinEngine::formatLedger() const
{
    json::object runs;
    for (const auto &[id, count] : runs_)
        runs[id] = count;
    return json::serialize(json::object{{"vm", info_.vm},
                                        {"group", group_},
                                        {"in_flight", inFlight_},
                                        {"refused", refused_},
                                        {"runs", std::move(runs)}});
}

// Changes the behavior for tests. The fields are silent, drop_after and group.
asio::awaitable<bool> StandinEngine::handleControl(HttpConnection &connection,
                                                   const HttpRequest &request)
{
    const json::object body = parseJsonBody(request);
    if (const json::value *silent = body.if_contains("silent"))
        suppressesHeartbeats_ = silent->is_bool() && silent->as_bool();
    cutAfterTokens_ = findNumber(body, "drop_after", cutAfterTokens_);
    group_ = findNumber(body, "group", group_);
    co_return co_await writeJsonResponse(connection, request, 200, "{}");
}

} // namespace Trefoil
