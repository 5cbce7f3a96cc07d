#include "briarhitch/control/LeaseTable.h"

namespace briarhitch {

void LeaseTable::becomeLeader(Instant now)
{
    answeredAt_.clear();
    leadsSince_ = now;
    waitEnd_ = now + settings_.longestHold();
}

void LeaseTable::grant(NodeId node, Incarnation incarnation, Instant now)
{
    answeredAt_[{ node, incarnation }] = now;
}

bool LeaseTable::mayHold(NodeId node, Incarnation incarnation, Instant now) const
{
    return isWaiting(now) || isLive(node, incarnation, now);
}

bool LeaseTable::isLive(NodeId node, Incarnation incarnation, Instant now) const
{
    auto it = answeredAt_.find({ node, incarnation });
    return it != answeredAt_.end() && now < it->second + settings_.longestHold();
}

bool LeaseTable::isSilent(NodeId node, Incarnation incarnation, Duration silence, Instant now) const
{
    return now >= leadsSince_ + silence && age(node, incarnation, now) >= silence;
}

Duration LeaseTable::age(NodeId node, Incarnation incarnation, Instant now) const
{
    auto it = answeredAt_.find({ node, incarnation });
    return it == answeredAt_.end() ? Duration::max() : now - it->second;
}

void LeaseTable::removeEnded(Instant now)
{
    std::erase_if(answeredAt_, [&](const auto& entry) { return now >= entry.second + settings_.longestHold(); });
}

}
