#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/model/Target.h"

#include <map>
#include <vector>

namespace briarhitch {

/**
 * What targets ask for in their answers before the list of targets shows it: no new work because they leave, or a pause
 * for one node. Pattern: targets that shed load or shut down by themselves under a burst.
 */
class TargetRestrictions {
public:
    /** Holds until the target is gone or has started anew; for a minute at most, in case neither is ever shown. */
    void recordLeaving(const Target& target, Instant now);
    /** The target wants no work from this node; pauses longer than a minute count as a minute. */
    void recordPause(TargetId target, NodeId node, Duration pause, Instant now);
    /** Forgets what targets asked for that are gone or have started anew. */
    void updateTargets(const std::map<TargetId, Target>& targets);
    /** Forgets what has ended. */
    void tick(Instant now);

    [[nodiscard]] bool isLeaving(TargetId target, Instant now) const;
    /** Whether the target wants nothing from this node now, for either reason. */
    [[nodiscard]] bool isRestricted(TargetId target, NodeId node, Instant now) const;
    /** Whether it wants nothing from any node: it leaves, or so many nodes were sent away that others would be too. */
    [[nodiscard]] bool isRestrictedForAll(TargetId target, Instant now) const;
    /** Targets that want nothing from this node now. */
    [[nodiscard]] std::vector<TargetId> restrictedTargets(NodeId node, Instant now) const;
    /** Time until the first of these targets takes work of this node again; zero if none has asked for a pause. */
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
