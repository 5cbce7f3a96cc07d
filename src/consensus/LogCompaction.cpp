#include "consensus/LogCompaction.h"

#include "consensus/RaftLog.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** A snapshot is taken when the log has at least this fraction of its size, so that writing snapshots does not dominate the disk's work. */
    constexpr uint64_t snapshotToLogRatio = 2;

}

LogCompaction::LogCompaction(LogCompactionSettings settings)
    : settings_(settings)
{
}

void LogCompaction::recordApplied(size_t bytes)
{
    ++appliedEntries_;
    appliedBytes_ += bytes;
}

void LogCompaction::recordSnapshot(size_t bytes)
{
    appliedEntries_ = 0;
    appliedBytes_ = 0;
    snapshotBytes_ = bytes;
}

bool LogCompaction::isSnapshotDue() const
{
    return appliedEntries_ >= settings_.snapshotEveryEntries || appliedBytes_ >= std::max(settings_.snapshotEveryBytes, snapshotBytes_ / snapshotToLogRatio);
}

uint64_t LogCompaction::keepAfter(const RaftLog& log, uint64_t applied) const
{
    uint64_t index = applied;
    uint64_t bytes = 0;
    while (index > log.baseIndex() && applied - index < settings_.keepEntries) {
        bytes += log.entry(index).data.size();
        if (bytes > settings_.keepBytes)
            break;
        --index;
    }
    return index;
}

}
