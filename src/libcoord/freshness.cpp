#include "libcoord/freshness.h"

#include <algorithm>

namespace Trefoil {

namespace {

void confirm(FreshnessState &state, const SeatSample &sample)
{
    if (sample.version > state.applied)
        return;
    TimePoint &confirmed = state.confirmedAt[sample.seat];
    confirmed = std::max(confirmed, sample.sampledAt);
}

} // namespace

void addSeatSample(FreshnessState &state, const SeatSample &sample)
{
    confirm(state, sample);
    SeatSample &latest = state.latest[sample.seat];
    if (latest.seat == NoSeat || sample.sampledAt > latest.sampledAt)
        latest = sample;
}

void setAppliedVersion(FreshnessState &state, ConfigVersion version)
{
    if (version <= state.applied)
        return;
    state.applied = version;
    for (const auto &[seat, sample] : state.latest)
        confirm(state, sample);
}

TimePoint confirmedSince(const FreshnessState &state, std::span<const Seat> seats)
{
    std::vector<TimePoint> confirmed;
    for (const Seat &seat : seats) {
        if (!seat.voter)
            continue;
        const auto found = state.confirmedAt.find(seat.id);
        confirmed.push_back(found == state.confirmedAt.end() ? TimePoint{} : found->second);
    }
    if (confirmed.empty())
        return TimePoint{};
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
    return confirmed[confirmed.size() / 2];
}

bool isFresh(const FreshnessState &state, std::span<const Seat> seats, Duration bound,
             TimePoint now)
{
    const TimePoint since = confirmedSince(state, seats);
    return since != TimePoint{} && now - since <= bound;
}

} // namespace Trefoil
