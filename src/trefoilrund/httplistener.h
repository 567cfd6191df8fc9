#pragma once

#include "libruntime/runtime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace Trefoil {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// One connection of a client. A request handler may write to the stream directly.
struct HttpConnection
{
    explicit HttpConnection(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

// Handles one request and writes its response. Returns false when the connection must be closed.
using HttpHandler =
        std::function<boost::asio::awaitable<bool>(HttpConnection &, const HttpRequest &)>;

// Accepts HTTP connections within the limits, until the thread stops. The handler runs on that
// thread. Throws when it cannot listen.
void listenHttp(EventLoopThread &thread, const std::string &address, const HttpLimits &limits,
                HttpHandler handler);

HttpResponse makeResponse(const HttpRequest &request, boost::beast::http::status status,
                          std::string body, std::string_view contentType);

// Writes a complete response within the write timeout. Returns false when the connection must be
// closed.
boost::asio::awaitable<bool> writeResponse(HttpConnection &connection, HttpResponse response,
                                           const HttpLimits &limits);

} // namespace Trefoil
