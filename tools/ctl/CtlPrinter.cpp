#include "ctl/CtlPrinter.h"

#include <algorithm>
#include <vector>

namespace briarhitch {

namespace {

    using Row = std::vector<std::string>;

    std::string word(const Json& value)
    {
        if (value.is_null())
            return "-";
        if (value.is_string())
            return value.get<std::string>();
        return value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    /** Columns padded to their widest cell. */
    std::string table(const std::vector<Row>& rows)
    {
        std::vector<size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (size_t i = 0; i < row.size(); ++i)
                widths[i] = std::max(widths[i], row[i].size());
        }
        std::string text;
        for (const auto& row : rows) {
            std::string line;
            for (size_t i = 0; i < row.size(); ++i) {
                line += row[i];
                if (i + 1 < row.size())
                    line.append(widths[i] - row[i].size() + 2, ' ');
            }
            text += line + "\n";
        }
        return text;
    }

    std::string limit(const Json& value)
    {
        return value == 0 ? "none" : word(value);
    }

    std::string list(const Json& values)
    {
        std::string text;
        for (const auto& value : values)
            text += (text.empty() ? "" : ", ") + word(value);
        return text.empty() ? "none" : text;
    }

    Row customerRow(const Json& customer)
    {
        const auto& contract = customer.at("contract");
        const auto& ceiling = contract.at("ceiling");
        return { word(customer.at("name")), word(customer.at("version")), word(customer.at("state")), word(contract.at("tier")), word(contract.at("share")),
            limit(ceiling.at("requests_per_second")), limit(ceiling.at("tokens_per_second")), limit(ceiling.at("in_flight")), std::to_string(contract.at("key_hashes").size()) };
    }

    Row targetRow(const Json& entry)
    {
        const auto& target = entry.at("target");
        return { word(entry.at("name")), word(entry.at("version")), word(entry.at("state")), word(target.at("kind")), word(target.at("serves")), word(target.at("zone")),
            word(target.at("host")) + ":" + word(target.at("port")), word(target.at("slots")), word(entry.at("pool")) };
    }

    const Row customerHeader { "CUSTOMER", "VERSION", "STATE", "TIER", "SHARE", "REQUESTS/S", "TOKENS/S", "IN FLIGHT", "KEYS" };
    const Row targetHeader { "TARGET", "VERSION", "STATE", "KIND", "SERVES", "ZONE", "ADDRESS", "SLOTS", "POOL" };

    std::string repairsToText(const Json& repairs)
    {
        std::string text;
        if (repairs.at("waits_for_leases_of_earlier_leader") == true)
            text += "  waits until leases of an earlier leader have ended\n";
        auto add = [&](const char* name, const std::string& label) {
            if (!repairs.at(name).empty())
                text += "  " + label + ": " + list(repairs.at(name)) + "\n";
        };
        add("pools_without_owner", "pools without an owner");
        add("pools_waiting_for_lease", "pools that wait until their owner's lease has ended");
        add("nodes_lost", "nodes lost");
        for (const auto& customer : repairs.at("customers_in_wind_down"))
            text += "  customer " + word(customer.at("name")) + " is " + word(customer.at("state")) + "\n";
        return "repairs and steps under way:\n" + (text.empty() ? "  none\n" : text);
    }

}

std::string customersToText(const Json& answer)
{
    std::vector<Row> rows { customerHeader };
    for (const auto& customer : answer.at("customers"))
        rows.push_back(customerRow(customer));
    return table(rows);
}

std::string customerToText(const Json& answer)
{
    std::string text = table({ customerHeader, customerRow(answer) });
    const auto& contract = answer.at("contract");
    text += "models: " + (contract.at("models").empty() ? "all" : list(contract.at("models"))) + "\n";
    for (const auto& rule : contract.at("repeatable"))
        text += "repeatable: " + word(rule.at("service")) + " " + word(rule.at("method")) + " " + word(rule.at("path_prefix")) + "\n";
    return text;
}

std::string targetsToText(const Json& answer)
{
    std::vector<Row> rows { targetHeader };
    for (const auto& target : answer.at("targets"))
        rows.push_back(targetRow(target));
    return table(rows);
}

std::string targetToText(const Json& answer)
{
    return table({ targetHeader, targetRow(answer) });
}

std::string suspectsToText(const Json& answer)
{
    std::vector<Row> rows { { "SUSPECT", "CRASHES", "SENDS AFTER THIRD CRASH", "CHANGED AT MS" } };
    for (const auto& suspect : answer.at("suspects"))
        rows.push_back({ word(suspect.at("suspect")), word(suspect.at("crashes")), word(suspect.at("sends_after_third_crash")), word(suspect.at("changed_at_ms")) });
    return table(rows);
}

std::string rolloutsToText(const Json& answer)
{
    std::vector<Row> rows { { "SERVICE", "TARGET", "STATE", "STAGE", "SHARE", "GRANTED", "ANSWERED", "BAD", "OTHERS: ANSWERED", "BAD" } };
    std::string reasons;
    for (const auto& rollout : answer.at("rollouts")) {
        const auto& target = rollout.at("target_version");
        const auto& others = rollout.at("other_versions");
        rows.push_back({ word(rollout.at("service")), word(rollout.at("target")), word(rollout.at("state")), word(rollout.at("stage")), word(rollout.at("share_permille")),
            word(target.at("granted")), word(target.at("answered")), word(target.at("bad")), word(others.at("answered")), word(others.at("bad")) });
        for (const auto& reason : rollout.at("reasons"))
            reasons += word(rollout.at("service")) + ": " + word(reason) + "\n";
    }
    return table(rows) + reasons;
}

Json rolloutsOfService(const Json& answer, const std::string& service)
{
    Json found = Json::array();
    for (const auto& rollout : answer.at("rollouts")) {
        if (rollout.at("service") == service)
            found.push_back(rollout);
    }
    return { { "rollouts", found } };
}

std::string changeToText(const Json& answer)
{
    if (!answer.contains("in_force"))
        return "change " + word(answer.at("change_id")) + " was refused: " + word(answer.at("error").at("message")) + "\n";
    std::string text = "change " + word(answer.at("change_id")) + " accepted as version " + word(answer.at("version"))
        + " (configuration " + word(answer.at("config_version")) + ")\n";
    if (answer.at("in_force") == true)
        return text + "in force on every node\n";
    return text + "not yet applied by nodes " + list(answer.at("not_applied")) + "; see: briarhitch-ctl change show " + word(answer.at("change_id")) + "\n";
}

std::string statusToText(const Json& answer)
{
    std::string text = "leader: " + word(answer.at("leader")) + ", term " + word(answer.at("term")) + ", configuration " + word(answer.at("config_version"))
        + ", customers " + word(answer.at("customers")) + ", targets " + word(answer.at("targets")) + "\n";
    std::vector<Row> voters { { "VOTER", "LINK", "ADMIN", "ROLE" } };
    for (const auto& voter : answer.at("voters")) {
        voters.push_back({ word(voter.at("node")), word(voter.at("host")) + ":" + word(voter.at("port")), word(voter.at("host")) + ":" + word(voter.at("admin_port")),
            voter.at("is_leader") == true ? "leader" : "follower" });
    }
    std::vector<Row> nodes { { "NODE", "STATE", "ZONE", "ADDRESS", "LEASE AGE S", "APPLIED" } };
    for (const auto& node : answer.at("nodes")) {
        nodes.push_back({ word(node.at("node")), word(node.at("state")), word(node.at("zone")), word(node.at("host")) + ":" + word(node.at("port")),
            word(node.at("lease_age_s")).substr(0, 5), word(node.at("applied_version")) });
    }
    std::vector<Row> pools { { "POOL", "OWNER", "EPOCH", "HANDED OVER BY" } };
    for (const auto& pool : answer.at("pools"))
        pools.push_back({ word(pool.at("name")), word(pool.at("owner")), word(pool.at("epoch")), word(pool.at("previous_owner")) });
    if (answer.contains("log")) {
        const auto& log = answer.at("log");
        text += "log: committed to " + word(log.at("commit_index")) + ", voters " + list(log.at("voters")) + ", learners " + list(log.at("learners")) + "\n";
    }
    const auto& runs = answer.at("run_records");
    return text + "\n" + table(voters) + "\n" + table(nodes) + "\n" + table(pools) + "\nrun records: " + word(runs.at("kept")) + " kept, " + word(runs.at("retired"))
        + " retired, " + word(runs.at("answer_bytes")) + " bytes of answers\n" + repairsToText(answer.at("repairs"));
}

std::string errorToText(const Json& answer, int status)
{
    if (!answer.is_object() || !answer.contains("error"))
        return "the server answered with status " + std::to_string(status) + "\n";
    const auto& error = answer.at("error");
    std::string text = word(error.at("kind")) + ": " + word(error.at("message")) + "\n";
    if (error.at("kind") == "version_conflict")
        text += "another change came first; look at the present state, then send with --expected_version " + word(answer.value("version", Json())) + "\n";
    return text;
}

}
