#include "libfleet/entryroster.h"

#include <algorithm>

namespace Trefoil {

void recordEntry(EntryRoster &roster, const std::string &name, TimePoint seenAt)
{
    const auto [entry, isNew] = roster.lastSeen.try_emplace(name, seenAt);
    entry->second = std::max(entry->second, seenAt);
}

void removeExpiredEntries(EntryRoster &roster, TimePoint now)
{
    std::erase_if(roster.lastSeen,
                  [now](const auto &item) { return now - item.second > EntryRetention; });
}

std::size_t entryCount(const EntryRoster &roster)
{
    return roster.lastSeen.size();
}

} // namespace Trefoil
