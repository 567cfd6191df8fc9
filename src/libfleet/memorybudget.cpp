#include "libfleet/memorybudget.h"

#include <algorithm>

namespace Trefoil {

namespace {

// An eviction frees at least this part of the budget, so that the search for holders is rare.
constexpr std::size_t EvictionDivisor = 16;

// When all places for connections are taken, this part of them is freed.
constexpr std::size_t PlacesDivisor = 32;

// Part of the budget that requests may use when they begin to run.
constexpr double RunningShare = 0.625;

// Requests up to this size may use that of answers as well.
constexpr std::size_t SmallRequestBytes = 64 * 1024;

// Part of the budget that running requests may use with their answers.
constexpr double MaxRunningShare = 0.875;

// A request begins to run when it needs at most this part of what remains of that share.
constexpr double RunningFraction = 0.25;

// Added to the time of each holder, so that new holders compare by their memory.
constexpr Duration MinAge = std::chrono::milliseconds(100);

struct Candidate
{
    MemoryHolderId id = 0;
    bool isRunning = false;
    double cost = 0;
};

// Returns whether `a` gives up its memory before `b`.
bool givesUpBefore(const Candidate &a, const Candidate &b)
{
    if (a.isRunning != b.isRunning)
        return !a.isRunning;
    return a.cost > b.cost;
}

Candidate makeCandidate(MemoryHolderId id, const MemoryHolder &holder, std::size_t bytes,
                        TimePoint now)
{
    const bool isRunning = holder.use == MemoryUse::Running;
    const double age = std::chrono::duration<double>(now - holder.since + MinAge).count();
    return {id, isRunning, static_cast<double>(bytes) * (isRunning ? 1 : age)};
}

// Returns the other holders that give up their memory before the candidate, in their order.
std::vector<Candidate> findCandidates(const MemoryBudget &budget, const Candidate &candidate,
                                      TimePoint now)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, holder] : budget.holders) {
        const Candidate other = makeCandidate(id, holder, holder.bytes, now);
        if (id != candidate.id && givesUpBefore(other, candidate))
            candidates.push_back(other);
    }
    std::sort(candidates.begin(), candidates.end(), givesUpBefore);
    return candidates;
}

void setBytes(MemoryBudget &budget, MemoryHolder &holder, std::size_t bytes)
{
    budget.usedBytes = budget.usedBytes - holder.bytes + bytes;
    if (holder.use == MemoryUse::Running)
        budget.runningBytes = budget.runningBytes - holder.bytes + bytes;
    holder.bytes = bytes;
}

// Evicts holders that give up their memory before the candidate, until `bytes` and a reserve are
// free and running ones have freed `runningBytes`. Evicts none and returns nothing when that cannot
// be reached.
std::vector<MemoryHolderId> evict(MemoryBudget &budget, const Candidate &candidate,
                                  std::size_t bytes, std::size_t runningBytes, TimePoint now)
{
    const std::size_t reserve = budget.maxBytes / EvictionDivisor;
    std::vector<MemoryHolderId> evicted;
    std::size_t freed = 0;
    std::size_t freedRunning = 0;
    const auto candidates = findCandidates(budget, candidate, now);
    for (const Candidate &other : candidates) {
        const bool isNeeded = other.isRunning ? freed < bytes || freedRunning < runningBytes
                                              : bytes > 0 && freed < bytes + reserve;
        if (!isNeeded)
            continue;
        const std::size_t otherBytes = budget.holders.at(other.id).bytes;
        freed += otherBytes;
        freedRunning += other.isRunning ? otherBytes : 0;
        evicted.push_back(other.id);
    }
    if (freed < bytes || freedRunning < runningBytes)
        return {};
    for (const MemoryHolderId id : evicted)
        removeHolder(budget, id);
    return evicted;
}

// Returns by how much a sum exceeds its maximum.
std::size_t excess(std::size_t sum, std::size_t maximum)
{
    return sum - std::min(sum, maximum);
}

std::size_t maxRunningBytes(const MemoryBudget &budget)
{
    return static_cast<std::size_t>(MaxRunningShare * static_cast<double>(budget.maxBytes));
}

std::size_t &connectionCount(MemoryBudget &budget, bool isAccepted)
{
    return isAccepted ? budget.acceptedCount : budget.openedCount;
}

std::size_t maxConnections(const MemoryBudget &budget, bool isAccepted)
{
    return isAccepted ? budget.maxAccepted : budget.maxOpened;
}

// Evicts the first connections of a kind that give up their memory and do not run, so that there is
// place for others.
std::vector<MemoryHolderId> evictConnections(MemoryBudget &budget, bool isAccepted, TimePoint now)
{
    std::vector<Candidate> candidates;
    for (const auto &[id, holder] : budget.holders) {
        if (holder.isAccepted == isAccepted && holder.use != MemoryUse::Running)
            candidates.push_back(makeCandidate(id, holder, holder.bytes, now));
    }
    const std::size_t count =
            std::min(candidates.size(), 1 + maxConnections(budget, isAccepted) / PlacesDivisor);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), givesUpBefore);
    std::vector<MemoryHolderId> evicted;
    for (std::size_t i = 0; i < count; ++i) {
        removeHolder(budget, candidates[i].id);
        evicted.push_back(candidates[i].id);
    }
    return evicted;
}

} // namespace

MemoryAdmission addHolder(MemoryBudget &budget, std::size_t bytes, bool isAccepted, TimePoint now)
{
    MemoryAdmission admission;
    if (connectionCount(budget, isAccepted) >= maxConnections(budget, isAccepted)) {
        admission.evicted = evictConnections(budget, isAccepted, now);
        if (admission.evicted.empty())
            return admission;
    }
    const MemoryHolderId id = budget.nextId++;
    budget.holders[id] = {MemoryUse::Arriving, 0, now, isAccepted};
    ++connectionCount(budget, isAccepted);
    const MemoryDecision decision = resizeHolder(budget, id, bytes, now);
    admission.evicted.insert(admission.evicted.end(), decision.evicted.begin(),
                             decision.evicted.end());
    if (decision.isGranted)
        admission.id = id;
    else
        removeHolder(budget, id);
    return admission;
}

MemoryDecision resizeHolder(MemoryBudget &budget, MemoryHolderId id, std::size_t bytes,
                            TimePoint now)
{
    MemoryDecision decision;
    const auto found = budget.holders.find(id);
    if (found == budget.holders.end())
        return decision;
    const MemoryHolder &holder = found->second;
    const std::size_t growth = bytes - std::min(bytes, holder.bytes);
    const bool isRunning = holder.use == MemoryUse::Running;
    const std::size_t needed = excess(budget.usedBytes + growth, budget.maxBytes);
    const std::size_t neededRunning =
            isRunning ? excess(budget.runningBytes + growth, maxRunningBytes(budget)) : 0;
    if (growth > 0 && (needed > 0 || neededRunning > 0)) {
        const Candidate candidate = makeCandidate(id, holder, bytes, now);
        decision.evicted = evict(budget, candidate, needed, neededRunning, now);
        if (decision.evicted.empty())
            return decision;
    }
    setBytes(budget, found->second, bytes);
    decision.isGranted = true;
    return decision;
}

void setUse(MemoryBudget &budget, MemoryHolderId id, MemoryUse use, TimePoint now)
{
    const auto found = budget.holders.find(id);
    if (found == budget.holders.end())
        return;
    MemoryHolder &holder = found->second;
    const std::size_t bytes = holder.bytes;
    setBytes(budget, holder, 0);
    holder.use = use;
    holder.since = now;
    setBytes(budget, holder, bytes);
}

bool tryRun(MemoryBudget &budget, MemoryHolderId id, TimePoint now)
{
    const auto found = budget.holders.find(id);
    if (found == budget.holders.end())
        return false;
    const std::size_t bytes = found->second.bytes;
    const double share = RunningShare * static_cast<double>(budget.maxBytes);
    const double remaining = share - static_cast<double>(budget.runningBytes);
    const bool isSmall = bytes <= SmallRequestBytes;
    const bool fits = static_cast<double>(bytes) <= RunningFraction * remaining
                      || (isSmall && budget.runningBytes + bytes <= maxRunningBytes(budget));
    if (!fits)
        return false;
    setUse(budget, id, MemoryUse::Running, now);
    return true;
}

void removeHolder(MemoryBudget &budget, MemoryHolderId id)
{
    const auto found = budget.holders.find(id);
    if (found == budget.holders.end())
        return;
    setBytes(budget, found->second, 0);
    --connectionCount(budget, found->second.isAccepted);
    budget.holders.erase(found);
}

} // namespace Trefoil
