#pragma once

#include "libruntime/runtime.h"

#include <memory>

namespace Trefoil {

// One trefoilrund process. Creates its threads and connects their queues.
class Daemon
{
public:
    // Recovers the control seat (Raft replica) if there is a data folder. Throws when its log is
    // damaged.
    explicit Daemon(const Settings &settings);
    ~Daemon();

    // Starts all threads. Throws when a port is taken.
    void start();

    // Begins a planned stop. `onDrained` is called on another thread once all work is finished.
    void drain(std::function<void()> onDrained);

    // Stops all threads.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Initializes the data folder as one of the first control seats (Raft replicas). Throws DiskError
// when the folder is in use.
void initializeSeat(const Settings &settings);

} // namespace Trefoil
