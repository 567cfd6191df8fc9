#include "trefoilrund/diskduty.h"

namespace Trefoil {

namespace {

constexpr std::size_t InboxCapacity = 65'536;

} // namespace

DiskThread::DiskThread(std::unique_ptr<LogStore> logStore, std::function<void(LogSynced)> onSynced)
    : thread_("disk")
    , logStore_(std::move(logStore))
    , onSynced_(std::move(onSynced))
    , inbox_(thread_, InboxCapacity, [this](SeatDiskWork &&work) {
        batch_.push_back(std::move(work));
        if (isWriteScheduled_)
            return;
        isWriteScheduled_ = true;
        thread_.post([this] { writeBatch(); });
    })
{}

void DiskThread::writeBatch()
{
    isWriteScheduled_ = false;
    std::vector<RaftDiskWrite> writes;
    LogSynced synced;
    for (SeatDiskWork &work : batch_) {
        writes.push_back(std::move(work.write));
        std::move(work.sendAfterSync.begin(), work.sendAfterSync.end(),
                  std::back_inserter(synced.messages));
        synced.index = work.lastIndex;
        synced.term = work.lastTerm;
    }
    batch_.clear();
    try {
        logStore_->write(writes);
    } catch (const DiskError &error) {
        // It is unknown which writes reached the disk, so the state in memory must no longer be
        // served and the process ends.
        logFatal(Event::SeatStopped, {{"error", error.what()}});
    }
    onSynced_(std::move(synced));
}

} // namespace Trefoil
