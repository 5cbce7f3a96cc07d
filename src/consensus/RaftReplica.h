#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"
#include "consensus/LogCompaction.h"
#include "consensus/LogStore.h"
#include "consensus/RaftCore.h"

namespace briarhitch {

struct RaftReplicaHooks {
    ReplicatedLogHooks state;
    std::function<void(NodeId to, const RaftMessage&)> send;
    /** An entry was applied; its term identifies the leader that proposed it. */
    std::function<void(const LogEntry&, std::string result)> onApplied;
    /** A snapshot replaced all entries up to this one. */
    std::function<void(uint64_t index)> onInstalled;
    /** A snapshot of the applied state was stored, and the log was shortened. */
    std::function<void(const Snapshot&)> onSnapshotTaken {};
};

struct RaftReplicaSettings {
    RaftCoreSettings core;
    LogStoreSettings store;
    LogCompactionSettings compaction;
    /** Incarnation for an empty disk; must be greater than those of the node's earlier disks. */
    Incarnation newIncarnation;
};

/** One member of the replicated log without clock and transport: protocol logic, durable log and state machine. */
class RaftReplica {
public:
    /** Damaged if the stored log cannot be used. */
    static Result<std::unique_ptr<RaftReplica>> open(FileSystem& files, RaftReplicaSettings settings, RaftReplicaHooks hooks, Instant now);

    /** After these calls process() must be called before time advances; several may share one process(). */
    void tick(Instant now) { core_.tick(now); }
    void receive(Instant now, NodeId from, RaftMessage message) { core_.receive(now, from, std::move(message)); }
    std::optional<uint64_t> propose(Instant now, std::string command) { return core_.propose(now, std::move(command)); }
    Result<uint64_t> proposeMembership(Instant now, const Membership& membership) { return core_.proposeMembership(now, membership); }
    void leave() { core_.leave(); }

    /** Stores, sends and applies the results of the calls above. False after the store has failed. */
    bool process(Instant now);

    [[nodiscard]] const RaftCore& core() const { return core_; }
    [[nodiscard]] const LogStore& store() const { return *store_; }
    [[nodiscard]] uint64_t appliedIndex() const { return applied_; }

private:
    RaftReplica(std::unique_ptr<LogStore> store, RaftReplicaSettings settings, RaftReplicaHooks hooks, RaftCore core);
    Result<void> persist(const RaftReady& ready);
    void install(const SnapshotPtr& snapshot);
    void send(const std::vector<OutgoingMessage>& messages);
    bool applyCommitted();
    Result<void> takeSnapshotIfDue();
    void reportRole();

    std::unique_ptr<LogStore> store_;
    RaftReplicaSettings settings_;
    RaftReplicaHooks hooks_;
    RaftCore core_;
    LogCompaction compaction_;
    uint64_t applied_ { 0 };
    bool reportedLeader_ { false };
    uint64_t reportedTerm_ { 0 };
    bool failed_ { false };
};

}
