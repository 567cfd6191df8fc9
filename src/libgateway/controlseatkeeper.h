#pragma once

#include "libgateway/gatewaysettings.h"
#include "libnode/controlseat.h"
#include "libruntime/duty.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Trefoil {

// The seat of this control VM together with its disk. Disk writes run on a thread of their own, so
// that a slow disk does not stop the other duties. After a disk error the seat recovers from what
// reached the disk.
class ControlSeatKeeper
{
public:
    struct Handlers
    {
        std::function<void(RaftMessage)> send;
        std::function<void()> changed; // the role or the applied state may have changed
    };
    using PublishDone = std::function<void(bool isApplied)>;

    // Throws when the data folder cannot be opened.
    ControlSeatKeeper(boost::asio::io_context &context, const GatewaySettings &settings,
                      Handlers handlers);
    ~ControlSeatKeeper();

    void tick();
    void receive(const RaftMessage &message);

    // Appends a published configuration; `done` is called once it is applied or lost. False when
    // this seat does not lead.
    bool publish(std::uint64_t version, std::string document, PublishDone done);
    void changeSeats(SeatSet seats);

    bool isActingLeader() const;
    bool isFailed() const { return !seat_; }
    SeatId id() const;
    SeatId leader() const;
    Term term() const;
    SeatSet seats() const;
    std::vector<SeatContact> contacts() const;
    const PublishedServices &services() const;

private:
    void recover();
    void take(ControlSeatOutput &out);
    void write(SeatDiskWork work);
    void synced(std::uint64_t life, std::vector<RaftMessage> messages, LogIndex index, Term term);
    void diskFailed(std::uint64_t life, const std::string &error);

    boost::asio::io_context &context_;
    const GatewaySettings &settings_;
    Handlers handlers_;
    Duty disk_;
    std::unique_ptr<LogStore> store_; // used on the disk thread while the seat runs
    std::optional<ControlSeatState> seat_;
    PublishedServices lastServices_; // kept while the seat recovers
    std::uint64_t life_ = 0;         // grows with each recovery
    TimePoint recoverAt_{};
    std::atomic<bool> isDiskFailed_ = false; // set by the disk thread
    bool isDiskIdle_ = true;
    std::map<std::uint64_t, PublishDone> publishing_; // by proposalId
};

} // namespace Trefoil
