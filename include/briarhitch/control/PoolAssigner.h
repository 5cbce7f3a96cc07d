#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/control/LeaseTable.h"
#include "briarhitch/model/ClusterConfig.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/** Chooses owners for pools; see docs/design.md 6.2. Does no I/O; keeps only the start times of handovers. Each leader creates a new one. */
class PoolAssigner {
public:
    PoolAssigner() = default;
    /**
     * Except for ceiling pools, a pool is also reassigned when its owner has sent no heartbeat for this time, although the
     * owner's lease may be valid. For fleets whose entries reject grants of earlier epochs and may select targets locally,
     * so that two concurrent owners can at worst oversubscribe a target's slots.
     */
    explicit PoolAssigner(std::optional<Duration> takeoverTimeout)
        : takeoverTimeout_(takeoverTimeout)
    {
    }

    using NodeRecordVersionHook = std::function<Version(NodeId)>;

    /** Reassignments that are needed and allowed now. A pool keeps its owner as long as it has a lease, is not draining, and no preferred node is available instead. */
    std::vector<PoolMove> decide(const ClusterConfig& config, const LeaseTable& leases, const NodeRecordVersionHook& nodeRecordVersion, Instant now);

private:
    struct Handover {
        Epoch epoch;
        Instant firstSeenAt;
    };
    struct Candidates;

    bool isHandoverComplete(const PoolAssignment& pool, const LeaseTable& leases, Instant now);
    [[nodiscard]] bool isOwnerUnresponsive(const PoolAssignment& pool, const LeaseTable& leases, Instant now) const;

    std::optional<Duration> takeoverTimeout_;
    /** Handovers in progress, with the time at which this leader first saw them. */
    std::map<PoolId, Handover> handovers_;
};

}
