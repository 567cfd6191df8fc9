#pragma once

#include "libgateway/channel.h"
#include "libgateway/linkmessages.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Trefoil {

// A connection that carries link messages in both directions, each behind its length. It ends when
// the peer is silent for longer than the link timeout or does not read.
class Link : public std::enable_shared_from_this<Link>
{
public:
    using MessageHandler = std::function<void(Link &, LinkMessage &&)>;
    using EndHandler = std::function<void(Link &, const std::string &reason)>;

    Link(ChannelPointer channel, Duration timeout, MessageHandler onMessage, EndHandler onEnd);

    // Reads and writes until the link ends, then calls the end handler once.
    void start();

    void send(const LinkMessage &message);

    // Sends a message that linkFrame has encoded, for example to many links.
    void sendFrame(std::string_view frame);

    LinkHello peerHello; // of the peer, kept by the user of the link
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
    Signal readSignal_;
    Signal writeSignal_;
    std::string sendBuffer_;
    bool isEnded_ = false;
};

// A message as it stands on a link.
std::string encodeLinkFrame(const LinkMessage &message);

using LinkPointer = std::shared_ptr<Link>;

} // namespace Trefoil
