#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/model/Target.h"

#include <map>
#include <vector>

namespace briarhitch {

/**
 * Restrictions that targets announce in their responses before the list of targets shows them: no new work because the
 * target is shutting down ("leaving"), or a pause for one node. Targets under a burst shed load or shut down this way.
 */
class TargetRestrictions {
public:
    /** Holds until the list shows the target removed or restarted, at most a minute in case it never does. */
    void recordLeaving(const Target& target, Instant now);
    /** Records that the target accepts no work from this node; a pause is limited to one minute. */
    void recordPause(TargetId target, NodeId node, Duration pause, Instant now);
    /** Removes restrictions of targets that are not listed any more, and of leaving targets that were restarted. */
    void updateTargets(const std::map<TargetId, Target>& targets);
    /** Removes expired restrictions. */
    void tick(Instant now);

    [[nodiscard]] bool isLeaving(TargetId target, Instant now) const;
    /** Whether the target accepts no work from this node now, because it is leaving or paused. */
    [[nodiscard]] bool isRestricted(TargetId target, NodeId node, Instant now) const;
    /** Whether it accepts no work from any node: it is leaving, or it paused so many nodes that it is probably overloaded. */
    [[nodiscard]] bool isRestrictedForAll(TargetId target, Instant now) const;
    /** Targets that accept no work from this node now. */
    [[nodiscard]] std::vector<TargetId> restrictedTargets(NodeId node, Instant now) const;
    /** Time until the first pause of these targets for this node ends; zero if none is paused. */
    [[nodiscard]] Duration shortestPause(const std::vector<TargetId>& targets, NodeId node, Instant now) const;
    [[nodiscard]] bool isEmpty() const { return targets_.empty(); }

private:
    struct Entry {
        bool isLeaving { false };
        Instant leavingUntil {};
        uint64_t bornMs { 0 };
        std::map<NodeId, Instant> pausedUntil;

        [[nodiscard]] bool isLeavingAt(Instant now) const { return isLeaving && now < leavingUntil; }
    };

    std::map<TargetId, Entry> targets_;
};

}
