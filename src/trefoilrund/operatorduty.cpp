#include "trefoilrund/operatorduty.h"

#include "libruntime/signal.h"
#include "trefoilrund/frontjson.h"
#include "trefoilrund/httplistener.h"

#include <charconv>
#include <map>

namespace Trefoil {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t InboxCapacity = 4096;
constexpr auto NodeReplyTimeout = std::chrono::seconds(60);
constexpr const char *JsonType = "application/json";
constexpr const char *PrometheusType = "text/plain; version=0.0.4";

// A statement or metrics request that waits for the reply of the node thread.
struct PendingRequest
{
    explicit PendingRequest(const asio::any_io_executor &executor)
        : replied(executor)
    {}

    AsyncCondition replied;
    std::optional<OperatorThreadInput> reply;
};

std::optional<std::uint64_t> parseNumberHeader(const HttpRequest &request, const char *name)
{
    const std::string value(request[name]);
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, number);
    if (value.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

class OperatorThread::Impl
{
public:
    Impl(const Settings &settings, std::function<bool(NodeThreadInput)> postToNode)
        : settings_(settings)
        , postToNode_(std::move(postToNode))
        , thread_("operators")
        , inbox_(thread_, InboxCapacity,
                 [this](OperatorThreadInput &&input) { handleInput(std::move(input)); })
    {}

    void start()
    {
        listenHttp(thread_, settings_.operatorListenAddress, settings_.http,
                   [this](HttpConnection &connection, const HttpRequest &request) {
                       return handleHttpRequest(connection, request);
                   });
        thread_.start();
    }

    void stop() { thread_.stop(); }

    bool tryPush(OperatorThreadInput input) { return inbox_.tryPush(std::move(input)); }

private:
    void handleInput(OperatorThreadInput &&input)
    {
        if (const auto *status = std::get_if<ReadinessStatus>(&input)) {
            readiness_ = *status;
            return;
        }
        const auto *reply = std::get_if<OperatorReply>(&input);
        const std::uint64_t id = reply ? reply->session : std::get<MetricsReply>(input).session;
        const auto found = pendingRequests_.find(id);
        if (found == pendingRequests_.end())
            return;
        found->second->reply = std::move(input);
        found->second->replied.notify();
    }

    asio::awaitable<bool> handleHttpRequest(HttpConnection &connection, const HttpRequest &request)
    {
        const std::string target(request.target());
        if (target == "/metrics")
            co_return co_await handleMetrics(connection, request);
        if (target == "/v1/statement" && request.method() == http::verb::post)
            co_return co_await handleStatement(connection, request);
        if (target == "/healthz")
            co_return co_await writeReply(connection, request, http::status::ok, "ok\n",
                                          "text/plain");
        if (target == "/readyz") {
            const bool isServing = readiness_.isServing;
            co_return co_await writeReply(connection, request,
                                          isServing ? http::status::ok
                                                    : http::status::service_unavailable,
                                          isServing ? "ready\n" : "not ready\n", "text/plain");
        }
        co_return co_await writeReply(connection, request, http::status::not_found,
                                      invalidRequestJson({"path", "there is no " + target}),
                                      JsonType);
    }

    asio::awaitable<bool> writeReply(HttpConnection &connection, const HttpRequest &request,
                                     http::status status, std::string body, const char *type)
    {
        co_return co_await writeResponse(
                connection, makeResponse(request, status, std::move(body), type), settings_.http);
    }

    // Posts the input to the node thread and waits for its reply. Returns nothing on a timeout or a
    // full queue.
    asio::awaitable<std::optional<OperatorThreadInput>> requestFromNode(std::uint64_t id,
                                                                        NodeThreadInput input)
    {
        auto pending = std::make_shared<PendingRequest>(thread_.context().get_executor());
        pendingRequests_[id] = pending;
        if (postToNode_(std::move(input)))
            co_await pending->replied.wait(RuntimeClock::now() + NodeReplyTimeout);
        pendingRequests_.erase(id);
        co_return std::move(pending->reply);
    }

    asio::awaitable<bool> handleMetrics(HttpConnection &connection, const HttpRequest &request)
    {
        const std::uint64_t id = nextSessionId_++;
        const auto reply = co_await requestFromNode(id, MetricsRequest{id});
        if (!reply)
            co_return co_await writeReply(connection, request, http::status::service_unavailable,
                                          "busy\n", "text/plain");
        co_return co_await writeReply(connection, request, http::status::ok,
                                      std::get<MetricsReply>(*reply).text, PrometheusType);
    }

    asio::awaitable<bool> handleStatement(HttpConnection &connection, const HttpRequest &request)
    {
        OperatorRequest statement;
        statement.session = nextSessionId_++;
        statement.operatorName = std::string(request["Trefoil-Operator"]);
        statement.number = parseNumberHeader(request, "Trefoil-Command-Number").value_or(0);
        statement.expectedVersion = parseNumberHeader(request, "Trefoil-Expected-Version");
        const std::uint64_t waitMs = parseNumberHeader(request, "Trefoil-Wait-Ms").value_or(0);
        statement.inForceTimeout =
                std::chrono::milliseconds(std::min<std::uint64_t>(waitMs, 45'000));
        statement.wallTimeMs = wallTimeMs();
        statement.text = request.body();
        const std::uint64_t id = statement.session;
        const auto reply = co_await requestFromNode(id, std::move(statement));
        OperatorReply operatorReply;
        operatorReply.code = "busy";
        operatorReply.message = "the entry did not answer in time";
        if (reply)
            operatorReply = std::get<OperatorReply>(*reply);
        co_return co_await writeReply(connection, request,
                                      operatorReply.isOk ? http::status::ok
                                                         : http::status::unprocessable_entity,
                                      operatorReplyJson(operatorReply), JsonType);
    }

    Settings settings_;
    std::function<bool(NodeThreadInput)> postToNode_;
    EventLoopThread thread_;
    ReadinessStatus readiness_;
    std::uint64_t nextSessionId_ = 1;
    std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pendingRequests_;
    Inbox<OperatorThreadInput> inbox_;
};

OperatorThread::OperatorThread(const Settings &settings,
                               std::function<bool(NodeThreadInput)> postToNode)
    : impl_(std::make_unique<Impl>(settings, std::move(postToNode)))
{}

OperatorThread::~OperatorThread() = default;

bool OperatorThread::tryPush(OperatorThreadInput input)
{
    return impl_->tryPush(std::move(input));
}

void OperatorThread::start()
{
    impl_->start();
}

void OperatorThread::stop()
{
    impl_->stop();
}

} // namespace Trefoil
