#pragma once

#include "libgateway/entryprocess.h"

// Connects the departures of endpoints to the links and the log of an entry.

namespace Trefoil {

// Applies departures that a control VM passed on.
void applyDepartures(EntryState &state, std::span<const DepartureNotice> notices);

// Records that an endpoint said in its answer to a request that it leaves. The connection was
// opened at `connectedAtMs`.
void recordLeavingAnswer(EntryState &state, const Placement &placement, std::uint64_t connectedAtMs,
                         const std::string &request);

// Returns the tables of which the entry tells the control VMs.
StateTables stateTables(const EntryState &state);

// Removes departures that are too old to matter, and closes idle connections to endpoints that
// leave.
void removeExpiredDepartures(EntryState &state, TimePoint now);

} // namespace Trefoil
