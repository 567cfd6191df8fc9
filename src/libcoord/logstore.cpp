#include "libcoord/logstore.h"

#include "libcoord/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace Trefoil {

namespace {

constexpr std::uint32_t RecordMagic = 0x54524632;
// A header consists of a magic number, the payload length and the XXH3 checksum of the payload.
constexpr std::size_t HeaderBytes = 16;
const std::string IdentityName = "identity";
const std::string SnapshotPrefix = "snapshot.";
const std::string LogPrefix = "log.";
const std::string TemporarySuffix = ".tmp";

// One durable change, applied in the order of the members: term and vote, truncation, new entries.
struct LogRecord
{
    std::optional<HardState> hardState;
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(hardState, truncateFrom, append);
    }
};

struct IdentityRecord
{
    SeatId seat = NoSeat;
    SeatSet initialSeats;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(seat, initialSeats);
    }
};

struct SnapshotRecord
{
    LogIndex index = 0;
    Term term = 0;
    SeatSet seats;
    std::string data;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, seats, data);
    }
};

template <class T>
void appendInteger(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

template <class T>
T readInteger(std::string_view bytes)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return value;
}

std::string encodeRecord(const std::string &payload)
{
    std::string record;
    record.reserve(HeaderBytes + payload.size());
    appendInteger<std::uint32_t>(record, RecordMagic);
    appendInteger<std::uint32_t>(record, static_cast<std::uint32_t>(payload.size()));
    appendInteger<std::uint64_t>(record, XXH3_64bits(payload.data(), payload.size()));
    record += payload;
    return record;
}

// Returns the payload of the record at the start of `bytes`, or nothing when no valid record starts
// there.
std::optional<std::string_view> decodeRecord(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || readInteger<std::uint32_t>(bytes) != RecordMagic)
        return std::nullopt;
    const auto length = readInteger<std::uint32_t>(bytes.substr(4));
    if (bytes.size() - HeaderBytes < length)
        return std::nullopt;
    const std::string_view payload = bytes.substr(HeaderBytes, length);
    if (XXH3_64bits(payload.data(), payload.size()) != readInteger<std::uint64_t>(bytes.substr(8)))
        return std::nullopt;
    return payload;
}

// Returns true when a valid record starts after the first byte.
bool hasValidRecordAfter(std::string_view bytes)
{
    for (std::size_t position = 1; position + HeaderBytes <= bytes.size(); ++position) {
        if (decodeRecord(bytes.substr(position)))
            return true;
    }
    return false;
}

template <class T>
T readRecordFile(FileSystem &files, const std::string &name)
{
    const std::string bytes = files.read(name);
    const auto payload = decodeRecord(bytes);
    if (!payload)
        throw LogCorruption("damaged file '" + name + "'");
    return decode<T>(*payload);
}

// Replaces a file atomically. The caller must sync the folder.
void replaceFile(FileSystem &files, const std::string &name, const std::string &bytes)
{
    const std::string temporary = name + TemporarySuffix;
    const auto names = files.list();
    if (std::find(names.begin(), names.end(), temporary) != names.end())
        files.remove(temporary);
    const auto file = files.openAppend(temporary);
    file->append(bytes);
    file->sync();
    files.rename(temporary, name);
}

void applyRecord(LogRecord record, RecoveredLog &recovered)
{
    if (record.hardState)
        recovered.hardState = *record.hardState;
    if (record.truncateFrom) {
        std::erase_if(recovered.entries,
                      [&](const LogEntry &entry) { return entry.index >= *record.truncateFrom; });
    }
    for (LogEntry &entry : record.append) {
        const LogIndex expected = recovered.entries.empty() ? recovered.snapshot->index + 1
                                                            : recovered.entries.back().index + 1;
        if (entry.index != expected)
            throw LogCorruption("log entry " + std::to_string(entry.index) + " follows entry "
                                + std::to_string(expected - 1));
        recovered.entries.push_back(std::move(entry));
    }
}

LogRecord toRecord(const RaftDiskWrite &write)
{
    return {write.hardState, write.truncateFrom, write.append};
}

} // namespace

LogStore::LogStore(std::unique_ptr<FileSystem> files)
    : files_(std::move(files))
{
    const auto names = files_->list();
    hasIdentity_ = std::find(names.begin(), names.end(), IdentityName) != names.end();
}

void LogStore::createIdentity(SeatId seat, const SeatSet &initialSeats)
{
    if (hasIdentity_)
        throw DiskError("the data folder already belongs to a seat");
    replaceFile(*files_, IdentityName, encodeRecord(encode(IdentityRecord{seat, initialSeats})));
    files_->syncFolder();
    hasIdentity_ = true;
}

RecoveredLog LogStore::recover()
{
    const auto identity = readRecordFile<IdentityRecord>(*files_, IdentityName);
    RecoveredLog recovered;
    recovered.seat = identity.seat;
    recovered.initialSeats = identity.initialSeats;
    recoverSnapshot(recovered);
    replayLog(recovered);
    removeOtherGenerations();
    hardState_ = recovered.hardState;
    log_ = files_->openAppend(LogPrefix + std::to_string(generation_));
    // The seat counts all that was read as durable, also what an earlier write could not sync.
    log_->sync();
    files_->syncFolder();
    return recovered;
}

void LogStore::recoverSnapshot(RecoveredLog &recovered)
{
    auto snapshot = std::make_shared<RaftSnapshot>();
    snapshot->seats = recovered.initialSeats;
    generation_ = 0;
    for (const std::string &name : files_->list()) {
        if (!name.starts_with(SnapshotPrefix) || name.ends_with(TemporarySuffix))
            continue;
        generation_ =
                std::max<LogIndex>(generation_, std::stoull(name.substr(SnapshotPrefix.size())));
    }
    if (generation_ > 0) {
        auto record = readRecordFile<SnapshotRecord>(*files_,
                                                     SnapshotPrefix + std::to_string(generation_));
        snapshot->index = record.index;
        snapshot->term = record.term;
        snapshot->seats = std::move(record.seats);
        snapshot->data = std::make_shared<const std::string>(std::move(record.data));
    }
    recovered.snapshot = snapshot;
}

void LogStore::replayLog(RecoveredLog &recovered)
{
    const std::string name = LogPrefix + std::to_string(generation_);
    const auto names = files_->list();
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        if (generation_ > 0)
            throw LogCorruption("missing file '" + name + "'");
        return;
    }
    const std::string bytes = files_->read(name);
    std::string_view remaining = bytes;
    while (!remaining.empty()) {
        const auto payload = decodeRecord(remaining);
        if (!payload) {
            if (hasValidRecordAfter(remaining))
                throw LogCorruption("damaged record at byte "
                                    + std::to_string(bytes.size() - remaining.size()) + " of '"
                                    + name + "'");
            recovered.droppedTailBytes = remaining.size();
            files_->truncate(name, bytes.size() - remaining.size());
            return;
        }
        for (LogRecord &record : decode<std::vector<LogRecord>>(*payload))
            applyRecord(std::move(record), recovered);
        remaining.remove_prefix(HeaderBytes + payload->size());
    }
}

void LogStore::removeOtherGenerations()
{
    const std::string current = std::to_string(generation_);
    for (const std::string &name : files_->list()) {
        const bool isGenerationFile =
                name.starts_with(SnapshotPrefix) || name.starts_with(LogPrefix);
        if (isGenerationFile && name != SnapshotPrefix + current && name != LogPrefix + current)
            files_->remove(name);
    }
}

// Writes the new log file before the rename of the snapshot makes the pair current.
void LogStore::startGeneration(const RaftSnapshot &snapshot, std::string logBytes)
{
    const std::string suffix = std::to_string(snapshot.index);
    const SnapshotRecord record{snapshot.index, snapshot.term, snapshot.seats, *snapshot.data};
    replaceFile(*files_, LogPrefix + suffix, logBytes);
    files_->syncFolder();
    replaceFile(*files_, SnapshotPrefix + suffix, encodeRecord(encode(record)));
    files_->syncFolder();
    generation_ = snapshot.index;
    log_ = files_->openAppend(LogPrefix + suffix);
    removeOtherGenerations();
}

void LogStore::write(std::span<const RaftDiskWrite> writes)
{
    // The batch is written as one record, so that no valid record follows an incomplete one after a
    // crash.
    std::vector<LogRecord> pending;
    for (const RaftDiskWrite &write : writes) {
        if (write.hardState)
            hardState_ = *write.hardState;
        if (!write.snapshot) {
            if (!write.isEmpty())
                pending.push_back(toRecord(write));
            continue;
        }
        // The snapshot and the entries after it replace all earlier changes.
        pending.clear();
        const std::vector<LogRecord> first{{hardState_, std::nullopt, write.append}};
        startGeneration(*write.snapshot, encodeRecord(encode(first)));
    }
    if (pending.empty())
        return;
    log_->append(encodeRecord(encode(pending)));
    log_->sync();
}

} // namespace Trefoil
