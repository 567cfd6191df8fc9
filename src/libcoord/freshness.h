#pragma once

#include "libcoord/raft.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

// Bounds the age of a node's view of the replicated configuration, without a message from the
// leader. For every seat, a node keeps the latest time at which the seat's log held no
// configuration version newer than the one that the node has applied. A committed version is in the
// logs of a quorum. Until the node has applied it, the node confirms these seats only up to times
// before the commit. So no quorum is confirmed up to a later time.

namespace Trefoil {

using ConfigVersion = std::uint64_t;

// Newest configuration version in a seat's log at `sampledAt`, which is a time on the clock of the
// node that holds the sample.
struct SeatSample
{
    SeatId seat = NoSeat;
    TimePoint sampledAt{};
    ConfigVersion version = 0; // committed or not
};

// Samples of one node and the version that it has applied.
struct FreshnessState
{
    ConfigVersion appliedVersion = 0;
    std::map<SeatId, SeatSample> latestSamples;
    std::map<SeatId, TimePoint> confirmedAt;
};

void addSeatSample(FreshnessState &state, const SeatSample &sample);

// Records that the node has applied the configuration up to `version`. Ignores older versions.
void setAppliedVersion(FreshnessState &state, ConfigVersion version);

// Returns the latest time up to which every committed version is known to be applied, or
// TimePoint{} when no quorum has been sampled.
TimePoint confirmedUpTo(const FreshnessState &state, std::span<const Seat> seats);

// Returns true when the view is at most `maxAge` old.
bool isFresh(const FreshnessState &state, std::span<const Seat> seats, Duration maxAge,
             TimePoint now);

} // namespace Trefoil
