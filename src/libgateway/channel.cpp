#include "libgateway/channel.h"

#include "libruntime/networkendpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Trefoil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// The connection ends when sent bytes are not acknowledged within this time.
constexpr int UnacknowledgedTimeoutMs = 4000;

constexpr int ListenBacklog = 1024;
constexpr std::size_t ReadBufferBytes = 64 * 1024;
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

void setSocketOptions(tcp::socket &socket)
{
    error_code ignored; // The socket also works without the options.
    socket.set_option(tcp::no_delay(true), ignored);
    const int timeout = UnacknowledgedTimeoutMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    socket.non_blocking(true, ignored);
}

} // namespace

Channel::Channel(Socket socket, std::size_t inputCapacity)
    : socket_(std::move(socket))
    , writeTimer_(socket_.get_executor())
    , inputCapacity_(inputCapacity)
{
    setSocketOptions(socket_);
    error_code error;
    const auto remote = socket_.remote_endpoint(error);
    if (!error)
        remoteAddress_ = remote.address().to_string();
}

void Channel::start()
{
    waitForInput();
}

void Channel::resumeReading()
{
    if (!isReading_ && !isEnded_ && input_.size() < inputCapacity_)
        waitForInput();
}

void Channel::waitForInput()
{
    isReading_ = true;
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code &error) {
        self->isReading_ = false;
        if (error) {
            self->isEndedByError_ = true;
            self->isEnded_ = true;
        } else if (!self->isEnded_) {
            self->readInput();
        }
        if (self->changeSignal_)
            self->changeSignal_->notify();
    });
}

void Channel::readInput()
{
    static std::array<char, ReadBufferBytes> bytes;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(bytes), error);
    input_.append(bytes.data(), count);
    const bool wouldBlock = error == asio::error::would_block || error == asio::error::try_again;
    if (error && !wouldBlock) {
        isEnded_ = true;
        isEndedByError_ = error != asio::error::eof;
        return;
    }
    resumeReading();
}

asio::awaitable<bool> Channel::write(std::string_view bytes, TimePoint deadline)
{
    const auto self = shared_from_this();
    if (!socket_.is_open())
        co_return false;
    // Most writes fit into the send buffer of the socket and need no timer.
    error_code error;
    const std::size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    const bool wouldBlock = error == asio::error::would_block || error == asio::error::try_again;
    if (error && !wouldBlock) {
        close();
        co_return false;
    }
    if (!error && written == bytes.size())
        co_return true;
    bytes.remove_prefix(error ? 0 : written);
    writeTimer_.expires_at(deadline);
    writeTimer_.async_wait([self](const error_code &cancelled) {
        if (!cancelled)
            self->close();
    });
    const auto [failure, count] = co_await asio::async_write(
            socket_, asio::buffer(bytes.data(), bytes.size()), asio::as_tuple(asio::use_awaitable));
    writeTimer_.cancel();
    if (failure)
        close();
    co_return !failure;
}

void Channel::close()
{
    error_code ignored; // The connection is unusable even if closing it fails.
    socket_.close(ignored);
    isEnded_ = true;
}

asio::awaitable<ChannelPointer> connectChannel(std::string address, Duration timeout,
                                               std::size_t inputCapacity, std::string &error)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<tcp::socket>(executor);
    RuntimeTimer timer(executor, RuntimeClock::now() + timeout);
    timer.async_wait([socket](const error_code &cancelled) {
        error_code ignored; // The pending connect reports the failure.
        if (!cancelled)
            socket->close(ignored);
    });
    error_code failure;
    try {
        const auto [result] = co_await socket->async_connect(toEndpoint<tcp>(address),
                                                             asio::as_tuple(asio::use_awaitable));
        failure = result;
    } catch (const std::exception &exception) {
        error = exception.what();
        timer.cancel();
        co_return nullptr;
    }
    timer.cancel();
    if (failure || !socket->is_open()) {
        error = failure ? failure.message() : "timed out";
        co_return nullptr;
    }
    auto channel = std::make_shared<Channel>(std::move(*socket), inputCapacity);
    channel->start();
    co_return channel;
}

ChannelListener::ChannelListener(asio::io_context &context, const std::string &address,
                                 std::size_t inputCapacity, Handler handler)
    : ChannelListener(context, toEndpoint<tcp>(address), inputCapacity, std::move(handler))
{}

ChannelListener::ChannelListener(asio::io_context &context, const tcp::endpoint &endpoint,
                                 std::size_t inputCapacity, Handler handler)
    : acceptor_(context)
    , retryTimer_(context)
    , inputCapacity_(inputCapacity)
    , handler_(std::move(handler))
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(ListenBacklog);
    accept();
}

void ChannelListener::close()
{
    error_code ignored; // The acceptor is not used again.
    acceptor_.close(ignored);
}

void ChannelListener::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            // Descriptors or memory are exhausted. New connections wait in the backlog until the
            // next try.
            retryTimer_.expires_after(AcceptRetryDelay);
            retryTimer_.async_wait([this](const error_code &cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        auto channel = std::make_shared<Channel>(std::move(socket), inputCapacity_);
        channel->start();
        handler_(std::move(channel));
        accept();
    });
}

} // namespace Trefoil
