#pragma once

#include "briarhitch/core/Units.h"
#include "briarhitch/model/Target.h"
#include "briarhitch/sched/TargetRateLimiter.h"
#include "sched/TargetBackoff.h"
#include "sched/TargetWindow.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace briarhitch {

/**
 * The targets of a pool with their charged cost. A target is available if it may get work now. Available targets are
 * ordered by the utilization of their window, so that selecting one takes logarithmic time.
 */
class TargetTable {
public:
    struct Options {
        /** Initial window per slot, in units of cost. */
        int64_t initialCostPerSlot { 1 };
        /** Maximum window per slot, in units of cost. */
        int64_t maxCostPerSlot { 1 };
        /** Whether windows adapt to latency. */
        bool adjustsWindows { true };
        /** Whether failing targets are backed off. */
        bool backsOff { true };
        /** Rate limits of the targets; not owned. Null: none. */
        TargetRateLimiter* rateLimiter { nullptr };
    };

    explicit TargetTable(const Options& options);

    void setTargets(const std::vector<Target>& targets, Instant now);
    void setReachable(TargetId target, bool reachable, Instant now);
    /** Whether the target is listed as active; it may be full or backed off. */
    [[nodiscard]] bool isActive(TargetId target) const;
    [[nodiscard]] bool isAvailable(TargetId target) const;
    [[nodiscard]] bool hasAvailable() const { return !available_.empty(); }
    [[nodiscard]] size_t availableCount() const { return available_.size(); }
    [[nodiscard]] const std::vector<TargetId>& active() const { return active_; }
    /** The available target with the lowest utilization that `accepts` admits; examines at most `maxExamined` targets. */
    [[nodiscard]] std::optional<TargetId> leastUtilized(const std::function<bool(TargetId)>& accepts, size_t maxExamined = SIZE_MAX) const;
    /** Charged cost as a fraction of the target's window, 0 to about 1. */
    [[nodiscard]] double utilization(TargetId target) const;

    [[nodiscard]] bool hasTarget(TargetId target) const { return entries_.contains(target); }
    /** Earliest time at which some target may get work, assuming that busy ones free up; none if no target may. */
    [[nodiscard]] std::optional<Instant> nextAvailableAt(Instant now) const;

    void charge(TargetId target, int64_t cost, Instant now);
    void release(TargetId target, int64_t cost, Instant now);
    void observe(TargetId target, Duration latency, Duration goal, Instant now);
    void recordSuccess(TargetId target, Instant now);
    void recordFailure(TargetId target, Instant now);
    void recordTargetRefusal(TargetId target, Instant now);
    /** Makes targets available whose back-off ended or whose rate limit allows a request again. */
    void tick(Instant now);

    /** Sum of the windows of all active, reachable targets that are not failing. */
    [[nodiscard]] int64_t capacity() const { return capacity_; }
    /** Slots of the targets that count towards capacity(). */
    [[nodiscard]] int64_t slots() const { return slots_; }
    [[nodiscard]] int64_t used() const { return used_; }
    /** Observed latency of the target divided by the pool's; decays to 1 without new observations. */
    [[nodiscard]] double slowness(TargetId target, Instant now) const;
    void observeSlowness(TargetId target, double ratio, Instant now);

private:
    struct TargetEntry {
        explicit TargetEntry(const TargetWindow& initialWindow)
            : window(initialWindow)
        {
        }

        Target target;
        TargetWindow window;
        TargetBackoff backoff;
        int64_t used { 0 };
        uint32_t running { 0 };
        double slowness { 1 };
        Instant slownessAt {};
        bool reachable { true };
        bool isListed { false };
        /** Utilization under which the target is in available_; none if it is not available. */
        std::optional<double> orderKey;
        /** The target's contribution to capacity_ and slots_. */
        int64_t countedCapacity { 0 };
        int64_t countedSlots { 0 };
    };

    [[nodiscard]] bool acceptsWork(const TargetEntry& targetEntry, Instant now) const;
    [[nodiscard]] int64_t windowForNewTarget(const Target& target) const;
    void updateAvailability(TargetEntry& targetEntry, Instant now);
    TargetEntry* find(TargetId target);
    [[nodiscard]] const TargetEntry* find(TargetId target) const;

    Options options_;
    absl::flat_hash_map<TargetId, TargetEntry> entries_;
    absl::btree_set<std::pair<double, TargetId>> available_;
    absl::btree_set<std::pair<Instant, TargetId>> probeTimes_;
    std::vector<TargetId> active_;
    int64_t capacity_ { 0 };
    int64_t slots_ { 0 };
    int64_t used_ { 0 };
};

}
