#pragma once

#include <chrono>

namespace Trefoil {

using Duration = std::chrono::nanoseconds;

// An instant of the runtime clock. Decision cores receive it as an argument and never read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace Trefoil
