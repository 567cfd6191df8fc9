#pragma once

#include "libcoord/filesystem.h"
#include "libcoord/raft.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

// What a seat finds on its disk when it starts.
struct RecoveredLog
{
    SeatId seat = NoSeat;
    SeatSet initialSeats;
    HardState hard;
    std::shared_ptr<const RaftSnapshot> snapshot;
    std::vector<LogEntry> entries;
    std::uint64_t droppedTailBytes = 0; // incomplete last record of an interrupted write
};

// Damage that an interrupted write cannot explain. The seat must be replaced.
class LogDamage : public DiskError
{
public:
    using DiskError::DiskError;
};

// Durable storage of one seat: an identity file, and for each snapshot a file pair
// `snapshot.N` and `log.N`. Each write is one checksummed record, so that an interrupted write
// can only leave an incomplete last record; damage before a valid record is reported as LogDamage.
class LogStore
{
public:
    explicit LogStore(std::unique_ptr<FileSystem> files);

    // True when the folder already belongs to a seat.
    bool hasIdentity() const { return hasIdentity_; }

    // Makes the empty folder the home of a seat. Synced when it returns.
    void createIdentity(SeatId seat, const SeatSet &initialSeats);

    // Reads everything back. Throws LogDamage, or DiskError when the identity is missing.
    RecoveredLog recover();

    // Writes all of `writes` in order with a single sync of the log.
    void write(std::span<const RaftDiskWrite> writes);

private:
    void recoverSnapshot(RecoveredLog &recovered);
    void replayLog(RecoveredLog &recovered);
    void startGeneration(const RaftSnapshot &snapshot, std::string logBytes);
    void removeOtherGenerations();

    std::unique_ptr<FileSystem> files_;
    std::unique_ptr<AppendFile> log_;
    bool hasIdentity_ = false;
    LogIndex generation_ = 0;
    HardState hard_;
};

} // namespace Trefoil
