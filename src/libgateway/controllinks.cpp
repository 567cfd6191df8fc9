#include "libgateway/controllinks.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr auto LinkTimeout = std::chrono::milliseconds(2000);
constexpr auto ConnectTimeout = std::chrono::milliseconds(600);
constexpr auto ConnectRetry = std::chrono::milliseconds(300);
constexpr auto Retention = std::chrono::seconds(60); // of an address that is no seed

} // namespace

ControlLinks::ControlLinks(asio::io_context &context, std::string ownAddress, std::size_t capacity,
                           HelloMaker ownHello, MessageHandler onMessage)
    : context_(context)
    , ownAddress_(std::move(ownAddress))
    , capacity_(capacity)
    , ownHello_(std::move(ownHello))
    , onMessage_(std::move(onMessage))
{}

void ControlLinks::setSeeds(std::span<const std::string> addresses)
{
    for (auto &[address, peer] : peers_)
        peer.isSeed = false;
    for (const std::string &address : addresses)
        learn(address, true);
}

void ControlLinks::learn(const std::string &address, bool isSeed)
{
    if (address.empty() || address == ownAddress_)
        return;
    Peer &peer = peers_[address];
    peer.isSeed = peer.isSeed || isSeed;
    if (peer.lastUseful == TimePoint{})
        peer.lastUseful = RuntimeClock::now();
}

void ControlLinks::learnPublic(const std::string &address, const std::string &publicAddress)
{
    learn(address, false);
    if (Peer *peer = find(address))
        peer->publicAddress = publicAddress;
}

void ControlLinks::connect()
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
               && now - peer.lastUseful > Retention;
    });
}

asio::awaitable<void> ControlLinks::connectPeer(std::string address)
{
    std::string error;
    ChannelPointer channel = co_await connectChannel(address, ConnectTimeout, capacity_, error);
    Peer *peer = find(address);
    if (!peer)
        co_return;
    peer->isConnecting = false;
    peer->retryAt = RuntimeClock::now() + ConnectRetry;
    if (!channel)
        co_return;
    peer->link = std::make_shared<Link>(
            std::move(channel), LinkTimeout,
            [this, address](Link &link, LinkMessage &&message) {
                if (Peer *known = find(address))
                    known->lastUseful = link.lastHeard;
                onMessage_(address, link, std::move(message));
            },
            [this, address](Link &, const std::string &reason) {
                logEvent(Event::LinkLost, {{"peer", address}, {"reason", reason}});
                Peer *lost = find(address);
                if (!lost)
                    return;
                lost->link = nullptr;
                lost->offered = 0;
            });
    peer->lastUseful = RuntimeClock::now();
    logEvent(Event::LinkConnected, {{"peer", address}});
    peer->link->start();
    peer->link->send(ownHello_());
}

void ControlLinks::sendHello()
{
    const std::string frame = linkFrame(ownHello_());
    for (auto &[address, peer] : peers_) {
        if (peer.link)
            peer.link->sendFrame(frame);
    }
}

ControlLinks::Peer *ControlLinks::find(const std::string &address)
{
    const auto found = peers_.find(address);
    return found == peers_.end() ? nullptr : &found->second;
}

} // namespace Trefoil
