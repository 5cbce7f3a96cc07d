#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"
#include "briarhitch/core/Clock.h"

#include <memory>
#include <vector>

namespace briarhitch {

class Loop;

struct RaftNodeSettings {
    NodeId self;
    /** All voters at the first start, this one included; the same list on each. Later the log itself knows them. */
    std::vector<NodeId> voters;
    /** Voters that the group keeps by itself, admitting nodes that ask; zero: members are changed by operators only. */
    uint32_t targetVoters { 0 };
    /** False on a VM that replaces another one: it may only join a group that exists. */
    bool mayBootstrap { true };
    /** Made if it is missing; no two processes may use one folder. */
    std::string dataFolder;
    /** An election starts when no leader was heard for a random time between these; also the length of the leader's lease. */
    Duration electionTimeoutMin { std::chrono::milliseconds(400) };
    Duration electionTimeoutMax { std::chrono::milliseconds(800) };
    /** At most a third of electionTimeoutMin. */
    Duration heartbeatInterval { std::chrono::milliseconds(100) };
    uint64_t snapshotEveryEntries { 50000 };
    /** Seed of the election timeouts; zero takes one from the system. */
    uint64_t seed { 0 };
    ClockHook clock { BootClock::now };
    /** Sends to the process that runs this voter; may drop, delay, reorder and repeat. */
    std::function<void(NodeId to, std::string bytes)> sendMessage;
    /** Called when something cannot be made durable. The default logs it and ends the process. */
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
    Incarnation incarnation;
    /** Empty until the voters have found each other for the first time. */
    std::vector<NodeId> voters;
    std::vector<NodeId> learners;
};

/**
 * One voter of the replicated log, on the loop and independent of the transport.
 * On the first start all voters must be reachable once; a sole voter becomes the leader at once. A voter whose
 * folder is empty joins the others as a learner and becomes a voter again when it has caught up.
 */
class RaftNode : public ReplicatedLog {
public:
    /** Damaged names the file and the offset; Unavailable if another process uses the folder; InvalidSettings. */
    static Result<std::unique_ptr<RaftNode>> open(Loop& loop, RaftNodeSettings settings, ReplicatedLogHooks hooks);
    ~RaftNode() override;
    /**
     * For operators, after a majority of the disks is lost for good, while no process uses the folder: makes this
     * voter the only one, with all that it has. Entries that only the lost voters had are gone. The other voters may
     * only come back with empty folders.
     */
    static Result<void> rebuildAsSoleVoter(const std::string& dataFolder, NodeId self);

    /** Takes what sendMessage was given on another voter; bytes that are no message are ignored. */
    void receive(NodeId from, std::string_view bytes);

    Result<std::string> propose(std::string command, Duration timeout) override;
    [[nodiscard]] bool hasLeaderLease() const override;
    [[nodiscard]] uint64_t term() const override;
    [[nodiscard]] std::optional<NodeId> leader() const override;

    /**
     * Leader only: starts to admit a process with an empty folder; it votes as soon as it has caught up.
     * Returns when the change is proposed. NotLeader, Unavailable while another change is under way.
     */
    Result<void> addVoter(NodeId node);
    /** Leader only; for a voter that will not return. The last voter cannot be removed (BadRequest). */
    Result<void> removeVoter(NodeId node);
    [[nodiscard]] RaftStatus status() const;

private:
    struct Impl;
    explicit RaftNode(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> impl_;
};

}
