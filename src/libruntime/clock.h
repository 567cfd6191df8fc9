#pragma once

#include "libcoord/coord.h"

namespace Trefoil {

// Steady clock of all deadlines, leases and timers. It counts the time since the VM booted,
// including the time while the VM is suspended, so that a lease or a freshness bound expires during
// a suspension. Tests can pause it and advance it by hand. It meets the requirements of a clock for
// asio::basic_waitable_timer.
struct RuntimeClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = TimePoint;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static TimePoint now();

    // Stops the clock at its current time. For tests only.
    static void pause();

    // Moves the paused clock forward.
    static void advance(Duration by);

    // Restarts the paused clock from its current time.
    static void resume();
};

// Returns the milliseconds since the Unix epoch. Wall time can jump, so it serves only for
// incarnation numbers, the expiry of keys and the time of log lines.
std::uint64_t wallTimeMs();

// Returns the milliseconds since the Unix epoch as the wall time was at the first call, plus the
// time since then. It does not follow later jumps of the wall time.
std::uint64_t unsteppedWallTimeMs();

} // namespace Trefoil
