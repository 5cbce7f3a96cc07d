#pragma once

#include "briarhitch/core/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Where and how briarhitch-ctl sends its requests. */
struct CtlOptions {
    /** Operators' addresses of the voters, HOST:PORT each. */
    std::vector<std::string> servers;
    std::string operatorKey;
    /** Print the server's JSON instead of text. */
    bool isJson { false };
    /** Empty: one is made up and printed. */
    std::string changeId;
    /** None: the present version is asked for first. */
    std::optional<uint64_t> expectedVersion;
    /** File with a contract or a target; "-" for standard input. */
    std::string file;
    /** Callers' address of an entry, HOST:PORT; for explain. */
    std::string entry;
    /** Log files of several processes; for explain. */
    std::vector<std::string> logs;
    /** Time to wait for a change to be in force, in seconds. */
    double waitSeconds { 5 };
    /** Time until a rollout should be complete, in seconds. */
    double durationSeconds { 0 };
    /** Time to look for a leader, in seconds. */
    double timeoutSeconds { 10 };
};

/** Fills in servers and key from a JSON file with "servers" and "operator_key" where they are not set yet. */
Result<void> readProfile(const std::string& path, CtlOptions& options);

}
