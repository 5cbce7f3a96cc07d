#include "control/AdminJson.h"

#include "briarhitch/control/StateMachine.h"
#include "briarhitch/core/Digest.h"
#include "briarhitch/settings/SettingsReader.h"
#include "rollout/RolloutDriver.h"

#include <algorithm>

namespace briarhitch {

namespace {

    constexpr size_t maxNameBytes = 64;
    constexpr size_t maxTextBytes = 255;
    constexpr size_t maxListLength = 256;
    constexpr double minShare = 0.001;
    constexpr double maxShare = 1e6;
    constexpr double maxRate = 1e9;
    constexpr int64_t maxInFlight = 10'000'000;
    constexpr int64_t maxSlots = 65536;
    constexpr int64_t maxPort = 65535;
    constexpr size_t maxBodyDepth = 16;
    constexpr double maxRolloutSeconds = 7 * 24 * 3600;
    constexpr double minRolloutSeconds = 0.001;
    constexpr auto nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

    void readHeader(SettingsReader& reader, ChangeHeader& change)
    {
        change.changeId = reader.string("change_id");
        if (!change.changeId.empty() && !isName(change.changeId))
            reader.addProblem("change_id", "expected 1 to 64 letters, digits, '.', '_' and '-'");
        change.expectedVersion = Version(static_cast<uint64_t>(reader.integer("expected_version", 0, INT64_MAX)));
    }

    std::string checkLength(SettingsReader& reader, const std::string& name, std::string text)
    {
        if (text.size() > maxTextBytes)
            reader.addProblem(name, "is longer than " + std::to_string(maxTextBytes) + " bytes");
        return text;
    }

    std::string readText(SettingsReader& reader, const std::string& name)
    {
        return checkLength(reader, name, reader.string(name));
    }

    std::string readOptionalText(SettingsReader& reader, const std::string& name, const std::string& fallback)
    {
        return checkLength(reader, name, reader.stringOr(name, fallback));
    }

    std::vector<std::string> readTexts(SettingsReader& reader, const std::string& name)
    {
        auto texts = reader.strings(name);
        bool isLong = std::any_of(texts.begin(), texts.end(), [](const std::string& text) { return text.empty() || text.size() > maxTextBytes; });
        if (isLong || texts.size() > maxListLength)
            reader.addProblem(name, "expected at most " + std::to_string(maxListLength) + " strings of 1 to " + std::to_string(maxTextBytes) + " bytes");
        return texts;
    }

    void readCeiling(SettingsReader& reader, Ceiling& ceiling)
    {
        ceiling.requestsPerSecond = reader.number("requests_per_second", 0, maxRate, 0);
        ceiling.tokensPerSecond = reader.number("tokens_per_second", 0, maxRate, 0);
        ceiling.inFlight = static_cast<uint32_t>(reader.integer("in_flight", 0, maxInFlight, 0));
    }

    void readContract(SettingsReader& reader, Contract& contract)
    {
        contract.tier = Tier(static_cast<uint8_t>(reader.integer("tier", 0, Tier::count - 1)));
        contract.share = reader.number("share", minShare, maxShare, 1);
        reader.object("ceiling", false, [&](SettingsReader& ceiling) { readCeiling(ceiling, contract.ceiling); });
        reader.objects("repeatable", false, [&](SettingsReader& rule) {
            contract.idempotentCalls.push_back({ readText(rule, "service"), readOptionalText(rule, "method", "*"), readOptionalText(rule, "path_prefix", "/") });
        });
        if (contract.idempotentCalls.size() > maxListLength)
            reader.addProblem("repeatable", "expected at most " + std::to_string(maxListLength) + " rules");
        contract.models = readTexts(reader, "models");
        contract.keyHashes = readTexts(reader, "key_hashes");
        if (!std::all_of(contract.keyHashes.begin(), contract.keyHashes.end(), isSha256Hex))
            reader.addProblem("key_hashes", "expected SHA-256 digests of 64 lowercase hexadecimal digits");
    }

    void readTarget(SettingsReader& reader, Target& target)
    {
        target.kind = reader.choice("kind", { "engine", "service" }, "engine") == "service" ? TargetKind::Service : TargetKind::Engine;
        target.serves = readText(reader, "serves");
        target.region = readText(reader, "region");
        target.zone = readText(reader, "zone");
        target.host = readText(reader, "host");
        target.port = static_cast<uint16_t>(reader.integer("port", 1, maxPort));
        target.hardware = readOptionalText(reader, "hardware", "");
        target.slots = static_cast<uint32_t>(reader.integer("slots", 1, maxSlots, target.slots));
        target.checksFencing = reader.boolean("checks_fencing", false);
    }

    /** Whether brackets nest deeper than maxBodyDepth. Recursive parsing or printing of deeper bodies could exhaust the stack. */
    bool isTooDeep(const std::string& body)
    {
        size_t depth = 0;
        bool inString = false;
        for (size_t i = 0; i < body.size(); ++i) {
            char c = body[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '{' || c == '['))
                ++depth;
            else if (!inString && (c == '}' || c == ']') && depth > 0)
                --depth;
            if (depth > maxBodyDepth)
                return true;
        }
        return false;
    }

    template <class Command>
    Result<Command> parseBody(const std::string& body, Command command, const std::function<void(SettingsReader&, Command&)>& read)
    {
        if (isTooDeep(body))
            return fail(ErrorKind::BadRequest, "body: nested deeper than " + std::to_string(maxBodyDepth) + " levels");
        auto reader = SettingsReader::fromText(body, "body");
        if (!reader)
            return tl::unexpected(reader.error());
        if constexpr (requires { command.change; })
            readHeader(*reader, command.change);
        read(*reader, command);
        auto finished = reader->finish();
        if (!finished)
            return tl::unexpected(finished.error());
        return command;
    }

    Result<void> checkName(const std::string& what, const std::string& name)
    {
        if (isName(name))
            return {};
        return fail(ErrorKind::BadRequest, "a " + what + "'s name has 1 to 64 letters, digits, '.', '_' and '-'");
    }

}

bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= maxNameBytes && text.find_first_not_of(nameCharacters) == std::string::npos;
}

Result<PutCustomerCommand> parsePutCustomer(const std::string& name, const std::string& body)
{
    if (auto checked = checkName("customer", name); !checked)
        return tl::unexpected(checked.error());
    PutCustomerCommand command;
    command.contract.name = name;
    return parseBody<PutCustomerCommand>(body, command, [](SettingsReader& reader, PutCustomerCommand& parsed) {
        reader.object("contract", true, [&](SettingsReader& contract) { readContract(contract, parsed.contract); });
    });
}

Result<WindDownCommand> parseWindDown(const std::string& name, const std::string& body)
{
    WindDownCommand command;
    command.customer = name;
    return parseBody<WindDownCommand>(body, command, [](SettingsReader& reader, WindDownCommand& parsed) {
        static constexpr CustomerState steps[] = { CustomerState::NoNewWork, CustomerState::Drained, CustomerState::Exported, CustomerState::Erased };
        std::vector<std::string> names;
        for (auto step : steps)
            names.emplace_back(toString(step));
        auto chosen = reader.choice("step", names, "");
        if (chosen.empty())
            reader.addProblem("step", "is missing; expected one of: no_new_work, drained, exported, erased");
        for (auto step : steps) {
            if (toString(step) == chosen)
                parsed.step = step;
        }
    });
}

Result<StartRolloutCommand> parseRolloutOrder(const std::string& service, const std::string& body)
{
    StartRolloutCommand command;
    command.service = service;
    return parseBody<StartRolloutCommand>(body, command, [](SettingsReader& reader, StartRolloutCommand& parsed) {
        parsed.targetVersion = readText(reader, "target");
        parsed.durationMs = clampMs(fromSeconds(reader.number("duration_s", minRolloutSeconds, maxRolloutSeconds)));
    });
}

Result<PutTargetCommand> parsePutTarget(const std::string& name, const std::string& body, PoolScope scope)
{
    if (auto checked = checkName("target", name); !checked)
        return tl::unexpected(checked.error());
    PutTargetCommand command;
    command.target.name = name;
    return parseBody<PutTargetCommand>(body, command, [scope](SettingsReader& reader, PutTargetCommand& parsed) {
        reader.object("target", true, [&](SettingsReader& target) { readTarget(target, parsed.target); });
        parsed.poolScope = scope == PoolScope::Zone ? parsed.target.zone : parsed.target.region;
    });
}

Result<SetTargetStateCommand> parseSetTargetState(const std::string& name, const std::string& body, TargetState state)
{
    SetTargetStateCommand command;
    command.target = name;
    command.state = state;
    return parseBody<SetTargetStateCommand>(body, command, [](SettingsReader&, SetTargetStateCommand&) {});
}

Json toJson(const Contract& contract)
{
    Json json;
    json["name"] = contract.name;
    json["id"] = contract.customer.value();
    json["version"] = contract.version.value();
    json["state"] = toString(contract.state);
    Json& fields = json["contract"];
    fields["tier"] = contract.tier.value();
    fields["share"] = contract.share;
    fields["ceiling"] = { { "requests_per_second", contract.ceiling.requestsPerSecond }, { "tokens_per_second", contract.ceiling.tokensPerSecond }, { "in_flight", contract.ceiling.inFlight } };
    fields["repeatable"] = Json::array();
    for (const auto& rule : contract.idempotentCalls)
        fields["repeatable"].push_back({ { "service", rule.service }, { "method", rule.method }, { "path_prefix", rule.pathPrefix } });
    fields["models"] = contract.models;
    fields["key_hashes"] = contract.keyHashes;
    return json;
}

Json toJson(const Target& target)
{
    Json json;
    json["name"] = target.name;
    json["id"] = target.id.value();
    json["version"] = target.version.value();
    json["state"] = toString(target.state);
    json["pool"] = target.pool.value();
    Json& fields = json["target"];
    fields["kind"] = target.kind == TargetKind::Engine ? "engine" : "service";
    fields["serves"] = target.serves;
    fields["region"] = target.region;
    fields["zone"] = target.zone;
    fields["host"] = target.host;
    fields["port"] = target.port;
    fields["hardware"] = target.hardware;
    fields["slots"] = target.slots;
    fields["checks_fencing"] = target.checksFencing;
    return json;
}

Json toJson(const std::vector<NodeId>& nodes)
{
    Json json = Json::array();
    for (auto node : nodes)
        json.push_back(node.value());
    return json;
}

Json toJson(const SuspectRecord& record)
{
    Json json;
    json["suspect"] = toString(record.id);
    json["crashes"] = record.crashes;
    json["sends_after_third_crash"] = record.sendsAfterThirdCrash;
    json["changed_at_ms"] = record.changedAtMs;
    if (record.longestProgressMs)
        json["longest_progress_ms"] = *record.longestProgressMs;
    return json;
}

Json toJson(const Rollout& rollout, const RolloutDriver& driver)
{
    auto countsToJson = [](const RolloutCounts& counts) {
        return Json { { "granted", counts.granted }, { "answered", counts.answered }, { "bad", counts.bad } };
    };
    auto counts = driver.countsOf(rollout.id);
    Json json;
    json["rollout"] = rollout.id.value();
    json["service"] = rollout.service;
    json["target"] = rollout.targetVersion;
    json["duration_s"] = toSeconds(std::chrono::milliseconds(rollout.durationMs));
    json["ordered_at_ms"] = rollout.orderedAtMs;
    json["state"] = toString(rollout.state);
    json["stage"] = toString(rollout.stage);
    json["share_permille"] = rollout.sharePermille;
    json["target_version"] = countsToJson(counts.target);
    json["other_versions"] = countsToJson(counts.others);
    json["reasons"] = driver.reasonsOf(rollout.service);
    return json;
}

Json changeToJson(const std::string& changeId, const CommandResult& result, const std::vector<NodeId>& notApplied)
{
    Json json;
    json["change_id"] = changeId;
    json["version"] = result.objectVersion.value();
    json["config_version"] = result.configVersion.value();
    json["in_force"] = notApplied.empty();
    json["not_applied"] = toJson(notApplied);
    return json;
}

Json rejectionToJson(const CommandResult& result)
{
    auto json = Json::parse(errorToJson(makeError(result.kind, result.message)));
    json["version"] = result.objectVersion.value();
    return json;
}

std::string dump(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
