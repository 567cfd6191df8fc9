#pragma once

#include "libgateway/link.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

// Links to control VMs that this process connects to and keeps. Addresses come from the settings
// and from other control VMs; one that is no seed is forgotten after a while without a link.
class ControlLinks
{
public:
    struct Peer
    {
        LinkPointer link; // null while not connected
        bool isConnecting = false;
        bool isSeed = false;
        TimePoint retryAt{};
        TimePoint lastActiveAt{};

        // What it told last.
        std::string publicAddress; // for operators
        std::vector<KnownNode> knownNodes;
        std::uint64_t offeredVersion = 0; // version of its configuration
    };

    using HelloFactory = std::function<LinkHello()>;
    using MessageHandler =
            std::function<void(const std::string &address, Link &link, LinkMessage &&message)>;

    // Buffers of `capacity` bytes hold the input of each link.
    ControlLinks(boost::asio::io_context &context, std::string ownAddress,
                 std::size_t inputCapacity, HelloFactory makeHello, MessageHandler onMessage);

    // Replaces the seeds, which are never forgotten.
    void setSeeds(std::span<const std::string> addresses);
    void addPeer(const std::string &address, bool isSeed);

    // The same, with the address for operators.
    void addPeerWithPublicAddress(const std::string &address, const std::string &publicAddress);

    // Connects what is not connected. Call often.
    void maintainLinks();

    void broadcastHello();

    std::map<std::string, Peer> &peers() { return peers_; }
    const std::map<std::string, Peer> &peers() const { return peers_; }
    Peer *findPeer(const std::string &address);

private:
    boost::asio::awaitable<void> connectPeer(std::string address);

    boost::asio::io_context &context_;
    std::string ownAddress_;
    std::size_t inputCapacity_;
    HelloFactory makeHello_;
    MessageHandler onMessage_;
    std::map<std::string, Peer> peers_; // by address
};

} // namespace Trefoil
