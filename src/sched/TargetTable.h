#pragma once

#include "briarhitch/core/Units.h"
#include "briarhitch/model/Target.h"
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
 * The targets of a pool with what each one holds. Keeps those that may get work ordered by the filled part of their
 * window, so that choosing one takes logarithmic time.
 */
class TargetTable {
public:
    struct Options {
        /** Cost that one slot holds before anything was learned. */
        int64_t initialCostPerSlot { 1 };
        /** Most cost by slot that a window can reach. */
        int64_t maxCostPerSlot { 1 };
        /** Whether windows follow latency. */
        bool learnsWindows { true };
        /** Whether failing targets are backed off. */
        bool backsOff { true };
    };

    explicit TargetTable(const Options& options);

    void setTargets(const std::vector<Target>& targets, Instant now);
    void setReachable(TargetId target, bool reachable, Instant now);
    /** Whether the target is active; it may still be full or backed off. */
    [[nodiscard]] bool isActive(TargetId target) const;
    [[nodiscard]] bool isAvailable(TargetId target) const;
    [[nodiscard]] bool hasAvailable() const { return !open_.empty(); }
    [[nodiscard]] size_t availableCount() const { return open_.size(); }
    [[nodiscard]] const std::vector<TargetId>& active() const { return active_; }
    /** The open target with the least filled part that the hook accepts; looks at no more than `mostLooked`. */
    [[nodiscard]] std::optional<TargetId> leastUtilized(const std::function<bool(TargetId)>& accepts, size_t mostLooked = SIZE_MAX) const;
    /** Filled part of the target's window, 0 to about 1. */
    [[nodiscard]] double utilization(TargetId target) const;

    [[nodiscard]] bool hasTarget(TargetId target) const { return slotsById_.contains(target); }
    /** When a target that is neither open nor failed for good can next get work; none if no target can. */
    [[nodiscard]] std::optional<Instant> nextAvailableAt(Instant now) const;

    void charge(TargetId target, int64_t cost, Instant now);
    void release(TargetId target, int64_t cost, Instant now);
    void observe(TargetId target, Duration latency, Duration goal, Instant now);
    void succeeded(TargetId target, Instant now);
    void failed(TargetId target, Instant now);
    void refused(TargetId target, Instant now);
    /** Opens targets whose back-off ended. */
    void tick(Instant now);

    /** Cost that all open or busy targets may hold; the sum of their windows. */
    [[nodiscard]] int64_t capacity() const { return capacity_; }
    /** Slots of all active targets. */
    [[nodiscard]] int64_t slots() const { return slots_; }
    [[nodiscard]] int64_t used() const { return used_; }
    /** Observed latency of the target relative to the pool's; goes back to 1 without new observations. */
    [[nodiscard]] double slowness(TargetId target, Instant now) const;
    void observeSlowness(TargetId target, double ratio, Instant now);

private:
    struct Slot {
        explicit Slot(const TargetWindow& initialWindow)
            : window(initialWindow)
        {
        }

        Target target;
        TargetWindow window;
        TargetBackoff health;
        int64_t used { 0 };
        uint32_t running { 0 };
        double slowness { 1 };
        Instant slownessAt {};
        bool reachable { true };
        bool listed { false };
        /** Position in open_, if it is there. */
        std::optional<double> openAt;
        /** What the target adds to capacity_ and slots_. */
        int64_t countedCapacity { 0 };
        int64_t countedSlots { 0 };
    };

    [[nodiscard]] bool mayGetWork(const Slot& slot, Instant now) const;
    [[nodiscard]] int64_t startingWindow(const Target& target) const;
    void refresh(Slot& slot, Instant now);
    Slot* find(TargetId target);
    [[nodiscard]] const Slot* find(TargetId target) const;

    Options options_;
    absl::flat_hash_map<TargetId, Slot> slotsById_;
    absl::btree_set<std::pair<double, TargetId>> open_;
    absl::btree_set<std::pair<Instant, TargetId>> probes_;
    std::vector<TargetId> active_;
    int64_t capacity_ { 0 };
    int64_t slots_ { 0 };
    int64_t used_ { 0 };
};

}
