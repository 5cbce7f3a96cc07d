#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/sched/StreamBindings.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

class MetricRegistry;

/** What the owner of pools knows of the software versions at which streams began: what the entries that relayed them reported. */
class OwnerStreams {
public:
    OwnerStreams(MetricRegistry& metrics, ClockHook now);

    /** Adds the version to a request that continues a stream and does not name one. UnknownStream. */
    Result<void> resolve(GrantRequest& request, const PoolAssignment& pool);
    /** The attempt may be one that another owner granted, or that the entry selected a target for. */
    void attemptStarted(const AttemptStarted& started) { streams_.record(started.stream, now_()); }
    void attemptFinished(const AttemptFinished& finished) { streams_.record(finished.stream, now_()); }
    void merge(const PoolSync& sync);
    void tick() { streams_.tick(now_()); }
    void publishGauges() const;

private:
    MetricRegistry& metrics_;
    ClockHook now_;
    StreamBindings streams_;
};

}
