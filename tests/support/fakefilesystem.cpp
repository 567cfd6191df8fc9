#include "fakefilesystem.h"

#include <algorithm>

namespace Trefoil {

namespace {

class FakeAppendFile : public AppendFile
{
public:
    FakeAppendFile(std::shared_ptr<FakeDisk> disk, std::shared_ptr<FakeDisk::File> file)
        : disk_(std::move(disk))
        , file_(std::move(file))
    {}

    void append(std::string_view bytes) override
    {
        disk_->checkOperation("append");
        const std::size_t writtenBytes = std::min(bytes.size(), disk_->freeBytes);
        if (disk_->freeBytes != SIZE_MAX)
            disk_->freeBytes -= writtenBytes;
        file_->data.append(bytes.substr(0, writtenBytes));
        if (writtenBytes < bytes.size())
            throw DiskError("no space left");
    }

    void sync() override
    {
        disk_->checkOperation("sync");
        if (disk_->failSync)
            throw DiskError("sync failed");
        file_->syncedBytes = file_->data.size();
    }

private:
    std::shared_ptr<FakeDisk> disk_;
    std::shared_ptr<FakeDisk::File> file_;
};

class FakeFolder : public FileSystem
{
public:
    explicit FakeFolder(std::shared_ptr<FakeDisk> disk)
        : disk_(std::move(disk))
    {}

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : disk_->files)
            names.push_back(name);
        return names;
    }

    std::string read(const std::string &name) override { return file(name)->data; }

    std::unique_ptr<AppendFile> openAppend(const std::string &name) override
    {
        disk_->checkOperation("openAppend");
        auto &entry = disk_->files[name];
        if (!entry)
            entry = std::make_shared<FakeDisk::File>();
        return std::make_unique<FakeAppendFile>(disk_, entry);
    }

    void truncate(const std::string &name, std::uint64_t size) override
    {
        disk_->checkOperation("truncate");
        file(name)->data.resize(size);
        file(name)->syncedBytes = size;
    }

    void rename(const std::string &from, const std::string &to) override
    {
        disk_->checkOperation("rename");
        disk_->files[to] = file(from);
        disk_->files.erase(from);
    }

    void remove(const std::string &name) override
    {
        disk_->checkOperation("remove");
        disk_->files.erase(name);
    }

    void syncFolder() override
    {
        disk_->checkOperation("syncFolder");
        if (disk_->failSync)
            throw DiskError("sync failed");
        if (!disk_->ignoreFolderSync)
            disk_->durableFiles = disk_->files;
    }

private:
    std::shared_ptr<FakeDisk::File> file(const std::string &name)
    {
        const auto found = disk_->files.find(name);
        if (found == disk_->files.end())
            throw DiskError("no file " + name);
        return found->second;
    }

    std::shared_ptr<FakeDisk> disk_;
};

} // namespace

void FakeDisk::checkOperation(const std::string &operation) const
{
    if (operation == failingOperation)
        throw DiskError(operation + " failed");
}

void FakeDisk::crash(std::size_t survivingBytes)
{
    files = durableFiles;
    for (auto &[name, file] : files) {
        const std::size_t survivingSize =
                std::min(file->data.size(), file->syncedBytes + survivingBytes);
        auto survivingFile = std::make_shared<File>();
        survivingFile->data = file->data.substr(0, survivingSize);
        survivingFile->syncedBytes = survivingSize;
        file = survivingFile;
    }
    durableFiles = files;
}

std::unique_ptr<FileSystem> openFakeFolder(std::shared_ptr<FakeDisk> disk)
{
    return std::make_unique<FakeFolder>(std::move(disk));
}

} // namespace Trefoil
