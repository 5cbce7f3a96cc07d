#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/model/Rollout.h"
#include "briarhitch/settings/MemorySettings.h"
#include "briarhitch/settings/SettingsReader.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** One voter of the replicated log, as listed in the settings of every voter. */
struct ControlVoter {
    NodeId node;
    /** IP address of both ports. */
    std::string host;
    uint16_t port { 0 };
    uint16_t adminPort { 0 };
};

/** Whether a pool contains the targets of a region or of one availability zone. */
enum class PoolScope : uint8_t {
    Region,
    Zone,
};

/** A fleet with dynamic membership: node ids are derived from addresses, and members change without new settings. */
struct FleetSettings {
    /** Admin addresses of some control processes; at the first start, of those that bootstrap the fleet. */
    std::vector<HostPort> seeds;
    /** Port on which every control process accepts links. */
    uint16_t linkPort { 0 };
    /** Number of voters that the fleet maintains: 2n + 1 if n control processes may be lost at once. */
    uint32_t targetVoters { 5 };
    /** Whether this process may bootstrap a new fleet; only for the first start of the whole fleet. */
    bool mayBootstrap { false };
};

/** Reads the limits of rollouts. */
RolloutBounds readRolloutBounds(SettingsReader& reader);
/** Reads "address": "IP:PORT", or "host" and "port". */
HostPort readAddressSettings(SettingsReader& reader);
/** Reads the fields that control processes and entries have in common. */
FleetSettings readFleetSettings(SettingsReader& reader);

/** Settings of briarhitch-control. */
struct ControlSettings {
    NodeId node;
    std::string linkHost;
    uint16_t linkPort { 0 };
    std::string adminHost;
    uint16_t adminPort { 0 };
    /** Folder of the replicated log and its snapshots. */
    std::string dataFolder;
    std::string fleetKey;
    /** SHA-256 of each operator's bearer key, in hexadecimal. */
    std::vector<std::string> operatorKeyHashes;
    std::vector<ControlVoter> voters;
    /** Replaces the fixed list of voters. */
    std::optional<FleetSettings> fleet;
    /** Interval of heartbeats on links, and time without a message after which a link is reconnected. */
    Duration linkHeartbeatInterval { std::chrono::milliseconds(500) };
    Duration linkIdleTimeout { std::chrono::seconds(2) };
    /** Minimum time without a message from the leader after which a voter starts an election; the maximum is twice that. */
    Duration electionTimeout { std::chrono::milliseconds(400) };
    /** Duration of a node's lease; see docs/design.md 6.1. */
    Duration lease { std::chrono::seconds(3) };
    /** Time without a heartbeat from a pool's owner after which the pool is reassigned although the owner's lease may be valid; not set: never. */
    std::optional<Duration> takeoverTimeout;
    PoolScope poolScope { PoolScope::Region };
    /** Most run records and retired keys, together. */
    uint64_t maxRunRecords { 5'000'000 };
    /** Most bytes of recorded responses. */
    uint64_t maxResponseBytes { 512ULL << 20 };
    /** Time after which a recorded response is dropped. */
    Duration responseRetention { std::chrono::hours(24) };
    /** Not set: rollouts are not served. */
    std::optional<RolloutBounds> rollout;
    MemorySettings memory;
    LogLevel logLevel { LogLevel::Info };

    /** InvalidSettings with one line for each problem. */
    static Result<ControlSettings> fromFile(const std::string& path);
    static Result<ControlSettings> fromText(const std::string& text, const std::string& fileName);
    /** Addresses of a control process; with dynamic membership they are derived from its id. */
    [[nodiscard]] std::optional<ControlVoter> findVoter(NodeId id) const;
};

}
