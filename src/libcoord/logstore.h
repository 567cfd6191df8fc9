#pragma once

#include "libcoord/filesystem.h"
#include "libcoord/raft.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

// Contents of the disk of a seat at its start.
struct RecoveredLog
{
    SeatId seat = NoSeat;
    SeatSet initialSeats;
    HardState hardState;
    std::shared_ptr<const RaftSnapshot> snapshot;
    std::vector<LogEntry> entries;
    // Size of the incomplete last record of an interrupted write.
    std::uint64_t droppedTailBytes = 0;
};

// Damage that an interrupted write cannot cause. The seat must be replaced.
class LogCorruption : public DiskError
{
public:
    using DiskError::DiskError;
};

// Durable storage of one seat: an identity file, and a file pair `snapshot.N` and `log.N` for each
// snapshot. Each write is one checksummed record, so that an interrupted write can only leave an
// incomplete last record. Damage before a valid record is reported as LogCorruption.
class LogStore
{
public:
    explicit LogStore(std::unique_ptr<FileSystem> files);

    // Returns true when the folder already belongs to a seat.
    bool hasIdentity() const { return hasIdentity_; }

    // Writes the identity of a seat to an empty folder and syncs it.
    void createIdentity(SeatId seat, const SeatSet &initialSeats);

    // Reads the whole state of the seat. Throws LogCorruption, or DiskError when the identity is
    // missing.
    RecoveredLog recover();

    // Writes all of `writes` in order, with a single sync of the log.
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
    HardState hardState_;
};

} // namespace Trefoil
