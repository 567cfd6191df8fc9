#pragma once

#include "crowds/gatewaysystem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

// Many clients that send the same bytes at once and keep their connections open.

namespace Trefoil {

struct CrowdScript
{
    std::string address; // IP:port
    std::size_t clients = 0;

    // Each client sends the head, then the piece this many times.
    std::string head;
    std::string piece;
    std::size_t pieces = 0;

    bool isReading = false;
};

class Crowd
{
public:
    Crowd(boost::asio::io_context &context, CrowdScript script);

    // Starts all clients and waits until none of them makes progress any more, because it has sent
    // everything, was disconnected or is not read.
    boost::asio::awaitable<void> run();

    // Closes all connections.
    void close();

    // Returns the number of clients that received an answer that begins with the text.
    std::size_t countAnswers(const std::string &text) const;

    // Returns the number of clients whose input ends with the text.
    std::size_t countEndings(const std::string &text) const;

private:
    struct Client;

    boost::asio::awaitable<void> runClient(std::shared_ptr<Client> client);
    boost::asio::awaitable<void> readAnswers(std::shared_ptr<Client> client);

    boost::asio::io_context &context_;
    CrowdScript script_;
    std::vector<std::shared_ptr<Client>> clients_;

    // Counts what all clients have done: connections, bytes sent and bytes received.
    std::uint64_t progress_ = 0;
};

// Largest use of a process while it was watched.
struct PeakUsage
{
    std::size_t memoryBytes = 0; // resident and queued in the kernel
    std::size_t openDescriptors = 0;
};

// Samples the use of a node until the object is destroyed.
class UsageWatch
{
public:
    UsageWatch(boost::asio::io_context &context, GatewayNode &node);
    ~UsageWatch();

    UsageWatch(const UsageWatch &) = delete;
    UsageWatch &operator=(const UsageWatch &) = delete;

    const PeakUsage &peak() const { return *peak_; }

private:
    std::shared_ptr<PeakUsage> peak_ = std::make_shared<PeakUsage>();
    std::shared_ptr<bool> isOver_ = std::make_shared<bool>(false);
};

} // namespace Trefoil
