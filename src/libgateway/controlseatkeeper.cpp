#include "libgateway/controlseatkeeper.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>

namespace Trefoil {

namespace {

// Each log entry may hold a whole configuration, so the log is compacted often.
constexpr std::uint64_t CompactionIntervalEntries = 24;

constexpr auto RecoveryDelay = std::chrono::milliseconds(700);

std::uint64_t drawRandomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Creates the identity of the seat if the data folder has none. At the first start of a system,
// each seed gets one of the initial seats. In all other cases, such as a folder that was erased
// later, the seat gets a random identity that is not yet in any seat set.
void ensureIdentity(LogStore &store, const GatewaySettings &settings)
{
    if (store.hasIdentity())
        return;
    const EntryId ownAddress = linkAddress(settings);
    std::vector<EntryId> seeds = seedLinkAddresses(settings);
    std::sort(seeds.begin(), seeds.end());
    const bool isSeed = std::find(seeds.begin(), seeds.end(), ownAddress) != seeds.end();
    if (settings.isFirstStart && isSeed)
        store.createIdentity(initialSeatId(ownAddress), initialSeats(seeds));
    else
        store.createIdentity(drawRandomNumber(), {});
}

} // namespace

ControlSeatKeeper::ControlSeatKeeper(boost::asio::io_context &context,
                                     const GatewaySettings &settings, Handlers handlers)
    : context_(context)
    , settings_(settings)
    , handlers_(std::move(handlers))
    , diskThread_("disk")
{
    recover();
    diskThread_.start();
}

ControlSeatKeeper::~ControlSeatKeeper()
{
    diskThread_.stop();
}

void ControlSeatKeeper::recover()
{
    ++recoveryNumber_;
    hasDiskFailed_ = false;
    try {
        store_.reset();
        store_ = std::make_unique<LogStore>(openPosixFolder(settings_.dataFolder));
        ensureIdentity(*store_, settings_);
        const RecoveredLog recovered = store_->recover();
        ControlSeatOptions options;
        options.entriesBetweenSnapshots = CompactionIntervalEntries;
        seat_ = makeControlSeat(recovered, options, drawRandomNumber(), RuntimeClock::now());
        if (recovered.droppedTailBytes > 0)
            logEvent(Event::LogTailDropped,
                     {{"bytes", std::to_string(recovered.droppedTailBytes)}});
        logEvent(Event::SeatRecovered,
                 {{"seat", std::to_string(recovered.seat)},
                  {"entries", std::to_string(recovered.entries.size())},
                  {"version", std::to_string(seat_->control.config.services.version)}});
        std::vector<DepartedEndpoint> departures;
        for (const auto &[endpoint, departure] : seat_->control.departures)
            departures.push_back(departure);
        reportDepartures(departures, true);
        reportDepartures(departuresInEntries(recovered.entries), false);
    } catch (const DiskError &error) {
        seat_.reset();
        nextRecoveryAt_ = RuntimeClock::now() + RecoveryDelay;
        logEvent(Event::DiskFailed, {{"error", error.what()}});
    }
}

void ControlSeatKeeper::tick()
{
    if (!seat_) {
        if (RuntimeClock::now() < nextRecoveryAt_ || !isDiskQueueEmpty_)
            return;
        recover();
        if (!seat_)
            return;
    }
    ControlSeatOutput out;
    tickControlSeat(*seat_, RuntimeClock::now(), out);
    processOutput(out);
}

void ControlSeatKeeper::receive(const RaftMessage &message)
{
    if (!seat_ || message.to != seat_->raft.self)
        return;
    ControlSeatOutput out;
    receiveRaftMessage(*seat_, message, RuntimeClock::now(), out);
    processOutput(out);
}

bool ControlSeatKeeper::propose(Command command, ProposalHandler onDone)
{
    if (!seat_)
        return false;
    Proposal proposal;
    proposal.wallTimeMs = wallTimeMs();
    proposal.command = std::move(command);
    ControlSeatOutput out;
    const auto proposalId = proposeCommand(*seat_, proposal, RuntimeClock::now(), out);
    if (proposalId)
        pendingProposals_[*proposalId] = std::move(onDone);
    processOutput(out);
    return proposalId.has_value();
}

void ControlSeatKeeper::changeSeats(SeatSet seats)
{
    if (!seat_)
        return;
    ControlSeatOutput out;
    proposeSeats(*seat_, std::move(seats), RuntimeClock::now(), out);
    processOutput(out);
}

void ControlSeatKeeper::processOutput(ControlSeatOutput &out)
{
    // A departure is passed on before it is committed, so that entries know of it even if the
    // leader is lost as soon as it has acknowledged it.
    for (const SeatDiskWork &work : out.disk)
        reportDepartures(departuresInEntries(work.write.append), false);
    reportDepartures(out.departures, true);
    for (RaftMessage &message : out.send)
        handlers_.sendMessage(std::move(message));
    for (SeatDiskWork &work : out.disk)
        writeToDisk(std::move(work));
    for (const ProposalResult &result : out.results) {
        const auto found = pendingProposals_.find(result.proposalId);
        if (found == pendingProposals_.end())
            continue;
        const ProposalHandler onDone = std::move(found->second);
        pendingProposals_.erase(found);
        onDone(result.isApplied && result.reply.isAccepted());
    }
    handlers_.onChanged();
}

void ControlSeatKeeper::reportDepartures(std::span<const DepartedEndpoint> departures,
                                         bool isCommitted)
{
    if (!departures.empty())
        handlers_.onDepartures(departures, isCommitted);
}

void ControlSeatKeeper::writeToDisk(SeatDiskWork work)
{
    auto shared = std::make_shared<SeatDiskWork>(std::move(work));
    const std::uint64_t recovery = recoveryNumber_;
    diskThread_.post([this, shared, recovery] {
        if (hasDiskFailed_)
            return; // After a failed write, the queued writes are skipped.
        try {
            if (!shared->write.isEmpty())
                store_->write(std::span(&shared->write, 1));
        } catch (const DiskError &error) {
            hasDiskFailed_ = true;
            const std::string text = error.what();
            boost::asio::post(context_,
                              [this, recovery, text] { handleDiskError(recovery, text); });
            return;
        }
        boost::asio::post(context_, [this, shared, recovery] {
            handleSynced(recovery, std::move(shared->sendAfterSync), shared->lastIndex,
                         shared->lastTerm);
        });
    });
}

void ControlSeatKeeper::handleSynced(std::uint64_t recovery, std::vector<RaftMessage> messages,
                                     LogIndex index, Term term)
{
    if (!seat_ || recovery != recoveryNumber_)
        return;
    for (RaftMessage &message : messages)
        handlers_.sendMessage(std::move(message));
    ControlSeatOutput out;
    handleSeatSynced(*seat_, index, term, RuntimeClock::now(), out);
    processOutput(out);
}

// Drops the state in memory, because it is unknown which writes reached the disk. tick() later
// recovers the state from the disk.
void ControlSeatKeeper::handleDiskError(std::uint64_t recovery, const std::string &error)
{
    if (recovery != recoveryNumber_ || !seat_)
        return;
    logEvent(Event::DiskFailed, {{"error", error}});
    lastServices_ = seat_->control.config.services;
    seat_.reset();
    nextRecoveryAt_ = RuntimeClock::now() + RecoveryDelay;
    // The disk thread may still have queued writes to skip; the store is reopened after them.
    isDiskQueueEmpty_ = false;
    diskThread_.post([this] { boost::asio::post(context_, [this] { isDiskQueueEmpty_ = true; }); });
    const auto lost = std::exchange(pendingProposals_, {});
    for (const auto &[proposalId, onDone] : lost)
        onDone(false);
    handlers_.onChanged();
}

bool ControlSeatKeeper::isActingLeader() const
{
    return seat_ && Trefoil::isActingLeader(*seat_, RuntimeClock::now());
}

SeatId ControlSeatKeeper::id() const
{
    return seat_ ? seat_->raft.self : NoSeat;
}

SeatId ControlSeatKeeper::leader() const
{
    return seat_ ? seat_->raft.leader : NoSeat;
}

Term ControlSeatKeeper::term() const
{
    return seat_ ? seat_->raft.hardState.term : 0;
}

SeatSet ControlSeatKeeper::seats() const
{
    return seat_ ? seat_->raft.seats : SeatSet{};
}

std::vector<SeatContact> ControlSeatKeeper::contacts() const
{
    std::vector<SeatContact> contacts;
    if (!seat_)
        return contacts;
    for (const auto &[seat, progress] : seat_->raft.followers)
        contacts.push_back({seat, progress.lastContact});
    return contacts;
}

GroupRecords ControlSeatKeeper::groups() const
{
    return seat_ ? seat_->control.groups : GroupRecords{};
}

const PublishedServices &ControlSeatKeeper::services() const
{
    return seat_ ? seat_->control.config.services : lastServices_;
}

} // namespace Trefoil
