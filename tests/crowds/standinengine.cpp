#include "crowds/standinengine.h"

#include "libgateway/endpointpool.h"
#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace Trefoil {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto ReportInterval = std::chrono::milliseconds(300);
constexpr auto ReportPollInterval = std::chrono::milliseconds(20);
constexpr auto WriteTimeout = std::chrono::seconds(30);
constexpr std::size_t InputCapacity = 64 * 1024;
constexpr const char *OrderPath = "/trefoilrun/order";

asio::awaitable<bool> writeAnswer(Channel &channel, const HttpHead &request, std::uint32_t status,
                                  const std::string &body)
{
    const std::string *id = findField(request, "X-Trefoilrun-Attempt-Id");
    const std::string text = "HTTP/1.1 " + std::to_string(status)
                             + " x\r\nContent-Type: application/json\r\nX-Trefoilrun-Attempt-Id: "
                             + (id ? *id : std::string())
                             + "\r\nX-Trefoilrun-Response-Seal: s\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body;
    co_return co_await channel.write(text, RuntimeClock::now() + WriteTimeout);
}

} // namespace

StandInEngine::StandInEngine(asio::io_context &context, std::string id, std::string address)
    : context_(context)
    , id_(std::move(id))
    , address_(std::move(address))
    , startedAtMs_(wallTimeMs())
{}

json::object StandInEngine::makeService()
{
    const json::object model{{"name", StreamModel}, {"size", 2},     {"share", 1.0},
                             {"pace", 1.0},         {"load-s", 0.1}, {"warm-s", 0.1}};
    const json::object usual{{"prompt", 100}, {"answer", 20}};
    const json::object engine{{"slots", 500},
                              {"kv-tokens", 14'000'000},
                              {"kv-bytes", 35'136},
                              {"link-mbps", 400'000.0},
                              {"stride", 5},
                              {"models", json::array{model}},
                              {"step_ms", 1.0},
                              {"per_seq_ms", 0.001},
                              {"context_per_k", 0.0},
                              {"read_per_s", 4'600'000.0},
                              {"pairs_per_m", 0.0},
                              {"chunk", 2048},
                              {"report_lag_ms", 20.0},
                              {"loads-per-s", 40.0},
                              {"loads_at_once", 60},
                              {"usual", usual},
                              {"keeps", 1},
                              {"far_x", 4.0},
                              {"form-ms", 10.0}};
    return {{"name", "drafts"},
            {"health-path", "/health"},
            {"max-connections", 10'000},
            {"engine", engine}};
}

json::object StandInEngine::makeRoute(const std::string &host, bool isStream)
{
    return {{"name", isStream ? "draft" : "single"},
            {"host", host},
            {"path-prefix", isStream ? "/draft/" : "/single/"},
            {"kind", isStream ? "streaming" : "idempotent"},
            {"timeout-ms", 20'000},
            {"target-latency-ms", 500},
            {"service", "drafts"},
            {"attempts", 3},
            {"sticky", true},
            {"stream-resume", isStream},
            {"gap-aim-ms", 300}};
}

void StandInEngine::start()
{
    listener_ = std::make_unique<ChannelListener>(
            context_, address_, InputCapacity, [this](ChannelPointer channel) {
                asio::co_spawn(context_, serve(std::move(channel)), asio::detached);
            });
    asio::co_spawn(context_, sendReports(), asio::detached);
}

void StandInEngine::reportTo(std::string address)
{
    const std::lock_guard lock(mutex_);
    reportAddress_ = std::move(address);
}

std::vector<std::string> StandInEngine::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_;
}

std::string StandInEngine::makeReport()
{
    json::object report{{"service", "drafts"},    {"address", address_},
                        {"zone", "d1"},           {"version", "v1"},
                        {"slots", 500},           {"state", "ready"},
                        {"cold-remaining-ms", 0}, {"sequence", ++sequence_},
                        {"born", startedAtMs_},   {"stage", "hybrid"},
                        {"domain", "fabric-1"},   {"staged", json::array{StreamModel}},
                        {"models", json::array{}}};
    if (membership_)
        report["group"] = {{"name", membership_->group},
                           {"epoch", membership_->epoch},
                           {"rank", membership_->rank},
                           {"state", membership_->state}};
    return json::serialize(report);
}

// Reports regularly and after each change.
asio::awaitable<void> StandInEngine::sendReports()
{
    TimePoint nextAt{};
    std::string lastState;
    RuntimeTimer timer(context_);
    for (;;) {
        const std::string state = membership_ ? membership_->group + membership_->state : "";
        std::string address;
        {
            const std::lock_guard lock(mutex_);
            address = reportAddress_;
        }
        if (!address.empty() && (RuntimeClock::now() >= nextAt || state != lastState)) {
            lastState = state;
            nextAt = RuntimeClock::now() + ReportInterval;
            HttpCall call;
            call.address = address;
            call.target = "/trefoilrun/instances/" + id_ + "/heartbeat";
            call.body = makeReport();
            co_await callHttp(std::move(call));
        }
        timer.expires_after(ReportPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::uint32_t StandInEngine::obey(const json::object &order)
{
    const std::string operation = json::value_to<std::string>(order.at("operation"));
    {
        const std::lock_guard lock(mutex_);
        orders_.push_back(operation);
    }
    if (operation == "stage")
        return 202;
    const std::string group = json::value_to<std::string>(order.at("group"));
    if (operation == "join") {
        Membership next{group, json::value_to<std::uint64_t>(order.at("epoch")), 0, "ready"};
        for (const json::value &member : order.at("members").as_array()) {
            if (json::value_to<std::string>(member) == id_)
                break;
            ++next.rank;
        }
        if (!membership_ || membership_->group != group)
            membership_ = next;
        return 202;
    }
    if (!membership_ || membership_->group != group)
        return 409;
    if (operation == "leave")
        membership_.reset();
    else
        membership_->state = operation == "open" ? "open" : "ready";
    return 202;
}

asio::awaitable<void> StandInEngine::serve(ChannelPointer channel)
{
    AsyncCondition signal(channel->executor());
    channel->setChangeSignal(&signal);
    constexpr int maxGreetings = 1500;
    for (int i = 0; !greeting.empty() && i < maxGreetings && !channel->isEnded(); ++i)
        co_await channel->write(greeting, RuntimeClock::now() + WriteTimeout);
    while (!channel->isEnded()) {
        HttpParser parser(HttpMessageKind::Request, InputCapacity, 8 * 1024 * 1024);
        while (parser.consume(channel->input()) && !parser.isDone() && !channel->isEnded()) {
            channel->resumeReading();
            co_await signal.wait();
        }
        if (!parser.isDone())
            break;
        bool isOpen = true;
        if (parser.head().target == OrderPath) {
            const std::uint32_t status = obey(json::parse(parser.takeBody()).as_object());
            isOpen = answerOrder ? co_await answerOrder(*this, *channel, parser.head())
                                 : co_await writeAnswer(*channel, parser.head(), status, "{}");
        } else {
            ++requestCount;
            isOpen = answer ? co_await answer(*this, *channel, parser.head())
                            : co_await writeAnswer(*channel, parser.head(), 200, "{}");
        }
        if (!isOpen)
            break;
        channel->resumeReading();
    }
    channel->setChangeSignal(nullptr);
    channel->close();
}

} // namespace Trefoil
