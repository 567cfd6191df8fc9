#pragma once

#include "libruntime/runtime.h"

#include <memory>

namespace Trefoil {

// One trefoilrund process: builds the duties and joins them by their rings.
class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();

    // Starts all duties. Throws when a port is taken or the seat's log is damaged.
    void start();

    // Begins a planned stop. `drained` is called on another thread when nothing is left to finish.
    void drain(std::function<void()> drained);

    // Ends all duties.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

// Makes the data folder the home of one of the first seats. Throws DiskError when it is in use.
void initializeSeat(const Settings &settings);

} // namespace Trefoil
