#include "soakworld.h"

#include "libgateway/channel.h"
#include "libruntime/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fstream>

namespace Trefoil {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto MinPause = milliseconds(500);
constexpr auto MaxPause = seconds(4);
constexpr auto MinStay = milliseconds(200);
constexpr auto MaxStay = seconds(3);
constexpr auto ConnectTimeout = seconds(1);
constexpr std::uint64_t MaxClients = 60;
constexpr std::uint64_t MaxBodyBytes = 3'000'000;
constexpr std::size_t PieceBytes = 32 * 1024;
constexpr std::size_t InputCapacity = 4 * 1024;

enum class Misbehavior : std::uint64_t {
    LargeChunks,
    SmallChunks,
    AnnouncedBody,
    BodyOverLimit,
    ChunkExtension,
    UnfinishedHead,
    Count,
};

// Returns what a client sends first, and the piece that it then repeats.
std::pair<std::string, std::string> makeScript(Misbehavior misbehavior)
{
    const std::string head = "POST /book/misbehaving HTTP/1.1\r\nHost: soak.example\r\n";
    const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string piece(PieceBytes, 'x');
    switch (misbehavior) {
    case Misbehavior::SmallChunks: {
        std::string chunks;
        while (chunks.size() < PieceBytes)
            chunks += toChunk("xx");
        return {chunkedHead, chunks};
    }
    case Misbehavior::AnnouncedBody:
        return {head + "Content-Length: 4000000\r\n\r\n", piece};
    case Misbehavior::BodyOverLimit:
        return {head + "Content-Length: 400000000\r\n\r\n", piece};
    case Misbehavior::ChunkExtension:
        return {chunkedHead + "1;", piece};
    case Misbehavior::UnfinishedHead:
        return {head, {}};
    default:
        return {chunkedHead, toChunk(piece)};
    }
}

asio::awaitable<void> runClient(std::string address, std::string head, std::string piece,
                                std::uint64_t bodyBytes, Duration stay)
{
    std::string error;
    const ChannelPointer channel =
            co_await connectChannel(address, ConnectTimeout, InputCapacity, error);
    if (!channel)
        co_return;
    const TimePoint until = RuntimeClock::now() + stay;
    bool isOpen = co_await channel->write(head, until);
    std::uint64_t sent = 0;
    while (isOpen && !piece.empty() && sent < bodyBytes) {
        isOpen = co_await channel->write(piece, until);
        sent += piece.size();
    }
    const Duration remaining = until - RuntimeClock::now();
    if (isOpen && remaining > Duration::zero())
        co_await sleepFor(remaining);
    channel->close();
}

// Returns the resident memory of a process in bytes.
std::size_t residentBytes(const SoakNode &node)
{
    std::ifstream file("/proc/" + std::to_string(node.process->id()) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

} // namespace

asio::awaitable<void> runMisbehavingClients(SoakState &soak, TimePoint until)
{
    while (RuntimeClock::now() < until) {
        co_await sleepFor(randomDuration(soak, MinPause, MaxPause));
        const bool isEntry = randomBelow(soak, 2) == 0;
        const SoakNode &node = randomNode(soak, isEntry ? "entry" : "control");
        const std::string address = addressOf(node, isEntry ? CallerPort : ControlPort);
        const auto misbehavior = static_cast<Misbehavior>(
                randomBelow(soak, static_cast<std::uint64_t>(Misbehavior::Count)));
        const auto [head, piece] = makeScript(misbehavior);
        const std::uint64_t clients = 1 + randomBelow(soak, MaxClients);
        for (std::uint64_t i = 0; i < clients; ++i) {
            asio::co_spawn(soak.context,
                           runClient(address, head, piece, randomBelow(soak, MaxBodyBytes),
                                     randomDuration(soak, MinStay, MaxStay)),
                           asio::detached);
        }
        soak.counts.misbehavingClients += clients;
    }
}

void checkMemory(SoakState &soak)
{
    for (SoakNode &node : soak.nodes) {
        if (!node.shouldRun || !node.process->running())
            continue;
        const std::size_t bytes = residentBytes(node);
        if (bytes > MemoryMb * 1024 * 1024)
            reportViolation(soak, node.name + " uses " + std::to_string(bytes)
                                          + " bytes of memory, more than its settings allow");
    }
}

} // namespace Trefoil
