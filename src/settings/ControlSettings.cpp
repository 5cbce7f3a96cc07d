#include "briarhitch/settings/ControlSettings.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/settings/SettingsReader.h"

#include <algorithm>
#include <map>
#include <set>

namespace briarhitch {

namespace {

    constexpr int64_t maxPort = 65535;
    constexpr size_t minFleetKeyBytes = 16;
    constexpr size_t maxVoters = 5;
    constexpr int64_t maxToleratedLosses = 4;
    constexpr int64_t maxRunRecordsLimit = 50'000'000;
    constexpr int64_t maxResponseMibLimit = 16 * 1024;
    constexpr int64_t maxRetentionHours = 24 * 30;

    LogLevel toLogLevel(const std::string& word)
    {
        static const std::map<std::string, LogLevel> levels {
            { "debug", LogLevel::Debug },
            { "info", LogLevel::Info },
            { "warning", LogLevel::Warning },
            { "error", LogLevel::Error },
        };
        return levels.at(word);
    }

    void readAddress(SettingsReader& reader, const std::string& name, std::string& host, uint16_t& port)
    {
        reader.object(name, true, [&](SettingsReader& object) {
            auto address = readAddressSettings(object);
            host = address.host;
            port = address.port;
        });
    }

    ControlVoter readVoter(SettingsReader& reader)
    {
        ControlVoter voter;
        voter.node = NodeId(static_cast<uint32_t>(reader.integer("node", 1, UINT32_MAX)));
        voter.host = reader.string("host");
        voter.port = static_cast<uint16_t>(reader.integer("port", 1, maxPort));
        voter.adminPort = static_cast<uint16_t>(reader.integer("admin_port", 1, maxPort));
        return voter;
    }

    FleetSettings readFleet(SettingsReader& reader)
    {
        FleetSettings fleet = readFleetSettings(reader);
        // 2n + 1 voters tolerate the loss of n at once.
        auto tolerated = static_cast<uint32_t>(reader.integer("tolerated_losses", 0, maxToleratedLosses, maxToleratedLosses / 2));
        fleet.targetVoters = std::max(fleet.targetVoters, 2 * tolerated + 1);
        fleet.mayBootstrap = reader.boolean("may_found", false);
        return fleet;
    }

    /** The processes that bootstrap the fleet are its first voters. */
    void addSeeds(ControlSettings& settings)
    {
        for (const auto& seed : settings.fleet->seeds)
            settings.voters.push_back({ nodeIdFromAddress(seed.host), seed.host, settings.fleet->linkPort, seed.port });
    }

    void checkVoters(SettingsReader& reader, const ControlSettings& settings)
    {
        std::set<NodeId> ids;
        for (const auto& voter : settings.voters)
            ids.insert(voter.node);
        if (ids.size() != settings.voters.size())
            reader.addProblem("voters", "a node is listed twice");
        if (settings.voters.empty() || settings.voters.size() > maxVoters)
            reader.addProblem("voters", "found " + std::to_string(settings.voters.size()) + ", expected 1 to " + std::to_string(maxVoters));
        else if (!ids.contains(settings.node))
            reader.addProblem("voters", "this node, " + std::to_string(settings.node.value()) + ", is not listed");
    }

    void checkKeyHashes(SettingsReader& reader, const ControlSettings& settings)
    {
        if (settings.operatorKeyHashes.empty())
            reader.addProblem("operator_key_hashes", "found none; without a key no operator has access");
        if (!std::all_of(settings.operatorKeyHashes.begin(), settings.operatorKeyHashes.end(), isSha256Hex))
            reader.addProblem("operator_key_hashes", "expected SHA-256 digests of 64 lowercase hexadecimal digits");
    }

    Result<ControlSettings> read(SettingsReader& reader)
    {
        ControlSettings settings;
        reader.object("fleet", false, [&](SettingsReader& fleet) { settings.fleet = readFleet(fleet); });
        if (!settings.fleet)
            settings.node = NodeId(static_cast<uint32_t>(reader.integer("node", 1, UINT32_MAX)));
        readAddress(reader, "link", settings.linkHost, settings.linkPort);
        if (settings.fleet)
            settings.node = nodeIdFromAddress(settings.linkHost);
        readAddress(reader, "admin", settings.adminHost, settings.adminPort);
        settings.dataFolder = reader.string("data_folder");
        settings.fleetKey = reader.string("fleet_key", minFleetKeyBytes);
        settings.operatorKeyHashes = reader.strings("operator_key_hashes", !settings.fleet);
        reader.objects("voters", !settings.fleet, [&](SettingsReader& voter) { settings.voters.push_back(readVoter(voter)); });
        settings.poolScope = reader.choice("pool_scope", { "region", "zone" }, "region") == "zone" ? PoolScope::Zone : PoolScope::Region;
        settings.maxRunRecords = static_cast<uint64_t>(reader.integer("max_run_records", 1, maxRunRecordsLimit, settings.maxRunRecords));
        settings.maxResponseBytes = static_cast<uint64_t>(reader.integer("max_answer_mib", 0, maxResponseMibLimit, settings.maxResponseBytes >> 20)) << 20;
        settings.responseRetention = std::chrono::hours(reader.integer("answer_retention_h", 1, maxRetentionHours, 24));
        reader.object("rollout", false, [&](SettingsReader& rollout) { settings.rollout = readRolloutBounds(rollout); });
        settings.logLevel = toLogLevel(reader.choice("log_level", { "debug", "info", "warning", "error" }, "info"));
        settings.linkHeartbeatInterval = std::chrono::milliseconds(reader.integer("link_heartbeat_ms", 10, 10000, toMs(settings.linkHeartbeatInterval)));
        settings.linkIdleTimeout = std::chrono::milliseconds(reader.integer("link_silence_ms", 30, 60000, toMs(settings.linkIdleTimeout)));
        settings.electionTimeout = std::chrono::milliseconds(reader.integer("election_timeout_ms", 50, 60000, toMs(settings.electionTimeout)));
        settings.lease = std::chrono::milliseconds(reader.integer("lease_ms", 100, 60000, toMs(settings.lease)));
        if (auto timeout = std::chrono::milliseconds(reader.integer("pool_takeover_ms", 0, 60000, 0)); timeout.count() > 0)
            settings.takeoverTimeout = timeout;
        settings.memory = readMemorySettings(reader);
        if (settings.fleet) {
            addSeeds(settings);
            if (!settings.node.isValid())
                reader.addProblem("link.host", "must be an IPv4 address in a fleet with dynamic membership");
        } else {
            checkVoters(reader, settings);
            checkKeyHashes(reader, settings);
        }
        auto finished = reader.finish();
        if (!finished)
            return tl::unexpected(finished.error());
        return settings;
    }

}

Result<ControlSettings> ControlSettings::fromFile(const std::string& path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return tl::unexpected(reader.error());
    return read(*reader);
}

Result<ControlSettings> ControlSettings::fromText(const std::string& text, const std::string& fileName)
{
    auto reader = SettingsReader::fromText(text, fileName);
    if (!reader)
        return tl::unexpected(reader.error());
    return read(*reader);
}

std::optional<ControlVoter> ControlSettings::findVoter(NodeId id) const
{
    auto it = std::find_if(voters.begin(), voters.end(), [&](const ControlVoter& voter) { return voter.node == id; });
    if (it != voters.end())
        return *it;
    if (!fleet || fleet->seeds.empty())
        return std::nullopt;
    return ControlVoter { id, addressFromNodeId(id), fleet->linkPort, fleet->seeds.front().port };
}

RolloutBounds readRolloutBounds(SettingsReader& reader)
{
    constexpr int64_t maxRollbackMs = 600000;
    RolloutBounds bounds;
    bounds.exposedShare = reader.number("expose_share", 0, 1, bounds.exposedShare);
    bounds.exposedSlack = reader.number("expose_slack", 0, 1e6, bounds.exposedSlack);
    bounds.rollbackMs = static_cast<uint32_t>(reader.integer("rollback_ms", 1, maxRollbackMs, bounds.rollbackMs));
    return bounds;
}

HostPort readAddressSettings(SettingsReader& reader)
{
    auto text = reader.stringOr("address", "");
    if (text.empty())
        return { reader.string("host"), static_cast<uint16_t>(reader.integer("port", 1, maxPort)) };
    auto address = parseHostPort(text);
    if (!address)
        reader.addProblem("address", "found \"" + text + "\", expected an IPv4 address, a colon and a port");
    return address.value_or(HostPort {});
}

FleetSettings readFleetSettings(SettingsReader& reader)
{
    FleetSettings fleet;
    for (const auto& text : reader.strings("seeds", true)) {
        auto seed = parseHostPort(text);
        if (seed)
            fleet.seeds.push_back(*seed);
        else
            reader.addProblem("seeds", "found \"" + text + "\", expected an IPv4 address, a colon and a port");
    }
    fleet.linkPort = static_cast<uint16_t>(reader.integer("link_port", 1, maxPort));
    return fleet;
}

}
