#include "briarhitch/entry/EntrySettings.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/entry/CallerRequest.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/settings/SettingsReader.h"

#include <algorithm>
#include <set>

namespace briarhitch {

namespace {

    constexpr int64_t maxPort = 65535;
    constexpr size_t minFleetKeyBytes = 16;
    constexpr double maxFloor = 0.5;

    HostPort readHostPort(SettingsReader& reader)
    {
        HostPort address;
        address.host = reader.string("host");
        address.port = static_cast<uint16_t>(reader.integer("port", 1, maxPort));
        return address;
    }

    Duration readMs(SettingsReader& reader, const std::string& name, int64_t minimum, int64_t maximum, Duration fallback)
    {
        return std::chrono::milliseconds(reader.integer(name, minimum, maximum, toMs(fallback)));
    }

    void readHttp(SettingsReader& reader, HttpServerSettings& http)
    {
        auto address = readAddressSettings(reader);
        http.host = address.host;
        http.port = address.port;
        http.maxConnections = static_cast<size_t>(reader.integer("max_connections", 1, 100000, static_cast<int64_t>(http.maxConnections)));
        http.readTimeout = readMs(reader, "read_timeout_ms", 100, 600000, http.readTimeout);
        http.writeTimeout = readMs(reader, "write_timeout_ms", 100, 600000, http.writeTimeout);
        http.idleTimeout = readMs(reader, "idle_timeout_ms", 100, 3600000, http.idleTimeout);
        http.maxBodyBytes = static_cast<size_t>(reader.integer("max_body_bytes", 1024, 64 * 1024 * 1024, static_cast<int64_t>(http.maxBodyBytes)));
    }

    void readFloor(SettingsReader& reader, PoolSettings& pool)
    {
        auto kind = workKindOf(reader.string("kind"));
        pool.floors[kind] = reader.number("part", 0, maxFloor);
    }

    void readPolicy(SettingsReader& reader, PoolSettings& pool)
    {
        pool.policy = reader.choice("name", PoolSchedulerRegistry::names(), pool.policy);
        pool.maxQueued = static_cast<size_t>(reader.integer("max_queued", 1, 1000000, static_cast<int64_t>(pool.maxQueued)));
        pool.seed = static_cast<uint64_t>(reader.integer("seed", 0, INT64_MAX, static_cast<int64_t>(pool.seed)));
        for (const auto& feature : reader.strings("disabled_parts"))
            pool.disabledFeatures.insert(feature);
        const std::set<std::string> optional { "first_token_model", "prediction_margin", "slot_turnaround" };
        for (const auto& feature : reader.strings("enabled_parts")) {
            pool.enabledFeatures.insert(feature);
            if (!optional.contains(feature))
                reader.addProblem("enabled_parts", "found \"" + feature + "\", expected one of first_token_model, prediction_margin, slot_turnaround");
        }
        reader.objects("floors", false, [&](SettingsReader& floor) { readFloor(floor, pool); });
        pool.zoneSpill.isEnabled = reader.boolean("zone_spill", pool.zoneSpill.isEnabled);
        pool.zoneSpill.costPerMb = reader.number("zone_cost_per_mb", 0, 1000, pool.zoneSpill.costPerMb);
        pool.zoneSpill.delay = fromSeconds(reader.number("zone_delay_ms", 0, 1000, toSeconds(pool.zoneSpill.delay) * 1000) / 1000);
    }

    void readLimits(SettingsReader& reader, EntryLimits& limits)
    {
        limits.defaultDeadline = readMs(reader, "default_deadline_ms", 1, 600000, limits.defaultDeadline);
        limits.maxDeadline = readMs(reader, "max_deadline_ms", 1, 3600000, limits.maxDeadline);
        limits.tokenTimeout = readMs(reader, "token_timeout_ms", 10, 600000, limits.tokenTimeout);
        limits.completeResponseTimeout = readMs(reader, "whole_answer_timeout_ms", 10, 3600000, limits.completeResponseTimeout);
        limits.nonIdempotentCallTimeout = readMs(reader, "charge_timeout_ms", 10, 3600000, limits.nonIdempotentCallTimeout);
        limits.duplicateWaitTimeout = readMs(reader, "duplicate_wait_ms", 0, 600000, limits.duplicateWaitTimeout);
        limits.claimTimeout = readMs(reader, "claim_timeout_ms", 10, 60000, limits.claimTimeout);
        limits.ownerTimeout = readMs(reader, "owner_timeout_ms", 0, 600000, limits.ownerTimeout);
        limits.maxAttempts = static_cast<uint32_t>(reader.integer("max_attempts", 1, 10, limits.maxAttempts));
        limits.historySize = static_cast<uint32_t>(reader.integer("history_size", 1, 1000000, limits.historySize));
        limits.loadPollInterval = readMs(reader, "load_poll_interval_ms", 100, 600000, limits.loadPollInterval);
        limits.handoverTimeout = readMs(reader, "handover_timeout_ms", 0, 600000, limits.handoverTimeout);
        limits.heartbeatInterval = readMs(reader, "heartbeat_interval_ms", 10, 10000, limits.heartbeatInterval);
        limits.heartbeatTimeout = readMs(reader, "heartbeat_timeout_ms", 10, 10000, limits.heartbeatTimeout);
        limits.linkHeartbeatInterval = readMs(reader, "link_heartbeat_ms", 10, 10000, limits.linkHeartbeatInterval);
        limits.linkIdleTimeout = readMs(reader, "link_silence_ms", 30, 60000, limits.linkIdleTimeout);
        limits.localSelectionAfter = readMs(reader, "solo_after_ms", 0, 60000, limits.localSelectionAfter);
        limits.poolSyncTimeout = readMs(reader, "pool_collect_ms", 0, 60000, limits.poolSyncTimeout);
        limits.lameDuckTime = readMs(reader, "lame_duck_ms", 0, 600000, limits.lameDuckTime);
        limits.drainTimeout = readMs(reader, "drain_timeout_ms", 0, 3600000, limits.drainTimeout);
    }

    void readRouted(SettingsReader& reader, RoutedSettings& routed)
    {
        routed.limits.connectTimeout = readMs(reader, "connect_timeout_ms", 10, 60000, routed.limits.connectTimeout);
        routed.limits.responseGracePeriod = readMs(reader, "answer_margin_ms", 0, 10000, routed.limits.responseGracePeriod);
        routed.limits.stallTimeout = readMs(reader, "stall_timeout_ms", 10, 600000, routed.limits.stallTimeout);
        routed.retryBudget.ratio = reader.number("repeat_ratio", 0, 1, routed.retryBudget.ratio);
        routed.retryBudget.slack = reader.number("repeat_slack", 0, 1e6, routed.retryBudget.slack);
        routed.retryBudget.window = std::chrono::duration_cast<Duration>(fromSeconds(reader.number("repeat_window_s", 0.1, 3600, toSeconds(routed.retryBudget.window))));
    }

    void readTolerance(SettingsReader& reader, CeilingTolerance& tolerance)
    {
        tolerance.window = std::chrono::duration_cast<Duration>(fromSeconds(reader.number("window_s", 0.1, 3600, toSeconds(tolerance.window))));
        tolerance.excessFraction = reader.number("over", 0, 10, tolerance.excessFraction);
        tolerance.slack = reader.number("slack", 0, 1e12, tolerance.slack);
    }

    /** In a self-forming fleet the node ids are derived from addresses, and the seeds are the control voters. */
    void readFleet(SettingsReader& reader, EntrySettings& settings)
    {
        auto fleet = readFleetSettings(reader);
        for (const auto& seed : fleet.seeds)
            settings.controlVoters.push_back({ seed.host, fleet.linkPort });
    }

    void readOperatorKeys(SettingsReader& reader, EntrySettings& settings)
    {
        settings.operatorKeyHashes = reader.strings("operator_key_hashes");
        for (const auto& hash : settings.operatorKeyHashes) {
            if (!isSha256Hex(hash))
                reader.addProblem("operator_key_hashes", "must be SHA-256 hashes of keys, each as 64 lower-case hexadecimal digits");
        }
    }

    LogLevel readLogLevel(SettingsReader& reader)
    {
        auto word = reader.choice("log_level", { "debug", "info", "warning", "error" }, "info");
        if (word == "debug")
            return LogLevel::Debug;
        if (word == "warning")
            return LogLevel::Warning;
        return word == "error" ? LogLevel::Error : LogLevel::Info;
    }

    Result<EntrySettings> readSettings(SettingsReader reader)
    {
        EntrySettings settings;
        bool isSelfForming = false;
        reader.object("fleet", false, [&](SettingsReader& fleet) {
            isSelfForming = true;
            readFleet(fleet, settings);
        });
        if (!isSelfForming)
            settings.node = NodeId(static_cast<uint32_t>(reader.integer("node", 1, UINT32_MAX)));
        settings.region = reader.string("region");
        settings.zone = reader.string("zone");
        settings.fleetKey = reader.string("fleet_key", minFleetKeyBytes);
        settings.servesCallers = reader.boolean("serves_callers", true);
        settings.prefersPools = reader.boolean("prefers_pools", false);
        reader.object("http", settings.servesCallers, [&](SettingsReader& http) { readHttp(http, settings.http); });
        reader.object("ready", false, [&](SettingsReader& ready) { readHttp(ready, settings.ready.emplace()); });
        reader.object("ceiling_tolerance", false, [&](SettingsReader& tolerance) { readTolerance(tolerance, settings.ceilingTolerance); });
        reader.object("rollout", false, [&](SettingsReader& rollout) { settings.rollout = readRolloutBounds(rollout); });
        reader.object("routed", false, [&](SettingsReader& routed) { readRouted(routed, settings.routed); });
        reader.object("link", true, [&](SettingsReader& link) { settings.link = readHostPort(link); });
        settings.announcedLink = settings.link;
        reader.object("announced_link", false, [&](SettingsReader& link) { settings.announcedLink = readHostPort(link); });
        if (isSelfForming) {
            settings.node = nodeIdFromAddress(settings.announcedLink.host);
            if (!settings.node.isValid())
                reader.addProblem("link.host", "must be an IPv4 address in a self-forming fleet");
        }
        reader.objects("control_voters", !isSelfForming, [&](SettingsReader& voter) { settings.controlVoters.push_back(readHostPort(voter)); });
        reader.object("policy", false, [&](SettingsReader& policy) { readPolicy(policy, settings.pool); });
        reader.object("limits", false, [&](SettingsReader& limits) { readLimits(limits, settings.limits); });
        settings.memory = readMemorySettings(reader);
        readOperatorKeys(reader, settings);
        settings.logLevel = readLogLevel(reader);
        if (settings.controlVoters.empty())
            reader.addProblem("control_voters", "must contain at least one address");
        auto finished = reader.finish();
        if (!finished)
            return tl::unexpected(finished.error());
        return settings;
    }

}

Result<EntrySettings> EntrySettings::fromFile(const std::string& path)
{
    return SettingsReader::fromFile(path).and_then([](SettingsReader&& reader) { return readSettings(std::move(reader)); });
}

Result<EntrySettings> EntrySettings::fromText(const std::string& text, const std::string& fileName)
{
    return SettingsReader::fromText(text, fileName).and_then([](SettingsReader&& reader) { return readSettings(std::move(reader)); });
}

}
