#pragma once

#include <cstddef>
#include <cstdint>

namespace briarhitch {

class RaftLog;

struct LogCompactionSettings {
    /** Applied entries after which a snapshot is taken; must be greater than zero. */
    uint64_t snapshotEveryEntries { 50000 };
    /** Bytes of applied entries after which a snapshot is taken; must be greater than zero. */
    uint64_t snapshotEveryBytes { 8ULL << 20 };
    /** Applied entries that are kept for peers that are slightly behind, and their bytes. */
    uint64_t keepEntries { 10000 };
    uint64_t keepBytes { 4ULL << 20 };
};

/**
 * Decides when the log is replaced by a snapshot, and which entries remain. Both count entries and bytes, so that neither many
 * small nor a few large entries use up disk and memory.
 */
class LogCompaction {
public:
    explicit LogCompaction(LogCompactionSettings settings);

    /** An entry of this size was applied. */
    void recordApplied(size_t bytes);
    /** A snapshot of this size replaces all entries that were applied so far. */
    void recordSnapshot(size_t bytes);
    [[nodiscard]] bool isSnapshotDue() const;
    /** The entry after which the log is kept when all up to `applied` are part of a snapshot. */
    [[nodiscard]] uint64_t keepAfter(const RaftLog& log, uint64_t applied) const;

private:
    LogCompactionSettings settings_;
    uint64_t appliedEntries_ { 0 };
    uint64_t appliedBytes_ { 0 };
    uint64_t snapshotBytes_ { 0 };
};

}
