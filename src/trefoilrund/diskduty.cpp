#include "trefoilrund/diskduty.h"

namespace Trefoil {

namespace {

constexpr std::size_t InboxCapacity = 65'536;

} // namespace

DiskDuty::DiskDuty(std::unique_ptr<LogStore> store, std::function<void(DiskSynced)> synced)
    : duty_("disk")
    , store_(std::move(store))
    , synced_(std::move(synced))
    , inbox_(duty_, InboxCapacity, [this](SeatDiskWork &&work) {
        batch_.push_back(std::move(work));
        if (isWriteDue_)
            return;
        isWriteDue_ = true;
        duty_.post([this] { write(); });
    })
{}

void DiskDuty::write()
{
    isWriteDue_ = false;
    std::vector<RaftDiskWrite> writes;
    DiskSynced synced;
    for (SeatDiskWork &work : batch_) {
        writes.push_back(std::move(work.write));
        std::move(work.sendAfterSync.begin(), work.sendAfterSync.end(),
                  std::back_inserter(synced.send));
        synced.index = work.lastIndex;
        synced.term = work.lastTerm;
    }
    batch_.clear();
    try {
        store_->write(writes);
    } catch (const DiskError &error) {
        // What reached the disk is unknown, so this seat must not answer from memory any more.
        logFatal(Event::SeatStopped, {{"error", error.what()}});
    }
    synced_(std::move(synced));
}

} // namespace Trefoil
