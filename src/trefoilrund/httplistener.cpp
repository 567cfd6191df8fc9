#include "trefoilrund/httplistener.h"

#include "libruntime/networkendpoint.h"
#include "trefoilrund/frontjson.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/version.hpp>

#include <memory>

namespace Trefoil {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

struct Listener
{
    tcp::acceptor acceptor;
    HttpLimits limits;
    HttpHandler handler;
    std::size_t connections = 0;
};

// Answers input that is not HTTP or beyond the limits, then the connection closes.
asio::awaitable<void> refuseInput(HttpConnection &connection, beast::error_code error,
                                  const HttpLimits &limits)
{
    http::status status = http::status::bad_request;
    if (error == http::error::body_limit)
        status = http::status::payload_too_large;
    if (error == http::error::header_limit)
        status = http::status::request_header_fields_too_large;
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.set("Trefoil-Outcome", "not-run");
    response.body() = bodyErrorJson({{}, error.message()});
    response.keep_alive(false);
    response.prepare_payload();
    co_await writeResponse(connection, std::move(response), limits);
}

bool isClientError(beast::error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

asio::awaitable<void> serveConnection(std::shared_ptr<Listener> listener, tcp::socket socket)
{
    HttpConnection connection(std::move(socket));
    bool keep = true;
    while (keep) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(listener->limits.maxHeaderBytes));
        parser.body_limit(listener->limits.maxBodyBytes);
        connection.stream.expires_after(listener->limits.idleTimeout);
        const auto [error, bytes] =
                co_await http::async_read(connection.stream, connection.buffer, parser, AsTuple);
        connection.stream.expires_never();
        if (isClientError(error))
            co_await refuseInput(connection, error, listener->limits);
        if (error)
            break;
        const HttpRequest request = parser.release();
        keep = co_await listener->handler(connection, request);
        keep = keep && request.keep_alive();
    }
    beast::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> guardConnection(std::shared_ptr<Listener> listener, tcp::socket socket)
{
    try {
        co_await serveConnection(listener, std::move(socket));
    } catch (const boost::system::system_error &) {
        // The client is gone; its request has been cancelled by then.
    }
    --listener->connections;
}

asio::awaitable<void> acceptLoop(std::shared_ptr<Listener> listener)
{
    while (true) {
        auto [error, socket] = co_await listener->acceptor.async_accept(AsTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error || listener->connections >= listener->limits.maxConnections)
            continue;
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        ++listener->connections;
        asio::co_spawn(listener->acceptor.get_executor(),
                       guardConnection(listener, std::move(socket)), asio::detached);
    }
}

} // namespace

void listenHttp(EventLoopThread &duty, const std::string &address, const HttpLimits &limits,
                HttpHandler handler)
{
    const auto endpoint = toEndpoint<tcp>(address);
    auto listener = std::make_shared<Listener>(
            Listener{tcp::acceptor(duty.context()), limits, std::move(handler)});
    listener->acceptor.open(endpoint.protocol());
    listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
    listener->acceptor.bind(endpoint);
    listener->acceptor.listen(4096);
    asio::co_spawn(duty.context(), acceptLoop(listener), asio::detached);
}

HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string body,
                          std::string_view contentType)
{
    HttpResponse response(status, request.version());
    response.set(http::field::server, "trefoilrun");
    response.set(http::field::content_type,
                 beast::string_view(contentType.data(), contentType.size()));
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

asio::awaitable<bool> writeResponse(HttpConnection &connection, HttpResponse response,
                                    const HttpLimits &limits)
{
    connection.stream.expires_after(limits.writeTimeout);
    const bool keep = response.keep_alive();
    const auto [error, bytes] = co_await http::async_write(connection.stream, response, AsTuple);
    connection.stream.expires_never();
    co_return !error && keep;
}

} // namespace Trefoil
