#include "briarhitch/entry/EntryStreamRuns.h"

#include <utility>

namespace briarhitch {

EntryStreamRuns::EntryStreamRuns(NodeId self, ClockHook now)
    : self_(self)
    , now_(std::move(now))
    , runs_([this](const StreamRuns::Run& run, RequestId) { stop(run.attempt); }, now_)
{
}

void EntryStreamRuns::attemptGranted(const GrantRequest& request, Instant arrivedAt)
{
    runs_.attemptGranted(self_, request, arrivedAt);
}

void EntryStreamRuns::attemptEnded(AttemptId attempt)
{
    runs_.attemptEnded(attempt);
    hooks_.erase(attempt);
    stopped_.erase(attempt);
}

void EntryStreamRuns::onStopped(AttemptId attempt, std::function<void()> hook)
{
    if (stopped_.contains(attempt))
        hook();
    else
        hooks_[attempt] = std::move(hook);
}

void EntryStreamRuns::stop(AttemptId attempt)
{
    stopped_.insert(attempt);
    if (auto node = hooks_.extract(attempt))
        node.mapped()();
}

void EntryStreamRuns::updateAge(GrantRequest& request) const
{
    if (auto arrivedAt = runs_.arrivedAt(request.attempt))
        request.streamClaim.ageMs = clampMs(now_() - *arrivedAt);
}

}
