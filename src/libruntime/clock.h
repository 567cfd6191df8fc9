#pragma once

#include "libcoord/coord.h"

namespace Trefoil {

// Clock of the runtime. It follows the boot time of the machine, which also counts while the VM is
// suspended, so that a lease or a freshness bound runs out during a suspension. Tests pause it and
// advance it by hand. Meets the requirements of a clock for asio::basic_waitable_timer.
struct RuntimeClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = TimePoint;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static TimePoint now();

    // Stops the clock at its current instant, for tests.
    static void pause();
    static void advance(Duration by);
    static void resume();
};

// Milliseconds since the Unix epoch, for incarnations and the expiry of keys only.
std::uint64_t wallTimeMs();

} // namespace Trefoil
