#include "libgateway/memoryledger.h"

#include "libgateway/gatewaysettings.h"
#include "libruntime/clock.h"
#include "libruntime/events.h"

#include <algorithm>

namespace Trefoil {

namespace {

// The rest of the memory is for the program, its tables and what the allocator cannot reuse.
constexpr std::size_t BufferShareDivisor = 2;

// Number of file descriptors that are kept free for files, links and listeners.
constexpr std::size_t ReservedDescriptors = 260;

// Share of the remaining file descriptors that accepted connections may use. Connections that the
// process opens use the rest.
constexpr double AcceptedShare = 0.6;

constexpr std::size_t BytesPerMegaByte = 1024 * 1024;

} // namespace

MemoryLease::MemoryLease(std::shared_ptr<MemoryLedger> ledger, MemoryHolderId id)
    : ledger_(std::move(ledger))
    , id_(id)
{}

MemoryLease::~MemoryLease()
{
    release();
}

MemoryLease::MemoryLease(MemoryLease &&other) noexcept
    : ledger_(std::exchange(other.ledger_, nullptr))
    , id_(other.id_)
{}

MemoryLease &MemoryLease::operator=(MemoryLease &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    ledger_ = std::exchange(other.ledger_, nullptr);
    id_ = other.id_;
    return *this;
}

bool MemoryLease::resize(std::size_t bytes)
{
    return !ledger_ || ledger_->resize(id_, bytes);
}

void MemoryLease::setUse(MemoryUse use)
{
    if (ledger_)
        Trefoil::setUse(ledger_->budget_, id_, use, RuntimeClock::now());
}

bool MemoryLease::tryRun()
{
    if (!ledger_ || Trefoil::tryRun(ledger_->budget_, id_, RuntimeClock::now()))
        return true;
    ledger_->recordRefusal();
    return false;
}

void MemoryLease::release()
{
    if (ledger_)
        ledger_->remove(id_);
    ledger_ = nullptr;
}

MemoryLedger::MemoryLedger(std::size_t maxBytes, std::size_t maxAccepted, std::size_t maxOpened)
{
    budget_.maxBytes = maxBytes;
    budget_.maxAccepted = maxAccepted;
    budget_.maxOpened = maxOpened;
}

std::optional<MemoryLease> MemoryLedger::admit(bool isAccepted, EvictionHandler onEvicted)
{
    const MemoryAdmission admission =
            addHolder(budget_, ConnectionBytes, isAccepted, RuntimeClock::now());
    notifyEvicted(admission.evicted);
    if (admission.id == 0) {
        ++refusedConnectionCount_;
        recordRefusal();
        return std::nullopt;
    }
    handlers_[admission.id] = std::move(onEvicted);
    return MemoryLease(shared_from_this(), admission.id);
}

bool MemoryLedger::resize(MemoryHolderId id, std::size_t bytes)
{
    const MemoryDecision decision = resizeHolder(budget_, id, bytes, RuntimeClock::now());
    notifyEvicted(decision.evicted);
    if (!decision.isGranted)
        recordRefusal();
    return decision.isGranted;
}

void MemoryLedger::remove(MemoryHolderId id)
{
    removeHolder(budget_, id);
    handlers_.erase(id);
}

void MemoryLedger::notifyEvicted(const std::vector<MemoryHolderId> &ids)
{
    if (ids.empty())
        return;
    logEvent(Event::MemoryExhausted, {{"evicted", std::to_string(ids.size())},
                                      {"used", std::to_string(budget_.usedBytes)},
                                      {"limit", std::to_string(budget_.maxBytes)},
                                      {"connections", std::to_string(budget_.acceptedCount)},
                                      {"connection_limit", std::to_string(budget_.maxAccepted)}});
    for (const MemoryHolderId id : ids) {
        ++evictedCount_;
        const auto handler = handlers_.extract(id);
        if (handler)
            handler.mapped()();
    }
}

void MemoryLedger::recordRefusal()
{
    ++refusedCount_;
    logEvent(Event::MemoryRefused, {{"used", std::to_string(budget_.usedBytes)},
                                    {"running", std::to_string(budget_.runningBytes)},
                                    {"limit", std::to_string(budget_.maxBytes)},
                                    {"connections", std::to_string(budget_.acceptedCount)},
                                    {"connection_limit", std::to_string(budget_.maxAccepted)}});
}

std::shared_ptr<MemoryLedger> makeMemoryLedger(const GatewaySettings &settings)
{
    const std::size_t descriptors =
            std::max(settings.maxConnections, ReservedDescriptors + 16) - ReservedDescriptors;
    const auto accepted =
            static_cast<std::size_t>(AcceptedShare * static_cast<double>(descriptors));
    return std::make_shared<MemoryLedger>(settings.memoryMb * BytesPerMegaByte / BufferShareDivisor,
                                          accepted, descriptors - accepted);
}

} // namespace Trefoil
