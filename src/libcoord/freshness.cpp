#include "libcoord/freshness.h"

#include <algorithm>

namespace Trefoil {

namespace {

// Updates the confirmed time of a seat unless its log held a version that is not applied yet.
void confirmSample(FreshnessState &state, const SeatSample &sample)
{
    if (sample.version > state.appliedVersion)
        return;
    TimePoint &confirmed = state.confirmedAt[sample.seat];
    confirmed = std::max(confirmed, sample.sampledAt);
}

} // namespace

void addSeatSample(FreshnessState &state, const SeatSample &sample)
{
    confirmSample(state, sample);
    SeatSample &latest = state.latestSamples[sample.seat];
    if (latest.seat == NoSeat || sample.sampledAt > latest.sampledAt)
        latest = sample;
}

void setAppliedVersion(FreshnessState &state, ConfigVersion version)
{
    if (version <= state.appliedVersion)
        return;
    state.appliedVersion = version;
    for (const auto &[seat, sample] : state.latestSamples)
        confirmSample(state, sample);
}

TimePoint confirmedUpTo(const FreshnessState &state, std::span<const Seat> seats)
{
    std::vector<TimePoint> confirmedTimes;
    for (const Seat &seat : seats) {
        if (!seat.isVoter)
            continue;
        const auto found = state.confirmedAt.find(seat.id);
        confirmedTimes.push_back(found == state.confirmedAt.end() ? TimePoint{} : found->second);
    }
    if (confirmedTimes.empty())
        return TimePoint{};
    std::sort(confirmedTimes.begin(), confirmedTimes.end(), std::greater<>());
    return confirmedTimes[confirmedTimes.size() / 2];
}

bool isFresh(const FreshnessState &state, std::span<const Seat> seats, Duration maxAge,
             TimePoint now)
{
    const TimePoint confirmed = confirmedUpTo(state, seats);
    return confirmed != TimePoint{} && now - confirmed <= maxAge;
}

} // namespace Trefoil
