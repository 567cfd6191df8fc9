#pragma once

#include "libcoord/time.h"

#include <cstdint>
#include <map>
#include <vector>

// Decides how much memory of a process each of its connections may use for bytes from outside, and
// which connections give theirs up when the sum is used up. The sum, not the limit of a single
// message, keeps the process within the memory of its VM.

namespace Trefoil {

using MemoryHolderId = std::uint64_t;

// What a connection uses its memory for.
enum class MemoryUse : std::uint8_t {
    // It is idle, or a message arrives that is not complete. Nothing has run yet.
    Arriving,

    // A complete request that an endpoint may run, its answer, or a peer of the system.
    Running,

    // An answer that its caller does not take.
    Leaving,
};

struct MemoryHolder
{
    MemoryUse use = MemoryUse::Arriving;
    std::size_t bytes = 0;

    // Time since which it makes this use of its memory.
    TimePoint since{};

    // Whether a peer opened the connection, or this process.
    bool isAccepted = false;
};

struct MemoryBudget
{
    std::size_t maxBytes = 0;

    // Numbers of connections that peers and this process may open.
    std::size_t maxAccepted = 0;
    std::size_t maxOpened = 0;

    std::size_t usedBytes = 0;
    std::size_t runningBytes = 0;
    std::size_t acceptedCount = 0;
    std::size_t openedCount = 0;
    MemoryHolderId nextId = 1;
    std::map<MemoryHolderId, MemoryHolder> holders;
};

struct MemoryDecision
{
    bool isGranted = false;

    // Holders that gave up their memory. They are no longer in the budget.
    std::vector<MemoryHolderId> evicted;
};

struct MemoryAdmission
{
    // 0 when the connection is refused.
    MemoryHolderId id = 0;
    std::vector<MemoryHolderId> evicted;
};

// Adds a connection. At the maximum number of its kind, it takes the place of one of this kind that
// is idle or unfinished and has used the most memory for the longest time. A few more of these are
// evicted with it, so that the search for them is rare.
MemoryAdmission addHolder(MemoryBudget &budget, std::size_t bytes, bool isAccepted, TimePoint now);

// Changes the memory of a holder. When the sum is used up, holders give theirs up: first those
// whose messages arrive or whose answers are not taken, by the product of their memory and their
// time; then the largest running ones, which never use all of the sum. A holder that would itself
// be among them is refused and keeps what it has.
MemoryDecision resizeHolder(MemoryBudget &budget, MemoryHolderId id, std::size_t bytes,
                            TimePoint now);

// Changes the use of a holder, which begins a new time.
void setUse(MemoryBudget &budget, MemoryHolderId id, MemoryUse use, TimePoint now);

// Lets the request of a holder run, or refuses it because it would take too much of the memory that
// remains for running requests. Small requests are refused last.
bool tryRun(MemoryBudget &budget, MemoryHolderId id, TimePoint now);

void removeHolder(MemoryBudget &budget, MemoryHolderId id);

} // namespace Trefoil
