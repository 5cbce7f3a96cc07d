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

/** The policy "briarhitch"; docs/DECISIONS.md tells what each part is for. */
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
    void restoreRecentAttempt(uint64_t repeatKey, TargetId target, Instant now) override;
    void reportLoad(const LoadReport& report, Instant now) override;
    void tick(Instant now) override;
    std::vector<PoolAction> takeActions() override;
    [[nodiscard]] PoolStats stats() const override;

private:
    struct Parts {
        bool tiers;
        bool fair;
        bool lengths;
        bool prefix;
        bool deadline;
        bool shed;
    };
    struct Record {
        PoolRequest request;
        PoolQueue::Place place;
        TargetId target;
        bool isRunning { false };
        bool isStarted { false };
        /** The target's window holds the request's cost. */
        bool isCharged { false };
    };

    [[nodiscard]] static Parts partsOf(const PoolSettings& settings);
    [[nodiscard]] static TargetTable::Options tableOptions(const PoolSettings& settings);
    [[nodiscard]] int64_t costOf(const PoolRequest& request) const;
    [[nodiscard]] double weightOf(CustomerId customer) const;
    [[nodiscard]] bool mayUse(const PoolRequest& request, TargetId target) const;
    [[nodiscard]] bool hasUsableTarget(const PoolRequest& request) const;
    [[nodiscard]] Duration expectedFirstToken(const PoolRequest& request, Instant now) const;
    /** How long a queue of this cost takes, for a request of this tier and kind. */
    [[nodiscard]] Duration waitFor(const PoolQueue::Place& place, double costAhead, Instant now) const;
    [[nodiscard]] Duration retryAfter(AttemptId attempt, Duration wait) const;

    Record& addRecord(PoolRequest request);
    /** Whether the queue had room or made it by shedding less urgent work. */
    bool makeRoom(const Record& record, Instant now);
    void refuse(AttemptId attempt, ErrorKind kind, Duration wait, std::string_view reason);
    void removeQueued(const Record& record);
    void releaseTarget(Record& record, Instant now);
    void learnFrom(const Record& record, AttemptOutcome outcome, Tokens outputTokens, Duration duration, Instant now);
    void learnLatency(const Record& record, Duration latency, Instant now);

    std::optional<TargetId> chooseTarget(const PoolRequest& request, Instant now) const;
    void dispatch(Instant now);
    /** Grants or refuses one queued request; false if no target can take any. */
    bool dispatchOne(Instant now);
    bool dispatchFloor(Instant now);
    void grant(Record& record, TargetId target, Instant now);
    void refuseExpired(Instant now);
    void refuseHopeless(Tier tier, Instant now);

    PoolSettings settings_;
    Parts parts_;
    TargetTable targets_;
    PoolQueue queue_;
    LengthEstimator lengths_;
    PrefixIndex prefixes_;
    RecentAttempts repeats_;
    WaitPredictor predictor_;
    LatencyModel latency_;
    absl::flat_hash_map<CustomerId, double> weights_;
    absl::flat_hash_map<AttemptId, std::unique_ptr<Record>> records_;
    std::vector<PoolAction> actions_;
    std::array<FairQueue::QueueKey, Tier::count> sweepAt_;
    PoolStats stats_;
    uint64_t lastSequence_ { 0 };
    /** Whether the queue held something all the time since the last tick. */
    bool backlogged_ { false };
};

}
