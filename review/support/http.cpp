#include "http.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

sockaddr_in toSocketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int millisecondsUntil(TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    return left < 0 ? 0 : static_cast<int>(left) + 1;
}

} // namespace

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

int Message::status() const
{
    return startLine.starts_with("HTTP/") && startLine.size() > 12
                   ? std::atoi(startLine.c_str() + 9)
                   : 0;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::path() const
{
    const std::size_t start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

Connection::~Connection()
{
    close();
}

Connection::Connection(Connection &&other) noexcept
    : fd_(std::exchange(other.fd_, -1))
    , input_(std::move(other.input_))
{}

Connection &Connection::operator=(Connection &&other) noexcept
{
    close();
    fd_ = std::exchange(other.fd_, -1);
    input_ = std::move(other.input_);
    return *this;
}

Connection Connection::open(const std::string &address, Milliseconds timeout)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSocketAddress(address);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const int result = ::connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return Connection();
    }
    pollfd poll{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    const bool isReady = ::poll(&poll, 1, static_cast<int>(timeout.count())) == 1;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!isReady || error != 0) {
        ::close(fd);
        return Connection();
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return Connection(fd);
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty() && fd_ >= 0) {
        const ssize_t count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return fd_ >= 0;
}

bool Connection::fill(TimePoint deadline)
{
    if (fd_ < 0)
        return false;
    pollfd poll{fd_, POLLIN, 0};
    if (::poll(&poll, 1, millisecondsUntil(deadline)) != 1)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    input_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line, TimePoint deadline)
{
    std::size_t end = 0;
    while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return false;
    }
    line = input_.substr(0, end);
    input_.erase(0, end + 2);
    return true;
}

bool Connection::readHead(Message &message, TimePoint deadline)
{
    message = {};
    if (!readLine(message.startLine, deadline))
        return false;
    std::string line;
    while (readLine(line, deadline)) {
        if (line.empty())
            return true;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::string value = line.substr(colon + 1);
        value.erase(0, std::min(value.size(), value.find_first_not_of(' ')));
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    return false;
}

bool Connection::readChunk(std::string &chunk, bool &isLast, TimePoint deadline)
{
    std::string line;
    if (!readLine(line, deadline))
        return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    while (input_.size() < size + 2) {
        if (!fill(deadline))
            return false;
    }
    chunk = input_.substr(0, size);
    input_.erase(0, size + 2);
    isLast = size == 0;
    return true;
}

bool Connection::readBody(Message &message, TimePoint deadline)
{
    if (message.field("Transfer-Encoding") == "chunked") {
        bool isLast = false;
        std::string chunk;
        while (!isLast) {
            if (!readChunk(chunk, isLast, deadline))
                return false;
            message.body += chunk;
        }
        return true;
    }
    const std::size_t size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
    while (input_.size() < size) {
        if (!fill(deadline))
            return false;
    }
    message.body = input_.substr(0, size);
    input_.erase(0, size);
    return true;
}

bool Connection::read(Message &message, TimePoint deadline)
{
    return readHead(message, deadline) && readBody(message, deadline);
}

bool Connection::isPeerGone()
{
    char byte = 0;
    const ssize_t count = fd_ < 0 ? 0 : ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::close()
{
    if (fd_ >= 0)
        ::close(fd_);
    fd_ = -1;
}

void Connection::reset()
{
    const linger noLinger{1, 0};
    if (fd_ >= 0)
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    close();
}

int listenOn(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in own = toSocketAddress(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(fd, 256) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return fd;
}

int acceptFrom(int listener)
{
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int one = 1;
    if (fd >= 0)
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

Message call(const std::string &address, const std::string &method, const std::string &path,
             const std::string &body, Milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    Connection connection = Connection::open(address, timeout);
    Message response;
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n"
                                + body;
    if (!connection.isOpen() || !connection.write(request) || !connection.read(response, deadline))
        return {};
    return response;
}

} // namespace Review
