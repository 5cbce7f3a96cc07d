#pragma once

#include "briarhitch/entry/StreamRuns.h"

#include <functional>
#include <map>

namespace briarhitch {

class MetricRegistry;

/** All must be set. */
struct OwnerStreamRunsHooks {
    std::function<void(NodeId entry, const AttemptSuperseded& attempt)> stop;
    /** Sends a grant that was held; false if grants cannot be sent now. */
    std::function<bool(PoolId pool, AttemptId attempt)> sendGrant;
    ClockHook now;
};

/**
 * The attempts that run streams in an owner's pools: has entries stop those that are superseded, and holds the grant of the request that
 * supersedes them until they have ended.
 */
class OwnerStreamRuns {
public:
    OwnerStreamRuns(MetricRegistry& metrics, OwnerStreamRunsHooks hooks);

    [[nodiscard]] bool isSuperseded(const GrantRequest& request, Instant arrivedAt) const { return runs_.isSuperseded(request, arrivedAt); }
    /** True if the grant may be sent at once; otherwise it is held. */
    bool attemptGranted(NodeId entry, const GrantRequest& request, Instant arrivedAt);
    /** The entry selected the target itself, or an earlier owner granted it. */
    void attemptReported(NodeId entry, const GrantRequest& request, Instant arrivedAt) { runs_.attemptGranted(entry, request, arrivedAt); }
    void attemptStarted(NodeId entry, const AttemptStarted& started) { runs_.attemptStarted(entry, started); }
    /** Also of an attempt whose grant is held. */
    void attemptEnded(AttemptId attempt);
    [[nodiscard]] bool isHeld(AttemptId attempt) const { return heldGrants_.contains(attempt); }
    void forgetEntry(NodeId entry) { runs_.forgetEntry(entry); }
    void forgetPool(PoolId pool);
    /** Drops the entry's attempts in the pool for which the function is false. */
    void retain(NodeId entry, PoolId pool, const std::function<bool(AttemptId)>& isRunning) { runs_.retain(entry, pool, isRunning); }
    void tick();

private:
    struct HeldGrant {
        PoolId pool;
        StreamId stream;
    };

    void stop(const StreamRuns::Run& run, RequestId supersededBy);
    void sendDueGrants();

    MetricRegistry& metrics_;
    OwnerStreamRunsHooks hooks_;
    StreamRuns runs_;
    std::map<AttemptId, HeldGrant> heldGrants_;
};

}
