#pragma once

#include "briarhitch/sched/PoolScheduler.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace briarhitch {

/**
 * Decides which software versions the requests of a pool may be sent to while its service moves to another version. Without a
 * rollout it allows all. While a share is in force, it limits what each route sends to the target version to that share of
 * the route's grants, and directs it to only as many targets as that load fills.
 */
class VersionShare {
public:
    /** Counts start anew if the rollout, its stage or its share has changed. */
    void setRollout(const std::optional<PoolRollout>& rollout);
    void setTargets(const std::vector<Target>& targets);

    /** Whether the request may be granted the target now. */
    [[nodiscard]] bool allows(const PoolRequest& request, const Target& target) const;
    /** Whether the request should go to this target before others, because its route has sent less than its share to the target version. */
    [[nodiscard]] bool isDue(const PoolRequest& request, const Target& target) const;
    /** Whether predictions of waits may rely on the target for requests that are bound to no version. */
    [[nodiscard]] bool servesNewRequests(const Target& target) const;
    void recordGrant(const PoolRequest& request, const Target& target);

    /** Targets of the target version that get its share. */
    [[nodiscard]] const std::set<TargetId>& canaries() const { return canaries_; }

private:
    /** Which targets get requests that are bound to no version. */
    enum class Rule : uint8_t {
        Any,
        /** Targets of other versions, and of the target version within its share. */
        Share,
        OnlyTargetVersion,
        OnlyOtherVersions,
    };

    [[nodiscard]] Rule rule() const;
    [[nodiscard]] bool isTargetVersion(const Target& target) const { return rollout_ && target.softwareVersion == rollout_->rollout.targetVersion; }
    [[nodiscard]] int64_t creditOf(WorkKindId route) const;
    [[nodiscard]] bool hasCredit(const PoolRequest& request) const;
    [[nodiscard]] int64_t initialRouteCredit() const;
    void selectCanaries();

    std::optional<PoolRollout> rollout_;
    /** The pool has had targets of other versions since this rollout was learned. */
    bool hasHadOtherTargets_ { false };
    /** Requests beyond the share that this object may use for the rollout, in thousandths; zero if it has learned of it after the trial. */
    int64_t slack_ { 0 };
    std::vector<Target> targets_;
    std::set<TargetId> canaries_;
    /** What each route may still send to the target version, in thousandths of a request. */
    std::map<WorkKindId, int64_t> credits_;
    /** The part of the slack that no route has been given. */
    int64_t unusedSlack_ { 0 };
};

}
