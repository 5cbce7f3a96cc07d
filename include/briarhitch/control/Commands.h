#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/model/StreamBinding.h"
#include "briarhitch/wire/Messages.h"

#include <string>
#include <vector>

namespace briarhitch {

/** Kind of a command in the replicated log. Values are part of the stored format and are never reused. */
enum class CommandKind : uint8_t {
    PutCustomer = 1,
    WindDown = 2,
    PutTarget = 3,
    SetTargetState = 4,
    RegisterNode = 5,
    MarkNodeLost = 6,
    AssignPools = 7,
    ClaimRun = 8,
    FinishRun = 9,
    RetireRuns = 10,
    PutRouting = 11,
    ReplaceDiscovered = 12,
    RecordSuspects = 13,
    RetireSoftwareVersions = 14,
    StartRollout = 15,
    AdvanceRollout = 16,
    RecordStreams = 17,
};

/** One entry of the replicated log. */
struct Command {
    CommandKind kind {};
    /** Wall clock of the proposer in milliseconds; only used to retire old responses. */
    int64_t timeMs { 0 };
    /** The encoded command struct of this kind. */
    std::string body;

    template <class V>
    void fields(V& visit)
    {
        visit(kind, timeMs, body);
    }
};

/** Fields common to all changes by operators. */
struct ChangeHeader {
    /** 1 to 64 bytes, chosen by the operator; identifies the change permanently. */
    std::string changeId;
    /** Version of the object that the change is based on; zero to create the object. */
    Version expectedVersion;

    template <class V>
    void fields(V& visit)
    {
        visit(changeId, expectedVersion);
    }
};

inline constexpr size_t maxChangeIdBytes = 64;

/** Creates or replaces a contract; the state machine sets its id, version and state. */
struct PutCustomerCommand {
    ChangeHeader change;
    Contract contract;

    template <class V>
    void fields(V& visit)
    {
        visit(change, contract);
    }
};

/** Advances the closing of a customer by one step; repeating the current step changes nothing. */
struct WindDownCommand {
    ChangeHeader change;
    std::string customer;
    CustomerState step { CustomerState::NoNewWork };

    template <class V>
    void fields(V& visit)
    {
        visit(change, customer, step);
    }
};

/** Creates or replaces a target; the state machine sets its id, version, state and pool. */
struct PutTargetCommand {
    ChangeHeader change;
    Target target;
    /** Scope of the target's pool: its region or its availability zone. */
    std::string poolScope;

    template <class V>
    void fields(V& visit)
    {
        visit(change, target, poolScope);
    }
};

struct SetTargetStateCommand {
    ChangeHeader change;
    std::string target;
    TargetState state { TargetState::Draining };

    template <class V>
    void fields(V& visit)
    {
        visit(change, target, state);
    }
};

/** A node's new incarnation, address, region and zone, or draining flag; also clears "lost". */
struct RegisterNodeCommand {
    NodeRecord node;

    template <class V>
    void fields(V& visit)
    {
        visit(node);
    }
};

/** The lease of this incarnation has expired by every clock of the fleet. */
struct MarkNodeLostCommand {
    NodeId node;
    Incarnation incarnation;

    template <class V>
    void fields(V& visit)
    {
        visit(node, incarnation);
    }
};

/** A new owner for one pool. */
struct PoolMove {
    PoolId pool;
    /** Epoch of the pool that the decision is based on. */
    Epoch expectedEpoch;
    NodeId owner;
    Incarnation ownerIncarnation;
    /** The current owner in a planned handover, as its lease may still be valid; not set otherwise. */
    NodeId previousOwner;
    /** Configuration version of the last change of the current owner's node record, at the time of the decision. */
    Version ownerRecordVersion;

    bool operator==(const PoolMove&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, expectedEpoch, owner, ownerIncarnation, previousOwner, ownerRecordVersion);
    }
};

struct AssignPoolsCommand {
    std::vector<PoolMove> moves;

    template <class V>
    void fields(V& visit)
    {
        visit(moves);
    }
};

struct ClaimRunCommand {
    ClaimRun claim;
    /** Limit on the number of records; part of the command so that every voter decides alike. */
    uint64_t maxRecords { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(claim, maxRecords);
    }
};

struct FinishRunCommand {
    FinishRun finish;
    /** Limit on the bytes of all recorded responses; a response that would exceed it is dropped, and only the run's outcome is recorded. */
    uint64_t maxResponseBytes { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(finish, maxResponseBytes);
    }
};

/** Drops the responses of runs that ended before the given time; the digests of their keys are kept. */
struct RetireRunsCommand {
    int64_t endedBeforeMs { 0 };
    /** Most records that this command retires; bounds the time it takes to apply. */
    uint32_t limit { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(endedBeforeMs, limit);
    }
};

/** A new routing document; accepted without effect if its version is not higher than the current one's. */
struct PutRoutingCommand {
    Routing routing;
    /** The document as the operator sent it, so that it can be read back. */
    std::string source;

    template <class V>
    void fields(V& visit)
    {
        visit(routing, source);
    }
};

/** The complete list of discovered targets, by name; the state machine sets their id, version and pool. */
struct ReplaceDiscoveredCommand {
    std::vector<Target> targets;
    /** Scope of the targets' pools. */
    std::string poolScope;

    template <class V>
    void fields(V& visit)
    {
        visit(targets, poolScope);
    }
};

/** Versions of which no stream of the pool is continued any more; those that a target of the pool still has are kept. */
struct RetireSoftwareVersionsCommand {
    PoolId pool;
    std::vector<std::string> versions;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, versions);
    }
};

/** Blocked suspects whose counts have grown, and cleared ones; what is known already changes nothing. */
struct RecordSuspectsCommand {
    RecordSuspects changes;

    template <class V>
    void fields(V& visit)
    {
        visit(changes);
    }
};

/** An operator's order to move a service to a software version; the leader's wall clock is in Command::timeMs. */
struct StartRolloutCommand {
    std::string service;
    std::string targetVersion;
    uint32_t durationMs { 0 };
    /** Share of the stage Trial; part of the command so that every voter decides alike. */
    uint32_t trialPermille { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(service, targetVersion, durationMs, trialPermille);
    }
};

/** Replaces the state, stage and share of a rollout, if they are still those that the decision was based on. */
struct AdvanceRolloutCommand {
    /** The record that the decision was based on. */
    Rollout expected;
    RolloutState state { RolloutState::Running };
    RolloutStage stage { RolloutStage::Trial };
    uint32_t sharePermille { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(expected, state, stage, sharePermille);
    }
};

/** Streams that have begun, or still run. */
struct RecordStreamsCommand {
    std::vector<StreamGroup> groups;
    /** Since this leader's last command of this kind; zero for its first. */
    uint64_t elapsedMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(groups, elapsedMs);
    }
};

/** Result of every command except claims. */
struct CommandResult {
    bool accepted { false };
    /** Reason if it was not accepted. */
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    /** Version of the changed object, or of the current object if the expected version did not match. */
    Version objectVersion;
    /** Configuration version that contains the change. */
    Version configVersion;

    bool operator==(const CommandResult&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(accepted, kind, message, objectVersion, configVersion);
    }
};

/** Result of a claim. */
struct ClaimResult {
    /** Whether `reply` holds the decision; otherwise `kind` is the reason why nothing was recorded. */
    bool decided { false };
    ErrorKind kind { ErrorKind::Internal };
    ClaimRunReply reply;

    template <class V>
    void fields(V& visit)
    {
        visit(decided, kind, reply);
    }
};

/** Encode a command for the replicated log. */
std::string encodeCommand(const PutCustomerCommand& command);
std::string encodeCommand(const WindDownCommand& command);
std::string encodeCommand(const PutTargetCommand& command);
std::string encodeCommand(const SetTargetStateCommand& command);
std::string encodeCommand(const RegisterNodeCommand& command, int64_t timeMs);
std::string encodeCommand(const MarkNodeLostCommand& command, int64_t timeMs);
std::string encodeCommand(const AssignPoolsCommand& command);
std::string encodeCommand(const ClaimRunCommand& command, int64_t timeMs);
std::string encodeCommand(const FinishRunCommand& command, int64_t timeMs);
std::string encodeCommand(const RetireRunsCommand& command);
std::string encodeCommand(const PutRoutingCommand& command);
std::string encodeCommand(const ReplaceDiscoveredCommand& command);
std::string encodeCommand(const RecordSuspectsCommand& command, int64_t timeMs);
std::string encodeCommand(const RetireSoftwareVersionsCommand& command);
std::string encodeCommand(const StartRolloutCommand& command, int64_t timeMs);
std::string encodeCommand(const AdvanceRolloutCommand& command);
std::string encodeCommand(const RecordStreamsCommand& command);
Result<CommandResult> decodeCommandResult(const std::string& bytes);
Result<ClaimResult> decodeClaimResult(const std::string& bytes);

}
