#pragma once

#include "libgateway/gatewaysettings.h"
#include "libnode/controlseat.h"
#include "libruntime/duty.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace Trefoil {

// Runs the seat of this control VM together with its disk. Disk writes run on a separate thread, so
// that a slow disk does not block other work. After a disk error the seat recovers from what
// reached the disk.
class ControlSeatKeeper
{
public:
    struct Handlers
    {
        std::function<void(RaftMessage)> sendMessage;

        // Called when the role or the applied state may have changed.
        std::function<void()> onChanged;

        // Called with the departures that the log received or recovered, and again once they are
        // committed.
        std::function<void(std::span<const DepartedEndpoint>, bool isCommitted)> onDepartures;
    };
    using ProposalHandler = std::function<void(bool isApplied)>;

    // Recovers the seat from the data folder. A disk error is logged and recovery is tried again.
    ControlSeatKeeper(boost::asio::io_context &context, const GatewaySettings &settings,
                      Handlers handlers);
    ~ControlSeatKeeper();

    void tick();
    void receive(const RaftMessage &message);

    // Appends a command to the log and calls `onDone` once it is applied or lost. Returns false
    // when this seat does not lead.
    bool propose(Command command, ProposalHandler onDone);
    void changeSeats(SeatSet seats);

    bool isActingLeader() const;
    bool isFailed() const { return !seat_; }
    SeatId id() const;
    SeatId leader() const;
    Term term() const;
    SeatSet seats() const;
    std::vector<SeatContact> contacts() const;
    const PublishedServices &services() const;

    // Groups of the applied log, empty between a disk error and the next recovery.
    GroupRecords groups() const;

private:
    void recover();
    void processOutput(ControlSeatOutput &out);
    void reportDepartures(std::span<const DepartedEndpoint> departures, bool isCommitted);
    void writeToDisk(SeatDiskWork work);
    void handleSynced(std::uint64_t recovery, std::vector<RaftMessage> messages, LogIndex index,
                      Term term);
    void handleDiskError(std::uint64_t recovery, const std::string &error);

    boost::asio::io_context &context_;
    const GatewaySettings &settings_;
    Handlers handlers_;
    EventLoopThread diskThread_;

    // Only the disk thread uses it while the seat runs.
    std::unique_ptr<LogStore> store_;

    // Empty between a disk error and the next recovery.
    std::optional<ControlSeatState> seat_;

    // Services that were in force when the last disk error occurred. Used until the next recovery.
    PublishedServices lastServices_;

    // Number of recoveries. A result of a disk write that was queued before the last recovery
    // carries a smaller number and is ignored.
    std::uint64_t recoveryNumber_ = 0;
    TimePoint nextRecoveryAt_{};

    // Set by the disk thread.
    std::atomic<bool> hasDiskFailed_ = false;

    bool isDiskQueueEmpty_ = true;

    // Handlers of proposals that are not applied yet, by the id of the proposal.
    std::map<std::uint64_t, ProposalHandler> pendingProposals_;
};

} // namespace Trefoil
