#include "briarhitch/entry/OwnerStreamRuns.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"

#include <utility>
#include <vector>

namespace briarhitch {

namespace {

    const Log& poolLog()
    {
        static const Log log("pool:");
        return log;
    }

}

OwnerStreamRuns::OwnerStreamRuns(MetricRegistry& metrics, OwnerStreamRunsHooks hooks)
    : metrics_(metrics)
    , hooks_(std::move(hooks))
    , runs_([this](const StreamRuns::Run& run, RequestId supersededBy) { stop(run, supersededBy); }, hooks_.now)
{
}

bool OwnerStreamRuns::attemptGranted(NodeId entry, const GrantRequest& request, Instant arrivedAt)
{
    auto stream = request.streamClaim.stream;
    runs_.attemptGranted(entry, request, arrivedAt);
    if (!runs_.shouldWait(stream, request.attempt.request))
        return true;
    heldGrants_[request.attempt] = { request.pool, stream };
    return false;
}

void OwnerStreamRuns::attemptEnded(AttemptId attempt)
{
    heldGrants_.erase(attempt);
    if (auto sinceStop = runs_.attemptEnded(attempt))
        metrics_.observe("pool_superseded_stop_seconds", {}, toSeconds(*sinceStop));
    sendDueGrants();
}

void OwnerStreamRuns::forgetPool(PoolId pool)
{
    std::erase_if(heldGrants_, [pool](const auto& held) { return held.second.pool == pool; });
    runs_.forgetPool(pool);
}

void OwnerStreamRuns::tick()
{
    runs_.tick();
    sendDueGrants();
}

void OwnerStreamRuns::stop(const StreamRuns::Run& run, RequestId supersededBy)
{
    metrics_.count("pool_superseded_attempts_total");
    poolLog().event("attempt superseded", { { "attempt", toString(run.attempt) }, { "entry", int64_t(run.entry.value()) }, { "superseded_by", toString(supersededBy) } });
    hooks_.stop(run.entry, { run.pool, run.attempt });
}

void OwnerStreamRuns::sendDueGrants()
{
    std::vector<AttemptId> due;
    for (const auto& [attempt, held] : heldGrants_) {
        // One that has been superseded itself is refused.
        if (!runs_.isStopped(attempt) && !runs_.shouldWait(held.stream, attempt.request))
            due.push_back(attempt);
    }
    for (auto attempt : due) {
        // An entry on this node may react to a grant synchronously.
        auto held = heldGrants_.extract(attempt);
        if (held && !hooks_.sendGrant(held.mapped().pool, attempt))
            heldGrants_.insert(std::move(held));
    }
}

}
