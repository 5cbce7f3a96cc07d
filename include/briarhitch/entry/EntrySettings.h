#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/entry/RoutedRequestRunner.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/model/Rollout.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/sched/ServiceRetryBudget.h"
#include "briarhitch/settings/MemorySettings.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Timeouts and limits of an entry; docs/entry.md lists the defaults. */
struct EntryLimits {
    /** If the caller sets none: for the first token of a model request, or the complete response of a service. */
    Duration defaultDeadline { std::chrono::seconds(30) };
    Duration maxDeadline { std::chrono::seconds(600) };
    /** Time without a token on a model stream after which it is resumed on a new connection. */
    Duration tokenTimeout { std::chrono::seconds(3) };
    /** For a model response that is not streamed. */
    Duration completeResponseTimeout { std::chrono::seconds(300) };
    /** For a call that must not be retried; longer than its deadline, so that its outcome becomes known. */
    Duration nonIdempotentCallTimeout { std::chrono::seconds(60) };
    /** Longest time that a duplicate request waits for the response to the first one. */
    Duration duplicateWaitTimeout { std::chrono::seconds(10) };
    Duration claimTimeout { std::chrono::seconds(3) };
    /** Time without a reachable pool owner after which requests are refused with no_owner. */
    Duration ownerTimeout { std::chrono::seconds(6) };
    /** Attempts of one retryable request, the first one included. */
    uint32_t maxAttempts { 3 };
    uint32_t historySize { 20000 };
    Duration loadPollInterval { std::chrono::seconds(2) };
    /** Longest wait for the handover of pools after the last request has ended. */
    Duration handoverTimeout { std::chrono::seconds(10) };
    Duration heartbeatInterval { std::chrono::seconds(1) };
    Duration heartbeatTimeout { std::chrono::milliseconds(500) };
    /** For links to other processes: heartbeat interval, and time without a message after which a link is replaced. */
    Duration linkHeartbeatInterval { std::chrono::milliseconds(500) };
    Duration linkIdleTimeout { std::chrono::seconds(2) };
    /** Time without a reply from a pool owner after which this entry selects targets locally; zero: never. */
    Duration localSelectionAfter { 0 };
    /** Longest time that a new pool owner waits for the entries to report their running attempts. */
    Duration poolSyncTimeout { std::chrono::milliseconds(500) };
    /** Time for which a draining entry still accepts requests after it reports that it is not ready. */
    Duration lameDuckTime { 0 };
    /** Longest time to drain, from the shutdown signal on; zero: no limit. */
    Duration drainTimeout { 0 };
};

/** Fleet-wide limits of routed requests. */
struct RoutedSettings {
    RoutedRequestLimits limits;
    ServiceRetryBudgetSettings retryBudget;
};

/** Settings file of briarhitch-entry. */
struct EntrySettings {
    NodeId node;
    std::string region;
    std::string zone;
    HttpServerSettings http;
    /** Address on which links are accepted. */
    HostPort link;
    /** Address that other nodes connect to; differs from `link` behind address translation or a forwarder. */
    HostPort announcedLink;
    std::vector<HostPort> controlVoters;
    /** Whether this node serves callers; one that does not only owns pools. */
    bool servesCallers { true };
    /** Pools are assigned to nodes with this flag first. */
    bool prefersPools { false };
    /** Additional address that reports readiness, beside the callers' address. */
    std::optional<HttpServerSettings> ready;
    RoutedSettings routed;
    CeilingTolerance ceilingTolerance;
    /** Not set: rollouts restrict nothing. */
    std::optional<RolloutBounds> rollout;
    std::string fleetKey;
    PoolSettings pool;
    EntryLimits limits;
    MemorySettings memory;
    /** Hexadecimal SHA-256 hashes of the operator keys that may read /debug/requests from other hosts. */
    std::vector<std::string> operatorKeyHashes;
    LogLevel logLevel { LogLevel::Info };

    /** InvalidSettings with one line for each problem. */
    static Result<EntrySettings> fromFile(const std::string& path);
    static Result<EntrySettings> fromText(const std::string& text, const std::string& fileName);
};

}
