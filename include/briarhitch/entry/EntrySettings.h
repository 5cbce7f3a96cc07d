#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/entry/RoutedRunner.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/sched/ServiceRetryBudget.h"

#include <string>
#include <vector>

namespace briarhitch {

/** Times and limits of an entry; the defaults are those of docs/entry.md. */
struct EntryLimits {
    /** To the first token of model work, or the whole answer of a service, if the caller sets none. */
    Duration defaultDeadline { std::chrono::seconds(30) };
    Duration maxDeadline { std::chrono::seconds(600) };
    /** Silence on a model stream after which it is resumed on a new connection. */
    Duration tokenTimeout { std::chrono::seconds(3) };
    /** For a model answer that is not streamed. */
    Duration completeResponseTimeout { std::chrono::seconds(300) };
    /** For a call that must not be repeated; longer than its deadline, so that its outcome becomes known. */
    Duration nonIdempotentCallTimeout { std::chrono::seconds(60) };
    /** How long a duplicate waits for the first arrival's answer. */
    Duration duplicateWaitTimeout { std::chrono::seconds(10) };
    Duration claimTimeout { std::chrono::seconds(3) };
    /** Time without a reachable pool owner after which requests are refused with no_owner. */
    Duration ownerTimeout { std::chrono::seconds(6) };
    /** Sends of one repeatable request, the first one included. */
    uint32_t maxAttempts { 3 };
    uint32_t historySize { 20000 };
    Duration loadPollInterval { std::chrono::seconds(2) };
    /** Longest wait for the handover of pools after the last request has ended. */
    Duration handoverTimeout { std::chrono::seconds(10) };
    Duration heartbeatInterval { std::chrono::seconds(1) };
    Duration heartbeatTimeout { std::chrono::milliseconds(500) };
    /** For links to other processes: interval of heartbeats, and silence after which a link is replaced. */
    Duration linkHeartbeatInterval { std::chrono::milliseconds(500) };
    Duration linkIdleTimeout { std::chrono::seconds(2) };
    /** Silence of a pool's owner after which this entry chooses targets by itself; zero: it never does. */
    Duration localSelectionAfter { 0 };
    /** Longest wait of a pool's new owner for what the entries have running there. */
    Duration poolSyncTimeout { std::chrono::milliseconds(500) };
    /** A draining entry goes on taking requests for this long after it said that it is not ready. */
    Duration lameDuckTime { 0 };
    /** Longest time for requests in flight when the entry drains, from the signal on; zero: no limit. */
    Duration drainTimeout { 0 };
};

/** Fleet-wide limits of routed requests. */
struct RoutedSettings {
    RoutedLimits limits;
    ServiceRetryBudgetSettings retryBudget;
};

/** Settings file of briarhitch-entry. */
struct EntrySettings {
    NodeId node;
    std::string region;
    std::string zone;
    HttpServerSettings http;
    /** Address that links are accepted at. */
    HostPort link;
    /** Address that other nodes dial; the one above, unless address translation or a forwarder lies between. */
    HostPort announcedLink;
    std::vector<HostPort> controlVoters;
    /** Whether this node takes callers; one that does not only owns pools. */
    bool servesCallers { true };
    /** Pools go to such nodes first. */
    bool prefersPools { false };
    /** Second address that tells whether this node is ready, beside the callers' one. */
    std::optional<HttpServerSettings> ready;
    RoutedSettings routed;
    CeilingTolerance ceilingTolerance;
    std::string fleetKey;
    PoolSettings pool;
    EntryLimits limits;
    /** SHA-256 of each operator key that may read /debug/requests from other hosts; hexadecimal. */
    std::vector<std::string> operatorKeyHashes;
    LogLevel logLevel { LogLevel::Info };

    /** InvalidSettings with one line for each problem. */
    static Result<EntrySettings> fromFile(const std::string& path);
    static Result<EntrySettings> fromText(const std::string& text, const std::string& fileName);
};

}
