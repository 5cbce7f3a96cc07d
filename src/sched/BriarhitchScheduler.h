#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "sched/LatencyModel.h"
#include "sched/LengthEstimator.h"
#include "sched/PoolQueue.h"
#include "sched/PrefixIndex.h"
#include "sched/RecentAttempts.h"
#include "sched/TargetTable.h"
#include "sched/WaitPredictor.h"

namespace briarhitch {

/** The policy "briarhitch"; docs/DECISIONS.md explains the purpose of each feature. */
class BriarhitchScheduler : public PoolScheduler {
public:
    explicit BriarhitchScheduler(const PoolSettings& settings);

    void setTargets(const std::vector<Target>& targets, Instant now) override;
    void setContract(const Contract& contract) override;
    void submit(PoolRequest request, Instant now) override;
    void cancel(AttemptId attempt, Instant now) override;
    void attemptStarted(AttemptId attempt, Duration firstToken, Instant now) override;
    void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens promptTokens, Tokens outputTokens, Duration duration, Instant now) override;
    void restore(PoolRequest request, TargetId target, bool isStarted, Instant now) override;
    void restoreRecentAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now) override;
    void reportLoad(const LoadReport& report, Instant now) override;
    void tick(Instant now) override;
    std::vector<PoolAction> takeActions() override;
    [[nodiscard]] PoolStats stats() const override;

private:
    struct Features {
        bool tiers;
        bool fair;
        bool lengths;
        bool prefix;
        bool deadline;
        bool shed;
    };
    struct RequestRecord {
        PoolRequest request;
        PoolQueue::Entry entry;
        TargetId target;
        bool isRunning { false };
        bool isStarted { false };
        /** The request's cost is charged to the target's window. */
        bool isCharged { false };
    };

    [[nodiscard]] static Features enabledFeatures(const PoolSettings& settings);
    [[nodiscard]] static TargetTable::Options tableOptions(const PoolSettings& settings);
    [[nodiscard]] int64_t estimateCost(const PoolRequest& request) const;
    [[nodiscard]] double weightOf(CustomerId customer) const;
    [[nodiscard]] bool isEligible(const PoolRequest& request, TargetId target) const;
    [[nodiscard]] bool hasEligibleTarget(const PoolRequest& request) const;
    [[nodiscard]] Duration expectedFirstToken(const PoolRequest& request, Instant now) const;
    /** Expected wait behind this queued cost, for a request of this tier and kind. */
    [[nodiscard]] Duration expectedWait(const PoolQueue::Entry& entry, double costAhead, Instant now) const;
    [[nodiscard]] Duration retryAfter(AttemptId attempt, Duration wait) const;

    RequestRecord& addRecord(PoolRequest request);
    /** Whether the queue had space, or gained it by shedding a less urgent request. */
    bool ensureQueueSpace(const RequestRecord& record, Instant now);
    void refuse(AttemptId attempt, ErrorKind kind, Duration wait, std::string_view reason);
    void removeQueued(const RequestRecord& record);
    void releaseTarget(RequestRecord& record, Instant now);
    void learnFrom(const RequestRecord& record, AttemptOutcome outcome, Tokens outputTokens, Duration duration, Instant now);
    void learnLatency(const RequestRecord& record, Duration latency, Instant now);

    std::optional<TargetId> selectTarget(const PoolRequest& request, Instant now) const;
    void dispatch(Instant now);
    /** Grants or refuses one queued request; false if no request can be granted. */
    bool dispatchOne(Instant now);
    bool dispatchFloor(Instant now);
    void grant(RequestRecord& record, TargetId target, Instant now);
    void refuseExpired(Instant now);
    void refusePredictedDeadlineMisses(Tier tier, Instant now);

    PoolSettings settings_;
    Features features_;
    TargetTable targets_;
    PoolQueue queue_;
    LengthEstimator lengths_;
    PrefixIndex prefixes_;
    RecentAttempts recentAttempts_;
    WaitPredictor predictor_;
    LatencyModel latency_;
    absl::flat_hash_map<CustomerId, double> weights_;
    absl::flat_hash_map<AttemptId, std::unique_ptr<RequestRecord>> records_;
    std::vector<PoolAction> actions_;
    std::array<FairQueue::QueueKey, Tier::count> sweepPosition_;
    PoolStats stats_;
    uint64_t lastSequence_ { 0 };
    /** Whether the queue was never empty since the last tick. */
    bool backlogged_ { false };
};

}
