#include "libgateway/controllinks.h"

#include "libgateway/messageparts.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto LinkTimeout = std::chrono::milliseconds(2000);
constexpr auto ConnectTimeout = std::chrono::milliseconds(600);
constexpr auto ConnectRetryDelay = std::chrono::milliseconds(300);

// An address that is not a seed is dropped after this time without a link.
constexpr auto PeerRetention = std::chrono::seconds(60);

// After a longer time without a link, rows that were received before may have expired.
constexpr auto MaxStateAge = std::chrono::seconds(60);

} // namespace

ControlLinks::ControlLinks(asio::io_context &context, std::string ownAddress,
                           std::size_t inputCapacity, HelloFactory makeHello,
                           MessageHandler onMessage, ChannelLimits limits)
    : context_(context)
    , ownAddress_(std::move(ownAddress))
    , inputCapacity_(inputCapacity)
    , makeHello_(std::move(makeHello))
    , onMessage_(std::move(onMessage))
    , limits_(std::move(limits))
{}

void ControlLinks::setSeeds(std::span<const std::string> addresses)
{
    for (auto &[address, peer] : peers_)
        peer.isSeed = false;
    for (const std::string &address : addresses)
        addPeer(address, true);
}

void ControlLinks::setConnectHandler(std::function<void(Link &)> onConnected)
{
    onConnected_ = std::move(onConnected);
}

void ControlLinks::addPeer(const std::string &address, bool isSeed)
{
    if (address.empty() || address == ownAddress_)
        return;
    Peer &peer = peers_[address];
    peer.isSeed = peer.isSeed || isSeed;
    if (peer.lastActiveAt == TimePoint{})
        peer.lastActiveAt = RuntimeClock::now();
}

void ControlLinks::addPeerWithPublicAddress(const std::string &address,
                                            const std::string &publicAddress)
{
    addPeer(address, false);
    if (Peer *peer = findPeer(address))
        peer->publicAddress = publicAddress;
}

void ControlLinks::maintainLinks()
{
    const TimePoint now = RuntimeClock::now();
    for (auto &[address, peer] : peers_) {
        if (peer.link || peer.isConnecting || now < peer.retryAt)
            continue;
        peer.isConnecting = true;
        asio::co_spawn(context_, connectPeer(address), asio::detached);
    }
    std::erase_if(peers_, [now](const auto &item) {
        const Peer &peer = item.second;
        return !peer.link && !peer.isConnecting && !peer.isSeed
               && now - peer.lastActiveAt > PeerRetention;
    });
}

asio::awaitable<void> ControlLinks::connectPeer(std::string address)
{
    std::string error;
    ChannelLimits limits = limits_;
    ChannelPointer channel = co_await connectChannel(address, ConnectTimeout, inputCapacity_, error,
                                                     std::move(limits));
    Peer *peer = findPeer(address);
    if (!peer)
        co_return;
    peer->isConnecting = false;
    peer->retryAt = RuntimeClock::now() + ConnectRetryDelay;
    if (!channel)
        co_return;
    channel->protect();
    peer->link = std::make_shared<Link>(
            std::move(channel), LinkTimeout,
            [this, address](Link &link, LinkMessage &&message) {
                if (Peer *sender = findPeer(address)) {
                    sender->lastActiveAt = link.lastReceivedAt;
                    const auto *update = std::get_if<EndpointUpdate>(&message);
                    if (update && update->position.process != 0)
                        sender->received = update->position;
                }
                onMessage_(address, link, std::move(message));
            },
            [this, address](Link &, const std::string &reason) {
                logEvent(Event::LinkLost, {{"peer", address}, {"reason", reason}});
                Peer *lostPeer = findPeer(address);
                if (!lostPeer)
                    return;
                lostPeer->link = nullptr;
                lostPeer->offeredVersion = 0;
            });
    if (RuntimeClock::now() - peer->lastActiveAt > MaxStateAge)
        peer->received = {};
    peer->lastActiveAt = RuntimeClock::now();
    logEvent(Event::LinkConnected, {{"peer", address}});
    peer->link->start();
    LinkHello hello = makeHello_();
    hello.received = peer->received;
    for (const LinkHello &part : divide(hello))
        peer->link->send(part);
    if (onConnected_)
        onConnected_(*peer->link);
}

void ControlLinks::broadcastHello()
{
    for (const LinkHello &part : divide(makeHello_())) {
        const std::string frame = encodeLinkFrame(part);
        for (auto &[address, peer] : peers_) {
            if (peer.link)
                peer.link->sendFrame(frame);
        }
    }
}

void ControlLinks::notifyState()
{
    for (auto &[address, peer] : peers_) {
        if (peer.link)
            peer.link->notifyState();
    }
}

ControlLinks::Peer *ControlLinks::findPeer(const std::string &address)
{
    const auto found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

} // namespace Trefoil
