#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/CrashWatch.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

class MetricRegistry;

/** All must be set. */
struct OwnerSuspectsHooks {
    std::function<void(const SuspectNotice&)> notifyEntries;
    /** Records a blocked or cleared suspect in the replicated log. */
    std::function<void(const SuspectVerdict&)> record;
    std::function<std::string(TargetId)> targetName;
    ClockHook now;
};

/**
 * What the owner of pools knows of requests and prompt parts that crash targets: watches the attempts in its pools, tells
 * entries and the replicated log what is blocked and cleared, and admits single trials.
 */
class OwnerSuspects {
public:
    OwnerSuspects(MetricRegistry& metrics, OwnerSuspectsHooks hooks);

    /** The block for which the request is refused; none if it may be granted a target, perhaps as a trial. */
    std::optional<SuspectBlock> admit(const GrantRequest& request);
    /** The same for a request that waits, which is no trial. */
    [[nodiscard]] std::optional<SuspectBlock> findBlock(const GrantRequest& request) const;
    /** Whether the request should run where the fewest others do. */
    [[nodiscard]] bool mayCrashTarget(const GrantRequest& request) const;
    /** True once after a block has begun: waiting requests may have to be refused. */
    [[nodiscard]] bool takeNewBlock();

    void attemptGranted(const GrantRequest& request, TargetId target, bool isStarted);
    void attemptStarted(const AttemptStarted& started);
    void attemptFinished(const GrantRequest& request, const AttemptFinished& finished, TargetId target, bool isTargetLeaving);
    /** The attempt was refused, cancelled or lost. `isUnsent`: no target has seen it. */
    void attemptCancelled(const GrantRequest& request, bool isUnsent);
    /** Another node owns the attempt's pool. */
    void forget(AttemptId attempt) { watch_.forget(attempt); }

    /** Adopts what an entry knows. */
    void merge(const PoolSync& sync);
    /** Adopts the blocks of the replicated log, and finds targets that ended without having announced it. */
    void onConfigChange(const ClusterConfig& config);
    void tick();
    /** For an entry that has just connected. */
    [[nodiscard]] std::vector<SuspectNotice> blockedNotices() const;
    void publishGauges() const;

private:
    void publish(const std::vector<SuspectVerdict>& verdicts);
    /** Targets that have ended may be gone from the configuration when they are logged. */
    void rememberName(TargetId target);
    [[nodiscard]] std::string nameOf(TargetId target) const;
    void log(const SuspectVerdict& verdict) const;
    [[nodiscard]] bool isRecorded(const SuspectVerdict& verdict) const;

    MetricRegistry& metrics_;
    OwnerSuspectsHooks hooks_;
    CrashWatch watch_;
    /** Blocks of the replicated log. */
    std::map<SuspectId, SuspectRecord> recorded_;
    /** Active targets, with the start of their incarnation in Unix milliseconds. */
    std::map<TargetId, uint64_t> activeTargets_;
    std::map<TargetId, std::string> endedTargets_;
    bool hasNewBlock_ { false };
};

}
