#include "libfleet/seatplan.h"

#include <algorithm>
#include <map>

namespace Trefoil {

namespace {

bool holdsSeat(const SeatSet &seats, SeatId id)
{
    return std::any_of(seats.begin(), seats.end(), [id](const Seat &s) { return s.id == id; });
}

SeatSet without(SeatSet seats, SeatId id)
{
    std::erase_if(seats, [id](const Seat &seat) { return seat.id == id; });
    return seats;
}

// The seat's VM came back with an empty disk and another identity.
bool wasWiped(const Seat &seat, std::span<const SeatCandidate> candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const SeatCandidate &candidate) {
        return candidate.entry == seat.entry && candidate.seat != seat.id;
    });
}

bool isSilent(const Seat &seat, std::span<const SeatContact> contacts,
              const SeatPlanOptions &options, TimePoint now)
{
    const auto contact = std::find_if(contacts.begin(), contacts.end(),
                                      [&](const SeatContact &c) { return c.seat == seat.id; });
    return contact != contacts.end() && now - contact->lastHeard > options.replaceAfter;
}

// The candidate in the failure domain with the fewest seats.
const SeatCandidate *bestCandidate(const SeatSet &seats, std::span<const SeatCandidate> candidates,
                                   std::span<const SeatCandidate> all)
{
    std::map<std::string, std::size_t> seatsByDomain;
    for (const SeatCandidate &known : all) {
        if (holdsSeat(seats, known.seat))
            ++seatsByDomain[known.domain];
    }
    const SeatCandidate *best = nullptr;
    for (const SeatCandidate &candidate : candidates) {
        const bool better =
                !holdsSeat(seats, candidate.seat)
                && (!best || seatsByDomain[candidate.domain] < seatsByDomain[best->domain]);
        if (better)
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
        if (seat.id != self && wasWiped(seat, candidates))
            return without(current, seat.id);
    }
    const SeatCandidate *next = bestCandidate(current, candidates, candidates);
    if (!next)
        return std::nullopt;
    if (current.size() < options.seats) {
        SeatSet grown = current;
        grown.push_back({next->seat, next->entry, false});
        return grown;
    }
    for (const Seat &seat : current) {
        if (seat.id != self && isSilent(seat, contacts, options, now))
            return without(current, seat.id);
    }
    return std::nullopt;
}

} // namespace Trefoil
