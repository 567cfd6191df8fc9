#include "trefoilrund/peerduty.h"

#include "libruntime/networkendpoint.h"
#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <map>

namespace Trefoil {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr std::size_t InboxCapacity = 262'144;
constexpr std::size_t MaxFrameBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxLinkBytes = 64 * 1024 * 1024; // waiting for one peer
constexpr std::size_t MaxDatagramBytes = 60'000;
constexpr std::size_t FrameHeaderBytes = 4;
constexpr char Ack = 'a';
constexpr std::size_t MaxWriteBytes = 256 * 1024;
constexpr auto ReconnectDelay = std::chrono::milliseconds(100);
constexpr auto AckTimeout = std::chrono::seconds(3);        // of a link whose data is not confirmed
constexpr auto IdleLinkLifetime = std::chrono::seconds(30); // an unused link is closed

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

std::string toText(const udp::endpoint &endpoint)
{
    return Trefoil::toText(Address{endpoint.address().to_string(), endpoint.port()});
}

std::string frameOf(const PeerMessage &message)
{
    const std::string payload = encodePeerMessage(message);
    std::string frame;
    frame.reserve(FrameHeaderBytes + payload.size());
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        frame.push_back(static_cast<char>((payload.size() >> (8 * i)) & 0xff));
    return frame + payload;
}

std::size_t frameLength(const std::array<unsigned char, FrameHeaderBytes> &header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        length |= static_cast<std::size_t>(header[i]) << (8 * i);
    return length;
}

// Outgoing connection to one entry.
struct Link
{
    Link(const asio::any_io_executor &executor, EntryId to)
        : entry(std::move(to))
        , signal(executor)
        , socket(executor)
    {}

    EntryId entry;
    std::string address;
    std::deque<std::string> frames;
    std::size_t bytes = 0;
    AsyncCondition signal;
    tcp::socket socket;
    bool awaitsAck = false; // a Hello behind the latest frames is not confirmed yet
    TimePoint ackDeadline{};
    TimePoint lastUse{};
};

} // namespace

class PeerDuty::Impl
{
public:
    Impl(const Settings &settings, PeerDutyHandlers handlers)
        : settings_(settings)
        , handlers_(std::move(handlers))
        , duty_("peers")
        , acceptor_(duty_.context())
        , udp_(duty_.context())
        , inbox_(duty_, InboxCapacity, [this](PeerOutput &&output) { send(std::move(output)); })
    {}

    void start()
    {
        const auto endpoint = toEndpoint<tcp>(settings_.peerListenAddress);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        udp_.open(toEndpoint<udp>(settings_.peerListenAddress).protocol());
        udp_.bind(toEndpoint<udp>(settings_.peerListenAddress));
        asio::co_spawn(duty_.context(), acceptLoop(), asio::detached);
        asio::co_spawn(duty_.context(), gossipLoop(), asio::detached);
        duty_.start();
    }

    void stop() { duty_.stop(); }

    bool tryPush(PeerOutput output) { return inbox_.tryPush(std::move(output)); }

private:
    void send(PeerOutput &&output)
    {
        if (auto *gossip = std::get_if<GossipSend>(&output))
            sendGossip(*gossip);
        else if (auto *address = std::get_if<PeerAddress>(&output))
            addresses_[address->entry] = address->address;
        else
            sendMessage(std::get<PeerSend>(std::move(output)));
    }

    void sendGossip(const GossipSend &gossip)
    {
        if (!parseAddress(gossip.address))
            return;
        const std::string bytes = encodeGossip(gossip.message);
        boost::system::error_code ignored;
        // A datagram that cannot be sent is like one that was lost.
        udp_.send_to(asio::buffer(bytes), toEndpoint<udp>(gossip.address), 0, ignored);
    }

    void sendMessage(PeerSend message)
    {
        const auto address = addresses_.find(message.to);
        if (address == addresses_.end() || !parseAddress(address->second))
            return;
        auto &link = links_[message.to];
        if (!link) {
            link = std::make_shared<Link>(duty_.context().get_executor(), message.to);
            link->address = address->second;
            asio::co_spawn(duty_.context(), linkLoop(link), asio::detached);
        }
        link->address = address->second;
        std::string frame = frameOf(message.message);
        if (link->bytes + frame.size() > MaxLinkBytes) {
            logEvent(Event::RingFull, {{"link", message.to}});
            return;
        }
        link->bytes += frame.size();
        link->frames.push_back(std::move(frame));
        link->signal.notify();
    }

    asio::awaitable<void> linkLoop(std::shared_ptr<Link> link)
    {
        link->lastUse = RuntimeClock::now();
        while (RuntimeClock::now() - link->lastUse < IdleLinkLifetime) {
            RuntimeTimer connectLimit(duty_.context(), Duration(AckTimeout));
            connectLimit.async_wait([link](const boost::system::error_code &error) {
                if (!error)
                    link->socket.close();
            });
            const tcp::endpoint endpoint = toEndpoint<tcp>(link->address);
            const auto [error] = co_await link->socket.async_connect(endpoint, AsTuple);
            connectLimit.cancel();
            if (!error) {
                link->socket.set_option(tcp::no_delay(true));
                link->awaitsAck = false;
                logEvent(Event::PeerConnected, {{"entry", link->entry}});
                asio::co_spawn(duty_.context(), ackLoop(link), asio::detached);
                co_await writeLoop(*link);
                logEvent(Event::PeerLost, {{"entry", link->entry}});
            }
            boost::system::error_code ignored;
            link->socket.close(ignored);
            RuntimeTimer pause(duty_.context(), Duration(ReconnectDelay));
            co_await pause.async_wait(AsTuple);
            link->socket = tcp::socket(duty_.context());
            link->frames.clear();
            link->bytes = 0;
        }
        links_.erase(link->entry);
    }

    // Frames that wait, followed by a Hello to be confirmed when none is outstanding.
    std::string takeBatch(Link &link)
    {
        std::string batch;
        while (!link.frames.empty() && batch.size() < MaxWriteBytes) {
            batch += link.frames.front();
            link.bytes -= link.frames.front().size();
            link.frames.pop_front();
        }
        if (!link.awaitsAck) {
            batch += frameOf(Hello{settings_.node.self.entry, settings_.node.incarnation});
            link.awaitsAck = true;
            link.ackDeadline = RuntimeClock::now() + AckTimeout;
        }
        return batch;
    }

    // Writes frames until the connection fails, is silent or is not used any more. A connection
    // that something on the way has forgotten still takes data; only the confirmations stop.
    asio::awaitable<void> writeLoop(Link &link)
    {
        link.frames.push_front(
                frameOf(Hello{settings_.node.self.entry, settings_.node.incarnation}));
        link.bytes += link.frames.front().size();
        while (true) {
            const TimePoint now = RuntimeClock::now();
            const bool silent = link.awaitsAck && now >= link.ackDeadline;
            const bool unused = now - link.lastUse >= IdleLinkLifetime;
            if (silent || unused)
                co_return;
            if (link.frames.empty()) {
                const TimePoint idleEnd = link.lastUse + IdleLinkLifetime;
                const TimePoint until =
                        link.awaitsAck ? std::min(link.ackDeadline, idleEnd) : idleEnd;
                co_await link.signal.wait(until);
                continue;
            }
            link.lastUse = now;
            const std::string batch = takeBatch(link);
            RuntimeTimer limit(duty_.context(), Duration(AckTimeout));
            limit.async_wait([&link](const boost::system::error_code &error) {
                if (!error)
                    link.socket.close();
            });
            const auto [error, bytes] =
                    co_await asio::async_write(link.socket, asio::buffer(batch), AsTuple);
            limit.cancel();
            if (error)
                co_return;
        }
    }

    // Reads the confirmations that come back on an outgoing connection.
    asio::awaitable<void> ackLoop(std::shared_ptr<Link> link)
    {
        std::array<char, 64> acks{};
        while (true) {
            const auto [error, size] =
                    co_await link->socket.async_read_some(asio::buffer(acks), AsTuple);
            if (error)
                break;
            link->awaitsAck = false;
        }
        link->ackDeadline = RuntimeClock::now();
        link->awaitsAck = true;
        link->signal.notify();
    }

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(AsTuple);
            if (error)
                continue;
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(duty_.context(), readLoop(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> readLoop(tcp::socket socket)
    {
        EntryId from;
        std::string payload;
        try {
            while (true) {
                std::array<unsigned char, FrameHeaderBytes> header{};
                co_await asio::async_read(socket, asio::buffer(header), asio::use_awaitable);
                const std::size_t length = frameLength(header);
                if (length > MaxFrameBytes)
                    throw std::length_error("frame of " + std::to_string(length) + " bytes");
                payload.resize(length);
                co_await asio::async_read(socket, asio::buffer(payload), asio::use_awaitable);
                if (receive(decodePeerMessage(payload), from))
                    co_await asio::async_write(socket, asio::buffer(&Ack, 1), asio::use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            // The peer closed the connection; it opens a new one when it has more to say.
        } catch (const std::exception &error) {
            logEvent(Event::PeerMessageInvalid, {{"entry", from}, {"error", error.what()}});
        }
    }

    // Returns true for a message that is to be confirmed.
    bool receive(PeerMessage message, EntryId &from)
    {
        if (const auto *hello = std::get_if<Hello>(&message)) {
            from = hello->entry;
            return true;
        }
        if (from.empty())
            throw std::invalid_argument("a message before the introduction");
        if (auto *head = std::get_if<AnswerHead>(&message))
            handlers_.relay({from, std::move(*head)});
        else if (auto *data = std::get_if<AnswerData>(&message))
            handlers_.relay({from, std::move(*data)});
        else if (auto *credit = std::get_if<AnswerCredit>(&message))
            handlers_.relay({from, std::move(*credit)});
        else if (auto *report = std::get_if<AttemptReportCall>(&message))
            handlers_.relay({from, std::move(report->report)});
        else
            handlers_.message({from, std::move(message)});
        return false;
    }

    asio::awaitable<void> gossipLoop()
    {
        std::string buffer(MaxDatagramBytes, '\0');
        while (true) {
            udp::endpoint sender;
            const auto [error, size] =
                    co_await udp_.async_receive_from(asio::buffer(buffer), sender, AsTuple);
            if (error)
                continue;
            try {
                handlers_.gossip(
                        {toText(sender), decodeGossip(std::string_view(buffer).substr(0, size))});
            } catch (const std::exception &invalid) {
                logEvent(Event::PeerMessageInvalid,
                         {{"sender", toText(sender)}, {"error", invalid.what()}});
            }
        }
    }

    Settings settings_;
    PeerDutyHandlers handlers_;
    EventLoopThread duty_;
    tcp::acceptor acceptor_;
    udp::socket udp_;
    std::map<EntryId, std::string> addresses_;
    std::map<EntryId, std::shared_ptr<Link>> links_;
    Inbox<PeerOutput> inbox_;
};

PeerDuty::PeerDuty(const Settings &settings, PeerDutyHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(handlers)))
{}

PeerDuty::~PeerDuty() = default;

bool PeerDuty::tryPush(PeerOutput output)
{
    return impl_->tryPush(std::move(output));
}

void PeerDuty::start()
{
    impl_->start();
}

void PeerDuty::stop()
{
    impl_->stop();
}

} // namespace Trefoil
