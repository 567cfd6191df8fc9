#define BOOST_TEST_MODULE logstore
#include "support/fakefilesystem.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>

#include <unistd.h>

namespace Trefoil {

namespace {

const SeatSet Seats = {{7, "alpha", true}, {8, "beta", true}, {9, "gamma", true}};

LogEntry makeEntry(LogIndex index, Term term, const std::string &payload)
{
    LogEntry result;
    result.index = index;
    result.term = term;
    result.kind = EntryKind::Command;
    result.payload = payload;
    return result;
}

// Returns the path of an empty folder of this test run, outside the source tree.
std::string temporaryFolder(const std::string &name)
{
    const auto path = std::filesystem::temp_directory_path()
                      / ("trefoil-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    return path.string();
}

RaftDiskWrite makeAppend(std::vector<LogEntry> entries)
{
    RaftDiskWrite write;
    write.append = std::move(entries);
    return write;
}

// Returns a disk with an identity and the entries 1 to `count`, each written separately.
std::shared_ptr<FakeDisk> makeDiskWithEntries(LogIndex count)
{
    auto disk = std::make_shared<FakeDisk>();
    LogStore store(openFakeFolder(disk));
    store.createIdentity(7, Seats);
    store.recover();
    for (LogIndex index = 1; index <= count; ++index) {
        const RaftDiskWrite write = makeAppend({makeEntry(index, 1, "payload")});
        store.write(std::span(&write, 1));
    }
    return disk;
}

RecoveredLog recover(const std::shared_ptr<FakeDisk> &disk)
{
    return LogStore(openFakeFolder(disk)).recover();
}

} // namespace

BOOST_AUTO_TEST_CASE(crashLosesNoIdentityHardStateOrEntries)
{
    auto disk = makeDiskWithEntries(3);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        RaftDiskWrite write;
        write.hardState = HardState{4, 8};
        write.truncateFrom = 3;
        write.append = {makeEntry(3, 4, "other")};
        store.write(std::span(&write, 1));
    }
    disk->crash();
    const RecoveredLog log = recover(disk);
    BOOST_TEST(log.seat == 7u);
    BOOST_TEST((log.initialSeats == Seats));
    BOOST_TEST((log.hardState == HardState{4, 8}));
    BOOST_REQUIRE(log.entries.size() == 3u);
    BOOST_TEST((log.entries[2] == makeEntry(3, 4, "other")));
}

BOOST_AUTO_TEST_CASE(crashLosesNoSnapshotOrLaterEntries)
{
    auto disk = makeDiskWithEntries(5);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        auto snapshot = std::make_shared<RaftSnapshot>();
        snapshot->index = 4;
        snapshot->term = 1;
        snapshot->seats = Seats;
        snapshot->data = std::make_shared<const std::string>("state");
        RaftDiskWrite write = makeAppend({makeEntry(5, 1, "payload")});
        write.snapshot = snapshot;
        store.write(std::span(&write, 1));
        const RaftDiskWrite next = makeAppend({makeEntry(6, 1, "after")});
        store.write(std::span(&next, 1));
    }
    disk->crash();
    const RecoveredLog log = recover(disk);
    BOOST_TEST(log.snapshot->index == 4u);
    BOOST_TEST(*log.snapshot->data == "state");
    BOOST_REQUIRE(log.entries.size() == 2u);
    BOOST_TEST((log.entries[1] == makeEntry(6, 1, "after")));
}

// An interrupted write leaves a part of the last record, which must not prevent the recovery.
BOOST_DATA_TEST_CASE(incompleteLastRecordDoesNotPreventRecovery,
                     boost::unit_test::data::xrange(1, 60, 7), keptBytes)
{
    auto disk = makeDiskWithEntries(2);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        disk->failSync = true;
        const RaftDiskWrite write = makeAppend({makeEntry(3, 1, std::string(100, 'x'))});
        BOOST_CHECK_THROW(store.write(std::span(&write, 1)), DiskError);
        disk->failSync = false;
    }
    disk->crash(static_cast<std::size_t>(keptBytes));
    const RecoveredLog log = recover(disk);
    BOOST_TEST(log.entries.size() == 2u);
    BOOST_TEST(log.droppedTailBytes == static_cast<std::size_t>(keptBytes));
    BOOST_TEST(recover(disk).droppedTailBytes == 0u);
}

// An interrupted write cannot flip a bit before the last record, so this must not be recovered
// silently.
BOOST_DATA_TEST_CASE(damageBeforeTheLastRecordIsNotIgnored, boost::unit_test::data::xrange(0, 40),
                     position)
{
    auto disk = makeDiskWithEntries(3);
    disk->files.at("log.0")->data[static_cast<std::size_t>(position)] ^= 0x10;
    BOOST_CHECK_THROW(recover(disk), LogCorruption);
}

BOOST_AUTO_TEST_CASE(damagedIdentityIsNotIgnored)
{
    auto disk = makeDiskWithEntries(1);
    disk->files.at("identity")->data[20] ^= 1;
    BOOST_CHECK_THROW(recover(disk), LogCorruption);
}

BOOST_AUTO_TEST_CASE(identityIsNotOverwritten)
{
    auto disk = makeDiskWithEntries(1);
    LogStore store(openFakeFolder(disk));
    BOOST_TEST(store.hasIdentity());
    BOOST_CHECK_THROW(store.createIdentity(8, Seats), DiskError);
}

BOOST_AUTO_TEST_CASE(fullDiskIsNotIgnoredAndLosesNoEntries)
{
    auto disk = makeDiskWithEntries(2);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        disk->freeBytes = 10;
        const RaftDiskWrite write = makeAppend({makeEntry(3, 1, "payload")});
        BOOST_CHECK_THROW(store.write(std::span(&write, 1)), DiskError);
    }
    disk->freeBytes = SIZE_MAX;
    BOOST_TEST(recover(disk).entries.size() == 2u);
}

// The disk is full at different points while a snapshot is written. The old or the new state must
// remain.
BOOST_DATA_TEST_CASE(fullDiskDuringASnapshotLosesNoState,
                     boost::unit_test::data::xrange(0, 400, 13), freeBytes)
{
    auto disk = makeDiskWithEntries(5);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        auto snapshot = std::make_shared<RaftSnapshot>();
        snapshot->index = 5;
        snapshot->term = 1;
        snapshot->data = std::make_shared<const std::string>("state");
        RaftDiskWrite write;
        write.snapshot = snapshot;
        disk->freeBytes = static_cast<std::size_t>(freeBytes);
        try {
            store.write(std::span(&write, 1));
        } catch (const DiskError &) {
            // The seat stops after a disk error.
        }
    }
    disk->crash();
    disk->freeBytes = SIZE_MAX;
    const RecoveredLog log = recover(disk);
    BOOST_TEST(log.snapshot->index + log.entries.size() == 5u);
}

BOOST_AUTO_TEST_CASE(folderIsNotOpenedTwice)
{
    const std::string folder = temporaryFolder("locked-folder");
    const auto first = openPosixFolder(folder);
    BOOST_CHECK_THROW(openPosixFolder(folder), DiskError);
}

BOOST_AUTO_TEST_CASE(realFilesLoseNoEntries)
{
    const std::string folder = temporaryFolder("logstore-files");
    {
        const auto files = openPosixFolder(folder);
        for (const std::string &name : files->list()) {
            if (name != "lock")
                files->remove(name);
        }
    }
    {
        LogStore store(openPosixFolder(folder));
        store.createIdentity(7, Seats);
        store.recover();
        const RaftDiskWrite write = makeAppend({makeEntry(1, 1, "a"), makeEntry(2, 1, "b")});
        store.write(std::span(&write, 1));
    }
    const RecoveredLog log = LogStore(openPosixFolder(folder)).recover();
    BOOST_TEST(log.entries.size() == 2u);
}

// A sync failed, the seat recovered, and the power is lost. What the recovery returned counts as
// durable, so it may have been acknowledged.
BOOST_AUTO_TEST_CASE(recoveredEntriesAreLostWithThePower)
{
    auto disk = makeDiskWithEntries(2);
    {
        LogStore store(openFakeFolder(disk));
        store.recover();
        disk->failSync = true;
        const RaftDiskWrite write = makeAppend({makeEntry(3, 1, "payload")});
        BOOST_CHECK_THROW(store.write(std::span(&write, 1)), DiskError);
    }
    BOOST_CHECK_THROW(recover(disk), DiskError);
    disk->failSync = false;
    BOOST_REQUIRE_EQUAL(recover(disk).entries.size(), 3);
    disk->crash();
    BOOST_CHECK_EQUAL(recover(disk).entries.size(), 3);
}

// The folder can not be read, for example because no descriptor is left. That must not end the
// process.
BOOST_AUTO_TEST_CASE(unreadableFolderIsNoDiskError)
{
    const std::string path = temporaryFolder("unreadable");
    const auto folder = openPosixFolder(path);
    std::filesystem::remove_all(path);
    BOOST_CHECK_THROW(folder->list(), DiskError);
}

} // namespace Trefoil
