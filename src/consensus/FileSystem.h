#pragma once

#include "briarhitch/core/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace briarhitch {

/** File operations of the log store; tests inject lost data and failures. Paths are used as given. */
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /** Creates the folder if it is missing and locks it against other processes. */
    virtual Result<void> openFolder(const std::string& folder) = 0;
    /** Names of the files in the folder, in ascending order. */
    virtual Result<std::vector<std::string>> list(const std::string& folder) = 0;
    /** NotFound if there is no such file. */
    virtual Result<std::string> read(const std::string& path) = 0;
    /**
     * Appends to the file, which is created if it is missing. After an error some of the bytes may have been written.
     */
    virtual Result<void> append(const std::string& path, std::string_view bytes) = 0;
    virtual Result<void> truncate(const std::string& path, uint64_t size) = 0;
    /** Returns when the file's content is durable. */
    virtual Result<void> sync(const std::string& path) = 0;
    /** Returns when the folder's file names are durable. */
    virtual Result<void> syncFolder(const std::string& folder) = 0;
    virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
    virtual Result<void> remove(const std::string& path) = 0;
};

}
