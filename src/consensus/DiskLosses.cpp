#include "consensus/DiskLosses.h"

#include <algorithm>

namespace briarhitch {

void DiskLosses::record(NodeId node, Incarnation incarnation, Instant now)
{
    auto& latest = latest_[node];
    if (incarnation > latest.incarnation)
        latest = { incarnation, now };
}

bool DiskLosses::isOutdated(NodeId node, Incarnation incarnation) const
{
    auto it = latest_.find(node);
    return it != latest_.end() && it->second.incarnation > incarnation;
}

std::optional<Instant> DiskLosses::knownSince(const Membership& membership) const
{
    std::optional<Instant> first;
    for (const auto& member : membership.members) {
        if (member.role != MemberRole::Voter || !isLost(member))
            continue;
        auto since = latest_.at(member.node).since;
        first = std::min(first.value_or(since), since);
    }
    return first;
}

}
