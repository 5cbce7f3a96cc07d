#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "sched/RecentAttempts.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>

namespace briarhitch {

/**
 * The baseline policies "naive" and "two-choices": FIFO without tiers, with a limit of requests in flight per target.
 * They differ in target selection.
 */
class BaselineScheduler : public PoolScheduler {
public:
    enum class TargetSelection : uint8_t {
        RoundRobin,
        /** The less loaded of two random targets, by the last load report plus requests sent since. */
        TwoChoices,
    };

    BaselineScheduler(const PoolSettings& settings, TargetSelection targetSelection);

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
    struct Load {
        uint32_t slots { 1 };
        uint32_t inFlight { 0 };
        uint32_t reported { 0 };
        uint32_t sentSinceReport { 0 };
        bool isActive { false };
        bool reachable { true };
    };
    struct Running {
        TargetId target;
        Tier tier;
    };

    [[nodiscard]] bool isEligible(const PoolRequest& request, TargetId target) const;
    [[nodiscard]] bool hasCapacity(TargetId target, Instant now) const;
    [[nodiscard]] bool hasEligibleTarget(const PoolRequest& request) const;
    [[nodiscard]] double loadOf(TargetId target) const;
    std::optional<TargetId> selectTarget(const PoolRequest& request, Instant now);
    std::optional<TargetId> nextRoundRobin(const PoolRequest& request, Instant now);
    void dispatch(Instant now);
    void grant(const PoolRequest& request, TargetId target, Instant now);
    void refuse(const PoolRequest& request, ErrorKind kind, std::string_view reason);
    void release(AttemptId attempt);

    PoolSettings settings_;
    TargetSelection targetSelection_;
    Random random_;
    uint32_t maxInFlightPerSlot_;
    absl::flat_hash_map<TargetId, Load> loads_;
    std::vector<TargetId> active_;
    size_t nextTargetIndex_ { 0 };
    std::deque<PoolRequest> queue_;
    absl::flat_hash_set<AttemptId> queued_;
    absl::flat_hash_map<AttemptId, Running> running_;
    RecentAttempts recentAttempts_;
    std::vector<PoolAction> actions_;
    PoolStats stats_;
};

}
