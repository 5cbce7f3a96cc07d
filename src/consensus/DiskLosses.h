#pragma once

#include "consensus/RaftTypes.h"

#include <map>
#include <optional>

namespace briarhitch {

/**
 * Voters that are known to have lost their disks, and what a quorum of a group is without them.
 * A node that starts with an empty disk has a later incarnation. Its voter of the earlier one never votes or stores an
 * entry again. A node that restarts, is suspended or cannot be reached keeps its incarnation.
 */
class DiskLosses {
public:
    /** A message of the node was received under this incarnation. */
    void record(NodeId node, Incarnation incarnation, Instant now);
    /** A later incarnation of the node is known. */
    [[nodiscard]] bool isOutdated(NodeId node, Incarnation incarnation) const;
    [[nodiscard]] bool isLost(const Member& member) const { return member.incarnation.isValid() && isOutdated(member.node, member.incarnation); }
    /** Since when a loss among these voters is known; none without a loss. */
    [[nodiscard]] std::optional<Instant> knownSince(const Membership& membership) const;
    /**
     * Number of voters that may elect a leader or commit an entry once a loss among them is known: the majority of a group
     * of an odd size, and half of one of an even size, which is the majority without the lost voter.
     */
    [[nodiscard]] static size_t quorumAfterLoss(const Membership& membership) { return (membership.voterCount() + 1) / 2; }

private:
    struct Latest {
        Incarnation incarnation;
        Instant since;
    };

    /** The latest incarnation of each node that has sent a message. */
    std::map<NodeId, Latest> latest_;
};

}
