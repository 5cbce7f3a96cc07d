#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/settings/SettingsReader.h"

#include <cstdint>
#include <optional>
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

/** A fleet that forms itself: nodes are named by their addresses, and members come and go without new settings. */
struct FleetSettings {
    /** Operators' addresses of some control processes; at the first start, of those that found the fleet. */
    std::vector<HostPort> seeds;
    /** Port for links of all control processes. */
    uint16_t linkPort { 0 };
    /** Voters that the fleet keeps; as many control processes as may be lost at once, twice, and one. */
    uint32_t targetVoters { 5 };
    /** Only at the very first start of the whole fleet. */
    bool mayBootstrap { false };
};

/** "address": "IP:PORT", or "host" and "port". */
HostPort readAddressSettings(SettingsReader& reader);
/** The fields that control processes and entries have in common. */
FleetSettings readFleetSettings(SettingsReader& reader);

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
    /** Instead of a fixed list of voters. */
    std::optional<FleetSettings> fleet;
    /** For links to other processes: interval of heartbeats, and silence after which a link is replaced. */
    Duration linkHeartbeatInterval { std::chrono::milliseconds(500) };
    Duration linkIdleTimeout { std::chrono::seconds(2) };
    /** Shortest silence of a leader after which a voter stands for election; the longest is twice that. */
    Duration electionTimeout { std::chrono::milliseconds(400) };
    /** A node's lease; see docs/design.md 6.1. */
    Duration lease { std::chrono::seconds(3) };
    /** Silence of a pool's owner after which the pool moves before its lease has ended; none: it never does. */
    std::optional<Duration> takeoverTimeout;
    PoolScope poolScope { PoolScope::Region };
    /** Most run records and retired keys together. */
    uint64_t maxRunRecords { 5'000'000 };
    /** Most bytes of recorded answers. */
    uint64_t maxResponseBytes { 512ULL << 20 };
    /** Time after which a recorded answer is dropped. */
    Duration responseRetention { std::chrono::hours(24) };
    LogLevel logLevel { LogLevel::Info };

    /** InvalidSettings with one line for each problem. */
    static Result<ControlSettings> fromFile(const std::string& path);
    static Result<ControlSettings> fromText(const std::string& text, const std::string& fileName);
    /** Addresses of a control process; in a fleet that forms itself they follow from its id. */
    [[nodiscard]] std::optional<ControlVoter> findVoter(NodeId id) const;
};

}
