#include "consensus/PeerTable.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

void PeerTable::setMembership(const Membership& membership, uint64_t next, Instant now, Instant admittedAt)
{
    std::erase_if(peers_, [&](const auto& peer) {
        const auto* member = membership.find(peer.first);
        return !member || member->incarnation != peer.second.incarnation;
    });
    for (const auto& member : membership.members) {
        // A member whose incarnation is not known yet reports it with a probe first.
        if (member.node == self_ || !member.incarnation.isValid() || peers_.contains(member.node))
            continue;
        PeerProgress peer;
        peer.incarnation = member.incarnation;
        peer.next = next;
        peer.lastReplied = now;
        peer.admittedAt = admittedAt;
        peers_.emplace(member.node, std::move(peer));
    }
}

PeerProgress* PeerTable::find(NodeId node, Incarnation incarnation)
{
    auto it = peers_.find(node);
    return it == peers_.end() || it->second.incarnation != incarnation ? nullptr : &it->second;
}

template <class T>
T PeerTable::majorityOf(const Membership& membership, T own, T PeerProgress::*field) const
{
    std::vector<T> values;
    for (const auto& member : membership.members) {
        if (member.role != MemberRole::Voter)
            continue;
        auto it = peers_.find(member.node);
        if (member.node == self_)
            values.push_back(own);
        else
            values.push_back(it == peers_.end() ? T {} : it->second.*field);
    }
    if (values.empty())
        return T {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

uint64_t PeerTable::majorityMatch(const Membership& membership, uint64_t own) const
{
    return majorityOf(membership, own, &PeerProgress::match);
}

Instant PeerTable::majorityReplied(const Membership& membership, Instant own) const
{
    return majorityOf(membership, own, &PeerProgress::lastReplied);
}

Instant PeerTable::majorityRepliedSend(const Membership& membership, Instant own) const
{
    return majorityOf(membership, own, &PeerProgress::lastRepliedSend);
}

}
