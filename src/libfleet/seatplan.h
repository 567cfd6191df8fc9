#pragma once

#include "libcoord/raft.h"

#include <optional>
#include <span>

// Decides which control VMs hold a seat of the replicated log. The leader changes one seat at a
// time.

namespace Trefoil {

// Connected control VM that can hold a seat.
struct SeatCandidate
{
    SeatId seat = NoSeat; // NoSeat while it can not use one, for example because its disk is full
    std::string entry;    // IP:port
    std::string domain;

    bool operator==(const SeatCandidate &) const = default;
};

// Last contact of the leader with a seat.
struct SeatContact
{
    SeatId seat = NoSeat;
    TimePoint lastHeard{};
};

struct SeatPlanOptions
{
    std::size_t seatCount = 3;
    // Silence after which a seat is replaced when a candidate is available.
    Duration replaceAfter = std::chrono::seconds(4);
    // The same while the control VM of the seat is connected. Its seat is expected back, and until
    // its successor has caught up, the loss of any other seat would leave no quorum.
    Duration replaceConnectedAfter = std::chrono::seconds(30);
};

// Returns the next seat set, or nothing when no change is due.
std::optional<SeatSet> planSeats(const SeatSet &current, SeatId self,
                                 std::span<const SeatContact> contacts,
                                 std::span<const SeatCandidate> candidates,
                                 const SeatPlanOptions &options, TimePoint now);

} // namespace Trefoil
