#pragma once

#include "libgateway/channel.h"
#include "libgateway/linkmessages.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Trefoil {

// A connection that carries link messages in both directions, each preceded by its length. The link
// ends when the peer sends nothing for the timeout or does not read.
class Link : public std::enable_shared_from_this<Link>
{
public:
    using MessageHandler = std::function<void(Link &, LinkMessage &&)>;
    using EndHandler = std::function<void(Link &, const std::string &reason)>;

    // Returns the next encoded part of the state that the peer should know, or null.
    using StateSource = std::function<std::shared_ptr<const std::string>()>;

    Link(ChannelPointer channel, Duration timeout, MessageHandler onMessage, EndHandler onEnd);

    // Starts to read and write. The end handler is called once, when the link ends.
    void start();

    // Sends a message of at most MaxLinkMessageBytes. A larger one is left out, since the peer
    // would end the link.
    void send(const LinkMessage &message);

    // Sends a message that encodeLinkFrame() has encoded, so that a message to many links is
    // encoded only once.
    void sendFrame(std::string_view frame);

    // Sets where state comes from. A part of it is fetched only when no message waits, so that
    // messages wait for one part at most, and a part takes memory only while it is written.
    void setStateSource(StateSource source);
    bool hasStateSource() const { return stateSource_ != nullptr; }

    // Must be called when the source may have more.
    void notifyState() { writeSignal_.notify(); }

    // Keeps the connection as that of a peer of the system, whose messages have up to
    // `inputCapacity` bytes.
    void protect(std::size_t inputCapacity);

    // Latest hello of the peer, maintained by the owner of the link.
    LinkHello peerHello;
    bool hasHello = false;

    TimePoint lastReceivedAt{};

private:
    boost::asio::awaitable<void> readMessages();
    boost::asio::awaitable<void> writeMessages();
    bool handleInput(std::string &reason);
    void close(const std::string &reason);

    ChannelPointer channel_;
    Duration timeout_;
    MessageHandler onMessage_;
    EndHandler onEnd_;
    AsyncCondition readSignal_;
    AsyncCondition writeSignal_;
    // Counts the memory of the messages that wait to be sent.
    void holdMessages();

    StateSource stateSource_;
    std::string sendBuffer_;
    std::size_t writingBytes_ = 0;
    bool isEnded_ = false;
};

// Returns the bounds of the connections of links.
ChannelLimits linkLimits(std::shared_ptr<MemoryLedger> ledger);

// Encodes a message with its length, as it is sent on a link.
std::string encodeLinkFrame(const LinkMessage &message);

using LinkPointer = std::shared_ptr<Link>;

} // namespace Trefoil
