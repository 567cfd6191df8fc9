#pragma once

#include "libgateway/channel.h"

#include <list>
#include <memory>
#include <string>

// A TCP proxy on the loopback interface that spoils the connections running through it.

namespace Trefoil {

struct ProxyFault
{
    Duration delay{};          // of each piece of data, in both directions
    bool holdsAnswers = false; // nothing passes from the server to the client
    bool holdsAll = false;     // nothing passes; connections are still accepted
};

class FaultProxy
{
public:
    // Throws when it cannot listen.
    FaultProxy(boost::asio::io_context &context, const std::string &listenAddress,
               std::string targetAddress);

    void setFault(const ProxyFault &fault) { fault_ = fault; }

    // Resets the open connections in both directions.
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

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(ConnectionPointer connection);
    boost::asio::awaitable<void> pump(ConnectionPointer connection, bool isAnswer);
    boost::asio::awaitable<void> passThrough(bool isAnswer);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string target_;
    ProxyFault fault_;
    std::list<std::weak_ptr<Connection>> connections_;
};

} // namespace Trefoil
