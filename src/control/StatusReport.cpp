#include "control/StatusReport.h"

namespace briarhitch {

namespace {

    const char* stateOf(const NodeRecord& node, const LeaseTable& leases, Instant now)
    {
        if (node.lost)
            return "lost";
        if (leases.hasRecentHeartbeat(node.id, node.incarnation, now))
            return node.draining ? "draining" : "live";
        return "lease_unknown";
    }

    Json votersToJson(const AdminSettings& settings, const std::optional<ControlVoter>& leader)
    {
        Json json = Json::array();
        for (const auto& voter : settings.voters) {
            json.push_back({ { "node", voter.node.value() }, { "host", voter.host }, { "port", voter.port }, { "admin_port", voter.adminPort },
                { "is_leader", leader && leader->node == voter.node } });
        }
        return json;
    }

    Json logToJson(const RaftStatus& status)
    {
        return { { "commit_index", status.commitIndex }, { "applied_index", status.appliedIndex }, { "last_index", status.lastIndex },
            { "voters", toJson(status.voters) }, { "learners", toJson(status.learners) } };
    }

    Json nodesToJson(const ControlServer& server, Instant now)
    {
        Json json = Json::array();
        for (const auto& [id, node] : server.state().config().nodes) {
            auto age = server.leases().timeSinceHeartbeat(id, node.incarnation, now);
            const auto* report = server.findReport(id);
            Json entry;
            entry["node"] = id.value();
            entry["state"] = stateOf(node, server.leases(), now);
            entry["region"] = node.region;
            entry["zone"] = node.zone;
            entry["host"] = node.host;
            entry["port"] = node.port;
            entry["incarnation"] = node.incarnation.value();
            entry["lease_age_s"] = age == Duration::max() ? Json() : Json(toSeconds(age));
            entry["applied_version"] = report ? Json(report->applied.value()) : Json();
            json.push_back(entry);
        }
        return json;
    }

    Json poolsToJson(const ClusterConfig& config)
    {
        Json json = Json::array();
        for (const auto& [id, pool] : config.pools) {
            json.push_back({ { "pool", id.value() }, { "name", pool.name }, { "owner", pool.owner.isValid() ? Json(pool.owner.value()) : Json() },
                { "epoch", pool.epoch.value() }, { "previous_owner", pool.previousOwner.isValid() ? Json(pool.previousOwner.value()) : Json() } });
        }
        return json;
    }

    bool isOwnerGone(const PoolAssignment& pool, const ClusterConfig& config)
    {
        auto owner = config.nodes.find(pool.owner);
        return owner == config.nodes.end() || owner->second.lost || owner->second.incarnation != pool.ownerIncarnation;
    }

    Json repairsToJson(const ControlServer& server, Instant now)
    {
        const auto& config = server.state().config();
        Json json;
        json["waits_for_leases_of_earlier_leader"] = server.isLeader() && server.leases().mayEarlierLeasesBeValid(now);
        json["pools_without_owner"] = Json::array();
        json["pools_waiting_for_lease"] = Json::array();
        for (const auto& [id, pool] : config.pools) {
            if (!isOwnerGone(pool, config))
                continue;
            bool isWaiting = pool.owner.isValid() && server.leases().mayHoldLease(pool.owner, pool.ownerIncarnation, now);
            json[isWaiting ? "pools_waiting_for_lease" : "pools_without_owner"].push_back(pool.name);
        }
        json["nodes_lost"] = Json::array();
        for (const auto& [id, node] : config.nodes) {
            if (node.lost)
                json["nodes_lost"].push_back(id.value());
        }
        json["customers_in_wind_down"] = Json::array();
        for (const auto& [id, contract] : config.customers) {
            if (contract.state != CustomerState::Active && contract.state != CustomerState::Erased)
                json["customers_in_wind_down"].push_back({ { "name", contract.name }, { "state", toString(contract.state) } });
        }
        return json;
    }

}

Json statusToJson(const AdminSettings& settings, const ControlServer& server, Instant now)
{
    const auto& state = server.state();
    auto leader = server.leader();
    Json json;
    json["self"] = settings.self.value();
    json["is_leader"] = server.isLeader();
    json["leader"] = leader ? Json(leader->node.value()) : Json();
    json["term"] = server.term();
    json["voters"] = votersToJson(settings, leader);
    if (settings.logStatus)
        json["log"] = logToJson(settings.logStatus());
    json["config_version"] = state.config().version.value();
    json["customers"] = state.config().customers.size();
    json["targets"] = state.config().targets.size();
    json["nodes"] = nodesToJson(server, now);
    json["pools"] = poolsToJson(state.config());
    json["run_records"] = { { "kept", state.runs().size() - state.runs().retiredCount() }, { "retired", state.runs().retiredCount() }, { "answer_bytes", state.runs().responseBytes() } };
    json["repairs"] = repairsToJson(server, now);
    return json;
}

}
