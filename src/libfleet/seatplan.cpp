#include "libfleet/seatplan.h"

#include <algorithm>
#include <map>

namespace Trefoil {

namespace {

bool containsSeat(const SeatSet &seats, SeatId id)
{
    return std::any_of(seats.begin(), seats.end(),
                       [id](const Seat &seat) { return seat.id == id; });
}

SeatSet removeSeat(SeatSet seats, SeatId id)
{
    std::erase_if(seats, [id](const Seat &seat) { return seat.id == id; });
    return seats;
}

// Returns true when the VM of the seat reports another seat id, since its disk was empty when it
// came back.
bool hasLostIdentity(const Seat &seat, std::span<const SeatCandidate> candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const SeatCandidate &candidate) {
        return candidate.entry == seat.entry && candidate.seat != NoSeat
               && candidate.seat != seat.id;
    });
}

// Returns true when the seat was silent for longer than its replacement timeout.
bool isSilent(const Seat &seat, std::span<const SeatContact> contacts,
              std::span<const SeatCandidate> connected, const SeatPlanOptions &options,
              TimePoint now)
{
    const bool isConnected =
            std::any_of(connected.begin(), connected.end(),
                        [&seat](const SeatCandidate &vm) { return vm.entry == seat.entry; });
    const Duration timeout = isConnected ? options.replaceConnectedAfter : options.replaceAfter;
    const auto contact =
            std::find_if(contacts.begin(), contacts.end(),
                         [&](const SeatContact &item) { return item.seat == seat.id; });
    return contact != contacts.end() && now - contact->lastHeard > timeout;
}

// Returns a candidate without a seat in the failure domain with the fewest seats, or null.
const SeatCandidate *chooseCandidate(const SeatSet &seats,
                                     std::span<const SeatCandidate> candidates,
                                     std::span<const SeatCandidate> connected)
{
    std::map<std::string, std::size_t> seatsByDomain;
    for (const SeatCandidate &known : connected) {
        if (containsSeat(seats, known.seat))
            ++seatsByDomain[known.domain];
    }
    const SeatCandidate *best = nullptr;
    for (const SeatCandidate &candidate : candidates) {
        const bool isBetter =
                candidate.seat != NoSeat && !containsSeat(seats, candidate.seat)
                && (!best || seatsByDomain[candidate.domain] < seatsByDomain[best->domain]);
        if (isBetter)
            best = &candidate;
    }
    return best;
}

} // namespace

std::optional<SeatSet> planSeats(const SeatSet &current, SeatId self,
                                 std::span<const SeatContact> contacts,
                                 std::span<const SeatCandidate> candidates,
                                 const SeatPlanOptions &options, TimePoint now)
{
    for (const Seat &seat : current) {
        if (seat.id != self && hasLostIdentity(seat, candidates))
            return removeSeat(current, seat.id);
    }
    const SeatCandidate *next = chooseCandidate(current, candidates, candidates);
    if (!next)
        return std::nullopt;
    if (current.size() < options.seatCount) {
        SeatSet grown = current;
        grown.push_back({next->seat, next->entry, false});
        return grown;
    }
    for (const Seat &seat : current) {
        if (seat.id != self && isSilent(seat, contacts, candidates, options, now))
            return removeSeat(current, seat.id);
    }
    return std::nullopt;
}

} // namespace Trefoil
