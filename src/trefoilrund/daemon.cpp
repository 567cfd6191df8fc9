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

// Settings that differ between two runs of the same file.
Settings forThisRun(Settings settings)
{
    settings.node.incarnation = wallTimeMs();
    settings.node.randomSeed = randomNumber();
    return settings;
}

// Opens the seat's log. A folder without an identity gets one of its own, which no seat set names
// yet: a wiped seat must not vote with its lost memory.
std::unique_ptr<LogStore> openStore(const Settings &settings)
{
    if (settings.dataFolder.empty())
        return nullptr;
    auto store = std::make_unique<LogStore>(openPosixFolder(settings.dataFolder));
    if (!store->hasIdentity())
        store->createIdentity(randomNumber(), {});
    return store;
}

std::optional<ControlSeatState> recoverSeat(LogStore *store, const Settings &settings)
{
    if (!store)
        return std::nullopt;
    const RecoveredLog recovered = store->recover();
    if (recovered.droppedTailBytes > 0)
        logEvent(Event::LogTailDropped, {{"bytes", std::to_string(recovered.droppedTailBytes)}});
    logEvent(Event::SeatRecovered, {{"seat", std::to_string(recovered.seat)},
                                    {"entries", std::to_string(recovered.entries.size())}});
    return makeControlSeat(recovered, settings.seat, settings.node.randomSeed, RuntimeClock::now());
}

} // namespace

void initializeSeat(const Settings &settings)
{
    const EntryId &self = settings.node.self.entry;
    const auto &entries = settings.initialSeats;
    if (std::find(entries.begin(), entries.end(), self) == entries.end())
        throw DiskError("entry '" + self + "' is not among control.seats");
    LogStore store(openPosixFolder(settings.dataFolder));
    store.createIdentity(initialSeatId(self), initialSeats(settings.initialSeats));
}

class Daemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : settings_(forThisRun(settings))
        , store_(openStore(settings_))
        , decisions_(settings_, recoverSeat(store_.get(), settings_), decisionHandlers())
        , peers_(settings_, peerHandlers())
        , front_(settings_, frontHandlers())
        , operators_(settings_,
                     [this](DecisionInput input) { return decisions_.tryPush(std::move(input)); })
    {
        if (store_)
            disk_ = std::make_unique<DiskDuty>(
                    std::move(store_), [this](DiskSynced synced) { decide(std::move(synced)); });
    }

    void start()
    {
        peers_.start();
        front_.start();
        operators_.start();
        if (disk_)
            disk_->start();
        decisions_.start();
        logEvent(Event::Started, {{"entry", settings_.node.self.entry}});
    }

    void drain(std::function<void()> drained)
    {
        drained_ = std::move(drained);
        decide(StopRequest{});
    }

    void stop()
    {
        front_.stop();
        operators_.stop();
        decisions_.stop();
        peers_.stop();
        if (disk_)
            disk_->stop();
    }

private:
    void decide(DecisionInput input)
    {
        if (!decisions_.tryPush(std::move(input)))
            logFatal(Event::RingFull, {{"ring", "decisions"}});
    }

    DecisionDutyHandlers decisionHandlers()
    {
        DecisionDutyHandlers handlers;
        handlers.peers = [this](PeerOutput output) { return peers_.tryPush(std::move(output)); };
        handlers.front = [this](FrontInput input) { return front_.tryPush(std::move(input)); };
        handlers.operators = [this](OperatorOutput output) {
            return operators_.tryPush(std::move(output));
        };
        handlers.disk = [this](SeatDiskWork work) { return disk_->tryPush(std::move(work)); };
        handlers.drained = [this] { drained_(); };
        return handlers;
    }

    PeerDutyHandlers peerHandlers()
    {
        PeerDutyHandlers handlers;
        handlers.message = [this](PeerInput input) { decide(std::move(input)); };
        handlers.gossip = [this](GossipInput input) { decide(std::move(input)); };
        handlers.relay = [this](RelayInput input) {
            if (!front_.tryPush(std::move(input)))
                logFatal(Event::RingFull, {{"ring", "front"}});
        };
        return handlers;
    }

    FrontDutyHandlers frontHandlers()
    {
        FrontDutyHandlers handlers;
        handlers.decide = [this](DecisionInput input) {
            return decisions_.tryPush(std::move(input));
        };
        handlers.relay = [this](EntryId to, PeerMessage message) {
            if (!peers_.tryPush(PeerSend{std::move(to), std::move(message)}))
                logFatal(Event::RingFull, {{"ring", "peers"}});
        };
        return handlers;
    }

    Settings settings_;
    std::unique_ptr<LogStore> store_;
    DecisionDuty decisions_;
    PeerDuty peers_;
    FrontDuty front_;
    OperatorDuty operators_;
    std::unique_ptr<DiskDuty> disk_;
    std::function<void()> drained_ = [] {};
};

Daemon::Daemon(const Settings &settings)
    : impl_(std::make_unique<Impl>(settings))
{}

Daemon::~Daemon() = default;

void Daemon::start()
{
    impl_->start();
}

void Daemon::drain(std::function<void()> drained)
{
    impl_->drain(std::move(drained));
}

void Daemon::stop()
{
    impl_->stop();
}

} // namespace Trefoil
