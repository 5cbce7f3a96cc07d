#pragma once

#include "briarhitch/entry/StreamRuns.h"

#include <functional>
#include <map>
#include <set>

namespace briarhitch {

/** The attempts that run streams at this entry, and the hooks that stop them. */
class EntryStreamRuns {
public:
    EntryStreamRuns(NodeId self, ClockHook now);

    [[nodiscard]] bool isSuperseded(const GrantRequest& request, Instant arrivedAt) const { return runs_.isSuperseded(request, arrivedAt); }
    /** Stops the attempts at this entry that the request supersedes. */
    void attemptGranted(const GrantRequest& request, Instant arrivedAt);
    void attemptEnded(AttemptId attempt);
    /** The hook is called at once if the attempt has been stopped already. */
    void onStopped(AttemptId attempt, std::function<void()> hook);
    /** For an attempt that was granted and has not ended. */
    void stop(AttemptId attempt);
    /** Sets the age of a request that was granted to what it is now. */
    void updateAge(GrantRequest& request) const;
    void tick() { runs_.tick(); }

private:
    NodeId self_;
    ClockHook now_;
    StreamRuns runs_;
    std::map<AttemptId, std::function<void()>> hooks_;
    /** Stopped before their hooks were set. */
    std::set<AttemptId> stopped_;
};

}
