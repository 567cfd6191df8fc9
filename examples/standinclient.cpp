#include "standinclient.h"

#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <optional>

namespace Trefoil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto CallTimeout = std::chrono::seconds(6);
constexpr auto RetryDelay = std::chrono::milliseconds(200);

// Connection to one entry. It is opened by the first request to that entry.
class EntryClient
{
public:
    explicit EntryClient(const asio::any_io_executor &executor)
        : stream_(executor)
    {}

    // Sends a request. Returns the object in the response, or nothing after an error.
    asio::awaitable<std::optional<json::object>> post(std::string entry, std::string path,
                                                      json::object body)
    {
        if (entry != entry_)
            co_await connect(entry);
        if (entry != entry_)
            co_return std::nullopt;
        http::request<http::string_body> request(http::verb::post, path, 11);
        request.set(http::field::host, entry);
        request.set(http::field::content_type, "application/json");
        request.body() = json::serialize(body);
        request.prepare_payload();
        stream_.expires_after(CallTimeout);
        const auto [writeError, written] = co_await http::async_write(stream_, request, AsTuple);
        http::response<http::string_body> response;
        beast::error_code readError;
        if (!writeError)
            std::tie(readError, std::ignore) =
                    co_await http::async_read(stream_, buffer_, response, AsTuple);
        if (writeError || readError) {
            entry_.clear();
            co_return std::nullopt;
        }
        if (!response.keep_alive())
            entry_.clear();
        beast::error_code parseError;
        const json::value value = json::parse(response.body(), parseError);
        if (parseError || !value.is_object())
            co_return std::nullopt;
        co_return value.as_object();
    }

private:
    asio::awaitable<void> connect(std::string entry)
    {
        entry_.clear();
        buffer_.clear();
        const auto address = parseAddress(entry);
        if (!address)
            co_return;
        stream_.close();
        stream_.expires_after(CallTimeout);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host),
                                               address->port);
        const auto [error] = co_await stream_.async_connect(endpoint, AsTuple);
        if (!error)
            entry_ = entry;
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::string entry_;
};

json::object makeAnnouncement(const EndpointInfo &info)
{
    json::object body{{"vm", info.vm},
                      {"address", info.address},
                      {"domain", info.domain},
                      {"accelerators", info.accelerators},
                      {"slots", info.slots},
                      {"incarnation", info.incarnation},
                      {"enforces_fencing", info.enforcesFencing}};
    if (!info.fabric.empty())
        body["fabric"] = info.fabric;
    if (!info.service.empty())
        body["service"] = info.service;
    return body;
}

json::object makeHeartbeat(const EndpointInfo &info, const HeartbeatReport &report)
{
    json::array weights;
    for (const std::string &name : report.weights)
        weights.emplace_back(name);
    return {{"vm", info.vm},
            {"incarnation", info.incarnation},
            {"group", report.group},
            {"state", report.state},
            {"in_flight", report.inFlight},
            {"weights", std::move(weights)}};
}

json::object makeLeaveNotice(const EndpointInfo &info)
{
    return {{"vm", info.vm}, {"incarnation", info.incarnation}};
}

bool isTrue(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value && value->is_bool() && value->as_bool();
}

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(AsTuple);
}

} // namespace

asio::awaitable<void> maintainRegistration(EndpointInfo info,
                                           std::function<HeartbeatReport()> report,
                                           std::function<bool()> suppressesHeartbeats)
{
    EntryClient client(co_await asio::this_coro::executor);
    std::string entry;
    std::size_t nextEntry = 0;
    bool isAnnounced = false;
    Duration heartbeatInterval = RetryDelay;
    while (true) {
        if (suppressesHeartbeats()) {
            co_await sleepFor(RetryDelay);
            continue;
        }
        if (entry.empty())
            entry = info.entries[nextEntry++ % info.entries.size()];
        const std::string path = isAnnounced ? "/v1/endpoints/heartbeat" : "/v1/endpoints/announce";
        const json::object body =
                isAnnounced ? makeHeartbeat(info, report()) : makeAnnouncement(info);
        const auto answer = co_await client.post(entry, path, body);
        if (!answer || !isTrue(*answer, "accepted")) {
            entry.clear();
            co_await sleepFor(RetryDelay);
            continue;
        }
        isAnnounced = !isTrue(*answer, "must_announce");
        const json::value *reportTo = answer->if_contains("report_to");
        if (reportTo && reportTo->is_string() && !reportTo->as_string().empty())
            entry = std::string(reportTo->as_string());
        const json::value *requestedInterval = answer->if_contains("heartbeat_ms");
        if (requestedInterval && requestedInterval->is_int64())
            heartbeatInterval = std::chrono::milliseconds(requestedInterval->as_int64());
        co_await sleepFor(heartbeatInterval);
    }
}

asio::awaitable<bool> sendLeaveNotice(EndpointInfo info)
{
    EntryClient client(co_await asio::this_coro::executor);
    for (const std::string &entry : info.entries) {
        const auto answer =
                co_await client.post(entry, "/v1/endpoints/leave", makeLeaveNotice(info));
        if (answer && isTrue(*answer, "accepted"))
            co_return true;
    }
    co_return false;
}

} // namespace Trefoil
