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
T PeerTable::reachedBy(size_t count, const Membership& membership, const DiskLosses& losses, T own, T PeerProgress::*field,
    const std::function<bool(const PeerProgress&)>& counts) const
{
    std::vector<T> values;
    for (const auto& member : membership.members) {
        if (member.role != MemberRole::Voter || losses.isLost(member))
            continue;
        auto it = peers_.find(member.node);
        if (member.node == self_)
            values.push_back(own);
        else if (it != peers_.end() && it->second.incarnation == member.incarnation && counts(it->second))
            values.push_back(it->second.*field);
    }
    if (count == 0 || values.size() < count)
        return T {};
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[count - 1];
}

template <class T>
T PeerTable::quorumValue(const Membership& membership, const DiskLosses& losses, T own, T PeerProgress::*field) const
{
    auto any = [](const PeerProgress&) { return true; };
    T value = reachedBy(membership.majority(), membership, losses, own, field, any);
    auto since = losses.knownSince(membership);
    if (!since)
        return value;
    // A voter that has replied since then had its disk when the lost one could not vote any more. Without this, the other half
    // could have elected a leader with the vote of the lost voter, after one of this half had lost its disk.
    auto hasRepliedSince = [&](const PeerProgress& peer) { return peer.lastRepliedSend >= *since; };
    return std::max(value, reachedBy(DiskLosses::quorumAfterLoss(membership), membership, losses, own, field, hasRepliedSince));
}

uint64_t PeerTable::quorumMatch(const Membership& membership, const DiskLosses& losses, uint64_t own) const
{
    return quorumValue(membership, losses, own, &PeerProgress::match);
}

Instant PeerTable::quorumRepliedSend(const Membership& membership, const DiskLosses& losses, Instant own) const
{
    return quorumValue(membership, losses, own, &PeerProgress::lastRepliedSend);
}

Instant PeerTable::quorumReplied(const Membership& membership, const DiskLosses& losses, Instant own) const
{
    size_t count = losses.knownSince(membership) ? DiskLosses::quorumAfterLoss(membership) : membership.majority();
    return reachedBy(count, membership, losses, own, &PeerProgress::lastReplied, [](const PeerProgress&) { return true; });
}

}
