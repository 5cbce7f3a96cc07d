#pragma once

#include "consensus/RaftTypes.h"

#include <deque>
#include <functional>
#include <map>

namespace briarhitch {

/** How a leader currently sends the log to one peer. */
enum class PeerMode : uint8_t {
    /** One append at a time, until the place where both logs agree is known. */
    Probe,
    /** Appends are sent ahead of their replies. */
    Replicate,
    /** The peer is behind the kept log and gets the snapshot in chunks. */
    Snapshot,
};

/** What a leader knows of one peer. */
struct PeerProgress {
    Incarnation incarnation;
    PeerMode mode { PeerMode::Probe };
    uint64_t next { 1 };
    /** Last entry that the peer is known to have on its disk. */
    uint64_t match { 0 };
    /** Last index of each append that has not been answered. */
    std::deque<uint64_t> inFlight;
    bool waiting { false };
    Instant lastSent {};
    /** When the last reply arrived. */
    Instant lastHeard {};
    /** When the newest message that was answered had been sent. */
    Instant lastAnsweredSend {};
    SnapshotPtr snapshot;
    uint64_t snapshotOffset { 0 };
};

/** The leader's peers, and what a majority of voters has reached. */
class PeerTable {
public:
    PeerTable() = default;
    explicit PeerTable(NodeId self)
        : self_(self)
    {
    }

    void clear() { peers_.clear(); }
    /** Keeps peers whose incarnation stays, starts the others at `next`, and drops those who left. */
    void setMembership(const Membership& membership, uint64_t next, Instant now);
    /** None if the node is not a member in this life. */
    PeerProgress* find(NodeId node, Incarnation incarnation);
    [[nodiscard]] std::map<NodeId, PeerProgress>& all() { return peers_; }

    /** The greatest index that a majority of voters has; the leader's own is given. */
    [[nodiscard]] uint64_t majorityMatch(const Membership& membership, uint64_t own) const;
    /** The latest time since which a majority has answered. */
    [[nodiscard]] Instant majorityHeard(const Membership& membership, Instant own) const;
    [[nodiscard]] Instant majorityAnsweredSend(const Membership& membership, Instant own) const;

private:
    template <class T>
    T majorityOf(const Membership& membership, T own, T PeerProgress::*field) const;

    NodeId self_;
    std::map<NodeId, PeerProgress> peers_;
};

}
