#pragma once

#include "briarhitch/core/Random.h"
#include "consensus/FileSystem.h"

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <optional>

namespace briarhitch {

/** Files in memory that lose unsynced data when the machine crashes. */
class MemoryFileSystem : public FileSystem {
public:
    /** Number of operations that still succeed; the next one fails, an append after half of its bytes was written. */
    uint64_t operationsUntilFailure { std::numeric_limits<uint64_t>::max() };

    Result<void> openFolder(const std::string&) override { return {}; }

    Result<std::vector<std::string>> list(const std::string& folder) override
    {
        std::vector<std::string> names;
        for (const auto& [path, file] : current_)
            names.push_back(path.substr(folder.size() + 1));
        return names;
    }

    Result<std::string> read(const std::string& path) override
    {
        auto it = current_.find(path);
        if (it == current_.end())
            return fail(ErrorKind::NotFound, path + " is missing");
        return it->second->content;
    }

    Result<void> append(const std::string& path, std::string_view bytes) override
    {
        auto works = countOperation(path);
        auto& file = current_[path];
        if (!file) {
            file = std::make_shared<File>();
            unsyncedNames_.push_back(current_);
        }
        file->content += works ? bytes : bytes.substr(0, bytes.size() / 2);
        return works;
    }

    Result<void> truncate(const std::string& path, uint64_t size) override
    {
        if (auto spent = countOperation(path); !spent)
            return spent;
        auto& file = *current_.at(path);
        if (size < file.syncedBytes) {
            file.beforeTruncate = file.content.substr(0, file.syncedBytes);
            file.syncedBytes = size;
        }
        file.content.resize(size);
        return {};
    }

    Result<void> sync(const std::string& path) override
    {
        if (auto spent = countOperation(path); !spent)
            return spent;
        auto& file = *current_.at(path);
        file.syncedBytes = file.content.size();
        file.beforeTruncate.reset();
        return {};
    }

    Result<void> syncFolder(const std::string& folder) override
    {
        if (auto spent = countOperation(folder); !spent)
            return spent;
        durable_ = current_;
        unsyncedNames_.clear();
        return {};
    }

    Result<void> rename(const std::string& from, const std::string& to) override
    {
        if (auto spent = countOperation(from); !spent)
            return spent;
        current_[to] = current_.at(from);
        current_.erase(from);
        unsyncedNames_.push_back(current_);
        return {};
    }

    Result<void> remove(const std::string& path) override
    {
        if (auto spent = countOperation(path); !spent)
            return spent;
        current_.erase(path);
        unsyncedNames_.push_back(current_);
        return {};
    }

    /**
     * Keeps a random fraction of the unsynced data. As on journaling file systems, data is durable before the size that
     * includes it, and names change in order.
     */
    void crash(Random& random)
    {
        operationsUntilFailure = std::numeric_limits<uint64_t>::max();
        uint64_t kept = random.below(unsyncedNames_.size() + 1);
        current_ = kept == 0 ? durable_ : unsyncedNames_[kept - 1];
        durable_ = current_;
        unsyncedNames_.clear();
        for (auto& [path, file] : current_)
            loseUnsynced(*file, random);
    }

    /** Changes one byte of a file. */
    void corruptByte(const std::string& path, size_t offset) { current_.at(path)->content[offset] ^= 0x55; }
    size_t sizeOf(const std::string& path) const { return current_.at(path)->content.size(); }

private:
    struct File {
        std::string content;
        size_t syncedBytes { 0 };
        /** Synced content before a truncation; set until the next sync. */
        std::optional<std::string> beforeTruncate;
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;

    Result<void> countOperation(const std::string& path)
    {
        if (operationsUntilFailure == 0)
            return fail(ErrorKind::Internal, "injected failure at " + path);
        --operationsUntilFailure;
        return {};
    }

    static void loseUnsynced(File& file, Random& random)
    {
        if (file.beforeTruncate && random.chance(0.5))
            file.content = *file.beforeTruncate;
        else if (file.content.size() > file.syncedBytes)
            file.content.resize(file.syncedBytes + random.below(file.content.size() - file.syncedBytes + 1));
        file.beforeTruncate.reset();
        file.syncedBytes = file.content.size();
    }

    Names current_;
    Names durable_;
    std::vector<Names> unsyncedNames_;
};

}
