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
constexpr auto StatementTimeout = std::chrono::seconds(60);
constexpr const char *JsonType = "application/json";
constexpr const char *PrometheusType = "text/plain; version=0.0.4";

struct PendingStatement
{
    explicit PendingStatement(const asio::any_io_executor &executor)
        : changed(executor)
    {}

    Signal changed;
    std::optional<OperatorOutput> output;
};

std::optional<std::uint64_t> numberHeader(const HttpRequest &request, const char *name)
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

class OperatorDuty::Impl
{
public:
    Impl(const Settings &settings, std::function<bool(DecisionInput)> decide)
        : settings_(settings)
        , decide_(std::move(decide))
        , duty_("operators")
        , inbox_(duty_, InboxCapacity,
                 [this](OperatorOutput &&output) { receive(std::move(output)); })
    {}

    void start()
    {
        listenHttp(duty_, settings_.operatorListen, settings_.http,
                   [this](HttpConnection &connection, const HttpRequest &request) {
                       return handle(connection, request);
                   });
        duty_.start();
    }

    void stop() { duty_.stop(); }

    bool tryPush(OperatorOutput output) { return inbox_.tryPush(std::move(output)); }

private:
    void receive(OperatorOutput &&output)
    {
        if (const auto *status = std::get_if<OperatorStatus>(&output)) {
            status_ = *status;
            return;
        }
        const auto *reply = std::get_if<OperatorReply>(&output);
        const std::uint64_t id = reply ? reply->session : std::get<MetricsReply>(output).session;
        const auto found = pending_.find(id);
        if (found == pending_.end())
            return;
        found->second->output = std::move(output);
        found->second->changed.notify();
    }

    asio::awaitable<bool> handle(HttpConnection &connection, const HttpRequest &request)
    {
        const std::string target(request.target());
        if (target == "/metrics")
            co_return co_await handleMetrics(connection, request);
        if (target == "/v1/statement" && request.method() == http::verb::post)
            co_return co_await handleStatement(connection, request);
        if (target == "/healthz")
            co_return co_await reply(connection, request, http::status::ok, "ok\n", "text/plain");
        if (target == "/readyz") {
            const bool ready = status_.isServing;
            co_return co_await reply(connection, request,
                                     ready ? http::status::ok : http::status::service_unavailable,
                                     ready ? "ready\n" : "not ready\n", "text/plain");
        }
        co_return co_await reply(connection, request, http::status::not_found,
                                 bodyErrorJson({"path", "there is no " + target}), JsonType);
    }

    asio::awaitable<bool> reply(HttpConnection &connection, const HttpRequest &request,
                                http::status status, std::string body, const char *type)
    {
        co_return co_await writeResponse(
                connection, makeResponse(request, status, std::move(body), type), settings_.http);
    }

    // Sends the input to the decision duty and waits for what comes back.
    asio::awaitable<std::optional<OperatorOutput>> ask(std::uint64_t id, DecisionInput input)
    {
        auto pending = std::make_shared<PendingStatement>(duty_.context().get_executor());
        pending_[id] = pending;
        if (decide_(std::move(input)))
            co_await pending->changed.wait(RuntimeClock::now() + StatementTimeout);
        pending_.erase(id);
        co_return std::move(pending->output);
    }

    asio::awaitable<bool> handleMetrics(HttpConnection &connection, const HttpRequest &request)
    {
        const std::uint64_t id = nextSession_++;
        const auto output = co_await ask(id, MetricsRequest{id});
        if (!output)
            co_return co_await reply(connection, request, http::status::service_unavailable,
                                     "busy\n", "text/plain");
        co_return co_await reply(connection, request, http::status::ok,
                                 std::get<MetricsReply>(*output).text, PrometheusType);
    }

    asio::awaitable<bool> handleStatement(HttpConnection &connection, const HttpRequest &request)
    {
        OperatorRequest statement;
        statement.session = nextSession_++;
        statement.operatorName = std::string(request["Trefoil-Operator"]);
        statement.number = numberHeader(request, "Trefoil-Command-Number").value_or(0);
        statement.expectedVersion = numberHeader(request, "Trefoil-Expected-Version");
        const std::uint64_t waitMs = numberHeader(request, "Trefoil-Wait-Ms").value_or(0);
        statement.inForceTimeout =
                std::chrono::milliseconds(std::min<std::uint64_t>(waitMs, 45'000));
        statement.wallTimeMs = wallTimeMs();
        statement.text = request.body();
        const std::uint64_t id = statement.session;
        const auto output = co_await ask(id, std::move(statement));
        OperatorReply answer;
        answer.code = "busy";
        answer.message = "the entry did not answer in time";
        if (output)
            answer = std::get<OperatorReply>(*output);
        co_return co_await reply(connection, request,
                                 answer.isOk ? http::status::ok
                                             : http::status::unprocessable_entity,
                                 operatorReplyJson(answer), JsonType);
    }

    Settings settings_;
    std::function<bool(DecisionInput)> decide_;
    Duty duty_;
    OperatorStatus status_;
    std::uint64_t nextSession_ = 1;
    std::map<std::uint64_t, std::shared_ptr<PendingStatement>> pending_;
    Inbox<OperatorOutput> inbox_;
};

OperatorDuty::OperatorDuty(const Settings &settings, std::function<bool(DecisionInput)> decide)
    : impl_(std::make_unique<Impl>(settings, std::move(decide)))
{}

OperatorDuty::~OperatorDuty() = default;

bool OperatorDuty::tryPush(OperatorOutput output)
{
    return impl_->tryPush(std::move(output));
}

void OperatorDuty::start()
{
    impl_->start();
}

void OperatorDuty::stop()
{
    impl_->stop();
}

} // namespace Trefoil
