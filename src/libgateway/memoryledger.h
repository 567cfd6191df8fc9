#pragma once

#include "libfleet/fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace Trefoil {

struct GatewaySettings;
class MemoryLedger;

// Memory of each connection: buffers of the kernel, and its objects with a small input buffer.
constexpr std::size_t ConnectionKernelBytes = 32 * 1024;
constexpr std::size_t ConnectionBytes = ConnectionKernelBytes + 12 * 1024;

// The memory of one connection in the ledger of its process, given back at the end. An empty lease
// grants everything.
class MemoryLease
{
public:
    MemoryLease() = default;
    MemoryLease(std::shared_ptr<MemoryLedger> ledger, MemoryHolderId id);
    ~MemoryLease();
    MemoryLease(MemoryLease &&other) noexcept;
    MemoryLease &operator=(MemoryLease &&other) noexcept;

    // Returns false when the memory is refused or was evicted.
    bool resize(std::size_t bytes);

    void setUse(MemoryUse use);

    // Returns false when too much memory is used by running requests.
    bool tryRun();

private:
    void release();

    std::shared_ptr<MemoryLedger> ledger_;
    MemoryHolderId id_ = 0;
};

// Counts the memory that the connections of a process use for bytes from outside. Used on one
// thread.
class MemoryLedger : public std::enable_shared_from_this<MemoryLedger>
{
public:
    using EvictionHandler = std::function<void()>;

    MemoryLedger(std::size_t maxBytes, std::size_t maxAccepted, std::size_t maxOpened);

    // Adds a connection, whose handler is called when it is evicted. Returns nothing when it is
    // refused.
    std::optional<MemoryLease> admit(bool isAccepted, EvictionHandler onEvicted);

    const MemoryBudget &budget() const { return budget_; }

    // Numbers since the start: all refusals, refused connections, and evictions.
    std::uint64_t refusedCount() const { return refusedCount_; }
    std::uint64_t refusedConnectionCount() const { return refusedConnectionCount_; }
    std::uint64_t evictedCount() const { return evictedCount_; }

private:
    friend class MemoryLease;

    bool resize(MemoryHolderId id, std::size_t bytes);
    void remove(MemoryHolderId id);
    void notifyEvicted(const std::vector<MemoryHolderId> &ids);
    void recordRefusal();

    MemoryBudget budget_;
    std::map<MemoryHolderId, EvictionHandler> handlers_;
    std::uint64_t refusedCount_ = 0;
    std::uint64_t refusedConnectionCount_ = 0;
    std::uint64_t evictedCount_ = 0;
};

// Creates the ledger of a process with these settings.
std::shared_ptr<MemoryLedger> makeMemoryLedger(const GatewaySettings &settings);

} // namespace Trefoil
