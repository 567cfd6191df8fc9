#pragma once

#include "libgateway/channel.h"

#include <list>
#include <memory>
#include <string>

// A TCP proxy that injects faults into the connections that run through it.

namespace Trefoil {

struct ProxyFault
{
    // Delay of each block of data, in both directions.
    Duration delay{};

    // No data passes from the server to the client.
    bool blocksResponses = false;

    // No data passes in either direction. Connections are still accepted.
    bool blocksAll = false;
};

class FaultProxy
{
public:
    // Throws when it cannot listen.
    FaultProxy(boost::asio::io_context &context, const std::string &listenAddress,
               std::string targetAddress);

    void setFault(const ProxyFault &fault) { fault_ = fault; }

    // Refuses connections until startListening() is called.
    void stopListening();
    void startListening();

    // Resets both sides of all open connections.
    void resetConnections();

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Connection
    {
        explicit Connection(boost::asio::io_context &context)
            : client(context)
            , server(context)
        {}
        Socket client;
        Socket server;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> connectToTarget(ConnectionPointer connection);
    boost::asio::awaitable<void> forwardData(ConnectionPointer connection, bool isResponse);
    boost::asio::awaitable<void> waitForFault(bool isResponse);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::endpoint listenEndpoint_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string target_;
    ProxyFault fault_;
    std::list<std::weak_ptr<Connection>> connections_;
};

} // namespace Trefoil
