#pragma once

#include "libcoord/coord.h"

#include <map>
#include <memory>
#include <string>

namespace Trefoil {

// Contents of a simulated disk. The data of a file survives a crash once the file is synced, and
// its name once the folder is synced.
struct FakeDisk
{
    struct File
    {
        std::string data;
        std::size_t syncedBytes = 0; // bytes that survive a crash
    };
    std::map<std::string, std::shared_ptr<File>> files;
    std::map<std::string, std::shared_ptr<File>> durableFiles;

    bool failSync = false;
    std::size_t freeBytes = SIZE_MAX; // a write that needs more fails
    bool ignoreFolderSync = false;
    std::string failingOperation; // each call of this operation of FileSystem or AppendFile fails

    // Throws when the operation is to fail.
    void checkOperation(const std::string &operation) const;

    // Drops all unsynced data and names, except for `survivingBytes` of the unsynced data of each
    // file.
    void crash(std::size_t survivingBytes = 0);
};

std::unique_ptr<FileSystem> openFakeFolder(std::shared_ptr<FakeDisk> disk);

} // namespace Trefoil
