#pragma once

#include "consensus/FileSystem.h"

namespace briarhitch {

/** Files of the operating system. Keeps the file that is appended to open. */
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
    void closeAppended();

    int lock_ { -1 };
    int appended_ { -1 };
    std::string appendedPath_;
};

/** Whether the folder's disk takes and keeps writes now; uses the folder's lock file, which holds nothing else. */
bool isFolderWritable(const std::string& folder);

}
