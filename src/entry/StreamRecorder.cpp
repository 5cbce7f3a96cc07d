#include "briarhitch/entry/StreamRecorder.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Bounds the time in which one command is applied. */
    constexpr size_t maxStreamsPerRequest = 2048;

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

}

StreamRecorder::StreamRecorder(MetricRegistry& metrics, CommitHook commit, ClockHook now)
    : metrics_(metrics)
    , commit_(std::move(commit))
    , now_(std::move(now))
{
}

void StreamRecorder::record(const StreamBinding& binding)
{
    if (!binding.stream.isValid())
        return;
    pending_.push_back({ binding, now_() });
    while (pending_.size() > capacity) {
        pending_.pop_front();
        metrics_.count("entry_dropped_stream_records_total");
    }
    metrics_.setGauge("entry_unrecorded_streams", {}, static_cast<double>(pending_.size()));
}

void StreamRecorder::flush()
{
    auto end = pending_.begin() + static_cast<std::ptrdiff_t>(std::min(pending_.size(), maxStreamsPerRequest));
    const std::vector<Pending> taken(pending_.begin(), end);
    if (taken.empty())
        return;
    pending_.erase(pending_.begin(), end);
    RecordStreams streams;
    for (const auto& pending : taken)
        addToGroups(streams.groups, pending.binding);
    auto committed = commit_(streams);
    for (const auto& pending : taken) {
        if (committed)
            metrics_.observe("entry_stream_record_seconds", {}, toSeconds(now_() - pending.since));
    }
    if (!committed) {
        entryLog().warning(std::to_string(taken.size()) + " streams are not recorded yet: " + committed.error().message);
        pending_.insert(pending_.begin(), taken.begin(), taken.end());
    }
    metrics_.setGauge("entry_unrecorded_streams", {}, static_cast<double>(pending_.size()));
}

}
