#include "control/StreamBatch.h"

#include "briarhitch/runtime/Loop.h"

#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Bounds the commands a second; the streams of this time are known to their entries and the owners of their pools only. */
    constexpr Duration batchTime = 100ms;
    /** A command has at most 1 MiB, and each request has no more than a few thousand streams. */
    constexpr size_t maxStreams = 32768;
    /** Longest wait for a batch that another request commits. */
    constexpr Duration commitTimeout = 5s;

}

bool StreamBatch::commit(const std::vector<StreamGroup>& groups)
{
    bool isFirst = !open_ || open_->streamCount >= maxStreams;
    if (isFirst)
        open_ = std::make_shared<Batch>(loop_);
    auto batch = open_;
    for (const auto& group : groups) {
        for (auto stream : group.streams)
            addToGroups(batch->groups, { stream, group.softwareVersion, group.service });
        batch->streamCount += group.streams.size();
    }
    if (!isFirst) {
        batch->done.waitFor(commitTimeout);
        return batch->committed;
    }
    sleepFor(loop_, batchTime);
    if (open_ == batch)
        open_.reset();
    batch->committed = commit_(std::move(batch->groups));
    batch->done.set();
    return batch->committed;
}

}
