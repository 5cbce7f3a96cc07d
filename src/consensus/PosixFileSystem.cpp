#include "consensus/PosixFileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace briarhitch {

namespace {

    constexpr mode_t fileMode = 0600;
    constexpr const char* lockName = "lock";

    tl::unexpected<Error> systemError(std::string_view action, const std::string& path)
    {
        int code = errno;
        auto kind = code == ENOENT ? ErrorKind::NotFound : ErrorKind::Internal;
        return fail(kind, "cannot " + std::string(action) + " " + path + ": " + std::strerror(code));
    }

    Result<void> syncAndClose(int file, const std::string& path)
    {
        bool synced = ::fsync(file) == 0;
        auto result = synced ? Result<void> {} : Result<void>(systemError("sync", path));
        ::close(file);
        return result;
    }

}

PosixFileSystem::~PosixFileSystem()
{
    closeAppendFile();
    if (lockFile_ >= 0)
        ::close(lockFile_);
}

Result<void> PosixFileSystem::openFolder(const std::string& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return fail(ErrorKind::Internal, "cannot create folder " + folder + ": " + error.message());
    std::string path = folder + "/" + lockName;
    lockFile_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (lockFile_ < 0)
        return systemError("open", path);
    if (::flock(lockFile_, LOCK_EX | LOCK_NB) != 0)
        return fail(ErrorKind::Unavailable, "folder " + folder + " is in use by another process");
    return {};
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string& folder)
{
    std::error_code error;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end; it.increment(error)) {
        if (it->path().filename() != lockName)
            names.push_back(it->path().filename().string());
    }
    if (error)
        return fail(ErrorKind::Internal, "cannot list " + folder + ": " + error.message());
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::string> PosixFileSystem::read(const std::string& path)
{
    int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return systemError("open", path);
    struct stat status { };
    if (::fstat(file, &status) != 0) {
        auto error = systemError("read", path);
        ::close(file);
        return error;
    }
    std::string bytes(static_cast<size_t>(status.st_size), '\0');
    size_t done = 0;
    while (done < bytes.size()) {
        ssize_t count = ::read(file, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0) {
            auto error = systemError("read", path);
            ::close(file);
            return error;
        }
        if (count == 0)
            break;
        done += static_cast<size_t>(count);
    }
    ::close(file);
    bytes.resize(done);
    return bytes;
}

Result<int> PosixFileSystem::openForAppend(const std::string& path)
{
    if (appendFile_ >= 0 && appendPath_ == path)
        return appendFile_;
    closeAppendFile();
    appendFile_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (appendFile_ < 0)
        return systemError("open", path);
    appendPath_ = path;
    return appendFile_;
}

void PosixFileSystem::closeAppendFile()
{
    if (appendFile_ >= 0)
        ::close(appendFile_);
    appendFile_ = -1;
    appendPath_.clear();
}

Result<void> PosixFileSystem::append(const std::string& path, std::string_view bytes)
{
    auto file = openForAppend(path);
    if (!file)
        return tl::unexpected(file.error());
    while (!bytes.empty()) {
        ssize_t count = ::write(*file, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("write", path);
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return {};
}

Result<void> PosixFileSystem::truncate(const std::string& path, uint64_t size)
{
    if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0)
        return systemError("truncate", path);
    return {};
}

Result<void> PosixFileSystem::sync(const std::string& path)
{
    if (appendFile_ >= 0 && appendPath_ == path) {
        // The size changes with each append and is part of what fdatasync() makes durable.
        if (::fdatasync(appendFile_) != 0)
            return systemError("sync", path);
        return {};
    }
    int file = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    if (file < 0)
        return systemError("open", path);
    return syncAndClose(file, path);
}

Result<void> PosixFileSystem::syncFolder(const std::string& folder)
{
    int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return systemError("open", folder);
    return syncAndClose(file, folder);
}

Result<void> PosixFileSystem::rename(const std::string& from, const std::string& to)
{
    if (appendPath_ == from || appendPath_ == to)
        closeAppendFile();
    if (::rename(from.c_str(), to.c_str()) != 0)
        return systemError("rename", from);
    return {};
}

Result<void> PosixFileSystem::remove(const std::string& path)
{
    if (appendPath_ == path)
        closeAppendFile();
    if (::unlink(path.c_str()) != 0)
        return systemError("remove", path);
    return {};
}

bool isFolderWritable(const std::string& folder)
{
    constexpr size_t probeBytes = 4096;
    std::string path = folder + "/" + lockName;
    int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, fileMode);
    if (file < 0)
        return false;
    std::string probe(probeBytes, 'p');
    bool isWritten = ::write(file, probe.data(), probe.size()) == static_cast<ssize_t>(probe.size()) && ::fsync(file) == 0;
    bool isTruncated = ::ftruncate(file, 0) == 0;
    ::close(file);
    return isWritten && isTruncated;
}

}
