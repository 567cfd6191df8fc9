#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

// Thread that writes the Raft log of the control seat. Writes that arrive during a sync share the
// next one.
class DiskThread
{
public:
    DiskThread(std::unique_ptr<LogStore> logStore, std::function<void(LogSynced)> onSynced);

    bool tryPush(SeatDiskWork work) { return inbox_.tryPush(std::move(work)); }
    void start() { thread_.start(); }
    void stop() { thread_.stop(); }

private:
    void writeBatch();

    EventLoopThread thread_;
    std::unique_ptr<LogStore> logStore_;
    std::function<void(LogSynced)> onSynced_;
    std::vector<SeatDiskWork> batch_;
    bool isWriteScheduled_ = false;
    Inbox<SeatDiskWork> inbox_;
};

} // namespace Trefoil
