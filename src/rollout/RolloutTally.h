#pragma once

#include "briarhitch/wire/Messages.h"

#include <map>
#include <vector>

namespace briarhitch {

/** Cumulative counts of one route on the targets of one side of a rollout. */
struct RolloutCounts {
    uint64_t granted { 0 };
    uint64_t answered { 0 };
    uint64_t bad { 0 };
    uint64_t samples { 0 };
    double logLatencySum { 0 };

    RolloutCounts& operator+=(const RolloutCounts& other);
    RolloutCounts& operator-=(const RolloutCounts& other);
};

/** The two sides that are compared: the rollout's target version, and all other versions together. */
struct RolloutSides {
    RolloutCounts target;
    RolloutCounts others;

    RolloutSides& operator+=(const RolloutSides& other);
    RolloutSides& operator-=(const RolloutSides& other);
};

using RolloutTotals = std::map<WorkKindId, RolloutSides>;

RolloutSides sumOf(const RolloutTotals& totals);

/** Adds up the cumulative counters of one rollout over the service's pools and their successive owners. */
class RolloutTally {
public:
    /** False if the report is of an earlier owner than one that reported already. */
    bool add(const RolloutReport& report);
    [[nodiscard]] RolloutTotals totals() const;

private:
    struct OwnerTotals {
        Epoch epoch;
        RolloutTotals totals;
    };

    std::map<PoolId, OwnerTotals> current_;
    /** Counters of earlier owners. */
    RolloutTotals earlier_;
};

}
