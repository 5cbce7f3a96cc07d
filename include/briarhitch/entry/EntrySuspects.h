#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/CrashWatch.h"
#include "briarhitch/wire/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/**
 * What an entry knows of requests and prompt parts that crash targets: what owners and the replicated log say, and what its
 * own attempts show. The latter is used while it selects targets locally, and told to new owners.
 */
class EntrySuspects {
public:
    explicit EntrySuspects(ClockHook now)
        : now_(std::move(now))
    {
    }

    /** The block for which the request must not be sent to the owner; or to a target, if it is selected locally. */
    [[nodiscard]] std::optional<SuspectBlock> findBlock(const GrantRequest& request, bool isLocal) const;
    /** Whether the request should run where the fewest others do. */
    [[nodiscard]] bool mayCrashTarget(const GrantRequest& request) const;

    void attemptGranted(const GrantRequest& request, TargetId target);
    void attemptStarted(const GrantRequest& request, const AttemptStarted& started);
    void attemptFinished(const GrantRequest& request, const AttemptFinished& finished, TargetId target, bool isTargetLeaving);
    /** Nothing was sent under the grant. */
    void attemptReleased(AttemptId attempt) { own_.forget(attempt); }

    void onNotice(const SuspectNotice& notice);
    void onConfigChange(const ClusterConfig& config);
    void tick();
    /** For a new owner. */
    [[nodiscard]] std::vector<SuspectNotice> noticesForOwner() const;

private:
    static void log(const std::vector<SuspectVerdict>& verdicts);

    ClockHook now_;
    CrashSuspects told_;
    CrashWatch own_;
    /** Blocks of the replicated log. */
    std::map<SuspectId, SuspectRecord> recorded_;
};

}
