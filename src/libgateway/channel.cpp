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

constexpr std::size_t ReadBufferBytes = 64 * 1024;

// Size of the kernel's buffers during a large message.
constexpr std::size_t ExtendedBufferBytes = 128 * 1024;

// Writes that have more than this left use extended buffers.
constexpr std::size_t LargeWriteBytes = 32 * 1024;

// The kernel allocates twice the size of a buffer that is set.
constexpr std::size_t KernelBufferFactor = 2;
constexpr std::size_t KernelDirections = 2;

// After a refusal, input is discarded up to these bounds.
constexpr auto LingerTime = std::chrono::milliseconds(1000);
constexpr std::size_t MaxLingerBytes = 256 * 1024;

constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

void setSocketOptions(tcp::socket &socket)
{
    error_code ignored; // The socket also works without the options.
    socket.set_option(tcp::no_delay(true), ignored);
    const int timeout = UnacknowledgedTimeoutMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    socket.non_blocking(true, ignored);
}

// Sets the sizes of the kernel's buffers of a socket or acceptor.
template <class Socket>
void setBufferSizes(Socket &socket, std::size_t bytes)
{
    const int size = static_cast<int>(bytes);
    error_code ignored; // The socket also works with other sizes.
    socket.set_option(asio::socket_base::receive_buffer_size(size), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(size), ignored);
}

std::size_t kernelMemory(std::size_t bufferBytes)
{
    return KernelDirections * KernelBufferFactor * bufferBytes;
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

bool Channel::admit(const ChannelLimits &limits, bool isAccepted)
{
    if (!limits.ledger)
        return true;
    auto lease = limits.ledger->admit(isAccepted, [this] { evict(); });
    if (!lease)
        return false;
    lease_ = std::move(*lease);
    kernelBufferBytes_ = limits.kernelBufferBytes;
    const std::size_t kernelBytes = kernelMemory(kernelBufferBytes_);
    extraKernelBytes_ = kernelBytes - std::min(kernelBytes, ConnectionKernelBytes);
    return updateMemory();
}

void Channel::start()
{
    waitForInput();
}

void Channel::resumeReading()
{
    if (input_.empty() && input_.capacity() > KeptInputBytes)
        input_ = {};
    updateMemory();
    if (!isReading_ && !isEnded_ && input_.size() < inputCapacity_)
        waitForInput();
}

bool Channel::hold(std::size_t bytes)
{
    heldBytes_ = bytes;
    return updateMemory();
}

void Channel::setUse(MemoryUse use)
{
    use_ = use;
    lease_.setUse(use);
}

bool Channel::tryRun()
{
    if (!lease_.tryRun())
        return false;
    use_ = MemoryUse::Running;
    return true;
}

void Channel::protect()
{
    isProtected_ = true;
    setUse(MemoryUse::Running);
}

void Channel::extendBuffers()
{
    if (isExtended_ || isEnded_ || isProtected_ || kernelBufferBytes_ == 0
        || kernelBufferBytes_ >= ExtendedBufferBytes)
        return;
    extraKernelBytes_ += kernelMemory(ExtendedBufferBytes - kernelBufferBytes_);
    isExtended_ = true;
    if (updateMemory())
        setBufferSizes(socket_, ExtendedBufferBytes);
}

void Channel::restoreBuffers()
{
    if (!isExtended_ || !socket_.is_open())
        return;
    isExtended_ = false;
    extraKernelBytes_ -= kernelMemory(ExtendedBufferBytes - kernelBufferBytes_);
    setBufferSizes(socket_, kernelBufferBytes_);
    updateMemory();
}

// Counts the present memory. Returns false and evicts the connection when it is refused.
bool Channel::updateMemory()
{
    if (isEvicted_)
        return false;
    const std::size_t inputBytes = std::max(input_.capacity(), KeptInputBytes) - KeptInputBytes;
    const std::size_t bytes = ConnectionBytes + inputBytes + heldBytes_ + extraKernelBytes_;
    if (bytes == countedBytes_)
        return true;
    countedBytes_ = bytes;
    if (lease_.resize(bytes))
        return true;
    evict();
    return false;
}

// Ends the connection for its user and frees the input. It stays open for a last answer, unless it
// is idle or a write waits for the peer.
void Channel::evict()
{
    isEvicted_ = true;
    isEnded_ = true;
    isEndedByError_ = true;
    input_ = {};
    if (isWriteBlocked_ || !changeSignal_)
        close();
    if (changeSignal_)
        changeSignal_->notify();
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
    static thread_local std::array<char, ReadBufferBytes> bytes;
    error_code error;
    const std::size_t room = inputCapacity_ - std::min(inputCapacity_, input_.size());
    const std::size_t count = socket_.read_some(
            asio::buffer(bytes.data(), std::min(bytes.size(), std::max<std::size_t>(room, 1))),
            error);
    appendInput({bytes.data(), count});
    const bool wouldBlock = error == asio::error::would_block || error == asio::error::try_again;
    if (error && !wouldBlock) {
        isEnded_ = true;
        isEndedByError_ = error != asio::error::eof;
        return;
    }
    resumeReading();
}

// Grows the buffer by no more than its capacity needs.
void Channel::appendInput(std::string_view bytes)
{
    const std::size_t size = input_.size() + bytes.size();
    if (size > input_.capacity())
        input_.reserve(std::max(size, std::min(2 * input_.capacity(), inputCapacity_)));
    input_.append(bytes);
}

asio::awaitable<bool> Channel::write(std::string_view bytes, TimePoint deadline)
{
    return write(bytes, {}, deadline);
}

asio::awaitable<bool> Channel::write(std::string_view head, std::string_view body,
                                     TimePoint deadline)
{
    const auto self = shared_from_this();
    if (!socket_.is_open())
        co_return false;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head.data(), head.size()),
                                                    asio::buffer(body.data(), body.size())};
    const std::size_t size = head.size() + body.size();
    // Most writes fit into the send buffer of the socket and need no timer.
    error_code error;
    const std::size_t written = socket_.write_some(buffers, error);
    const bool wouldBlock = error == asio::error::would_block || error == asio::error::try_again;
    if (error && !wouldBlock) {
        close();
        co_return false;
    }
    if (!error && written == size)
        co_return true;
    const std::size_t sent = error ? 0 : written;
    head.remove_prefix(std::min(head.size(), sent));
    body.remove_prefix(sent - std::min(buffers[0].size(), sent));
    if (size - sent > LargeWriteBytes)
        extendBuffers();
    if (!socket_.is_open() || isEvicted_) {
        close();
        co_return false;
    }
    isWriteBlocked_ = true;
    if (!isProtected_)
        lease_.setUse(MemoryUse::Leaving);
    writeTimer_.expires_at(deadline);
    writeTimer_.async_wait([self](const error_code &cancelled) {
        if (!cancelled)
            self->close();
    });
    const std::array<asio::const_buffer, 2> rest{asio::buffer(head.data(), head.size()),
                                                 asio::buffer(body.data(), body.size())};
    const auto [failure, count] =
            co_await asio::async_write(socket_, rest, asio::as_tuple(asio::use_awaitable));
    writeTimer_.cancel();
    isWriteBlocked_ = false;
    if (!isProtected_)
        lease_.setUse(use_);
    if (failure)
        close();
    co_return !failure;
}

asio::awaitable<void> Channel::linger()
{
    const auto self = shared_from_this();
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    AsyncCondition signal(socket_.get_executor());
    AsyncCondition *const formerSignal = std::exchange(changeSignal_, &signal);
    const TimePoint deadline = RuntimeClock::now() + LingerTime;
    std::size_t discarded = 0;
    while (!error && !isEnded_ && discarded < MaxLingerBytes && RuntimeClock::now() < deadline) {
        discarded += input_.size();
        input_.clear();
        resumeReading();
        co_await signal.wait(deadline);
    }
    changeSignal_ = formerSignal;
}

void Channel::close()
{
    error_code ignored; // The connection is unusable even if closing it fails.
    socket_.close(ignored);
    isEnded_ = true;
}

asio::awaitable<ChannelPointer> connectChannel(std::string address, Duration timeout,
                                               std::size_t inputCapacity, std::string &error,
                                               ChannelLimits limits)
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
        const auto endpoint = toEndpoint<tcp>(address);
        if (limits.ledger) {
            socket->open(endpoint.protocol());
            setBufferSizes(*socket, limits.kernelBufferBytes);
        }
        const auto [result] =
                co_await socket->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
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
    if (!channel->admit(limits, false)) {
        error = "no memory for a connection";
        co_return nullptr;
    }
    channel->start();
    co_return channel;
}

ChannelListener::ChannelListener(asio::io_context &context, const std::string &address,
                                 std::size_t inputCapacity, Handler handler, ChannelLimits limits)
    : ChannelListener(context, toEndpoint<tcp>(address), inputCapacity, std::move(handler),
                      std::move(limits))
{}

ChannelListener::ChannelListener(asio::io_context &context, const tcp::endpoint &endpoint,
                                 std::size_t inputCapacity, Handler handler, ChannelLimits limits)
    : acceptor_(context)
    , retryTimer_(context)
    , inputCapacity_(inputCapacity)
    , handler_(std::move(handler))
    , limits_(std::move(limits))
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (limits_.ledger)
        setBufferSizes(acceptor_, limits_.kernelBufferBytes); // Accepted sockets inherit them.
    acceptor_.bind(endpoint);
    acceptor_.listen(limits_.backlog);
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
        if (channel->admit(limits_, true)) {
            channel->start();
            handler_(std::move(channel));
        } else {
            channel->close();
        }
        accept();
    });
}

} // namespace Trefoil
