#include "briarhitch/control/LeaseTable.h"

namespace briarhitch {

void LeaseTable::becomeLeader(Instant now)
{
    lastHeartbeatAt_.clear();
    leaderSince_ = now;
    earlierLeasesEnd_ = now + settings_.maxHoldTime();
}

void LeaseTable::grant(NodeId node, Incarnation incarnation, Instant now)
{
    lastHeartbeatAt_[{ node, incarnation }] = now;
}

bool LeaseTable::mayHoldLease(NodeId node, Incarnation incarnation, Instant now) const
{
    return mayEarlierLeasesBeValid(now) || hasRecentHeartbeat(node, incarnation, now);
}

bool LeaseTable::hasRecentHeartbeat(NodeId node, Incarnation incarnation, Instant now) const
{
    auto it = lastHeartbeatAt_.find({ node, incarnation });
    return it != lastHeartbeatAt_.end() && now < it->second + settings_.maxHoldTime();
}

bool LeaseTable::isUnresponsive(NodeId node, Incarnation incarnation, Duration timeout, Instant now) const
{
    return now >= leaderSince_ + timeout && timeSinceHeartbeat(node, incarnation, now) >= timeout;
}

Duration LeaseTable::timeSinceHeartbeat(NodeId node, Incarnation incarnation, Instant now) const
{
    auto it = lastHeartbeatAt_.find({ node, incarnation });
    return it == lastHeartbeatAt_.end() ? Duration::max() : now - it->second;
}

void LeaseTable::removeExpired(Instant now)
{
    std::erase_if(lastHeartbeatAt_, [&](const auto& entry) { return now >= entry.second + settings_.maxHoldTime(); });
}

}
