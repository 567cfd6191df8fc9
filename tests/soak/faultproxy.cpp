#include "faultproxy.h"

#include "libruntime/clock.h"
#include "libruntime/networkendpoint.h"
#include "libruntime/signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Trefoil {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr std::size_t BufferBytes = 16 * 1024;

void resetSocket(tcp::socket &socket)
{
    // The peer may already have closed the connection.
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

FaultProxy::FaultProxy(asio::io_context &context, const std::string &listenAddress,
                       std::string targetAddress)
    : context_(context)
    , listenEndpoint_(toEndpoint<tcp>(listenAddress))
    , acceptor_(context)
    , target_(std::move(targetAddress))
{
    startListening();
}

void FaultProxy::stopListening()
{
    boost::system::error_code ignored; // The acceptor is opened again in any case.
    acceptor_.close(ignored);
}

void FaultProxy::startListening()
{
    if (acceptor_.is_open())
        return;
    acceptor_ = tcp::acceptor(context_, listenEndpoint_);
    asio::co_spawn(context_, acceptConnections(), asio::detached);
}

void FaultProxy::resetConnections()
{
    for (const auto &item : connections_) {
        if (const ConnectionPointer connection = item.lock()) {
            resetSocket(connection->client);
            resetSocket(connection->server);
        }
    }
    connections_.clear();
}

asio::awaitable<void> FaultProxy::acceptConnections()
{
    while (true) {
        auto connection = std::make_shared<Connection>(context_);
        boost::system::error_code error;
        co_await acceptor_.async_accept(connection->client,
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        std::erase_if(connections_, [](const auto &item) { return item.expired(); });
        connections_.push_back(connection);
        asio::co_spawn(context_, connectToTarget(connection), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::connectToTarget(ConnectionPointer connection)
{
    boost::system::error_code error;
    co_await connection->server.async_connect(toEndpoint<tcp>(target_),
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(connection->client);
        co_return;
    }
    asio::co_spawn(context_, forwardData(connection, false), asio::detached);
    asio::co_spawn(context_, forwardData(connection, true), asio::detached);
}

// Waits for the delay, and then until the fault no longer blocks this direction.
asio::awaitable<void> FaultProxy::waitForFault(bool isResponse)
{
    RuntimeTimer timer(context_);
    if (fault_.delay > Duration::zero()) {
        timer.expires_after(fault_.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (fault_.blocksAll || (isResponse && fault_.blocksResponses)) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> FaultProxy::forwardData(ConnectionPointer connection, bool isResponse)
{
    Socket &from = isResponse ? connection->server : connection->client;
    Socket &to = isResponse ? connection->client : connection->server;
    std::array<char, BufferBytes> bytes;
    boost::system::error_code error;
    while (true) {
        const std::size_t size = co_await from.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await waitForFault(isResponse);
        if (error)
            break;
        co_await asio::async_write(to, asio::buffer(bytes.data(), size),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
    }
    if (error != asio::error::eof) {
        resetSocket(connection->client);
        resetSocket(connection->server);
        co_return;
    }
    // The peer may already have closed the connection.
    boost::system::error_code ignored;
    to.shutdown(Socket::shutdown_send, ignored);
}

} // namespace Trefoil
