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
constexpr std::size_t MaxQueuedBytesPerLink = 64 * 1024 * 1024;
constexpr std::size_t MaxDatagramBytes = 60'000;
constexpr std::size_t FrameHeaderBytes = 4;
constexpr char Ack = 'a';
constexpr std::size_t MaxBatchBytes = 256 * 1024;
constexpr auto ReconnectDelay = std::chrono::milliseconds(100);
// Timeout for connecting, for writing a batch and for its acknowledgement.
constexpr auto LinkTimeout = std::chrono::seconds(3);
// A link without messages is closed after this time.
constexpr auto IdleLinkLifetime = std::chrono::seconds(30);

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

std::string toText(const udp::endpoint &endpoint)
{
    return Trefoil::toText(Address{endpoint.address().to_string(), endpoint.port()});
}

std::string encodeFrame(const PeerMessage &message)
{
    const std::string payload = encodePeerMessage(message);
    std::string frame;
    frame.reserve(FrameHeaderBytes + payload.size());
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        frame.push_back(static_cast<char>((payload.size() >> (8 * i)) & 0xff));
    return frame + payload;
}

std::size_t decodeFrameLength(const std::array<unsigned char, FrameHeaderBytes> &header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        length |= static_cast<std::size_t>(header[i]) << (8 * i);
    return length;
}

// Outgoing connection to one entry and its queue of encoded messages.
struct Link
{
    Link(const asio::any_io_executor &executor, EntryId entryId)
        : entry(std::move(entryId))
        , queueChanged(executor)
        , socket(executor)
    {}

    EntryId entry;
    std::string address;
    std::deque<std::string> queuedFrames;
    std::size_t queuedBytes = 0;
    // Notified when frames are queued or the connection ends.
    AsyncCondition queueChanged;
    tcp::socket socket;
    // The last Hello is not yet acknowledged.
    bool isAckPending = false;
    TimePoint ackDeadline{};
    TimePoint lastUsedAt{};
};

} // namespace

class PeerThread::Impl
{
public:
    Impl(const Settings &settings, PeerThreadHandlers handlers)
        : settings_(settings)
        , handlers_(std::move(handlers))
        , thread_("peers")
        , acceptor_(thread_.context())
        , udpSocket_(thread_.context())
        , inbox_(thread_, InboxCapacity,
                 [this](PeerThreadInput &&input) { handleInput(std::move(input)); })
    {}

    void start()
    {
        const auto endpoint = toEndpoint<tcp>(settings_.peerListenAddress);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        udpSocket_.open(toEndpoint<udp>(settings_.peerListenAddress).protocol());
        udpSocket_.bind(toEndpoint<udp>(settings_.peerListenAddress));
        asio::co_spawn(thread_.context(), acceptConnections(), asio::detached);
        asio::co_spawn(thread_.context(), receiveGossip(), asio::detached);
        thread_.start();
    }

    void stop() { thread_.stop(); }

    bool tryPush(PeerThreadInput input) { return inbox_.tryPush(std::move(input)); }

private:
    void handleInput(PeerThreadInput &&input)
    {
        if (auto *gossip = std::get_if<GossipSend>(&input))
            sendGossip(*gossip);
        else if (auto *address = std::get_if<PeerAddress>(&input))
            addresses_[address->entry] = address->address;
        else
            sendMessage(std::get<PeerSend>(std::move(input)));
    }

    void sendGossip(const GossipSend &gossip)
    {
        if (!parseAddress(gossip.address))
            return;
        const std::string bytes = encodeGossip(gossip.message);
        boost::system::error_code ignored;
        // A datagram that cannot be sent is treated like a lost one.
        udpSocket_.send_to(asio::buffer(bytes), toEndpoint<udp>(gossip.address), 0, ignored);
    }

    void sendMessage(PeerSend message)
    {
        const auto address = addresses_.find(message.to);
        if (address == addresses_.end() || !parseAddress(address->second))
            return;
        auto &link = links_[message.to];
        if (!link) {
            link = std::make_shared<Link>(thread_.context().get_executor(), message.to);
            link->address = address->second;
            asio::co_spawn(thread_.context(), runLink(link), asio::detached);
        }
        link->address = address->second;
        std::string frame = encodeFrame(message.message);
        if (link->queuedBytes + frame.size() > MaxQueuedBytesPerLink) {
            logEvent(Event::RingFull, {{"link", message.to}});
            return;
        }
        link->queuedBytes += frame.size();
        link->queuedFrames.push_back(std::move(frame));
        link->queueChanged.notify();
    }

    asio::awaitable<void> runLink(std::shared_ptr<Link> link)
    {
        link->lastUsedAt = RuntimeClock::now();
        while (RuntimeClock::now() - link->lastUsedAt < IdleLinkLifetime) {
            RuntimeTimer connectTimer(thread_.context(), Duration(LinkTimeout));
            connectTimer.async_wait([link](const boost::system::error_code &error) {
                if (!error)
                    link->socket.close();
            });
            const tcp::endpoint endpoint = toEndpoint<tcp>(link->address);
            const auto [error] = co_await link->socket.async_connect(endpoint, AsTuple);
            connectTimer.cancel();
            if (!error) {
                link->socket.set_option(tcp::no_delay(true));
                link->isAckPending = false;
                logEvent(Event::PeerConnected, {{"entry", link->entry}});
                asio::co_spawn(thread_.context(), readAcks(link), asio::detached);
                co_await writeQueuedFrames(*link);
                logEvent(Event::PeerLost, {{"entry", link->entry}});
            }
            boost::system::error_code ignored;
            link->socket.close(ignored);
            RuntimeTimer reconnectTimer(thread_.context(), Duration(ReconnectDelay));
            co_await reconnectTimer.async_wait(AsTuple);
            link->socket = tcp::socket(thread_.context());
            link->queuedFrames.clear();
            link->queuedBytes = 0;
        }
        links_.erase(link->entry);
    }

    // Takes queued frames from the link. Appends a Hello, which the peer acknowledges, if no
    // acknowledgement is pending.
    std::string takeBatch(Link &link)
    {
        std::string batch;
        while (!link.queuedFrames.empty() && batch.size() < MaxBatchBytes) {
            batch += link.queuedFrames.front();
            link.queuedBytes -= link.queuedFrames.front().size();
            link.queuedFrames.pop_front();
        }
        if (!link.isAckPending) {
            batch += encodeFrame(Hello{settings_.node.self.entry, settings_.node.incarnation});
            link.isAckPending = true;
            link.ackDeadline = RuntimeClock::now() + LinkTimeout;
        }
        return batch;
    }

    // Writes queued frames until the connection fails, is idle, or an acknowledgement is overdue.
    // If a device on the path has dropped the state of the connection, writes still succeed, and
    // only the missing acknowledgement reveals the failure.
    asio::awaitable<void> writeQueuedFrames(Link &link)
    {
        link.queuedFrames.push_front(
                encodeFrame(Hello{settings_.node.self.entry, settings_.node.incarnation}));
        link.queuedBytes += link.queuedFrames.front().size();
        while (true) {
            const TimePoint now = RuntimeClock::now();
            const bool isUnacknowledged = link.isAckPending && now >= link.ackDeadline;
            const bool isIdle = now - link.lastUsedAt >= IdleLinkLifetime;
            if (isUnacknowledged || isIdle)
                co_return;
            if (link.queuedFrames.empty()) {
                const TimePoint idleDeadline = link.lastUsedAt + IdleLinkLifetime;
                const TimePoint until =
                        link.isAckPending ? std::min(link.ackDeadline, idleDeadline) : idleDeadline;
                co_await link.queueChanged.wait(until);
                continue;
            }
            link.lastUsedAt = now;
            const std::string batch = takeBatch(link);
            RuntimeTimer writeTimer(thread_.context(), Duration(LinkTimeout));
            writeTimer.async_wait([&link](const boost::system::error_code &error) {
                if (!error)
                    link.socket.close();
            });
            const auto [error, bytes] =
                    co_await asio::async_write(link.socket, asio::buffer(batch), AsTuple);
            writeTimer.cancel();
            if (error)
                co_return;
        }
    }

    // Reads the acknowledgements of an outgoing connection. When the connection ends, it marks an
    // acknowledgement as overdue, so that writeQueuedFrames() returns at once.
    asio::awaitable<void> readAcks(std::shared_ptr<Link> link)
    {
        std::array<char, 64> acks{};
        while (true) {
            const auto [error, size] =
                    co_await link->socket.async_read_some(asio::buffer(acks), AsTuple);
            if (error)
                break;
            link->isAckPending = false;
        }
        link->ackDeadline = RuntimeClock::now();
        link->isAckPending = true;
        link->queueChanged.notify();
    }

    asio::awaitable<void> acceptConnections()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(AsTuple);
            if (error)
                continue;
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(thread_.context(), readFrames(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> readFrames(tcp::socket socket)
    {
        EntryId from;
        std::string payload;
        try {
            while (true) {
                std::array<unsigned char, FrameHeaderBytes> header{};
                co_await asio::async_read(socket, asio::buffer(header), asio::use_awaitable);
                const std::size_t length = decodeFrameLength(header);
                if (length > MaxFrameBytes)
                    throw std::length_error("frame of " + std::to_string(length)
                                            + " bytes exceeds the limit");
                payload.resize(length);
                co_await asio::async_read(socket, asio::buffer(payload), asio::use_awaitable);
                if (handleMessage(decodePeerMessage(payload), from))
                    co_await asio::async_write(socket, asio::buffer(&Ack, 1), asio::use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            // The peer closed the connection. It opens a new one for its next message.
        } catch (const std::exception &error) {
            logEvent(Event::PeerMessageInvalid, {{"entry", from}, {"error", error.what()}});
        }
    }

    // Returns true for a message that must be acknowledged.
    bool handleMessage(PeerMessage message, EntryId &from)
    {
        if (const auto *hello = std::get_if<Hello>(&message)) {
            from = hello->entry;
            return true;
        }
        if (from.empty())
            throw std::invalid_argument("a message arrived before the Hello message");
        if (auto *head = std::get_if<AnswerHead>(&message))
            handlers_.onRelayMessage({from, std::move(*head)});
        else if (auto *data = std::get_if<AnswerData>(&message))
            handlers_.onRelayMessage({from, std::move(*data)});
        else if (auto *credit = std::get_if<AnswerCredit>(&message))
            handlers_.onRelayMessage({from, std::move(*credit)});
        else if (auto *report = std::get_if<AttemptReportCall>(&message))
            handlers_.onRelayMessage({from, std::move(report->report)});
        else
            handlers_.onMessage({from, std::move(message)});
        return false;
    }

    asio::awaitable<void> receiveGossip()
    {
        std::string buffer(MaxDatagramBytes, '\0');
        while (true) {
            udp::endpoint sender;
            const auto [error, size] =
                    co_await udpSocket_.async_receive_from(asio::buffer(buffer), sender, AsTuple);
            if (error)
                continue;
            try {
                handlers_.onGossip(
                        {toText(sender), decodeGossip(std::string_view(buffer).substr(0, size))});
            } catch (const std::exception &decodeError) {
                logEvent(Event::PeerMessageInvalid,
                         {{"sender", toText(sender)}, {"error", decodeError.what()}});
            }
        }
    }

    Settings settings_;
    PeerThreadHandlers handlers_;
    EventLoopThread thread_;
    tcp::acceptor acceptor_;
    udp::socket udpSocket_;
    std::map<EntryId, std::string> addresses_;
    std::map<EntryId, std::shared_ptr<Link>> links_;
    Inbox<PeerThreadInput> inbox_;
};

PeerThread::PeerThread(const Settings &settings, PeerThreadHandlers handlers)
    : impl_(std::make_unique<Impl>(settings, std::move(handlers)))
{}

PeerThread::~PeerThread() = default;

bool PeerThread::tryPush(PeerThreadInput input)
{
    return impl_->tryPush(std::move(input));
}

void PeerThread::start()
{
    impl_->start();
}

void PeerThread::stop()
{
    impl_->stop();
}

} // namespace Trefoil
