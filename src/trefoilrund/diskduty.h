#pragma once

#include "trefoilrund/messages.h"

#include <functional>
#include <memory>

namespace Trefoil {

// Writes the seat's log. Work that arrives while a sync runs is written with the next one.
class DiskDuty
{
public:
    DiskDuty(std::unique_ptr<LogStore> store, std::function<void(DiskSynced)> synced);

    bool tryPush(SeatDiskWork work) { return inbox_.tryPush(std::move(work)); }
    void start() { duty_.start(); }
    void stop() { duty_.stop(); }

private:
    void write();

    EventLoopThread duty_;
    std::unique_ptr<LogStore> store_;
    std::function<void(DiskSynced)> synced_;
    std::vector<SeatDiskWork> batch_;
    bool isWriteDue_ = false;
    Inbox<SeatDiskWork> inbox_;
};

} // namespace Trefoil
