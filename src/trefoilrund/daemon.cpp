#include "trefoilrund/daemon.h"

#include "trefoilrund/decisionduty.h"
#include "trefoilrund/diskduty.h"
#include "trefoilrund/frontduty.h"
#include "trefoilrund/operatorduty.h"
#include "trefoilrund/peerduty.h"

#include <algorithm>
#include <random>

namespace Trefoil {

namespace {

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Sets the incarnation and the random seed, which differ between runs with the same settings file.
Settings withRunValues(Settings settings)
{
    settings.node.incarnation = wallTimeMs();
    settings.node.randomSeed = randomNumber();
    return settings;
}

// Opens the Raft log of the control seat. A folder without an identity gets a new random one that
// no seat set contains yet, so that a seat whose disk was wiped cannot vote after losing its log.
std::unique_ptr<LogStore> openLogStore(const Settings &settings)
{
    if (settings.dataFolder.empty())
        return nullptr;
    auto logStore = std::make_unique<LogStore>(openPosixFolder(settings.dataFolder));
    if (!logStore->hasIdentity())
        logStore->createIdentity(randomNumber(), {});
    return logStore;
}

std::optional<ControlSeatState> recoverSeat(LogStore *logStore, const Settings &settings)
{
    if (!logStore)
        return std::nullopt;
    const RecoveredLog recovered = logStore->recover();
    if (recovered.droppedTailBytes > 0)
        logEvent(Event::LogTailDropped, {{"bytes", std::to_string(recovered.droppedTailBytes)}});
    logEvent(Event::SeatRecovered, {{"seat", std::to_string(recovered.seat)},
                                    {"entries", std::to_string(recovered.entries.size())}});
    return makeControlSeat(recovered, settings.seat, settings.node.randomSeed, RuntimeClock::now());
}

} // namespace

void initializeSeat(const Settings &settings)
{
    const EntryId &ownEntry = settings.node.self.entry;
    const auto &seatEntries = settings.initialSeats;
    if (std::find(seatEntries.begin(), seatEntries.end(), ownEntry) == seatEntries.end())
        throw DiskError("entry '" + ownEntry + "' is not listed in control.seats");
    LogStore logStore(openPosixFolder(settings.dataFolder));
    logStore.createIdentity(initialSeatId(ownEntry), initialSeats(settings.initialSeats));
}

class Daemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : settings_(withRunValues(settings))
        , logStore_(openLogStore(settings_))
        , nodeThread_(settings_, recoverSeat(logStore_.get(), settings_), makeNodeThreadHandlers())
        , peerThread_(settings_, makePeerThreadHandlers())
        , frontendThread_(settings_, makeFrontendThreadHandlers())
        , operatorThread_(settings_, [this](NodeThreadInput input) {
            return nodeThread_.tryPush(std::move(input));
        })
    {
        if (logStore_)
            diskThread_ =
                    std::make_unique<DiskThread>(std::move(logStore_), [this](LogSynced synced) {
                        postToNode(std::move(synced));
                    });
    }

    void start()
    {
        peerThread_.start();
        frontendThread_.start();
        operatorThread_.start();
        if (diskThread_)
            diskThread_->start();
        nodeThread_.start();
        logEvent(Event::Started, {{"entry", settings_.node.self.entry}});
    }

    void drain(std::function<void()> onDrained)
    {
        onDrained_ = std::move(onDrained);
        postToNode(DrainRequest{});
    }

    void stop()
    {
        frontendThread_.stop();
        operatorThread_.stop();
        nodeThread_.stop();
        peerThread_.stop();
        if (diskThread_)
            diskThread_->stop();
    }

private:
    void postToNode(NodeThreadInput input)
    {
        if (!nodeThread_.tryPush(std::move(input)))
            logFatal(Event::RingFull, {{"ring", "decisions"}});
    }

    NodeThreadHandlers makeNodeThreadHandlers()
    {
        NodeThreadHandlers handlers;
        handlers.sendToPeers = [this](PeerThreadInput output) {
            return peerThread_.tryPush(std::move(output));
        };
        handlers.sendToFrontend = [this](FrontendThreadInput input) {
            return frontendThread_.tryPush(std::move(input));
        };
        handlers.sendToOperators = [this](OperatorThreadInput output) {
            return operatorThread_.tryPush(std::move(output));
        };
        handlers.writeToDisk = [this](SeatDiskWork work) {
            return diskThread_->tryPush(std::move(work));
        };
        handlers.onDrained = [this] { onDrained_(); };
        return handlers;
    }

    PeerThreadHandlers makePeerThreadHandlers()
    {
        PeerThreadHandlers handlers;
        handlers.onMessage = [this](ReceivedPeerMessage message) {
            postToNode(std::move(message));
        };
        handlers.onGossip = [this](ReceivedGossip gossip) { postToNode(std::move(gossip)); };
        handlers.onRelayMessage = [this](RelayMessage message) {
            if (!frontendThread_.tryPush(std::move(message)))
                logFatal(Event::RingFull, {{"ring", "front"}});
        };
        return handlers;
    }

    FrontendThreadHandlers makeFrontendThreadHandlers()
    {
        FrontendThreadHandlers handlers;
        handlers.postToNode = [this](NodeThreadInput input) {
            return nodeThread_.tryPush(std::move(input));
        };
        handlers.sendToPeer = [this](EntryId to, PeerMessage message) {
            if (!peerThread_.tryPush(PeerSend{std::move(to), std::move(message)}))
                logFatal(Event::RingFull, {{"ring", "peers"}});
        };
        return handlers;
    }

    Settings settings_;
    std::unique_ptr<LogStore> logStore_;
    NodeThread nodeThread_;
    PeerThread peerThread_;
    FrontendThread frontendThread_;
    OperatorThread operatorThread_;
    std::unique_ptr<DiskThread> diskThread_;
    std::function<void()> onDrained_ = [] {};
};

Daemon::Daemon(const Settings &settings)
    : impl_(std::make_unique<Impl>(settings))
{}

Daemon::~Daemon() = default;

void Daemon::start()
{
    impl_->start();
}

void Daemon::drain(std::function<void()> onDrained)
{
    impl_->drain(std::move(onDrained));
}

void Daemon::stop()
{
    impl_->stop();
}

} // namespace Trefoil
