#pragma once

#include "libgateway/link.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

// Opens and maintains links to control VMs. Their addresses come from the settings (the seeds) and
// from other control VMs. An address that is not a seed is dropped after some time without a link.
class ControlLinks
{
public:
    struct Peer
    {
        // Null while not connected.
        LinkPointer link;

        bool isConnecting = false;
        bool isSeed = false;

        // No connection is tried before this time.
        TimePoint retryAt{};

        // Time at which the address was added, connected or last sent a message.
        TimePoint lastActiveAt{};

        // Address for operators.
        std::string publicAddress;

        std::vector<KnownNode> knownNodes;

        // Version of the configuration that the peer offered, 0 for none.
        std::uint64_t offeredVersion = 0;

        // How far the peer's state was received, on this link or earlier ones.
        StatePosition received;
    };

    using HelloFactory = std::function<LinkHello()>;
    using MessageHandler =
            std::function<void(const std::string &address, Link &link, LinkMessage &&message)>;

    // Each link buffers up to `inputCapacity` bytes of input.
    ControlLinks(boost::asio::io_context &context, std::string ownAddress,
                 std::size_t inputCapacity, HelloFactory makeHello, MessageHandler onMessage,
                 ChannelLimits limits);

    // Sets a function that is called with each new link.
    void setConnectHandler(std::function<void(Link &)> onConnected);

    // Replaces the seeds, which are never dropped.
    void setSeeds(std::span<const std::string> addresses);

    // Adds a control VM unless it is known or is this process.
    void addPeer(const std::string &address, bool isSeed);
    void addPeerWithPublicAddress(const std::string &address, const std::string &publicAddress);

    // Connects to peers without a link and drops unused addresses. Called regularly.
    void maintainLinks();

    // Sends the hello of this process to all linked peers.
    void broadcastHello();

    // Must be called when the state that peers should know has changed.
    void notifyState();

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
    ChannelLimits limits_;
    std::function<void(Link &)> onConnected_;
    std::map<std::string, Peer> peers_; // By address.
};

} // namespace Trefoil
