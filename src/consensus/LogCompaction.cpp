#include "consensus/LogCompaction.h"

#include "consensus/RaftLog.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Most bytes of snapshots that are written for one byte of the log. */
    constexpr uint64_t maxSnapshotBytesPerLogByte = 2;

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
    return appliedEntries_ >= settings_.snapshotEveryEntries || appliedBytes_ >= std::max(settings_.snapshotEveryBytes, snapshotBytes_ / maxSnapshotBytesPerLogByte);
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
