#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/model/RunRecord.h"
#include "briarhitch/wire/EncodedConfig.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Type of a message between own processes; values are part of the protocol and are never reused. */
enum class MessageType : uint8_t {
    Heartbeat = 1,
    ClaimRun = 2,
    FinishRun = 3,
    Raft = 4,
    GrantRequest = 10,
    Grant = 11,
    GrantRefusal = 12,
    GrantCancellation = 13,
    AttemptStarted = 14,
    AttemptFinished = 15,
    PoolSync = 16,
    PoolRelease = 17,
    CeilingRequest = 18,
    LoadReport = 19,
    CeilingDebit = 20,
    CeilingRefund = 21,
    GrantQueued = 22,
    TargetAvailabilityNotice = 23,
    /** Control leader to all nodes, without a body: there is news that they wait for, so a heartbeat should come now. */
    HeartbeatSolicitation = 24,
};

/** Node to control leader, once a second. Answer: HeartbeatReply. */
struct Heartbeat {
    NodeRecord node;
    Version appliedVersion;
    /** Requests in flight, by customer in wind-down; the leader counts them for "drained". */
    std::vector<CustomerId> busyClosingCustomers;

    template <class V>
    void fields(V& visit)
    {
        visit(node, appliedVersion, busyClosingCustomers);
    }
};

struct HeartbeatReply {
    /** From the moment the node sent the heartbeat. Zero: the answering process is not the leader. */
    Duration leaseDuration { 0 };
    uint64_t term { 0 };
    /** Address of the leader, if it is another process and known. */
    std::string leaderHost;
    uint16_t leaderPort { 0 };
    /** For a node that deltas alone do not bring up to date. */
    std::optional<EncodedConfig> snapshot;
    /** What changed after the snapshot, or after the node's version; none if the node is up to date. */
    std::vector<ConfigDelta> deltas;
    /** Link addresses of the control processes, as the leader knows them. */
    std::vector<HostPort> controlProcesses;

    template <class V>
    void fields(V& visit)
    {
        visit(leaseDuration, term, leaderHost, leaderPort, snapshot, deltas, controlProcesses);
    }
};

/** Node to control leader, before the first byte of a non-idempotent request is sent. */
struct ClaimRun {
    RunKey key;
    uint64_t digest { 0 };
    AttemptId attempt;
    NodeId node;
    Incarnation nodeIncarnation;

    template <class V>
    void fields(V& visit)
    {
        visit(key, digest, attempt, node, nodeIncarnation);
    }
};

enum class ClaimOutcome : uint8_t {
    Granted,
    Finished,
    InProgress,
    Unknown,
    Conflict,
    StoreFull,
    NotLeader,
    NoQuorum,
};

struct ClaimRunReply {
    ClaimOutcome outcome { ClaimOutcome::NoQuorum };
    /** With Finished, if the body was kept. */
    std::optional<RecordedResponse> response;

    template <class V>
    void fields(V& visit)
    {
        visit(outcome, response);
    }
};

/** Node to control leader when the outcome of a claimed run is known. Answer: FinishRunReply. */
struct FinishRun {
    RunKey key;
    AttemptId attempt;
    RunState state { RunState::Unknown };
    std::optional<RecordedResponse> response;

    template <class V>
    void fields(V& visit)
    {
        visit(key, attempt, state, response);
    }
};

struct FinishRunReply {
    bool committed { false };

    template <class V>
    void fields(V& visit)
    {
        visit(committed);
    }
};

/** Entry to pool owner: asks for a target. Answered by a posted Grant or Refuse. */
struct GrantRequest {
    PoolId pool;
    AttemptId attempt;
    CustomerId customer;
    Tier tier;
    WorkKindId kind;
    Tokens promptTokens;
    /** Upper limit that the caller set. */
    Tokens maxOutputTokens;
    /** Stable hashes of the prompt's prefix, one for each block, from the start. */
    std::vector<uint32_t> prefix;
    /** Time left until the first token, or the whole answer of a service, must be there; in milliseconds. */
    uint32_t deadlineMs { 0 };
    /** Targets that had the request. */
    std::vector<TargetId> excluded;
    /** Stable hash of customer and idempotency key; zero if there is none. */
    uint64_t idempotencyKeyHash { 0 };
    /** The caller's estimate of the output; zero if there is none. */
    Tokens expectedOutputTokens;
    /** Time left until the first token, or the whole answer of a service, has its full value; zero if there is none. */
    uint32_t objectiveMs { 0 };
    /** Time left until the whole answer must be there; zero: no longer than the deadline. */
    uint32_t responseMs { 0 };
    /** Longest pause between events that is still on time; zero if there is none. */
    uint32_t eventGapObjectiveMs { 0 };
    /** Urgency of its kind among requests of one tier. */
    Tier urgency;
    /** The request runs there and is to move to a faster target; none for a request that has not begun. */
    TargetId migratesFrom;
    /** Availability zone of the entry. */
    std::string zone;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, customer, tier, kind, promptTokens, maxOutputTokens, prefix, deadlineMs, excluded, idempotencyKeyHash, expectedOutputTokens,
            objectiveMs, responseMs, eventGapObjectiveMs, urgency, migratesFrom, zone);
    }
};

struct Grant {
    PoolId pool;
    AttemptId attempt;
    Epoch epoch;
    TargetId target;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, epoch, target);
    }
};

struct GrantRefusal {
    PoolId pool;
    AttemptId attempt;
    ErrorKind kind { ErrorKind::Shed };
    uint32_t retryAfterMs { 0 };
    /** Why, for the request's history; short. */
    std::string reason;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, kind, retryAfterMs, reason);
    }
};

/** Owner to entry: the ask waits in its queue. */
struct GrantQueued {
    PoolId pool;
    AttemptId attempt;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt);
    }
};

/** Entry to owner: the ask or the grant is no longer wanted and nothing was sent. */
struct GrantCancellation {
    PoolId pool;
    AttemptId attempt;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt);
    }
};

/** Entry to owner: the target's first token arrived. */
struct AttemptStarted {
    PoolId pool;
    AttemptId attempt;
    uint32_t firstTokenMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, firstTokenMs);
    }
};

enum class AttemptOutcome : uint8_t {
    Completed,
    /** Cancelled because the caller left, or in favour of another attempt. */
    Cancelled,
    /** The target refused it before running it. */
    Refused,
    /** The target failed or went silent while running it. */
    Failed,
    /** The target answered with an error of its own. */
    Errored,
    /** No connection to the target, or another one has its address; nothing ran. */
    Unreachable,
};

/** Entry to owner: the attempt ended. */
struct AttemptFinished {
    PoolId pool;
    AttemptId attempt;
    AttemptOutcome outcome { AttemptOutcome::Completed };
    Tokens promptTokens;
    Tokens outputTokens;
    uint32_t durationMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, outcome, promptTokens, outputTokens, durationMs);
    }
};

/** Entry to owner, and owner to entries if the target leaves: what a target said of itself in an answer. */
struct TargetAvailabilityNotice {
    PoolId pool;
    TargetId target;
    /** It takes no new work any more. */
    bool isLeaving { false };
    /** It wants no work from the node that sends this for so long; zero: none was asked for. */
    uint32_t pauseMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, target, isLeaving, pauseMs);
    }
};

/** An attempt that was granted by an earlier owner. */
struct RunningAttempt {
    GrantRequest request;
    TargetId target;
    bool started { false };

    template <class V>
    void fields(V& visit)
    {
        visit(request, target, started);
    }
};

/** Target that had a request with this repeat key in the last ten minutes. */
struct RecentAttempt {
    uint64_t idempotencyKeyHash { 0 };
    TargetId target;

    template <class V>
    void fields(V& visit)
    {
        visit(idempotencyKeyHash, target);
    }
};

/** Entry to the new owner of a pool: all that this entry has running there; sent even if there is nothing. */
struct PoolSync {
    PoolId pool;
    Epoch epoch;
    std::vector<RunningAttempt> running;
    std::vector<RecentAttempt> recent;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, epoch, running, recent);
    }
};

/** Former owner to new owner: it issues no more grants. */
struct PoolRelease {
    PoolId pool;
    /** The new owner's epoch. */
    Epoch epoch;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, epoch);
    }
};

/** Entry to the owner of a customer's ceiling. Answer: CeilingPortion. */
struct CeilingRequest {
    PoolId pool;
    CustomerId customer;
    /** Demand seen in the last second. */
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    uint32_t inFlight { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, customer, requestsPerSecond, tokensPerSecond, inFlight);
    }
};

/** What this entry may use of a customer's ceiling until the portion ends. */
struct CeilingAllocation {
    Ceiling allocation;
    /** False if the answering node does not own the customer's ceiling or may not yet give portions. */
    bool valid { false };
    uint32_t validMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(allocation, valid, validMs);
    }
};

/** Entry to the owner of a customer's ceiling: admit one request? Answer: CeilingDecision. CeilingRefund: it did not run. */
struct CeilingDebit {
    PoolId pool;
    CustomerId customer;
    Tokens tokens;
    /** What the entry admitted by itself since the last answer. */
    Tokens admittedLocally;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, customer, tokens, admittedLocally);
    }
};

struct CeilingDecision {
    /** False if the answering node does not own the ceiling; then nothing was decided. */
    bool decided { false };
    bool admitted { false };
    ErrorKind kind { ErrorKind::CeilingTokens };
    uint32_t retryAfterMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(decided, admitted, kind, retryAfterMs);
    }
};

/** A target's published load; sent to the owner of its pool by the node that polls the target. */
struct LoadReport {
    PoolId pool;
    TargetId target;
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /** Part of the KV cache in use, 0 to 1. */
    double cacheUsage { 0 };
    bool reachable { true };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, target, running, waiting, cacheUsage, reachable);
    }
};

}
