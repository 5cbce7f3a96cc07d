#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/sched/StreamVersions.h"
#include "briarhitch/wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <functional>

namespace briarhitch {

class MetricRegistry;

/**
 * What the owner of pools knows of the streams that callers may continue, from the entries that relay them: the software versions at
 * which they began, and the attempts that run them.
 */
class OwnerStreams {
public:
    using SupersedeHook = std::function<void(NodeId entry, const AttemptSuperseded& attempt)>;

    /** The hook tells the entry to stop an attempt. */
    OwnerStreams(MetricRegistry& metrics, SupersedeHook supersede, ClockHook now);

    /** Adds the version to a request that continues a stream and does not name one. UnknownStream. */
    Result<void> resolve(GrantRequest& request);
    /** Stops the attempt of another request that still runs the stream: its entry need not know that its caller is gone. */
    void attemptGranted(const GrantRequest& request);
    /** The attempt may be one that another owner granted, or that the entry selected a target for. */
    void attemptStarted(NodeId entry, const AttemptStarted& started);
    void attemptFinished(const AttemptFinished& finished);
    /** The attempt was cancelled or lost. */
    void forget(AttemptId attempt);
    /** Replaces what is known of the entry's attempts in this pool. */
    void merge(NodeId entry, const PoolSync& sync);
    /** The entry has ended, and its attempts with it. */
    void forgetEntry(NodeId entry);
    void tick() { streams_.tick(now_()); }
    void publishGauges() const;

private:
    struct Run {
        NodeId entry;
        AttemptSuperseded attempt;
    };

    void addRun(StreamId stream, const Run& run);
    void dropRuns(const std::function<bool(const Run&)>& isDropped);

    MetricRegistry& metrics_;
    SupersedeHook supersede_;
    ClockHook now_;
    StreamVersions streams_;
    absl::flat_hash_map<StreamId, Run> runs_;
    absl::flat_hash_map<AttemptId, StreamId> streamsOfAttempts_;
};

}
