#pragma once

#include "consensus/FileSystem.h"

namespace briarhitch {

/** Files of the operating system. Keeps the file of the last append open. */
class PosixFileSystem : public FileSystem {
public:
    PosixFileSystem() = default;
    ~PosixFileSystem() override;
    PosixFileSystem(const PosixFileSystem&) = delete;
    PosixFileSystem& operator=(const PosixFileSystem&) = delete;

    Result<void> openFolder(const std::string& folder) override;
    Result<std::vector<std::string>> list(const std::string& folder) override;
    Result<std::string> read(const std::string& path) override;
    Result<void> append(const std::string& path, std::string_view bytes) override;
    Result<void> truncate(const std::string& path, uint64_t size) override;
    Result<void> sync(const std::string& path) override;
    Result<void> syncFolder(const std::string& folder) override;
    Result<void> rename(const std::string& from, const std::string& to) override;
    Result<void> remove(const std::string& path) override;

private:
    Result<int> openForAppend(const std::string& path);
    void closeAppendFile();

    int lockFile_ { -1 };
    int appendFile_ { -1 };
    std::string appendPath_;
};

/**
 * Whether the folder's disk accepts and syncs writes now; writes to the folder's lock file, which has no other content.
 */
bool isFolderWritable(const std::string& folder);

}
