#define BOOST_TEST_MODULE httpmessage
#include "libgateway/endpointpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

// Tests what becomes of messages that end early, on the paths that do not relay.

namespace Trefoil {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t InputCapacity = 64 * 1024;

const std::string Head = "HTTP/1.1 200 OK\r\nX-Trefoilrun-Response-Seal: s1\r\nA: b\r\n";

// Answers with a length, in chunks, and with neither.
const std::vector<std::string> Responses = {
        Head + "Content-Length: 5\r\n\r\nwhole",
        Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        Head + "\r\nwhole",
        "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
};

bool isWhole(const std::string &bytes, HttpMessageKind kind)
{
    HttpParser parser(kind, InputCapacity, InputCapacity);
    std::string input = bytes;
    const bool isParsed = parser.consume(input);
    parser.finishInput();
    return isParsed && parser.error() == HttpParseError::None && parser.isDone();
}

// Accepts one connection, sends the bytes once something has arrived and closes it.
asio::awaitable<void> answerOnce(asio::ip::tcp::acceptor &acceptor, std::string bytes)
{
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    char buffer[1024];
    co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
}

// Returns the result of an order or probe that is answered with the bytes.
HttpCallResult call(const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    HttpCallResult result;
    const auto run = [&]() -> asio::awaitable<void> {
        HttpCall order;
        order.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        order.target = "/order";
        order.timeout = seconds(2);
        result = co_await callHttp(std::move(order));
    };
    asio::co_spawn(context, answerOnce(acceptor, bytes), asio::detached);
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
}

} // namespace

// A head that ends early has no blank line, so it must not count as the head of an answer whose
// body the end of the connection ends.
BOOST_AUTO_TEST_CASE(message_that_ends_inside_its_head_counts_as_whole)
{
    for (const std::string &response : Responses) {
        const std::size_t headBytes = response.find("\r\n\r\n") + 4;
        for (std::size_t bytes = 0; bytes < headBytes; ++bytes)
            BOOST_REQUIRE_MESSAGE(!isWhole(response.substr(0, bytes), HttpMessageKind::Response),
                                  bytes << " bytes of " << response);
        BOOST_CHECK(isWhole(response, HttpMessageKind::Response));
    }
    const std::string request = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t bytes = 0; bytes < request.size(); ++bytes)
        BOOST_REQUIRE(!isWhole(request.substr(0, bytes), HttpMessageKind::Request));
    BOOST_CHECK(isWhole(request, HttpMessageKind::Request));
}

BOOST_AUTO_TEST_CASE(body_that_ends_early_counts_as_whole)
{
    for (const std::string &response : {Responses[0], Responses[1]}) {
        for (std::size_t bytes = 1; bytes < response.size(); ++bytes)
            BOOST_REQUIRE(!isWhole(response.substr(0, bytes), HttpMessageKind::Response));
    }
}

BOOST_AUTO_TEST_CASE(status_below_100_counts_as_an_answer)
{
    for (const std::string status : {"000", "001", "099"}) {
        const std::string answer = "HTTP/1.1 " + status + " None\r\nContent-Length: 0\r\n\r\n";
        BOOST_CHECK(!isWhole(answer, HttpMessageKind::Response));
        BOOST_CHECK_EQUAL(call(answer).status, 0);
        BOOST_CHECK(!call(answer).error.empty());
    }
}

// Engines that stop inside the head of their answer to an order must not count as having accepted
// it.
BOOST_AUTO_TEST_CASE(answer_to_an_order_that_ends_inside_its_head_has_a_status)
{
    for (const std::string &response : Responses) {
        const std::size_t headBytes = response.find("\r\n\r\n") + 4;
        for (std::size_t bytes = 1; bytes < headBytes; bytes += 7) {
            const HttpCallResult result = call(response.substr(0, bytes));
            BOOST_REQUIRE_EQUAL(result.status, 0);
            BOOST_REQUIRE(!result.error.empty());
        }
        BOOST_CHECK_NE(call(response).status, 0);
    }
}

} // namespace Trefoil
