#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/model/RunRecord.h"
#include "briarhitch/model/StreamBinding.h"
#include "briarhitch/model/Suspect.h"
#include "briarhitch/wire/EncodedConfig.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Type of a message between the processes of a fleet; values are part of the protocol and are never reused. */
enum class MessageType : uint8_t {
    Heartbeat = 1,
    ClaimRun = 2,
    FinishRun = 3,
    Raft = 4,
    RecordSuspects = 5,
    RolloutReport = 6,
    RecordStreams = 7,
    FindStream = 8,
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
    /**
     * Control leader to all nodes, without a body: asks for a heartbeat now, because its reply has changes that nodes
     * wait for.
     */
    HeartbeatSolicitation = 24,
    TargetRateLimitNotice = 25,
    CeilingSync = 26,
    SuspectNotice = 28,
    AttemptSuperseded = 29,
    /** A GrantRequest of a stream for which the entry selected the target itself. */
    StreamSelection = 30,
};

/** Node to control leader, once a second. Reply: HeartbeatReply. */
struct Heartbeat {
    NodeRecord node;
    Version appliedVersion;
    /** Customers in wind-down with requests in flight here; the leader uses them to report "drained". */
    std::vector<CustomerId> busyClosingCustomers;

    template <class V>
    void fields(V& visit)
    {
        visit(node, appliedVersion, busyClosingCustomers);
    }
};

struct HeartbeatReply {
    /** Counted from when the node sent the heartbeat. Zero: the replying process is not the leader. */
    Duration leaseDuration { 0 };
    uint64_t term { 0 };
    /** Address of the leader, if it is another process and known. */
    std::string leaderHost;
    uint16_t leaderPort { 0 };
    /** Set for a node that deltas alone do not bring up to date. */
    std::optional<EncodedConfig> snapshot;
    /** Changes after the snapshot, or after the node's version; empty if the node is up to date. */
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
    /** Set with Finished if the response body was kept. */
    std::optional<RecordedResponse> response;

    template <class V>
    void fields(V& visit)
    {
        visit(outcome, response);
    }
};

/** Node to control leader when the outcome of a claimed run is known. Reply: FinishRunReply. */
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

/** Pool owner to control leader: changes of blocked suspects, in order. Reply: RecordSuspectsReply. */
struct RecordSuspects {
    std::vector<SuspectRecord> blocked;
    std::vector<SuspectId> cleared;

    template <class V>
    void fields(V& visit)
    {
        visit(blocked, cleared);
    }
};

struct RecordSuspectsReply {
    bool committed { false };

    template <class V>
    void fields(V& visit)
    {
        visit(committed);
    }
};

/** What the requests of one route got from the targets of a rollout, since the pool's owner learned of the rollout. */
struct RolloutCounters {
    WorkKindId route;
    /** Of the rollout's target version; otherwise of all other versions together. */
    bool isTargetVersion { false };
    uint64_t granted { 0 };
    /** Answers, good or bad. */
    uint64_t answered { 0 };
    /** Errors, and answers that broke off. */
    uint64_t bad { 0 };
    /** Good answers whose latency is in logLatencySum. */
    uint64_t samples { 0 };
    /** Sum of the natural logarithm of the time in milliseconds to the first event of a stream or to another complete answer. */
    double logLatencySum { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(route, isTargetVersion, granted, answered, bad, samples, logLatencySum);
    }
};

/** Pool owner to control leader, several times a second while a rollout runs. Reply: RolloutReportReply. */
struct RolloutReport {
    RolloutId rollout;
    PoolId pool;
    Epoch epoch;
    /** Configuration version that the owner had applied when it took the counters. */
    Version appliedVersion;
    std::vector<RolloutCounters> counters;
    /** Requests that run on targets of the target version and on the others. */
    uint32_t runningOnTargetVersion { 0 };
    uint32_t runningOnOthers { 0 };
    /** Active targets of the target version. */
    uint32_t activeTargets { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(rollout, pool, epoch, appliedVersion, counters, runningOnTargetVersion, runningOnOthers, activeTargets);
    }
};

struct RolloutReportReply {
    bool accepted { false };

    template <class V>
    void fields(V& visit)
    {
        visit(accepted);
    }
};

/** The claim of a request to run a stream. */
struct StreamClaim {
    /** Invalid if callers cannot continue the stream. */
    StreamId stream;
    /** The caller continues the stream with this request, so earlier ones that run it must end. */
    bool isContinuation { false };
    /** Time since the request arrived at its entry. */
    uint32_t ageMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(stream, isContinuation, ageMs);
    }
};

/** Entry to pool owner: requests a grant for a target. The owner posts a Grant or a GrantRefusal. */
struct GrantRequest {
    PoolId pool;
    AttemptId attempt;
    CustomerId customer;
    Tier tier;
    WorkKindId kind;
    Tokens promptTokens;
    /** Limit of output tokens that the caller set. */
    Tokens maxOutputTokens;
    /** Stable hashes of the blocks of the prompt's prefix, from the start of the prompt. */
    std::vector<uint32_t> prefix;
    /** Time left until the deadline of the first token, or of a service's complete response; in milliseconds. */
    uint32_t deadlineMs { 0 };
    /** Targets that received an earlier attempt of the request. */
    std::vector<TargetId> excluded;
    /** Stable hash of customer and idempotency key; zero if the request has no key. */
    uint64_t idempotencyKeyHash { 0 };
    /** The caller's estimate of the output tokens; zero if there is none. */
    Tokens expectedOutputTokens;
    /** Time left until the objective of the first token, or of a service's complete response; zero if there is none. */
    uint32_t objectiveMs { 0 };
    /** Time left until the deadline of the complete response; zero: not later than deadlineMs. */
    uint32_t responseMs { 0 };
    /** Longest pause between two events that meets the objective; zero if there is none. */
    uint32_t eventGapObjectiveMs { 0 };
    /** Urgency of the request's kind relative to other requests of the same tier. */
    Tier urgency;
    /** Target that runs the request, which is to migrate to a faster one; unset for a request that has not started. */
    TargetId migratesFrom;
    /** Availability zone of the entry. */
    std::string zone;
    /** Parts of the prompt that other requests may have too. */
    std::vector<PromptPartId> sharedParts;
    RequestDigest digest;
    /** The stream that the caller continues; invalid for a request that begins one. */
    StreamId continuedStream;
    /** Only targets of this version may be granted, because one of them began the stream; never empty; none: any. */
    std::optional<std::string> softwareVersion;
    StreamClaim streamClaim {};
    /**
     * Nobody has recorded the version of continuedStream, and the pool's service is the one that began it, so that the only version
     * of the pool's targets may be taken for it. For the entry's own use; not sent.
     */
    bool maySelectSoleVersion { false };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, customer, tier, kind, promptTokens, maxOutputTokens, prefix, deadlineMs, excluded, idempotencyKeyHash, expectedOutputTokens,
            objectiveMs, responseMs, eventGapObjectiveMs, urgency, migratesFrom, zone, sharedParts, digest, continuedStream, softwareVersion, streamClaim);
    }
};

struct Grant {
    PoolId pool;
    AttemptId attempt;
    Epoch epoch;
    TargetId target;
    /** The version that the target was chosen for; none: any. */
    std::optional<std::string> softwareVersion {};

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, epoch, target, softwareVersion);
    }
};

struct GrantRefusal {
    PoolId pool;
    AttemptId attempt;
    ErrorKind kind { ErrorKind::Shed };
    uint32_t retryAfterMs { 0 };
    /** Short reason for the request's history. */
    std::string reason;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, kind, retryAfterMs, reason);
    }
};

/** Pool owner to entry: the grant request waits in the queue. */
struct GrantQueued {
    PoolId pool;
    AttemptId attempt;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt);
    }
};

/** Entry to pool owner: the grant request or the grant is no longer needed, and nothing was sent to the target. */
struct GrantCancellation {
    PoolId pool;
    AttemptId attempt;
    /** The entry has received the grant and does not use it; otherwise a grant may still be on its way to the entry. */
    bool isGrantReturned { false };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, isGrantReturned);
    }
};

/** Entry to pool owner: the target's first token arrived. */
struct AttemptStarted {
    PoolId pool;
    AttemptId attempt;
    uint32_t firstTokenMs { 0 };
    /** Time since the attempt's connection was opened; zero if not known. */
    uint32_t connectionAgeMs { 0 };
    StreamBinding stream {};

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, firstTokenMs, connectionAgeMs, stream);
    }
};

/** Owner to entry: the caller continues the stream of this attempt with another request, so the attempt must be stopped. May be repeated. */
struct AttemptSuperseded {
    PoolId pool;
    AttemptId attempt;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt);
    }
};

enum class AttemptOutcome : uint8_t {
    Completed,
    /** Cancelled because the caller disconnected, or in favour of another attempt. */
    Cancelled,
    /** The target refused the request before running it. */
    Refused,
    /** The target failed or became unresponsive while running the request. */
    Failed,
    /** The target responded with an error of its own. */
    Errored,
    /** No connection to the target, or another target has its address now; nothing ran. */
    Unreachable,
};

/** Entry to pool owner: the attempt ended. */
struct AttemptFinished {
    PoolId pool;
    AttemptId attempt;
    AttemptOutcome outcome { AttemptOutcome::Completed };
    Tokens promptTokens;
    Tokens outputTokens;
    uint32_t durationMs { 0 };
    /** The target closed the connection after the request was sent and before its answer was complete. */
    bool hasTargetClosed { false };
    /** Time since the attempt's connection was opened; zero if not known. */
    uint32_t connectionAgeMs { 0 };
    /** The target is up as a machine, but nothing accepts connections at its address. */
    bool hasRefusedConnection { false };
    /** If the caller got events of it. */
    StreamBinding stream {};

    template <class V>
    void fields(V& visit)
    {
        visit(pool, attempt, outcome, promptTokens, outputTokens, durationMs, hasTargetClosed, connectionAgeMs, hasRefusedConnection, stream);
    }
};

/** Entry to pool owner, and owner to entries if the target leaves: availability that a target stated in a response. */
struct TargetAvailabilityNotice {
    PoolId pool;
    TargetId target;
    /** The target accepts no new work. */
    bool isLeaving { false };
    /** Time for which the target asked the sending node to send no work; zero: none. */
    uint32_t pauseMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, target, isLeaving, pauseMs);
    }
};

/** Entry to pool owner: what a response said about a target's rate limit. Owner to entries: the limit in force. */
struct TargetRateLimitNotice {
    PoolId pool;
    TargetId target;
    /** Requests that the target accepts from all nodes together; none: no limit. */
    std::optional<RequestRate> limit;
    /** From an entry: time since the request of that response was sent. Otherwise: time for which this has been known. */
    uint32_t ageMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, target, limit, ageMs);
    }
};

/** An attempt that an earlier pool owner granted. */
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

/** Target that received a request with this idempotency key in the last ten minutes. */
struct RecentAttempt {
    uint64_t idempotencyKeyHash { 0 };
    TargetId target;

    template <class V>
    void fields(V& visit)
    {
        visit(idempotencyKeyHash, target);
    }
};

/** A target that ended while it ran a suspect, and how long ago. */
struct SuspectCrashReport {
    TargetId target;
    uint32_t ageMs { 0 };
    /** The target had sent the caller a part of the answer. */
    bool hadProgress { false };
    /** Of a prompt part: the requests with it that the target ran. */
    std::vector<RequestDigest> requests;
    /** Time from the first part of the answer to the crash. */
    uint32_t progressMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(target, ageMs, hadProgress, requests, progressMs);
    }
};

/** Owner to entries, and entry to new owner in PoolSync: what is believed of a suspect. */
struct SuspectNotice {
    SuspectId id;
    SuspectState state { SuspectState::Suspected };
    /** All crashes that count against it; the latest are listed. */
    uint32_t crashes { 0 };
    uint32_t sendsAfterThirdCrash { 0 };
    bool wasSound { false };
    std::vector<SuspectCrashReport> evidence;
    /** Of a blocked one: time until a trial. */
    uint32_t blockedMs { 0 };
    /** Longest time from the first part of an answer to a crash; none if no crash came after a part of an answer. */
    std::optional<uint32_t> longestProgressMs {};
    /** Of a prompt part: requests with it that targets began to answer, from those on that ran at its first crash. */
    uint32_t attempts { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(id, state, crashes, sendsAfterThirdCrash, wasSound, evidence, blockedMs, longestProgressMs, attempts);
    }
};

/** Takes the place of a field that earlier versions send; its content is ignored. */
struct RetiredField {
    template <class V>
    void fields(V& visit)
    {
        visit();
    }
};

/**
 * Entry to the new owner of a pool: all attempts that this entry has running in the pool; sent even if there are none.
 */
struct PoolSync {
    PoolId pool;
    Epoch epoch;
    std::vector<RunningAttempt> running;
    std::vector<RecentAttempt> recent;
    /** What the entry knows of the targets' rate limits. */
    std::vector<TargetRateLimitNotice> rateLimits;
    std::vector<RetiredField> suspectParts;
    /** What the entry knows of requests and prompt parts that may crash targets. */
    std::vector<SuspectNotice> suspects;
    /** The streams that callers may continue, and began or continued at this entry. */
    std::vector<StreamBinding> streams {};

    template <class V>
    void fields(V& visit)
    {
        visit(pool, epoch, running, recent, rateLimits, suspectParts, suspects, streams);
    }
};

/** Former pool owner to new owner: the former owner issues no more grants. */
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

/** Entry to the owner of a customer's ceiling: reports demand. Reply: CeilingAllocation. */
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

/** What this entry may use of a customer's ceiling until the allocation expires. */
struct CeilingAllocation {
    Ceiling allocation;
    /** False if the replying node does not own the customer's ceiling or may not allocate it yet. */
    bool valid { false };
    uint32_t validMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(allocation, valid, validMs);
    }
};

/**
 * Entry to the owner of a customer's ceiling: asks to admit one request. Reply: CeilingDecision. As CeilingRefund: the
 * admitted request did not run.
 */
struct CeilingDebit {
    PoolId pool;
    CustomerId customer;
    Tokens tokens;
    /** What the entry admitted without the owner and has not reported yet, less what did not run. */
    CeilingAmount unreportedUse;
    /** Time since the first of it was admitted. */
    uint32_t unreportedMs { 0 };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, customer, tokens, unreportedUse, unreportedMs);
    }
};

struct CeilingDecision {
    /** False if the replying node does not own the ceiling; nothing was decided then. */
    bool decided { false };
    bool admitted { false };
    ErrorKind kind { ErrorKind::CeilingTokens };
    uint32_t retryAfterMs { 0 };
    /** What is left of the customer's ceiling after this decision. */
    CeilingAmount left;
    /** What the owner has left to disconnected entries, within the tolerance's window. */
    CeilingAmount withheld;
    /** What of it the account would have had room for: it is added again, less what the entries use beyond the rest. */
    CeilingAmount withheldWithRoom;

    template <class V>
    void fields(V& visit)
    {
        visit(decided, admitted, kind, retryAfterMs, left, withheld, withheldWithRoom);
    }
};

/** What an entry knows of one customer's account. */
struct CeilingAccountReport {
    CustomerId customer;
    /** An owner has decided a request of this customer for this entry within the tolerance's window. */
    bool hasLeft { false };
    /** As in that decision, and its age. */
    CeilingAmount left;
    CeilingAmount withheld;
    uint32_t ageMs { 0 };
    /** As in CeilingDebit. */
    CeilingAmount unreportedUse;
    uint32_t unreportedMs { 0 };
    /** As in CeilingDecision. */
    CeilingAmount withheldWithRoom {};

    template <class V>
    void fields(V& visit)
    {
        visit(customer, hasLeft, left, withheld, ageMs, unreportedUse, unreportedMs, withheldWithRoom);
    }
};

/** Entry to the owner of ceilings, after each assignment and each opening of a link: what it knows of their accounts. */
struct CeilingSync {
    PoolId pool;
    Epoch epoch;
    /** How long this entry has kept account; 0 right after its start. */
    uint32_t recordedMs { 0 };
    std::vector<CeilingAccountReport> accounts;

    template <class V>
    void fields(V& visit)
    {
        visit(pool, epoch, recordedMs, accounts);
    }
};

/** A target's published load; sent to the owner of its pool by the node that polls the target. */
struct LoadReport {
    PoolId pool;
    TargetId target;
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /** Fraction of the KV cache in use, 0 to 1. */
    double cacheUsage { 0 };
    bool reachable { true };

    template <class V>
    void fields(V& visit)
    {
        visit(pool, target, running, waiting, cacheUsage, reachable);
    }
};

}
