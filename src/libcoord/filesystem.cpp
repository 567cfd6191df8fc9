#include "libcoord/filesystem.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace Trefoil {

namespace {

// Throws a DiskError with the text of errno.
[[noreturn]] void throwDiskError(const std::string &problem, const std::string &path)
{
    throw DiskError(problem + " '" + path
                    + "': " + std::error_code(errno, std::generic_category()).message());
}

// Owns a POSIX file descriptor.
class Descriptor
{
public:
    Descriptor(const std::string &path, int flags)
        : path_(path)
        , fd_(::open(path.c_str(), flags | O_CLOEXEC, 0644))
    {
        if (fd_ < 0)
            throwDiskError("cannot open", path);
    }
    ~Descriptor() { ::close(fd_); }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    int fd() const { return fd_; }

    void sync()
    {
        if (::fsync(fd_) != 0)
            throwDiskError("cannot sync", path_);
    }

private:
    std::string path_;
    int fd_;
};

class PosixAppendFile : public AppendFile
{
public:
    explicit PosixAppendFile(const std::string &path)
        : path_(path)
        , file_(path, O_WRONLY | O_CREAT | O_APPEND)
    {}

    void append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(file_.fd(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                throwDiskError("cannot write", path_);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    void sync() override { file_.sync(); }

private:
    std::string path_;
    Descriptor file_;
};

class PosixFolder : public FileSystem
{
public:
    explicit PosixFolder(const std::string &folder)
        : folder_(folder)
        , lock_(makeFolder(folder) + "/lock", O_RDWR | O_CREAT)
    {
        if (::flock(lock_.fd(), LOCK_EX | LOCK_NB) != 0)
            throwDiskError("data folder is in use by another process", folder_);
    }

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        std::error_code error;
        std::filesystem::directory_iterator entry(folder_, error);
        for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
            names.push_back(entry->path().filename().string());
        if (error)
            throw DiskError("cannot list '" + folder_ + "': " + error.message());
        return names;
    }

    std::string read(const std::string &name) override
    {
        std::ifstream in(path(name), std::ios::binary);
        if (!in)
            throwDiskError("cannot open", path(name));
        std::ostringstream bytes;
        bytes << in.rdbuf();
        if (in.bad())
            throwDiskError("cannot read", path(name));
        return bytes.str();
    }

    std::unique_ptr<AppendFile> openAppend(const std::string &name) override
    {
        return std::make_unique<PosixAppendFile>(path(name));
    }

    void truncate(const std::string &name, std::uint64_t size) override
    {
        if (::truncate(path(name).c_str(), static_cast<off_t>(size)) != 0)
            throwDiskError("cannot truncate", path(name));
        Descriptor(path(name), O_RDONLY).sync();
    }

    void rename(const std::string &from, const std::string &to) override
    {
        if (::rename(path(from).c_str(), path(to).c_str()) != 0)
            throwDiskError("cannot rename", path(from));
    }

    void remove(const std::string &name) override
    {
        if (::unlink(path(name).c_str()) != 0)
            throwDiskError("cannot remove", path(name));
    }

    void syncFolder() override { Descriptor(folder_, O_RDONLY | O_DIRECTORY).sync(); }

private:
    static std::string makeFolder(const std::string &folder)
    {
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        if (error)
            throw DiskError("cannot create folder '" + folder + "': " + error.message());
        return folder;
    }

    std::string path(const std::string &name) const { return folder_ + "/" + name; }

    std::string folder_;
    Descriptor lock_;
};

} // namespace

std::unique_ptr<FileSystem> openPosixFolder(const std::string &folder)
{
    return std::make_unique<PosixFolder>(folder);
}

} // namespace Trefoil
