#include "libruntime/clock.h"

#include <atomic>
#include <ctime>

namespace Trefoil {

namespace {

std::atomic<bool> paused{false};
std::atomic<Duration::rep> pausedAt{0};
std::atomic<Duration::rep> offset{0}; // subtracted from the machine's clock after a resume

Duration::rep machineTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<Duration::rep>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

} // namespace

TimePoint RuntimeClock::now()
{
    const Duration::rep time = paused ? pausedAt.load() : machineTime() - offset;
    return TimePoint(Duration(time));
}

void RuntimeClock::pause()
{
    pausedAt = now().time_since_epoch().count();
    paused = true;
}

void RuntimeClock::advance(Duration by)
{
    pausedAt += by.count();
}

void RuntimeClock::resume()
{
    offset = machineTime() - pausedAt;
    paused = false;
}

std::uint64_t wallTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace Trefoil
