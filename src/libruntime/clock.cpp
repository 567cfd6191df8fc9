#include "libruntime/clock.h"

#include <atomic>
#include <ctime>

namespace Trefoil {

namespace {

std::atomic<bool> isPaused{false};
std::atomic<Duration::rep> pausedTimeNs{0};

// Subtracted from the boot time, so that the clock continues where it was paused.
std::atomic<Duration::rep> bootTimeOffsetNs{0};

Duration::rep readBootTimeNs()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<Duration::rep>(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

Duration readWallTime()
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(duration / std::chrono::milliseconds(1));
}

} // namespace

TimePoint RuntimeClock::now()
{
    const Duration::rep timeNs =
            isPaused ? pausedTimeNs.load() : readBootTimeNs() - bootTimeOffsetNs;
    return TimePoint(Duration(timeNs));
}

void RuntimeClock::pause()
{
    pausedTimeNs = now().time_since_epoch().count();
    isPaused = true;
}

void RuntimeClock::advance(Duration by)
{
    pausedTimeNs += by.count();
}

void RuntimeClock::resume()
{
    bootTimeOffsetNs = readBootTimeNs() - pausedTimeNs;
    isPaused = false;
}

std::uint64_t wallTimeMs()
{
    return toMilliseconds(readWallTime());
}

std::uint64_t unsteppedWallTimeMs()
{
    static const Duration offset = readWallTime() - RuntimeClock::now().time_since_epoch();
    return toMilliseconds(RuntimeClock::now().time_since_epoch() + offset);
}

} // namespace Trefoil
