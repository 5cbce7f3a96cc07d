#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace briarhitch {

enum class MemberRole : uint8_t {
    Voter,
    /** Receives the log, does not vote, is never promoted. */
    Learner,
    /** A learner that the leader makes a voter as soon as it has caught up. */
    Joining,
};

/** One process that takes part in the log. */
struct Member {
    NodeId node;
    /** Incarnation of its disk; zero until the node has reported it. */
    Incarnation incarnation;
    MemberRole role { MemberRole::Voter };

    bool operator==(const Member&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(node, incarnation, role);
    }
};

/** The members of the log from one entry on; ordered by node. */
struct Membership {
    std::vector<Member> members;

    bool operator==(const Membership&) const = default;

    [[nodiscard]] const Member* find(NodeId node) const;
    /** True if the node is a voter with this incarnation of its disk. */
    [[nodiscard]] bool isVoter(NodeId node, Incarnation incarnation) const;
    [[nodiscard]] size_t voterCount() const;
    /** Number of voters that only one of the two memberships has; a new incarnation of a node is another voter. */
    [[nodiscard]] size_t changedVoters(const Membership& other) const;
    [[nodiscard]] size_t majority() const { return voterCount() / 2 + 1; }
    [[nodiscard]] bool isEmpty() const { return members.empty(); }
    /** A copy with this member added, or replacing the entry of the same node. */
    [[nodiscard]] Membership with(Member member) const;
    [[nodiscard]] Membership without(NodeId node) const;

    template <class V>
    void fields(V& visit)
    {
        visit(members);
    }
};

enum class EntryKind : uint8_t {
    Command,
    /** First entry of a term, which commits the entries of earlier terms, or a membershipConfirmation. */
    Noop,
    /** An encoded Membership; in force from the moment it is in the log. */
    Membership,
};

/**
 * Data of a Noop entry by which the leader states that the membership before it is committed, so that a voter knows this
 * after a restart, too. A kind of its own would be damage to earlier versions of this software.
 */
inline constexpr std::string_view membershipConfirmation = "membership is committed";

struct LogEntry {
    uint64_t index { 0 };
    uint64_t term { 0 };
    EntryKind kind { EntryKind::Command };
    std::string data;

    bool operator==(const LogEntry&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(index, term, kind, data);
    }
};

/** Durable state of a voter; stored before any message that depends on it is sent. */
struct HardState {
    uint64_t term { 0 };
    NodeId votedFor;
    Incarnation incarnation;
    /** Members before the first membership entry; empty until the group has been bootstrapped. */
    Membership initial;

    bool operator==(const HardState&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(term, votedFor, incarnation, initial);
    }
};

/** The applied state after one entry. */
struct Snapshot {
    uint64_t index { 0 };
    uint64_t term { 0 };
    Membership membership;
    /** Index of the entry that set the membership; zero for the initial one. */
    uint64_t membershipIndex { 0 };
    std::string data;

    template <class V>
    void fields(V& visit)
    {
        visit(index, term, membership, membershipIndex, data);
    }
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

enum class RaftMessageKind : uint8_t {
    PreVote = 1,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    /** From a node that knows no members: asks for the receiver's incarnation and the membership of the group. */
    Probe,
    ProbeReply,
    /** From a voter that is about to end for good: asks the leader to remove it if the group has a voter in its place. */
    Leave,
    /** Accepted: the sender is removed, or the group has no voter in its place. */
    LeaveReply,
};
inline constexpr uint8_t maxRaftMessageKind = static_cast<uint8_t>(RaftMessageKind::LeaveReply);

/** All consensus messages have the same fields; a field that a kind does not use takes one byte. */
struct RaftMessage {
    RaftMessageKind kind { RaftMessageKind::Probe };
    uint64_t term { 0 };
    /** The sender's incarnation, and the receiver's as the sender knows it (zero: any). */
    Incarnation incarnation;
    Incarnation toIncarnation;
    /** Entry before `entries` (Append), the candidate's last entry (Vote), or the snapshot's entry. */
    uint64_t index { 0 };
    /** Of the entry `index`; in PreVoteReply of the entry `commit`. */
    uint64_t indexTerm { 0 };
    /** Sender's commit index; in AppendReply the last entry that is known to match the leader's log. */
    uint64_t commit { 0 };
    bool accepted { false };
    /** In a rejected AppendReply: index that the leader should try next. */
    uint64_t nextIndexHint { 0 };
    /** The leader's clock at sending, in ns; the reply returns it, so that the leader's lease needs no other clock. */
    int64_t sentAt { 0 };
    std::vector<LogEntry> entries;
    /** SnapshotChunk: offset of the chunk; in its reply the bytes received so far. */
    uint64_t offset { 0 };
    uint64_t totalBytes { 0 };
    std::string chunk;
    /** SnapshotChunk and ProbeReply. */
    Membership membership;
    uint64_t membershipIndex { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(kind, term, incarnation, toIncarnation, index, indexTerm, commit, accepted, nextIndexHint, sentAt, entries, offset,
            totalBytes, chunk, membership, membershipIndex);
    }
};

struct OutgoingMessage {
    NodeId to;
    RaftMessage message;
};

enum class RaftRole : uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

}
