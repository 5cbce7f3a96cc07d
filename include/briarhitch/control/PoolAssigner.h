#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/control/LeaseTable.h"
#include "briarhitch/model/ClusterConfig.h"

#include <functional>
#include <map>
#include <vector>

namespace briarhitch {

/** Chooses owners for pools; see docs/design.md 6.2. Pure but for what it has seen; made anew by each leader. */
class PoolAssigner {
public:
    using ChangedAtHook = std::function<Version(NodeId)>;

    /** Moves that are needed and allowed now. A pool whose owner lives and is not draining stays where it is. */
    std::vector<PoolMove> decide(const ClusterConfig& config, const LeaseTable& leases, const ChangedAtHook& nodeChangedAt, Instant now);

private:
    struct Handover {
        Epoch epoch;
        Instant seenAt;
    };
    struct Candidates;

    bool isSettled(const PoolAssignment& pool, const LeaseTable& leases, Instant now);

    /** Planned handovers, by the time at which this leader first saw them. */
    std::map<PoolId, Handover> handovers_;
};

}
