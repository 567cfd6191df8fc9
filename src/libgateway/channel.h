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

// A TCP connection that reads ahead into a bounded buffer, so that the end of the connection is
// noticed while its user waits for something else. Used on one thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    // Reading pauses while `inputCapacity` bytes or more are unread.
    Channel(Socket socket, std::size_t inputCapacity);

    // Begins to read. Called once.
    void start();

    // Returns the unread bytes. The user erases what it has consumed and calls resumeReading().
    std::string &input() { return input_; }
    void resumeReading();

    // True after an error, after the peer closed the connection and after close().
    bool isEnded() const { return isEnded_; }

    // True when the connection ended by an error rather than by an orderly close of the peer.
    bool isEndedByError() const { return isEndedByError_; }

    // Sets the signal that is notified when input arrives or the connection ends. Null removes it.
    void setChangeSignal(AsyncCondition *signal) { changeSignal_ = signal; }

    // Writes all bytes. Returns false and closes the connection on an error or after the deadline.
    boost::asio::awaitable<bool> write(std::string_view bytes, TimePoint deadline);

    void close();

    // Returns the IP address of the peer.
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
    AsyncCondition *changeSignal_ = nullptr;
    bool isReading_ = false;
    bool isEnded_ = false;
    bool isEndedByError_ = false;
};

using ChannelPointer = std::shared_ptr<Channel>;

// Connects within the timeout. Returns null and sets `error` on failure.
boost::asio::awaitable<ChannelPointer> connectChannel(std::string address, Duration timeout,
                                                      std::size_t inputCapacity,
                                                      std::string &error);

// Accepts connections on an address until it is closed.
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

    // Returns the port that it listens on, which the system chose if the address has port 0.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    RuntimeTimer retryTimer_;
    std::size_t inputCapacity_;
    Handler handler_;
};

} // namespace Trefoil
