#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil {

// Failure of a disk operation. A seat stops after one, since it is unknown what reached the disk.
class DiskError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// File that is only appended to.
class AppendFile
{
public:
    virtual ~AppendFile() = default;
    virtual void append(std::string_view bytes) = 0;
    virtual void sync() = 0;
};

// File operations of the log store in one folder without subfolders. Every operation throws
// DiskError when it fails.
class FileSystem
{
public:
    virtual ~FileSystem() = default;
    virtual std::vector<std::string> list() = 0;
    virtual std::string read(const std::string &name) = 0;
    virtual std::unique_ptr<AppendFile> openAppend(const std::string &name) = 0;
    virtual void truncate(const std::string &name, std::uint64_t size) = 0;
    virtual void rename(const std::string &from, const std::string &to) = 0;
    virtual void remove(const std::string &name) = 0;
    virtual void syncFolder() = 0;
};

// Opens `folder` and locks it against other processes. Creates it when it is missing.
std::unique_ptr<FileSystem> openPosixFolder(const std::string &folder);

} // namespace Trefoil
