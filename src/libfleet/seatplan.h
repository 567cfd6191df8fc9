#pragma once

#include "libcoord/raft.h"

#include <optional>
#include <span>

// Which control VMs hold a seat of the replicated log. The leader changes one seat at a time.

namespace Trefoil {

// A control VM that is connected and could hold a seat.
struct SeatCandidate
{
    SeatId seat = NoSeat;
    std::string entry; // IP:port
    std::string domain;

    bool operator==(const SeatCandidate &) const = default;
};

struct SeatContact
{
    SeatId seat = NoSeat;
    TimePoint lastHeard{};
};

struct SeatPlanOptions
{
    std::size_t seats = 3;
    Duration replaceAfter = std::chrono::seconds(4); // silence of a seat that has a successor
};

// The next seat set, or nothing when the current one is right.
std::optional<SeatSet> planSeats(const SeatSet &current, SeatId self,
                                 std::span<const SeatContact> contacts,
                                 std::span<const SeatCandidate> candidates,
                                 const SeatPlanOptions &options, TimePoint now);

} // namespace Trefoil
