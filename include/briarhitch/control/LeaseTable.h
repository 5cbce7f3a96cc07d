#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <map>

namespace briarhitch {

struct LeaseSettings {
    /** By the node's clock, from the moment it sent the heartbeat. */
    Duration lease { std::chrono::seconds(3) };
    /** Most that two clocks of the fleet differ in rate. */
    double maxClockDrift { 0.05 };

    /** By this process's clock: a lease that was answered this long ago has ended everywhere. */
    [[nodiscard]] Duration maxHoldTime() const { return fromSeconds(toSeconds(lease) * (1 + maxClockDrift)); }
};

/** The leader's knowledge of the nodes' leases. Pure: `now` never goes back. */
class LeaseTable {
public:
    explicit LeaseTable(LeaseSettings settings)
        : settings_(settings)
    {
    }

    /** Forgets everything; until a whole lease plus drift has passed, any lease of an earlier leader may hold. */
    void becomeLeader(Instant now);
    /** To be called when the heartbeat is answered. */
    void grant(NodeId node, Incarnation incarnation, Instant now);
    /** False only if this incarnation's lease has certainly ended. */
    [[nodiscard]] bool mayHoldLease(NodeId node, Incarnation incarnation, Instant now) const;
    /** Whether this leader answered a heartbeat of this incarnation within the time of a lease. */
    [[nodiscard]] bool hasRecentHeartbeat(NodeId node, Incarnation incarnation, Instant now) const;
    /**
     * Whether this incarnation has sent no heartbeat for this long, although a leader that it could have sent one to was
     * there all the while. It may hold its lease all the same.
     */
    [[nodiscard]] bool isUnresponsive(NodeId node, Incarnation incarnation, Duration silence, Instant now) const;
    /** Time since the last answered heartbeat; Duration::max() if this leader answered none. */
    [[nodiscard]] Duration timeSinceHeartbeat(NodeId node, Incarnation incarnation, Instant now) const;
    /** True while leases of an earlier leader may hold. */
    [[nodiscard]] bool mayEarlierLeasesHold(Instant now) const { return now < earlierLeasesEnd_; }
    /** Forgets leases that have certainly ended. */
    void removeExpired(Instant now);
    [[nodiscard]] const LeaseSettings& settings() const { return settings_; }

private:
    LeaseSettings settings_;
    Instant leaderSince_ {};
    Instant earlierLeasesEnd_ {};
    /** When a heartbeat of each incarnation was last answered. */
    std::map<std::pair<NodeId, Incarnation>, Instant> lastHeartbeatAt_;
};

}
