#pragma once

#include "libgateway/entryprocess.h"

// Connects the departures of endpoints to the links and the log of an entry.

namespace Trefoil {

// Applies departures that a control VM passed on.
void applyDepartures(EntryState &state, std::span<const DepartureNotice> notices);

// Removes departures that are too old to matter.
void removeExpiredDepartures(EntryState &state, TimePoint now);

} // namespace Trefoil
