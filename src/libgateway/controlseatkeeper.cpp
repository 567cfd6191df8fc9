#include "libgateway/controlseatkeeper.h"

#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>

namespace Trefoil {

namespace {

constexpr std::uint64_t CompactEvery = 24; // log entries; each may hold a whole configuration
constexpr auto RecoverDelay = std::chrono::milliseconds(700);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Gives an empty folder its identity. Only at the very first start do the seeds hold the first
// seats; a wiped folder gets a new identity that no seat set names yet.
void ensureIdentity(LogStore &store, const GatewaySettings &settings)
{
    if (store.hasIdentity())
        return;
    const EntryId self = linkAddress(settings);
    std::vector<EntryId> seeds = seedLinkAddresses(settings);
    std::sort(seeds.begin(), seeds.end());
    const bool isSeed = std::find(seeds.begin(), seeds.end(), self) != seeds.end();
    if (settings.isFirstStart && isSeed)
        store.createIdentity(initialSeatId(self), initialSeats(seeds));
    else
        store.createIdentity(randomNumber(), {});
}

} // namespace

ControlSeatKeeper::ControlSeatKeeper(boost::asio::io_context &context,
                                     const GatewaySettings &settings, Handlers handlers)
    : context_(context)
    , settings_(settings)
    , handlers_(std::move(handlers))
    , disk_("disk")
{
    recover();
    disk_.start();
}

ControlSeatKeeper::~ControlSeatKeeper()
{
    disk_.stop();
}

void ControlSeatKeeper::recover()
{
    ++life_;
    isDiskFailed_ = false;
    try {
        store_.reset();
        store_ = std::make_unique<LogStore>(openPosixFolder(settings_.dataFolder));
        ensureIdentity(*store_, settings_);
        const RecoveredLog recovered = store_->recover();
        ControlSeatOptions options;
        options.compactEvery = CompactEvery;
        seat_ = makeControlSeat(recovered, options, randomNumber(), RuntimeClock::now());
        if (recovered.droppedTailBytes > 0)
            logEvent(Event::LogTailDropped,
                     {{"bytes", std::to_string(recovered.droppedTailBytes)}});
        logEvent(Event::SeatRecovered,
                 {{"seat", std::to_string(recovered.seat)},
                  {"entries", std::to_string(recovered.entries.size())},
                  {"version", std::to_string(seat_->control.config.services.version)}});
    } catch (const DiskError &error) {
        seat_.reset();
        recoverAt_ = RuntimeClock::now() + RecoverDelay;
        logEvent(Event::DiskFailed, {{"error", error.what()}});
    }
}

void ControlSeatKeeper::tick()
{
    if (!seat_) {
        if (RuntimeClock::now() < recoverAt_ || !isDiskIdle_)
            return;
        recover();
        if (!seat_)
            return;
    }
    ControlSeatOutput out;
    seatTick(*seat_, RuntimeClock::now(), out);
    take(out);
}

void ControlSeatKeeper::receive(const RaftMessage &message)
{
    if (!seat_ || message.to != seat_->raft.self)
        return;
    ControlSeatOutput out;
    seatReceive(*seat_, message, RuntimeClock::now(), out);
    take(out);
}

bool ControlSeatKeeper::publish(std::uint64_t version, std::string document, PublishDone done)
{
    if (!seat_)
        return false;
    Proposal proposal;
    proposal.command = PublishServices{version, std::move(document)};
    ControlSeatOutput out;
    const auto ticket = seatPropose(*seat_, proposal, RuntimeClock::now(), out);
    if (ticket)
        publishing_[*ticket] = std::move(done);
    take(out);
    return ticket.has_value();
}

void ControlSeatKeeper::changeSeats(SeatSet seats)
{
    if (!seat_)
        return;
    ControlSeatOutput out;
    seatProposeSeats(*seat_, std::move(seats), RuntimeClock::now(), out);
    take(out);
}

void ControlSeatKeeper::take(ControlSeatOutput &out)
{
    for (RaftMessage &message : out.send)
        handlers_.send(std::move(message));
    for (SeatDiskWork &work : out.disk)
        write(std::move(work));
    for (const ProposalResult &result : out.results) {
        const auto found = publishing_.find(result.ticket);
        if (found == publishing_.end())
            continue;
        const PublishDone done = std::move(found->second);
        publishing_.erase(found);
        done(result.isApplied);
    }
    handlers_.changed();
}

void ControlSeatKeeper::write(SeatDiskWork work)
{
    auto shared = std::make_shared<SeatDiskWork>(std::move(work));
    const std::uint64_t life = life_;
    disk_.post([this, shared, life] {
        if (isDiskFailed_)
            return; // nothing may follow a write that failed
        try {
            if (!shared->write.isEmpty())
                store_->write(std::span(&shared->write, 1));
        } catch (const DiskError &error) {
            isDiskFailed_ = true;
            const std::string text = error.what();
            boost::asio::post(context_, [this, life, text] { diskFailed(life, text); });
            return;
        }
        boost::asio::post(context_, [this, shared, life] {
            synced(life, std::move(shared->sendAfterSync), shared->lastIndex, shared->lastTerm);
        });
    });
}

void ControlSeatKeeper::synced(std::uint64_t life, std::vector<RaftMessage> messages,
                               LogIndex index, Term term)
{
    if (!seat_ || life != life_)
        return;
    for (RaftMessage &message : messages)
        handlers_.send(std::move(message));
    ControlSeatOutput out;
    seatSynced(*seat_, index, term, RuntimeClock::now(), out);
    take(out);
}

// What reached the disk is unknown, so the seat forgets its memory and reads the disk again.
void ControlSeatKeeper::diskFailed(std::uint64_t life, const std::string &error)
{
    if (life != life_ || !seat_)
        return;
    logEvent(Event::DiskFailed, {{"error", error}});
    lastServices_ = seat_->control.config.services;
    seat_.reset();
    recoverAt_ = RuntimeClock::now() + RecoverDelay;
    // The disk thread may still skip queued writes; the store is opened again behind them.
    isDiskIdle_ = false;
    disk_.post([this] { boost::asio::post(context_, [this] { isDiskIdle_ = true; }); });
    const auto lost = std::exchange(publishing_, {});
    for (const auto &[ticket, done] : lost)
        done(false);
    handlers_.changed();
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

const PublishedServices &ControlSeatKeeper::services() const
{
    return seat_ ? seat_->control.config.services : lastServices_;
}

} // namespace Trefoil
