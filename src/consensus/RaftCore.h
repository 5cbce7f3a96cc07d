#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Random.h"
#include "consensus/PeerTable.h"
#include "consensus/RaftLog.h"

#include <map>
#include <optional>
#include <set>

namespace briarhitch {

/** Faults that only tests inject, to show that their checks can fail. */
struct RaftFaults {
    /** Grants votes although a leader was heard within the election timeout. */
    bool voteDespiteLeader { false };
    /** Commits entries of earlier terms by counting replicas. */
    bool commitEarlierTerms { false };
    /** Acknowledges and counts entries before they are synced. */
    bool acknowledgeUnsynced { false };
    /** Grants votes right after a restart, when an earlier leader may still hold a lease. */
    bool voteRightAfterRestart { false };
    /** Does not store the vote. */
    bool forgetVote { false };
    /** Counts replies of any incarnation of a node. */
    bool ignoreIncarnations { false };
    /** Ends as planned without leaving the group. */
    bool endWithoutLeaving { false };
    /** Counts voters that have lost their disks. */
    bool ignoreDiskLosses { false };
    /** Elects leaders by half of an even group although no voter has lost its disk. */
    bool electByHalf { false };
    /** Commits a change of the members without a quorum of the members before it. */
    bool commitWithoutPreviousMembers { false };
};

struct RaftCoreSettings {
    NodeId self;
    /** Used only until the group has been bootstrapped. */
    std::vector<NodeId> voters;
    Duration electionTimeoutMin { std::chrono::milliseconds(400) };
    Duration electionTimeoutMax { std::chrono::milliseconds(800) };
    Duration heartbeatInterval { std::chrono::milliseconds(100) };
    size_t maxBatchBytes { 256 * 1024 };
    size_t maxBatchEntries { 1024 };
    /** Limit of appends to one peer without a reply. */
    size_t maxInFlight { 8 };
    size_t snapshotChunkBytes { 256 * 1024 };
    uint64_t maxSnapshotBytes { 1024ULL * 1024 * 1024 };
    uint64_t seed { 1 };
    /**
     * Number of voters that the group maintains by admitting nodes that ask; zero: only operators change the members.
     * While there are more, one that asks for it is removed, and one that is unresponsive.
     */
    uint32_t targetVoters { 0 };
    /** False on a node that replaces another one and may only join an existing group. */
    bool mayBootstrap { true };
    /** A voter without a reply for this long is unresponsive; twice this while several voters are silent. */
    Duration unresponsiveTimeout { std::chrono::seconds(2) };
    RaftFaults faults;
};

/** Actions that a step requires, in the order of the fields. */
struct RaftReady {
    /** May be sent before anything is stored. */
    std::vector<OutgoingMessage> messagesBeforeStore;
    bool hardStateChanged { false };
    /** Snapshot to store and to load into the state machine. */
    SnapshotPtr install;
    /** With install: drop all stored entries. */
    bool dropLog { false };
    std::optional<uint64_t> truncateFrom;
    /** Store the entries from this index to the end of the log; zero: none. */
    uint64_t appendFrom { 0 };
    /** To be sent after all of the above is synced. */
    std::vector<OutgoingMessage> messagesAfterStore;

    [[nodiscard]] bool needsStore() const { return hardStateChanged || install || truncateFrom || appendFrom; }
};

/** Protocol logic of Raft: takes events, returns a RaftReady. Uses no clock, sockets or files. */
class RaftCore {
public:
    RaftCore(RaftCoreSettings settings, HardState hardState, RaftLog log, Instant now);

    void tick(Instant now);
    void receive(Instant now, NodeId from, RaftMessage message);
    /** The index of the new entry; none if this is not the leader. */
    std::optional<uint64_t> propose(Instant now, std::string command);
    /** NotLeader, or Unavailable while another change is not committed, or BadRequest if it changes more than one voter. */
    Result<uint64_t> proposeMembership(Instant now, const Membership& membership);

    /**
     * From now on tick() asks the leader to remove this node if the group has more than targetVoters voters, and the node
     * starts an election only after the others.
     */
    void leave() { isLeaving_ = !settings_.faults.endWithoutLeaving; }
    /** After leave(): the removal is committed, or the group has no voter to spare. */
    [[nodiscard]] bool hasLeft() const;

    RaftReady takeReady();
    /** To be called when everything of the last RaftReady is synced. */
    void persisted(Instant now);
    /** To be called when the state machine has applied all entries up to this one. */
    void setApplied(uint64_t index) { applied_ = index; }
    /** Takes over a snapshot of an applied entry; drops entries up to keepAfter. */
    void compact(SnapshotPtr snapshot, uint64_t keepAfter) { log_.compact(std::move(snapshot), keepAfter); }

    /** True while no other node can be leader and everything committed before is applied. */
    [[nodiscard]] bool hasLeaderLease(Instant now) const;
    [[nodiscard]] bool isReadyLeader() const { return role_ == RaftRole::Leader && applied_ >= termStart_; }
    [[nodiscard]] RaftRole role() const { return role_; }
    [[nodiscard]] uint64_t term() const { return hardState_.term; }
    [[nodiscard]] std::optional<NodeId> leader() const { return leader_; }
    [[nodiscard]] uint64_t commitIndex() const { return commit_; }
    [[nodiscard]] const RaftLog& log() const { return log_; }
    [[nodiscard]] const HardState& hardState() const { return hardState_; }
    [[nodiscard]] const RaftCoreSettings& settings() const { return settings_; }

private:
    bool isFormed() const { return !log_.membership().isEmpty(); }
    bool isMembershipCommitted() const { return log_.membershipIndex() <= commit_ || log_.isMembershipConfirmed(); }
    bool areVotersCommitted() const;
    bool isSelfVoter() const { return log_.membership().isVoter(settings_.self, hardState_.incarnation); }
    bool isOutdatedIncarnation(NodeId from, Incarnation incarnation) const;
    bool heardLeaderRecently(Instant now) const;
    bool isUpToDate(const RaftMessage& message) const;
    Duration randomTimeout();
    /** Members before an uncommitted change; null if the last change is committed. */
    const Membership* previousMembers() const;

    struct VoteQuorum {
        Membership membership;
        size_t votesNeeded { 0 };
    };
    VoteQuorum voteQuorum(const Membership& membership, bool isCommitted) const;
    void beginVoting();
    bool countsVoteOf(NodeId node, Incarnation incarnation) const;
    bool hasVotesOfQuorums() const;

    RaftMessage message(RaftMessageKind kind) const;
    void send(NodeId to, Incarnation toIncarnation, RaftMessage message);
    void sendToVoters(const RaftMessage& message);

    void becomeFollower(Instant now, uint64_t term, std::optional<NodeId> leader);
    void startPreVote(Instant now);
    void startElection(Instant now);
    void becomeLeader(Instant now);
    void onPreVote(Instant now, NodeId from, const RaftMessage& message);
    void onVote(Instant now, NodeId from, const RaftMessage& message);
    void tellCommit(RaftMessage& reply) const;
    void learnCommit(const RaftMessage& reply);
    void onVoteReply(Instant now, NodeId from, const RaftMessage& message);

    void onMessageForAnotherIncarnation(NodeId from);
    void tickUnformed(Instant now);
    void onProbe(Instant now, NodeId from, const RaftMessage& message);
    void onProbeReply(NodeId from, const RaftMessage& message);
    void recordUnformedPeer(NodeId from, const RaftMessage& message);
    Membership settingsMembership() const;
    void proposeJoin(Instant now, NodeId from, Incarnation incarnation);

    void tickLeader(Instant now);
    void promoteJoining(Instant now);
    void removeUnresponsiveVoter(Instant now);
    /** More voters than the group maintains, so that one of them may go. */
    bool hasSpareVoter() const;
    void requestRemoval(Instant now);
    void onLeave(Instant now, NodeId from, const RaftMessage& message);
    bool mayChangeMembership() const;
    void appendAsLeader(Instant now, EntryKind kind, std::string data);
    void advanceCommit(Instant now);
    /** The greatest index that may be committed. */
    uint64_t storedByQuorums(uint64_t own) const;
    /** Send time of the newest message whose replies show that no other node can be leader. */
    Instant repliedSendOfQuorums(Instant own) const;
    /** Peers are the members, and while a change is not committed also those before it. */
    void updatePeers(uint64_t next, Instant now, Instant admittedAt);
    /** Follows up on a change of the members that is committed now. */
    void finishMembershipChange(Instant now);
    void confirmMembership(Instant now);
    void sendLog(Instant now, NodeId to, PeerProgress& peer);
    void sendHeartbeat(Instant now, NodeId to, PeerProgress& peer);
    void sendEntries(Instant now, NodeId to, PeerProgress& peer, bool empty);
    void sendChunk(Instant now, NodeId to, PeerProgress& peer);
    PeerProgress* recordReply(Instant now, NodeId from, const RaftMessage& message);
    void onAppendReply(Instant now, NodeId from, const RaftMessage& message);
    void onSnapshotReply(Instant now, NodeId from, const RaftMessage& message);

    void onAppend(Instant now, NodeId from, RaftMessage& message);
    void onSnapshotChunk(Instant now, NodeId from, RaftMessage& message);
    bool acceptLeader(Instant now, NodeId from, const RaftMessage& message, RaftMessageKind replyKind);
    void mergeEntries(RaftMessage& message);
    void finishSnapshot();

    RaftCoreSettings settings_;
    HardState hardState_;
    RaftLog log_;
    Random random_;
    RaftRole role_ { RaftRole::Follower };
    std::optional<NodeId> leader_;
    uint64_t commit_ { 0 };
    uint64_t applied_ { 0 };
    /** The leader's first entry of its term. */
    uint64_t termStart_ { 0 };
    /** Last entry that was returned for storing, and last that is synced. */
    uint64_t stored_ { 0 };
    uint64_t synced_ { 0 };
    Instant electionDeadline_;
    Instant lastLeaderContact_;
    Instant nextProbe_ {};
    bool isLeaving_ { false };
    /** The leader has confirmed that this node need not wait any longer. */
    bool isLeaveConfirmed_ { false };
    Instant nextLeaveRequest_ {};
    std::set<NodeId> votes_;
    /** Of the current election, as known at its beginning. */
    std::vector<VoteQuorum> voteQuorums_;
    DiskLosses losses_;
    std::map<NodeId, Incarnation> unformedPeers_;
    /** Members of the group that this node asks for admission, in addition to the voters in the settings. */
    std::set<NodeId> knownMembers_;
    PeerTable peers_;
    /** The snapshot that is being received, with the bytes received so far. */
    std::shared_ptr<Snapshot> incomingSnapshot_;
    RaftReady ready_;
};

}
