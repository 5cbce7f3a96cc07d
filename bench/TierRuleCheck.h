#pragma once

#include "briarhitch/sched/PoolScheduler.h"

#include <unordered_map>

namespace briarhitch::bench {

/**
 * Watches one pool from outside and counts requests that were shed, or refused at a full queue, while less urgent
 * work stayed queued.
 */
class TierRuleCheck {
public:
    void submitted(AttemptId attempt, Tier tier);
    void cancelled(AttemptId attempt) { forget(attempt); }
    /** All actions of one step, then the check. */
    void observe(const std::vector<PoolAction>& actions);

    [[nodiscard]] uint64_t violations() const { return violations_; }
    /** Requests refused for their deadline while less urgent work stayed queued; allowed, and counted for information. */
    [[nodiscard]] uint64_t deadlineRefusalsAbove() const { return deadlineRefusalsAbove_; }

private:
    void forget(AttemptId attempt);
    [[nodiscard]] bool holdsBelow(Tier tier) const;

    std::unordered_map<uint64_t, Tier> queued_;
    std::array<size_t, Tier::count> count_ {};
    uint64_t violations_ { 0 };
    uint64_t deadlineRefusalsAbove_ { 0 };
};

}
