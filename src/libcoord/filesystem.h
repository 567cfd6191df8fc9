#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil {

// Failure of a disk operation. After one a seat stops: what reached the disk is unknown.
class DiskError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Append-only file handle.
class AppendFile
{
public:
    virtual ~AppendFile() = default;
    virtual void append(std::string_view bytes) = 0;
    virtual void sync() = 0;
};

// The operations that the log store needs of one flat folder. Every operation throws DiskError.
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

// Opens `folder`, creating it when missing, and locks it against a second process.
std::unique_ptr<FileSystem> openPosixFolder(const std::string &folder);

} // namespace Trefoil
