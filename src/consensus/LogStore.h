#pragma once

#include "briarhitch/core/Error.h"
#include "consensus/FileSystem.h"
#include "consensus/RaftTypes.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhitch {

struct LogStoreSettings {
    std::string folder;
    /** A segment that has grown to this size is closed. */
    size_t segmentBytes { 8 * 1024 * 1024 };
    /** Called when something cannot be made durable; a daemon ends here, because nothing after it can be trusted. */
    std::function<void(const Error&)> onFatal;
};

/** What was found when the store was opened. */
struct StoredState {
    /** The incarnation is zero if the folder was empty. */
    HardState hardState;
    SnapshotPtr snapshot;
    std::vector<LogEntry> entries;
};

/**
 * The durable part of the log: segments of records, snapshots, and the voter's promises in a small file.
 * After an error every later call fails too.
 */
class LogStore {
public:
    /** Damaged names the file and the offset; Unavailable if another process has the folder. */
    static Result<std::unique_ptr<LogStore>> open(FileSystem& files, LogStoreSettings settings, StoredState& found);

    /** Durable on return. */
    Result<void> saveHardState(const HardState& state);
    /** Durable on return. With dropLog, all entries are removed and the next one follows the snapshot. */
    Result<void> saveSnapshot(const Snapshot& snapshot, bool dropLog);
    /** Removes this entry and all later ones; durable on return. */
    Result<void> truncateFrom(uint64_t index);
    /** Durable after the next sync(). */
    Result<void> append(const LogEntry& entry);
    /** One sync for all entries that were appended since the last one. */
    Result<void> sync();
    /** Removes segments that only have entries up to this one. */
    Result<void> dropUpTo(uint64_t index);

    [[nodiscard]] size_t segmentCount() const { return segments_.size(); }
    [[nodiscard]] uint64_t syncCount() const { return syncCount_; }

private:
    struct Segment {
        uint64_t firstIndex { 1 };
        std::string path;
        uint64_t bytes { 0 };
        /** Where each entry starts. */
        std::vector<uint64_t> offsets;

        [[nodiscard]] uint64_t endIndex() const { return firstIndex + offsets.size(); }
    };

    LogStore(FileSystem& files, LogStoreSettings settings);
    Result<void> load(StoredState& found);
    Result<void> loadSnapshot(const std::vector<std::string>& names, StoredState& found);
    Result<void> loadSegment(const std::string& name, bool isLast, StoredState& found);
    Result<void> checkAgainstSnapshot(StoredState& found);
    Result<void> dropAllSegments();
    Result<void> removeDurably(const std::string& path);
    Result<void> removeOldSnapshots(uint64_t keptIndex);
    Result<void> writeWhole(const std::string& name, std::string_view content);
    Result<void> flush();
    Result<void> check(Result<void> result);
    std::string pathOf(const std::string& name) const { return settings_.folder + "/" + name; }

    FileSystem& files_;
    LogStoreSettings settings_;
    std::vector<Segment> segments_;
    std::string pending_;
    uint64_t syncedBytes_ { 0 };
    /** The last segment's name is not durable yet. */
    bool newName_ { false };
    bool failed_ { false };
    uint64_t syncCount_ { 0 };
};

}
