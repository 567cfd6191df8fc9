#include "libcoord/logstore.h"

#include "libcoord/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace Trefoil {

namespace {

constexpr std::uint32_t RecordMagic = 0x54524632;
constexpr std::size_t HeaderBytes = 16; // magic, payload length, XXH3 checksum of the payload
const std::string IdentityName = "identity";
const std::string SnapshotPrefix = "snapshot.";
const std::string LogPrefix = "log.";
const std::string TemporarySuffix = ".tmp";

// One durable change: a hard state, a truncation, entries, in this order.
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
void putInteger(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

template <class T>
T takeInteger(std::string_view bytes)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return value;
}

std::string frame(const std::string &payload)
{
    std::string record;
    record.reserve(HeaderBytes + payload.size());
    putInteger<std::uint32_t>(record, RecordMagic);
    putInteger<std::uint32_t>(record, static_cast<std::uint32_t>(payload.size()));
    putInteger<std::uint64_t>(record, XXH3_64bits(payload.data(), payload.size()));
    record += payload;
    return record;
}

// Returns the payload at the start of `bytes`, or nothing when no valid record starts there.
std::optional<std::string_view> unframe(std::string_view bytes)
{
    if (bytes.size() < HeaderBytes || takeInteger<std::uint32_t>(bytes) != RecordMagic)
        return std::nullopt;
    const auto length = takeInteger<std::uint32_t>(bytes.substr(4));
    if (bytes.size() - HeaderBytes < length)
        return std::nullopt;
    const std::string_view payload = bytes.substr(HeaderBytes, length);
    if (XXH3_64bits(payload.data(), payload.size()) != takeInteger<std::uint64_t>(bytes.substr(8)))
        return std::nullopt;
    return payload;
}

bool hasValidRecordAfter(std::string_view bytes)
{
    for (std::size_t at = 1; at + HeaderBytes <= bytes.size(); ++at) {
        if (unframe(bytes.substr(at)))
            return true;
    }
    return false;
}

template <class T>
T readWhole(FileSystem &files, const std::string &name)
{
    const std::string bytes = files.read(name);
    const auto payload = unframe(bytes);
    if (!payload)
        throw LogDamage("damaged file '" + name + "'");
    return decode<T>(*payload);
}

void writeWhole(FileSystem &files, const std::string &name, const std::string &bytes)
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
        recovered.hard = *record.hardState;
    if (record.truncateFrom) {
        std::erase_if(recovered.entries,
                      [&](const LogEntry &e) { return e.index >= *record.truncateFrom; });
    }
    for (LogEntry &entry : record.append) {
        const LogIndex expected = recovered.entries.empty() ? recovered.snapshot->index + 1
                                                            : recovered.entries.back().index + 1;
        if (entry.index != expected)
            throw LogDamage("log entry " + std::to_string(entry.index) + " follows entry "
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
    writeWhole(*files_, IdentityName, frame(encode(IdentityRecord{seat, initialSeats})));
    files_->syncFolder();
    hasIdentity_ = true;
}

RecoveredLog LogStore::recover()
{
    const auto identity = readWhole<IdentityRecord>(*files_, IdentityName);
    RecoveredLog recovered;
    recovered.seat = identity.seat;
    recovered.initialSeats = identity.initialSeats;
    recoverSnapshot(recovered);
    replayLog(recovered);
    removeOtherGenerations();
    hard_ = recovered.hard;
    log_ = files_->openAppend(LogPrefix + std::to_string(generation_));
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
        auto record =
                readWhole<SnapshotRecord>(*files_, SnapshotPrefix + std::to_string(generation_));
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
            throw LogDamage("missing file '" + name + "'");
        return;
    }
    const std::string bytes = files_->read(name);
    std::string_view rest = bytes;
    while (!rest.empty()) {
        const auto payload = unframe(rest);
        if (!payload) {
            if (hasValidRecordAfter(rest))
                throw LogDamage("damaged record at byte "
                                + std::to_string(bytes.size() - rest.size()) + " of '" + name
                                + "'");
            recovered.droppedTailBytes = rest.size();
            files_->truncate(name, bytes.size() - rest.size());
            return;
        }
        for (LogRecord &record : decode<std::vector<LogRecord>>(*payload))
            applyRecord(std::move(record), recovered);
        rest.remove_prefix(HeaderBytes + payload->size());
    }
}

void LogStore::removeOtherGenerations()
{
    const std::string current = std::to_string(generation_);
    for (const std::string &name : files_->list()) {
        const bool ours = name.starts_with(SnapshotPrefix) || name.starts_with(LogPrefix);
        if (ours && name != SnapshotPrefix + current && name != LogPrefix + current)
            files_->remove(name);
    }
}

// The new log file is in place before the snapshot's rename makes the pair current.
void LogStore::startGeneration(const RaftSnapshot &snapshot, std::string logBytes)
{
    const std::string suffix = std::to_string(snapshot.index);
    const SnapshotRecord record{snapshot.index, snapshot.term, snapshot.seats, *snapshot.data};
    writeWhole(*files_, LogPrefix + suffix, logBytes);
    files_->syncFolder();
    writeWhole(*files_, SnapshotPrefix + suffix, frame(encode(record)));
    files_->syncFolder();
    generation_ = snapshot.index;
    log_ = files_->openAppend(LogPrefix + suffix);
    removeOtherGenerations();
}

void LogStore::write(std::span<const RaftDiskWrite> writes)
{
    // One record for the batch: after a crash no valid record can follow an incomplete one.
    std::vector<LogRecord> pending;
    for (const RaftDiskWrite &write : writes) {
        if (write.hardState)
            hard_ = *write.hardState;
        if (!write.snapshot) {
            if (!write.isEmpty())
                pending.push_back(toRecord(write));
            continue;
        }
        // The snapshot and the entries behind it replace whatever precedes them.
        pending.clear();
        const std::vector<LogRecord> first{{hard_, std::nullopt, write.append}};
        startGeneration(*write.snapshot, frame(encode(first)));
    }
    if (pending.empty())
        return;
    log_->append(frame(encode(pending)));
    log_->sync();
}

} // namespace Trefoil
