#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/control/LeaseTable.h"
#include "briarhitch/model/ClusterConfig.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/** Chooses owners for pools; see docs/design.md 6.2. Pure but for what it has seen; made anew by each leader. */
class PoolAssigner {
public:
    PoolAssigner() = default;
    /**
     * Pools other than those of ceilings also move when their owner has been silent for this long, though its lease may
     * hold: for fleets whose entries accept no grant of an earlier epoch and may choose targets by themselves, so that
     * two owners at once can only fill a target beyond its slots.
     */
    explicit PoolAssigner(std::optional<Duration> takeoverTimeout)
        : takeoverTimeout_(takeoverTimeout)
    {
    }

    using NodeRecordVersionHook = std::function<Version(NodeId)>;

    /** Moves that are needed and allowed now. A pool whose owner lives and is not draining stays where it is. */
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
    /** Planned handovers, by the time at which this leader first saw them. */
    std::map<PoolId, Handover> handovers_;
};

}
