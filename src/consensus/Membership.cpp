#include "consensus/RaftTypes.h"

#include <algorithm>

namespace briarhitch {

const Member* Membership::find(NodeId node) const
{
    auto it = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.node == node; });
    return it == members.end() ? nullptr : &*it;
}

bool Membership::isVoter(NodeId node, Incarnation incarnation) const
{
    const auto* member = find(node);
    return member && member->role == MemberRole::Voter && member->incarnation == incarnation;
}

size_t Membership::voterCount() const
{
    return static_cast<size_t>(std::count_if(members.begin(), members.end(),
        [](const Member& member) { return member.role == MemberRole::Voter; }));
}

size_t Membership::changedVoters(const Membership& other) const
{
    auto missing = [](const Membership& from, const Membership& in) {
        return std::count_if(from.members.begin(), from.members.end(), [&](const Member& member) {
            return member.role == MemberRole::Voter && !in.isVoter(member.node, member.incarnation);
        });
    };
    return static_cast<size_t>(missing(*this, other) + missing(other, *this));
}

Membership Membership::with(Member member) const
{
    Membership result = without(member.node);
    auto position = std::find_if(result.members.begin(), result.members.end(),
        [&](const Member& other) { return member.node < other.node; });
    result.members.insert(position, member);
    return result;
}

Membership Membership::without(NodeId node) const
{
    Membership result = *this;
    std::erase_if(result.members, [&](const Member& member) { return member.node == node; });
    return result;
}

}
