#pragma once

#include "libruntime/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Trefoil {

// A TCP connection whose input is read ahead into a bounded buffer, so that the end of the
// connection is noticed while something else is waited for. Used on one thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    Channel(Socket socket, std::size_t inputCapacity);

    // Begins to read. Call once.
    void start();

    // Unread bytes; the user erases what it has consumed and calls resumeReading().
    std::string &input() { return input_; }
    void resumeReading();

    bool isEnded() const { return isEnded_; }
    bool isEndedByError() const { return isEndedByError_; } // ended by an error, not in order

    // Notified after each change of the input or the end. Null removes the listener.
    void setChangeSignal(Signal *signal) { changeSignal_ = signal; }

    // Writes all bytes. False when the connection failed or `until` passed; it is closed then.
    boost::asio::awaitable<bool> write(std::string_view bytes, TimePoint deadline);

    void close();

    const std::string &remoteAddress() const { return remoteAddress_; }
    boost::asio::any_io_executor executor() { return socket_.get_executor(); }

private:
    void waitForInput();
    void readInput();

    Socket socket_;
    RuntimeTimer writeTimer_;
    std::size_t inputCapacity_;
    std::string input_;
    std::string remoteAddress_;
    Signal *changeSignal_ = nullptr;
    bool isReading_ = false;
    bool isEnded_ = false;
    bool isEndedByError_ = false;
};

using ChannelPointer = std::shared_ptr<Channel>;

// Connects within the timeout. Null when it fails; `error` then says why.
boost::asio::awaitable<ChannelPointer> connectChannel(std::string address, Duration timeout,
                                                      std::size_t inputCapacity,
                                                      std::string &error);

// Accepts connections on the address until the acceptor is closed.
class ChannelListener
{
public:
    using Handler = std::function<void(ChannelPointer)>;

    // Throws when it cannot listen.
    ChannelListener(boost::asio::io_context &context, const std::string &address,
                    std::size_t inputCapacity, Handler handler);
    ChannelListener(boost::asio::io_context &context,
                    const boost::asio::ip::tcp::endpoint &endpoint, std::size_t inputCapacity,
                    Handler handler);

    void close();

    // Port that it listens on, for an address with port 0.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    RuntimeTimer retryTimer_;
    std::size_t inputCapacity_;
    Handler handler_;
};

} // namespace Trefoil
