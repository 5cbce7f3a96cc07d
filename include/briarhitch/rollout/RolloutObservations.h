#pragma once

#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace briarhitch {

/** What the requests of a pool get from the targets of a rollout: counters for each route and version, which never decrease. */
class RolloutObservations {
public:
    void attemptGranted(AttemptId attempt, WorkKindId route, bool isTargetVersion);
    /** Watches an attempt that was granted before, or by an earlier owner, which counted the grant. */
    void attemptAdopted(AttemptId attempt, WorkKindId route, bool isTargetVersion);
    /** The first event of a stream has arrived. */
    void attemptStarted(AttemptId attempt, Duration firstEvent);
    void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Duration duration);
    /** Forgets attempts that ended in another way, for example because their grant was returned. */
    void retain(const std::function<bool(AttemptId)>& isRunning);
    [[nodiscard]] bool contains(AttemptId attempt) const { return attempts_.contains(attempt); }

    [[nodiscard]] bool hasGranted(bool isTargetVersion) const;
    [[nodiscard]] std::vector<RolloutCounters> counters() const;
    [[nodiscard]] uint32_t runningCount(bool isTargetVersion) const;

private:
    struct Attempt {
        WorkKindId route;
        bool isTargetVersion { false };
        bool isStarted { false };
    };

    RolloutCounters& countersOf(const Attempt& attempt);
    void addSample(const Attempt& attempt, Duration latency);

    std::map<AttemptId, Attempt> attempts_;
    std::map<std::pair<WorkKindId, bool>, RolloutCounters> counters_;
};

}
