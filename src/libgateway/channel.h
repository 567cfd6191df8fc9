#pragma once

#include "libgateway/memoryledger.h"
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

// Bounds of the memory of connections.
struct ChannelLimits
{
    // Counts the connections and their buffers. Null for connections without bounds.
    std::shared_ptr<MemoryLedger> ledger;

    // Size of the kernel's buffer in each direction until a large message needs a larger one.
    std::size_t kernelBufferBytes = 8 * 1024;

    // Number of connections that wait to be accepted.
    int backlog = 256;
};

// An input buffer that is larger is freed when it is empty.
constexpr std::size_t KeptInputBytes = 4 * 1024;

// A TCP connection that reads ahead into a bounded buffer, so that the end of the connection is
// noticed while its user waits for something else. Used on one thread.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    // Reading pauses while `inputCapacity` bytes are unread.
    Channel(Socket socket, std::size_t inputCapacity);

    // Counts the memory of this connection in the ledger. Returns false when it is refused. Called
    // before start().
    bool admit(const ChannelLimits &limits, bool isAccepted);

    // Begins to read. Called once.
    void start();

    std::size_t inputCapacity() const { return inputCapacity_; }
    void setInputCapacity(std::size_t capacity) { inputCapacity_ = capacity; }

    // Returns the unread bytes. The user erases what it has consumed and calls resumeReading().
    std::string &input() { return input_; }
    void resumeReading();

    // Sets the number of bytes that the user of this connection keeps for it elsewhere. Returns
    // false when the memory is refused; the connection is then evicted.
    bool hold(std::size_t bytes);

    // Sets what the memory of this connection is used for.
    void setUse(MemoryUse use);

    // Lets the request of this connection run, see tryRun() of the memory budget.
    bool tryRun();

    // Keeps the connection as that of a peer of the system, which is evicted last.
    void protect();

    // Enlarges the kernel's buffers for a large message if there is memory for it.
    void extendBuffers();

    // Returns the kernel's buffers to their size before extendBuffers().
    void restoreBuffers();

    // True when the connection gave up its memory. It counts as ended, and a last answer can still
    // be written.
    bool isEvicted() const { return isEvicted_; }

    // True after an error, after the peer closed the connection, after close() and after an
    // eviction.
    bool isEnded() const { return isEnded_; }

    // True when the connection ended by an error rather than by an orderly close of the peer.
    bool isEndedByError() const { return isEndedByError_; }

    // Sets the signal that is notified when input arrives or the connection ends. Null removes it.
    void setChangeSignal(AsyncCondition *signal) { changeSignal_ = signal; }

    // Writes all bytes. Returns false and closes the connection on an error or after the deadline.
    boost::asio::awaitable<bool> write(std::string_view bytes, TimePoint deadline);

    // The same for a head and a body, which are not copied.
    boost::asio::awaitable<bool> write(std::string_view head, std::string_view body,
                                       TimePoint deadline);

    // Ends the writing side and discards input until the peer closes the connection, for a short
    // time. A peer that still sends can then read what was written before.
    boost::asio::awaitable<void> linger();

    void close();

    // Returns the IP address of the peer.
    const std::string &remoteAddress() const { return remoteAddress_; }
    boost::asio::any_io_executor executor() { return socket_.get_executor(); }

private:
    void waitForInput();
    void readInput();
    void appendInput(std::string_view bytes);
    void setKernelBuffers(std::size_t bytes);
    bool updateMemory();
    void evict();

    Socket socket_;
    RuntimeTimer writeTimer_;
    std::size_t inputCapacity_;
    std::string input_;
    std::string remoteAddress_;
    AsyncCondition *changeSignal_ = nullptr;
    MemoryLease lease_;
    MemoryUse use_ = MemoryUse::Arriving;

    // Bytes that the user holds, in buffers of the kernel beyond those of each connection, and in
    // the lease.
    std::size_t heldBytes_ = 0;
    std::size_t extraKernelBytes_ = 0;
    std::size_t countedBytes_ = ConnectionBytes;

    std::size_t kernelBufferBytes_ = 0; // 0 for the default of the system
    bool isExtended_ = false;
    bool isProtected_ = false;
    bool isWriteBlocked_ = false;
    bool isEvicted_ = false;
    bool isReading_ = false;
    bool isEnded_ = false;
    bool isEndedByError_ = false;
};

using ChannelPointer = std::shared_ptr<Channel>;

// Connects within the timeout. Returns null and sets `error` on failure.
boost::asio::awaitable<ChannelPointer> connectChannel(std::string address, Duration timeout,
                                                      std::size_t inputCapacity, std::string &error,
                                                      ChannelLimits limits = {});

// Accepts connections on an address until it is closed.
class ChannelListener
{
public:
    using Handler = std::function<void(ChannelPointer)>;

    // Throws when it cannot listen.
    ChannelListener(boost::asio::io_context &context, const std::string &address,
                    std::size_t inputCapacity, Handler handler, ChannelLimits limits = {});
    ChannelListener(boost::asio::io_context &context,
                    const boost::asio::ip::tcp::endpoint &endpoint, std::size_t inputCapacity,
                    Handler handler, ChannelLimits limits = {});

    void close();

    // Returns the port that it listens on, which the system chose if the address has port 0.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    RuntimeTimer retryTimer_;
    std::size_t inputCapacity_;
    Handler handler_;
    ChannelLimits limits_;
};

} // namespace Trefoil
