#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Minimal blocking HTTP/1.1 over loopback sockets, for the clients and servers of the cases.

namespace Review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Message
{
    // "POST /path HTTP/1.1" or "HTTP/1.1 200 OK"
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Returns the value of the field, or an empty string.
    std::string field(std::string_view name) const;
    // Status of a response, 0 for anything else.
    int status() const;
    // Path of a request.
    std::string path() const;
    std::string method() const;
};

// A connected socket with the bytes that were read ahead. Closed on destruction.
class Connection
{
public:
    explicit Connection(int fd = -1)
        : fd_(fd)
    {}
    ~Connection();
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&other) noexcept;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Connects to "IP:port". The connection is not open on failure.
    static Connection open(const std::string &address, Milliseconds timeout);

    bool isOpen() const { return fd_ >= 0; }
    bool write(std::string_view bytes);

    // Read one message with its whole body. Return false when the connection ended, the message is
    // malformed or the deadline passed.
    bool readHead(Message &message, TimePoint deadline);
    bool readBody(Message &message, TimePoint deadline);
    bool read(Message &message, TimePoint deadline);

    // Reads the next chunk of a chunked body. Returns false at an incomplete end; `isLast` is set
    // at the last chunk.
    bool readChunk(std::string &chunk, bool &isLast, TimePoint deadline);

    // Returns true when the peer has closed the connection.
    bool isPeerGone();
    void close();
    // Closes with a reset.
    void reset();

private:
    bool fill(TimePoint deadline);
    bool readLine(std::string &line, TimePoint deadline);

    int fd_ = -1;
    std::string input_;
};

// Listens on "IP:port". Throws std::runtime_error when that fails.
int listenOn(const std::string &address);

// Accepts a connection, or returns -1 when the listener was closed.
int acceptFrom(int listener);

// One request over a new connection. The status is 0 when there was no complete response in time.
Message call(const std::string &address, const std::string &method, const std::string &path,
             const std::string &body, Milliseconds timeout);

} // namespace Review
