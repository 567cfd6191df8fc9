#pragma once

#include "libcoord/raft.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

// Bounds how old a node's view of the replicated configuration can be, without a message from the
// leader. Each node keeps, for every seat, the latest instant at which that seat's log is known to
// have held no configuration version newer than the one the node applied. A committed version is in
// the log of a quorum; so a node whose quorum of seats was sampled after the commit either applied
// it or does not count those seats as confirmed.

namespace Trefoil {

using ConfigVersion = std::uint64_t;

// What a seat's log was known to hold at `sampledAt`, on the clock of the node that holds it.
struct SeatSample
{
    SeatId seat = NoSeat;
    TimePoint sampledAt{};
    ConfigVersion version = 0; // newest configuration version in the seat's log, committed or not
};

struct FreshnessState
{
    ConfigVersion applied = 0;
    std::map<SeatId, SeatSample> latest;
    std::map<SeatId, TimePoint> confirmedAt;
};

void addSeatSample(FreshnessState &state, const SeatSample &sample);

// Records that the node applied the configuration up to `version`. Never goes back.
void setAppliedVersion(FreshnessState &state, ConfigVersion version);

// The latest instant up to which every committed version is known to be applied. The epoch when no
// quorum was ever sampled.
TimePoint confirmedSince(const FreshnessState &state, std::span<const Seat> seats);

// True when the view is at most `bound` old.
bool isFresh(const FreshnessState &state, std::span<const Seat> seats, Duration bound,
             TimePoint now);

} // namespace Trefoil
