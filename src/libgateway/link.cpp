#include "libgateway/link.h"

#include "libruntime/events.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

constexpr std::size_t LengthBytes = 4;
// Size of the kernel's buffers of a link.
constexpr std::size_t LinkBufferBytes = 32 * 1024;

// A peer that does not read is disconnected when this many bytes wait for it.
constexpr std::size_t MaxSendBufferBytes = 48 * 1024 * 1024;

std::size_t decodeFrameLength(const std::string &bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

} // namespace

Link::Link(ChannelPointer channel, Duration timeout, MessageHandler onMessage, EndHandler onEnd)
    : channel_(std::move(channel))
    , timeout_(timeout)
    , onMessage_(std::move(onMessage))
    , onEnd_(std::move(onEnd))
    , readSignal_(channel_->executor())
    , writeSignal_(channel_->executor())
{
    lastReceivedAt = RuntimeClock::now();
}

void Link::start()
{
    channel_->setChangeSignal(&readSignal_);
    const auto self = shared_from_this();
    asio::co_spawn(
            channel_->executor(), [self] { return self->readMessages(); }, asio::detached);
    asio::co_spawn(
            channel_->executor(), [self] { return self->writeMessages(); }, asio::detached);
}

ChannelLimits linkLimits(std::shared_ptr<MemoryLedger> ledger)
{
    ChannelLimits limits{std::move(ledger)};
    limits.kernelBufferBytes = LinkBufferBytes;
    return limits;
}

std::string encodeLinkFrame(const LinkMessage &message)
{
    const std::string payload = encodeLinkMessage(message);
    std::string bytes;
    bytes.reserve(LengthBytes + payload.size());
    for (std::size_t i = 0; i < LengthBytes; ++i)
        bytes += static_cast<char>((payload.size() >> (8 * i)) & 0xff);
    return bytes + payload;
}

void Link::protect(std::size_t inputCapacity)
{
    channel_->setInputCapacity(inputCapacity);
    channel_->protect();
}

void Link::send(const LinkMessage &message)
{
    if (!isEnded_)
        sendFrame(encodeLinkFrame(message));
}

void Link::sendFrame(std::string_view frame)
{
    if (isEnded_)
        return;
    if (frame.size() > LengthBytes + MaxLinkMessageBytes) {
        logEvent(Event::LinkMessageTooLong,
                 {{"peer", channel_->remoteAddress()}, {"bytes", std::to_string(frame.size())}});
        return;
    }
    sendBuffer_ += frame;
    if (sendBuffer_.size() > MaxSendBufferBytes) {
        close("the peer does not read");
        return;
    }
    holdMessages();
    writeSignal_.notify();
}

void Link::setStateSource(StateSource source)
{
    stateSource_ = std::move(source);
    notifyState();
}

void Link::holdMessages()
{
    if (!isEnded_ && !channel_->hold(sendBuffer_.capacity() + writingBytes_))
        close("the memory for messages is used up");
}

// Handles the complete messages in the input. Returns false when the link must end.
bool Link::handleInput(std::string &reason)
{
    std::string &input = channel_->input();
    while (input.size() >= LengthBytes) {
        const std::size_t length = decodeFrameLength(input);
        if (LengthBytes + length > channel_->inputCapacity()) {
            reason = "a message is too long";
            return false;
        }
        if (input.size() < LengthBytes + length)
            break;
        LinkMessage message;
        try {
            message = decodeLinkMessage(std::string_view(input).substr(LengthBytes, length));
        } catch (const std::exception &error) {
            reason = std::string("a message cannot be decoded: ") + error.what();
            return false;
        }
        input.erase(0, LengthBytes + length);
        lastReceivedAt = RuntimeClock::now();
        onMessage_(*this, std::move(message));
        if (isEnded_)
            return false;
    }
    channel_->resumeReading();
    return true;
}

asio::awaitable<void> Link::readMessages()
{
    const auto self = shared_from_this();
    std::string reason;
    while (!isEnded_) {
        if (!handleInput(reason))
            break;
        if (channel_->isEnded()) {
            reason = "the connection ended";
            break;
        }
        const TimePoint deadline = lastReceivedAt + timeout_;
        if (RuntimeClock::now() >= deadline) {
            reason = "the peer is silent";
            break;
        }
        co_await readSignal_.wait(deadline);
    }
    close(reason);
}

asio::awaitable<void> Link::writeMessages()
{
    const auto self = shared_from_this();
    while (!isEnded_) {
        const std::string messages = std::exchange(sendBuffer_, {});
        std::shared_ptr<const std::string> part;
        if (messages.empty() && stateSource_)
            part = stateSource_();
        const std::string &bytes = part ? *part : messages;
        if (bytes.empty()) {
            co_await writeSignal_.wait();
            continue;
        }
        writingBytes_ = bytes.capacity();
        holdMessages();
        if (isEnded_)
            break;
        const bool isWritten = co_await channel_->write(bytes, RuntimeClock::now() + timeout_);
        writingBytes_ = 0;
        holdMessages();
        if (!isWritten) {
            close("a write failed");
            break;
        }
    }
}

void Link::close(const std::string &reason)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    stateSource_ = nullptr;
    channel_->setChangeSignal(nullptr);
    channel_->close();
    readSignal_.notify();
    writeSignal_.notify();
    onEnd_(*this, reason);
}

} // namespace Trefoil
