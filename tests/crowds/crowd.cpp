#include "crowds/crowd.h"

#include "libruntime/networkendpoint.h"
#include "libruntime/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace Trefoil {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto PollInterval = std::chrono::milliseconds(50);

// The crowd has settled after this many polls without progress.
constexpr int SettledPolls = 16;

// A crowd that never settles, because its connections come and go, is left after this many polls.
constexpr int MaxPolls = 600;

constexpr std::size_t KeptAnswerBytes = 256;
constexpr std::size_t KeptEndingBytes = 32;

asio::awaitable<void> sleepFor(Duration duration)
{
    RuntimeTimer timer(co_await asio::this_coro::executor, RuntimeClock::now() + duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

struct Crowd::Client
{
    explicit Client(asio::io_context &context)
        : socket(context)
    {}

    tcp::socket socket;
    std::string answer; // beginning of what was received
    std::string ending; // end of what was received
};

Crowd::Crowd(asio::io_context &context, CrowdScript script)
    : context_(context)
    , script_(std::move(script))
{}

asio::awaitable<void> Crowd::run()
{
    for (std::size_t i = 0; i < script_.clients; ++i) {
        auto client = std::make_shared<Client>(context_);
        clients_.push_back(client);
        asio::co_spawn(context_, runClient(client), asio::detached);
    }
    std::uint64_t lastProgress = 0;
    int idlePolls = 0;
    for (int polls = 0; polls < MaxPolls && idlePolls < SettledPolls; ++polls) {
        co_await sleepFor(PollInterval);
        idlePolls = progress_ == lastProgress ? idlePolls + 1 : 0;
        lastProgress = progress_;
    }
}

void Crowd::close()
{
    for (const auto &client : clients_) {
        boost::system::error_code ignored; // The connection may have ended already.
        client->socket.close(ignored);
    }
}

std::size_t Crowd::countAnswers(const std::string &text) const
{
    return static_cast<std::size_t>(
            std::count_if(clients_.begin(), clients_.end(), [&text](const auto &client) {
                return client->answer.starts_with(text);
            }));
}

std::size_t Crowd::countEndings(const std::string &text) const
{
    return static_cast<std::size_t>(
            std::count_if(clients_.begin(), clients_.end(),
                          [&text](const auto &client) { return client->ending.ends_with(text); }));
}

asio::awaitable<void> Crowd::runClient(std::shared_ptr<Client> client)
{
    const auto [connectError] =
            co_await client->socket.async_connect(toEndpoint<tcp>(script_.address), AsTuple);
    if (connectError)
        co_return;
    ++progress_;
    if (script_.isReading)
        asio::co_spawn(context_, readAnswers(client), asio::detached);
    const auto [headError, headBytes] =
            co_await asio::async_write(client->socket, asio::buffer(script_.head), AsTuple);
    bool isOpen = !headError;
    progress_ += headBytes;
    for (std::size_t i = 0; isOpen && i < script_.pieces; ++i) {
        const auto [error, bytes] =
                co_await asio::async_write(client->socket, asio::buffer(script_.piece), AsTuple);
        progress_ += bytes;
        isOpen = !error;
    }
}

asio::awaitable<void> Crowd::readAnswers(std::shared_ptr<Client> client)
{
    std::array<char, 4096> bytes;
    while (true) {
        const auto [error, count] =
                co_await client->socket.async_read_some(asio::buffer(bytes), AsTuple);
        if (error)
            co_return;
        progress_ += count;
        const std::size_t kept = std::min(count, KeptAnswerBytes - client->answer.size());
        client->answer.append(bytes.data(), kept);
        client->ending.append(bytes.data(), count);
        if (client->ending.size() > KeptEndingBytes)
            client->ending.erase(0, client->ending.size() - KeptEndingBytes);
    }
}

UsageWatch::UsageWatch(asio::io_context &context, GatewayNode &node)
{
    asio::co_spawn(
            context,
            [peak = peak_, isOver = isOver_, &node]() -> asio::awaitable<void> {
                while (!*isOver && isRunning(node)) {
                    const ProcessUsage usage = readUsage(node);
                    peak->memoryBytes =
                            std::max({peak->memoryBytes, usage.residentBytes + usage.queuedBytes,
                                      readPeakResidentBytes(node)});
                    peak->openDescriptors = std::max(peak->openDescriptors, usage.openDescriptors);
                    co_await sleepFor(PollInterval);
                }
            },
            asio::detached);
}

UsageWatch::~UsageWatch()
{
    *isOver_ = true;
}

} // namespace Trefoil
