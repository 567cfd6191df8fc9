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
    std::size_t connectionCount = 0;
};

// Answers input that is not HTTP or exceeds the limits. The connection is closed afterwards.
asio::awaitable<void> rejectInput(HttpConnection &connection, beast::error_code error,
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
    response.body() = invalidRequestJson({{}, error.message()});
    response.keep_alive(false);
    response.prepare_payload();
    co_await writeResponse(connection, std::move(response), limits);
}

bool isInvalidInput(beast::error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
           && error != http::error::end_of_stream && error != http::error::partial_message;
}

asio::awaitable<void> serveConnection(std::shared_ptr<Listener> listener, tcp::socket socket)
{
    HttpConnection connection(std::move(socket));
    bool keepAlive = true;
    while (keepAlive) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(listener->limits.maxHeaderBytes));
        parser.body_limit(listener->limits.maxBodyBytes);
        connection.stream.expires_after(listener->limits.idleTimeout);
        const auto [error, bytes] =
                co_await http::async_read(connection.stream, connection.buffer, parser, AsTuple);
        connection.stream.expires_never();
        if (isInvalidInput(error))
            co_await rejectInput(connection, error, listener->limits);
        if (error)
            break;
        const HttpRequest request = parser.release();
        keepAlive = co_await listener->handler(connection, request);
        keepAlive = keepAlive && request.keep_alive();
    }
    beast::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> runConnection(std::shared_ptr<Listener> listener, tcp::socket socket)
{
    try {
        co_await serveConnection(listener, std::move(socket));
    } catch (const boost::system::system_error &) {
        // The client closed the connection. Its request is already cancelled.
    }
    --listener->connectionCount;
}

asio::awaitable<void> acceptConnections(std::shared_ptr<Listener> listener)
{
    while (true) {
        auto [error, socket] = co_await listener->acceptor.async_accept(AsTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error || listener->connectionCount >= listener->limits.maxConnections)
            continue;
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        ++listener->connectionCount;
        asio::co_spawn(listener->acceptor.get_executor(),
                       runConnection(listener, std::move(socket)), asio::detached);
    }
}

} // namespace

void listenHttp(EventLoopThread &thread, const std::string &address, const HttpLimits &limits,
                HttpHandler handler)
{
    const auto endpoint = toEndpoint<tcp>(address);
    auto listener = std::make_shared<Listener>(
            Listener{tcp::acceptor(thread.context()), limits, std::move(handler)});
    listener->acceptor.open(endpoint.protocol());
    listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
    listener->acceptor.bind(endpoint);
    listener->acceptor.listen(4096);
    asio::co_spawn(thread.context(), acceptConnections(listener), asio::detached);
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
    const bool keepAlive = response.keep_alive();
    const auto [error, bytes] = co_await http::async_write(connection.stream, response, AsTuple);
    connection.stream.expires_never();
    co_return !error && keepAlive;
}

} // namespace Trefoil
