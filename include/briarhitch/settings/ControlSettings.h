#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarhitch {

/** One voter of the replicated log, as all voters' settings list it. */
struct ControlVoter {
    NodeId node;
    /** IP address for links and for operators. */
    std::string host;
    uint16_t port { 0 };
    uint16_t adminPort { 0 };
};

/** Extent of a pool. */
enum class PoolScope : uint8_t {
    Region,
    Zone,
};

/** Settings of briarhitch-control. */
struct ControlSettings {
    NodeId node;
    std::string linkHost;
    uint16_t linkPort { 0 };
    std::string adminHost;
    uint16_t adminPort { 0 };
    /** Folder of the log and its snapshots. */
    std::string dataFolder;
    std::string fleetKey;
    /** SHA-256 of each operator's bearer key, in hexadecimal. */
    std::vector<std::string> operatorKeyHashes;
    std::vector<ControlVoter> voters;
    PoolScope poolScope { PoolScope::Region };
    /** Most run records and retired keys together. */
    uint64_t maxRunRecords { 5'000'000 };
    /** Most bytes of recorded answers. */
    uint64_t maxAnswerBytes { 512ULL << 20 };
    /** Time after which a recorded answer is dropped. */
    Duration answerRetention { std::chrono::hours(24) };
    LogLevel logLevel { LogLevel::Info };

    /** InvalidSettings with one line for each problem. */
    static Result<ControlSettings> fromFile(const std::string& path);
    static Result<ControlSettings> fromText(const std::string& text, const std::string& fileName);
    /** This process's own entry among the voters. */
    [[nodiscard]] const ControlVoter* findVoter(NodeId id) const;
};

}
