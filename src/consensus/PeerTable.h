#pragma once

#include "consensus/DiskLosses.h"

#include <deque>
#include <functional>
#include <map>

namespace briarhitch {

/** How a leader currently sends the log to one peer. */
enum class PeerMode : uint8_t {
    /** One append at a time, until the last index at which both logs agree is known. */
    Probe,
    /** Appends are sent ahead of their replies. */
    Replicate,
    /** The peer lacks entries that the log no longer has, and receives the snapshot in chunks. */
    Snapshot,
};

/** A leader's replication state of one peer. */
struct PeerProgress {
    Incarnation incarnation;
    PeerMode mode { PeerMode::Probe };
    uint64_t next { 1 };
    /** Last entry that is known to be on the peer's disk. */
    uint64_t match { 0 };
    /** Last index of each append without a reply. */
    std::deque<uint64_t> inFlight;
    bool awaitingReply { false };
    Instant lastSent {};
    /** When the last reply arrived. */
    Instant lastReplied {};
    /** Send time of the newest message that the peer has replied to. */
    Instant lastRepliedSend {};
    /** When this leader admitted it; replies to earlier messages may come from a process that has ended. */
    Instant admittedAt {};
    /** It is about to end, and is not made a voter before. */
    Instant leavesUntil {};
    SnapshotPtr snapshot;
    uint64_t snapshotOffset { 0 };
};

/** The leader's peers, and the progress that a majority of voters has made. */
class PeerTable {
public:
    PeerTable() = default;
    explicit PeerTable(NodeId self)
        : self_(self)
    {
    }

    void clear() { peers_.clear(); }
    /**
     * Keeps peers whose incarnation is unchanged, adds new ones that start at `next`, and removes those that are no
     * longer members. `admittedAt`: of the new ones; the epoch if they were members before this leader.
     */
    void setMembership(const Membership& membership, uint64_t next, Instant now, Instant admittedAt);
    /** Null if the node is not a member with this incarnation. */
    PeerProgress* find(NodeId node, Incarnation incarnation);
    [[nodiscard]] std::map<NodeId, PeerProgress>& all() { return peers_; }

    /**
     * The greatest index that a quorum of the voters has on disk; `own` is the leader's. A quorum is a majority of the voters
     * without the lost ones, or those of quorumAfterLoss() that have replied to a message sent after a loss became known.
     */
    [[nodiscard]] uint64_t quorumMatch(const Membership& membership, const DiskLosses& losses, uint64_t own) const;
    /** Send time of the newest message that a quorum has replied to. */
    [[nodiscard]] Instant quorumRepliedSend(const Membership& membership, const DiskLosses& losses, Instant own) const;
    /** The latest time since which as many voters as a quorum needs have replied. */
    [[nodiscard]] Instant quorumReplied(const Membership& membership, const DiskLosses& losses, Instant own) const;

private:
    /** The value that at least `count` voters have reached; lost voters and those that `counts` rejects have none. */
    template <class T>
    T reachedBy(size_t count, const Membership& membership, const DiskLosses& losses, T own, T PeerProgress::*field,
        const std::function<bool(const PeerProgress&)>& counts) const;
    template <class T>
    T quorumValue(const Membership& membership, const DiskLosses& losses, T own, T PeerProgress::*field) const;

    NodeId self_;
    std::map<NodeId, PeerProgress> peers_;
};

}
