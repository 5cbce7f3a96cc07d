#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "sched/GrantedWorkFractions.h"
#include "sched/LengthEstimator.h"
#include "sched/RefusalHistory.h"
#include "sched/SlotTarget.h"
#include "sched/UrgencyDeficits.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace briarhitch {

/**
 * The policy "slots", for targets that run a fixed number of requests side by side. It never grants more than a target
 * has places, so that requests wait here, in order, and not at the target; it learns how fast each target is and
 * places a request where it is in time and does not make others late.
 */
class SlotScheduler : public PoolScheduler {
public:
    explicit SlotScheduler(const PoolSettings& settings);

    void setTargets(const std::vector<Target>& targets, Instant now) override;
    void setContract(const Contract& contract) override;
    void submit(PoolRequest request, Instant now) override;
    void cancel(AttemptId attempt, Instant now) override;
    void attemptStarted(AttemptId attempt, Duration firstToken, Instant now) override;
    void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens promptTokens, Tokens outputTokens, Duration duration, Instant now) override;
    void restore(PoolRequest request, TargetId target, bool isStarted, Instant now) override;
    void restoreRecentAttempt(uint64_t repeatKey, TargetId target, Instant now) override;
    void reportLoad(const LoadReport& report, Instant now) override;
    void tick(Instant now) override;
    std::vector<PoolAction> takeActions() override;
    [[nodiscard]] PoolStats stats() const override;

private:
    /** Order of waiting: what can still be in time, then tier, urgency of the kind, arrival. */
    struct Rank {
        bool isLate { false };
        uint8_t tier { 0 };
        uint8_t urgency { 0 };
        uint64_t arrival { 0 };

        auto operator<=>(const Rank&) const = default;
    };
    struct Record {
        PoolRequest request;
        uint64_t arrival { 0 };
        Instant arrivedAt;
        Rank rank;
        double expectedOutput { 0 };
        /** Work in milliseconds of a place, as estimated when the request began to wait. */
        double waitingCostMs { 0 };
        TargetId target;
        bool isRunning { false };
        bool isStarted { false };
        /** The target had no other prompt to read when this one was granted. */
        bool isPrefillAlone { false };
        Duration firstToken { 0 };
    };
    /** What would come of placing a request on a target. */
    struct Placement {
        double firstTokenMs { 0 };
        double durationMs { 0 };
        /** Parts of a request's value that would be lost, its own and of those that run there. */
        double loss { 0 };
        /** The chance that the answer does not end in time; also a part of the loss. */
        double endRisk { 0 };
    };

    [[nodiscard]] bool isModel() const { return settings_.kind == PoolKind::Model; }
    [[nodiscard]] double expectedOutputOf(const PoolRequest& request) const;
    [[nodiscard]] double workMsOf(const SlotTarget& target) const;
    [[nodiscard]] double prefillMsOf(const SlotTarget& target) const;
    [[nodiscard]] Placement placementOn(const Record& record, const SlotTarget& target, Instant now) const;
    /** Work of a request in milliseconds of a place on a middling target. */
    [[nodiscard]] double costMs(const Record& record) const;
    [[nodiscard]] double bestFirstTokenMs(const Record& record) const;
    /** Until then the request waits for a place where it is in time. */
    [[nodiscard]] Instant latestGoodStart(const Record& record) const;
    [[nodiscard]] Rank rankOf(const Record& record, Instant now) const;
    [[nodiscard]] bool mayUse(const Record& record, const SlotTarget& target) const;
    [[nodiscard]] bool hasUsableTarget(const Record& record) const;
    /** The waiting work before this rank, in milliseconds of a place. */
    [[nodiscard]] double workAheadMs(const Rank& rank) const;
    /** The time until this much work before a rank has its places, and what arrives meanwhile and overtakes the rank. */
    [[nodiscard]] double drainMs(double workMs, const Rank& rank) const;
    [[nodiscard]] Duration retryAfter(const Record& record) const;

    Record& add(PoolRequest request, Instant now);
    void enqueue(Record& record);
    void dequeue(Record& record);
    void refuse(AttemptId attempt, ErrorKind kind, std::string_view reason, Instant now);
    void occupy(Record& record, SlotTarget& target);
    void release(Record& record);
    void endPrefill(Record& record, SlotTarget& target);
    void noteOutcome(SlotTarget& target, OutcomeClass outcome, Instant now);
    void learnWork(const Record& record, SlotTarget& target, Tokens outputTokens, Duration duration);
    /** Fills free places from the queue. */
    void dispatch(Instant now);
    /** Grants what less urgent kinds are owed before more urgent ones. */
    void dispatchOwed(Instant now);
    [[nodiscard]] bool hasPlace(Instant now) const;
    /** The first request in time of this urgency, by tier; nullptr if none waits. */
    [[nodiscard]] Record* firstInTime(Tier urgency) const;
    void grant(Record& record, SlotTarget& target, bool isOwed);
    SlotTarget* choose(const Record& record, Instant now);
    /** A free place on a target that is much faster than the one where the request runs. */
    SlotTarget* chooseFaster(const Record& record, Instant now);
    void rerank(Instant now);
    /** Whether a request is beyond hope if it starts after this much waiting work. */
    [[nodiscard]] bool isHopeless(const Record& record, double aheadMs, Instant now) const;
    void refuseHopeless(Instant now);
    void updateCapacity();

    PoolSettings settings_;
    LengthEstimator lengths_;
    std::map<TargetId, SlotTarget> targets_;
    absl::flat_hash_map<AttemptId, std::unique_ptr<Record>> records_;
    std::set<std::pair<Rank, AttemptId>> queue_;
    std::vector<PoolAction> actions_;
    PoolStats stats_;
    uint64_t lastArrival_ { 0 };
    /** Over all targets, as fallbacks for those that nothing is known of. */
    LearnedMean poolWorkMs_ { 0.02 };
    LearnedMean poolPrefillMs_ { 0.02 };
    UrgencyDeficits shares_;
    /** Waiting requests that can still be in time, by the urgency of their kind. */
    std::array<size_t, Tier::count> waitingInTime_ {};
    GrantedWorkFractions parts_;
    RefusalHistory refusedCallers_;
    double peerFailures_ { 0 };
    /** Places of all active targets, weighted by their speed relative to the pool's mean. */
    double capacity_ { 0 };
    double fastestWorkMs_ { 0 };
    double fastestPrefillMs_ { 0 };
};

}
