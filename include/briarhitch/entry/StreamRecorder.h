#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/wire/StreamMessages.h"

#include <deque>
#include <functional>
#include <utility>

namespace briarhitch {

class MetricRegistry;

/** Records what streams are bound to in the replicated log, many in one request, until the control leader has confirmed it. */
class StreamRecorder {
public:
    using CommitHook = std::function<Result<void>(const RecordStreams&)>;
    /** The oldest are dropped first; streams that still run are reported again later. */
    static constexpr size_t capacity = 65536;

    /** `commit` may block its fiber. */
    StreamRecorder(MetricRegistry& metrics, CommitHook commit, ClockHook now);

    void record(const StreamBinding& binding);
    [[nodiscard]] bool hasStreams() const { return !pending_.empty(); }
    /** Commits the oldest streams; what fails is kept for the next call. */
    void flush();

private:
    struct Pending {
        StreamBinding binding;
        Instant since;
    };

    MetricRegistry& metrics_;
    CommitHook commit_;
    ClockHook now_;
    std::deque<Pending> pending_;
};

}
