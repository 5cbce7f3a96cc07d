#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/sched/PoolScheduler.h"

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
    Duration wholeAnswerTimeout { std::chrono::seconds(300) };
    /** For a call that must not be repeated; longer than its deadline, so that its outcome becomes known. */
    Duration chargeTimeout { std::chrono::seconds(60) };
    /** How long a duplicate waits for the first arrival's answer. */
    Duration duplicateWait { std::chrono::seconds(10) };
    Duration claimTimeout { std::chrono::seconds(3) };
    /** Time without a reachable pool owner after which requests are refused with no_owner. */
    Duration ownerTimeout { std::chrono::seconds(6) };
    /** Sends of one repeatable request, the first one included. */
    uint32_t maxAttempts { 3 };
    uint32_t historySize { 20000 };
    Duration loadPollInterval { std::chrono::seconds(2) };
    /** Longest wait for the handover of pools after the last request has ended. */
    Duration handoverTimeout { std::chrono::seconds(10) };
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
