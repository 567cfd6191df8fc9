#pragma once

// Stand-ins for the cases of the second review: workers of the platform that form groups, an operator and
// consumers. They speak PROTOCOL.md over loopback addresses and record what they send, run and get.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
namespace json = boost::json;

inline Clock::time_point startedAt = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - startedAt).count();
}

inline std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count());
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

// The record of a run, in the file that RECORD names.
class Record
{
public:
    void open(const std::string &path) { file_.open(path, std::ios::trunc); }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(nowMs()) / 1000);
        file_ << stamp << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Record record;

// HTTP over blocking sockets.

struct Message
{
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string path() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

inline sockaddr_in toAddress(const std::string &text)
{
    sockaddr_in address{};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

// A connection with the bytes that were read and not used yet.
struct Connection
{
    int fd = -1;
    std::string input;
    bool wasReset = false;

    explicit Connection(int descriptor = -1)
        : fd(descriptor)
    {
        const int on = 1;
        if (fd >= 0)
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void close()
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }

    // Reads more bytes. Returns 1, 0 at the end of the connection, or -1 after the time.
    int read(long timeoutMs)
    {
        pollfd item{fd, POLLIN, 0};
        if (fd < 0)
            return 0;
        if (poll(&item, 1, static_cast<int>(std::max(timeoutMs, 0L))) <= 0)
            return -1;
        char bytes[16384];
        const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            wasReset = count < 0;
            return 0;
        }
        input.append(bytes, static_cast<std::size_t>(count));
        return 1;
    }

    bool write(const std::string &text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t count = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Returns whether the peer has closed the connection.
    bool isClosedByPeer()
    {
        pollfd item{fd, POLLIN | POLLRDHUP, 0};
        if (fd < 0)
            return true;
        if (poll(&item, 1, 0) <= 0)
            return false;
        if (item.revents & (POLLERR | POLLHUP | POLLRDHUP))
            return true;
        char byte;
        return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
};

inline std::unique_ptr<Connection> connectTo(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Connection>(fd);
}

// Reads the head of a message. Returns false at the end of the connection or after the time.
inline bool readHead(Connection &connection, Message &message, long timeoutMs)
{
    const long until = nowMs() + timeoutMs;
    std::size_t end;
    while ((end = connection.input.find("\r\n\r\n")) == std::string::npos) {
        if (connection.read(until - nowMs()) <= 0)
            return false;
    }
    std::istringstream head(connection.input.substr(0, end));
    connection.input.erase(0, end + 4);
    std::string line;
    std::getline(head, message.first);
    if (!message.first.empty() && message.first.back() == '\r')
        message.first.pop_back();
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    return true;
}

inline bool readBody(Connection &connection, Message &message, long timeoutMs)
{
    const long until = nowMs() + timeoutMs;
    const auto length = static_cast<std::size_t>(std::atol(message.field("Content-Length").c_str()));
    while (connection.input.size() < length) {
        if (connection.read(until - nowMs()) <= 0)
            return false;
    }
    message.body = connection.input.substr(0, length);
    connection.input.erase(0, length);
    return true;
}

// Calls one of the system's interfaces and follows redirections twice, as callers of `control` do.
inline std::optional<Message> call(std::string address, const std::string &method, const std::string &path,
                                   const std::string &body, long timeoutMs = 1000)
{
    for (int hop = 0; hop < 3; ++hop) {
        const auto connection = connectTo(address);
        if (!connection)
            return std::nullopt;
        connection->write(method + " " + path + " HTTP/1.1\r\nHost: " + address
                          + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body);
        Message answer;
        if (!readHead(*connection, answer, timeoutMs) || !readBody(*connection, answer, timeoutMs))
            return std::nullopt;
        if (answer.status() != 307)
            return answer;
        const std::string location = answer.field("Location");
        const std::size_t begin = location.find("//") + 2;
        address = location.substr(begin, location.find('/', begin) - begin);
    }
    return std::nullopt;
}

inline int listenOn(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = toAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(fd, 256) != 0) {
        std::cerr << "cannot listen on " << address << "\n";
        std::exit(2);
    }
    return fd;
}

// Tells a run that cannot judge anything, such as one in which no group forms.
[[noreturn]] inline void cannotRun(const std::string &why)
{
    record.line("the case could not run: %s", why.c_str());
    std::cerr << "the case could not run: " << why << "\n";
    std::_Exit(2);
}

} // namespace Review
