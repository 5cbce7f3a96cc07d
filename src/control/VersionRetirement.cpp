#include "control/VersionRetirement.h"

#include <algorithm>

namespace briarhitch {

namespace {

    constexpr Duration minRetention = std::chrono::minutes(1);
    /** A stream runs for its route's timeout, and its caller continues it for as long again. */
    constexpr int timeoutsRetained = 2;

    Duration retentionOf(const ClusterConfig& config)
    {
        Duration longest(0);
        for (const auto& route : config.routing.routes) {
            if (route.kind == RouteKind::Stream)
                longest = std::max<Duration>(longest, std::chrono::milliseconds(route.timeoutMs));
        }
        return std::max(minRetention, timeoutsRetained * longest);
    }

}

std::vector<RetireSoftwareVersionsCommand> VersionRetirement::decide(const ClusterConfig& config, Instant now)
{
    std::vector<RetireSoftwareVersionsCommand> commands;
    std::map<std::pair<PoolId, std::string>, Instant> unused;
    for (const auto& [id, pool] : config.pools) {
        // Most pools have one version only.
        if (pool.softwareVersions.size() < 2)
            continue;
        auto used = softwareVersionsInUse(config, id);
        RetireSoftwareVersionsCommand command { id, {} };
        for (const auto& version : pool.softwareVersions) {
            if (used.contains(version))
                continue;
            auto known = unusedSince_.find({ id, version });
            auto since = known == unusedSince_.end() ? now : known->second;
            unused[{ id, version }] = since;
            if (now - since >= retentionOf(config))
                command.versions.push_back(version);
        }
        if (!command.versions.empty())
            commands.push_back(std::move(command));
    }
    unusedSince_ = std::move(unused);
    return commands;
}

}
