#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <map>

namespace briarhitch {

struct LeaseSettings {
    /** Duration by the node's clock, from the time it sent the heartbeat. */
    Duration lease { std::chrono::seconds(3) };
    /** Largest difference in rate between two clocks of the fleet, as a fraction. */
    double maxClockDrift { 0.05 };

    /** Time by this process's clock, from the reply to a heartbeat, after which the lease has expired by every clock of the fleet. */
    [[nodiscard]] Duration maxHoldTime() const { return fromSeconds(toSeconds(lease) * (1 + maxClockDrift)); }
};

/** The leases that the leader has granted. Does no I/O and reads no clock; `now` must not decrease. */
class LeaseTable {
public:
    explicit LeaseTable(LeaseSettings settings)
        : settings_(settings)
    {
    }

    /** Clears the table. For maxHoldTime() from now, leases granted by an earlier leader may still be valid. */
    void becomeLeader(Instant now);
    /** Must be called when the reply to the heartbeat is sent. */
    void grant(NodeId node, Incarnation incarnation, Instant now);
    /** False only if this incarnation's lease has expired by every clock of the fleet. */
    [[nodiscard]] bool mayHoldLease(NodeId node, Incarnation incarnation, Instant now) const;
    /** Whether this leader replied to a heartbeat of this incarnation within maxHoldTime(). */
    [[nodiscard]] bool hasRecentHeartbeat(NodeId node, Incarnation incarnation, Instant now) const;
    /**
     * Whether this leader has led for at least `timeout` and received no heartbeat of this incarnation for as long.
     * The node may nevertheless hold its lease.
     */
    [[nodiscard]] bool isUnresponsive(NodeId node, Incarnation incarnation, Duration timeout, Instant now) const;
    /** Time since this leader last replied to a heartbeat; Duration::max() if it never did. */
    [[nodiscard]] Duration timeSinceHeartbeat(NodeId node, Incarnation incarnation, Instant now) const;
    /** Whether leases granted by an earlier leader may still be valid. */
    [[nodiscard]] bool mayEarlierLeasesBeValid(Instant now) const { return now < earlierLeasesEnd_; }
    /** Removes leases that have expired by every clock of the fleet. */
    void removeExpired(Instant now);
    [[nodiscard]] const LeaseSettings& settings() const { return settings_; }

private:
    LeaseSettings settings_;
    Instant leaderSince_ {};
    Instant earlierLeasesEnd_ {};
    /** Time of the last reply to a heartbeat of each incarnation. */
    std::map<std::pair<NodeId, Incarnation>, Instant> lastHeartbeatAt_;
};

}
