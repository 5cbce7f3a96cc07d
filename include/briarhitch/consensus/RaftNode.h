#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"
#include "briarhitch/core/Clock.h"

#include <memory>
#include <vector>

namespace briarhitch {

class Loop;

struct RaftNodeSettings {
    NodeId self;
    /**
     * All voters at the first start, including this one; the same list on each. Later the log itself has the
     * membership.
     */
    std::vector<NodeId> voters;
    /**
     * Number of voters that the group maintains by admitting nodes that ask; zero: only operators change the members.
     * While there are more, one that asks for it is removed, and one that is unresponsive.
     */
    uint32_t targetVoters { 0 };
    /** False on a VM that replaces another one and may only join an existing group. */
    bool mayBootstrap { true };
    /** Created if it is missing; two processes must not use the same folder. */
    std::string dataFolder;
    /**
     * An election starts when no leader was heard for a random time between these; the lower one also bounds the
     * leader's lease.
     */
    Duration electionTimeoutMin { std::chrono::milliseconds(400) };
    Duration electionTimeoutMax { std::chrono::milliseconds(800) };
    /** At most a third of electionTimeoutMin. */
    Duration heartbeatInterval { std::chrono::milliseconds(100) };
    uint64_t snapshotEveryEntries { 50000 };
    /** Seed of the random election timeouts; zero: a seed from the system. */
    uint64_t seed { 0 };
    ClockHook clock { BootClock::now };
    /** Sends to the process that runs this voter; may drop, delay, reorder and duplicate messages. */
    std::function<void(NodeId to, std::string bytes)> sendMessage;
    /** Called when data cannot be made durable. The default logs the error and ends the process. */
    std::function<void(const Error&)> onFatal;
};

/** For status pages and tests. */
struct RaftStatus {
    uint64_t term { 0 };
    uint64_t commitIndex { 0 };
    uint64_t appliedIndex { 0 };
    uint64_t lastIndex { 0 };
    uint64_t lastTerm { 0 };
    /** Syncs of log segments since the start. */
    uint64_t syncCount { 0 };
    /** Size of the log on disk, without snapshots. */
    uint64_t logBytes { 0 };
    Incarnation incarnation;
    /** Empty until the group has been bootstrapped. */
    std::vector<NodeId> voters;
    std::vector<NodeId> learners;
};

/**
 * One voter of the replicated log; runs on the loop, independent of the transport.
 * On the first start all voters must be reachable once; a sole voter becomes the leader at once. A voter whose folder
 * is empty joins the others as a learner and becomes a voter again when it has caught up.
 */
class RaftNode : public ReplicatedLog {
public:
    /**
     * Damaged, with file and offset in the message; Unavailable if another process uses the folder; InvalidSettings.
     */
    static Result<std::unique_ptr<RaftNode>> open(Loop& loop, RaftNodeSettings settings, ReplicatedLogHooks hooks);
    ~RaftNode() override;
    /**
     * For operators, after a majority of the disks is lost permanently, while no process uses the folder: makes this
     * voter the only one, with all entries that it has. Entries that only the lost voters had are lost. The other
     * voters may only rejoin with empty folders.
     */
    static Result<void> rebuildAsSoleVoter(const std::string& dataFolder, NodeId self);

    /** Receives bytes that another voter passed to sendMessage; bytes that do not decode to a message are ignored. */
    void receive(NodeId from, std::string_view bytes);

    Result<std::string> propose(std::string command, Duration timeout) override;
    [[nodiscard]] bool hasLeaderLease() const override;
    [[nodiscard]] uint64_t term() const override;
    [[nodiscard]] std::optional<NodeId> leader() const override;

    /**
     * Leader only: starts to admit a process with an empty folder; it votes as soon as it has caught up. Returns when
     * the change is proposed. NotLeader; Unavailable while another change is in progress.
     */
    Result<void> addVoter(NodeId node);
    /** Leader only; for a voter that will not return. The last voter cannot be removed (BadRequest). */
    Result<void> removeVoter(NodeId node);
    /**
     * For a process that is about to end: blocks the calling fiber until the group has removed this voter, or does not need
     * to because it has no voter in its place. False if no leader has confirmed it in time; the group then removes the voter
     * once it is unresponsive.
     */
    bool leave(Duration timeout);
    [[nodiscard]] RaftStatus status() const;

private:
    struct Impl;
    explicit RaftNode(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> impl_;
};

}
