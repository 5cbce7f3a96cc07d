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
    /** A segment that has reached this size is closed and a new one is started. */
    size_t segmentBytes { 4 * 1024 * 1024 };
    /** Called when data cannot be made durable; a daemon exits here, because nothing that follows would be reliable. */
    std::function<void(const Error&)> onFatal;
};

/** State that was read when the store was opened. */
struct StoredState {
    /** The incarnation is zero if the folder was empty. */
    HardState hardState;
    SnapshotPtr snapshot;
    std::vector<LogEntry> entries;
};

/**
 * Durable storage of the log: segments of records, snapshots, and the hard state (term and vote) in a small file. After
 * an error every later call fails too.
 */
class LogStore {
public:
    /** Damaged, with file and offset in the message; Unavailable if another process uses the folder. */
    static Result<std::unique_ptr<LogStore>> open(FileSystem& files, LogStoreSettings settings, StoredState& found);

    /** Durable on return. */
    Result<void> saveHardState(const HardState& state);
    /** Durable on return. With dropLog, all entries are removed and the next one follows the snapshot. */
    Result<void> saveSnapshot(const Snapshot& snapshot, bool dropLog);
    /** Removes this entry and all later ones; durable on return. */
    Result<void> truncateFrom(uint64_t index);
    /** Durable after the next sync(). */
    Result<void> append(const LogEntry& entry);
    /** Makes all entries that were appended since the last sync durable with one sync. */
    Result<void> sync();
    /** Removes segments that only contain entries up to this one, which a stored snapshot covers. */
    Result<void> dropUpTo(uint64_t index);

    [[nodiscard]] size_t segmentCount() const { return segments_.size(); }
    /** Size of all segments on disk. */
    [[nodiscard]] uint64_t logBytes() const;
    [[nodiscard]] uint64_t syncCount() const { return syncCount_; }

private:
    struct Segment {
        uint64_t firstIndex { 1 };
        std::string path;
        uint64_t bytes { 0 };
        /** Offset of each entry. */
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
    Result<void> writeFileAtomically(const std::string& name, std::string_view content);
    Result<void> flush();
    Result<void> failStoreOnError(Result<void> result);
    std::string pathOf(const std::string& name) const { return settings_.folder + "/" + name; }

    FileSystem& files_;
    LogStoreSettings settings_;
    std::vector<Segment> segments_;
    std::string pending_;
    uint64_t syncedBytes_ { 0 };
    /** The last segment's file name is not durable yet. */
    bool hasUnsyncedName_ { false };
    bool failed_ { false };
    uint64_t syncCount_ { 0 };
};

}
