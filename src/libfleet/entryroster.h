#pragma once

#include "libcoord/time.h"

#include <cstddef>
#include <map>
#include <string>

// Remembers the entries that share the fleet's allowances. Entries that have ended or are cut off
// stay in the roster for a while, so that the shares of the others do not grow with each loss of a
// link, and entries on both sides of a partition compute the same shares.

namespace Trefoil {

struct EntryRoster
{
    // Time at which each entry was last known to run, by name.
    std::map<std::string, TimePoint> lastSeen;
};

// Time for which an entry stays in the roster after it was last seen.
constexpr Duration EntryRetention = std::chrono::minutes(10);

// Records that the entry was known to run at this time.
void recordEntry(EntryRoster &roster, const std::string &name, TimePoint seenAt);

// Removes entries that were last seen longer than EntryRetention ago.
void removeExpiredEntries(EntryRoster &roster, TimePoint now);

// Returns the number of entries in the roster, 0 while none is known.
std::size_t entryCount(const EntryRoster &roster);

} // namespace Trefoil
