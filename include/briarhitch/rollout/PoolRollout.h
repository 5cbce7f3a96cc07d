#pragma once

#include "briarhitch/model/ClusterConfig.h"

#include <optional>

namespace briarhitch {

/** What the scheduler of a pool has to know of the rollout of the pool's service. */
struct PoolRollout {
    Rollout rollout;
    /** Requests beyond its share that the target version may get in the trial, in this pool and under one owner. */
    double slack { 0 };
    /** Active targets of the pool. */
    uint32_t targetVersionTargets { 0 };
    uint32_t otherTargets { 0 };
    /** The scheduler selects for one entry, which does not know what other nodes grant. */
    bool isLocalSelection { false };

    bool operator==(const PoolRollout&) const = default;
};

/** The rollout of the pool's service; none without bounds. */
std::optional<PoolRollout> findPoolRollout(const ClusterConfig& config, PoolId pool, const std::optional<RolloutBounds>& bounds);

/** Whether the target runs a version from which its service was moved back. */
bool isRolledBack(const ClusterConfig& config, const Target& target);

}
