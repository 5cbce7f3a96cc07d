#include "control/SoftwareVersions.h"

#include <algorithm>

namespace briarhitch {

namespace {

    bool contains(const std::vector<std::string>& versions, const std::string& version)
    {
        return std::find(versions.begin(), versions.end(), version) != versions.end();
    }

}

void addSoftwareVersions(const ClusterConfig& config, ConfigDelta& delta)
{
    for (const auto& target : delta.targets) {
        auto changed = std::find_if(delta.pools.begin(), delta.pools.end(), [&](const PoolAssignment& pool) { return pool.id == target.pool; });
        if (changed == delta.pools.end()) {
            auto known = config.pools.find(target.pool);
            if (known == config.pools.end() || contains(known->second.softwareVersions, target.softwareVersion))
                continue;
            changed = delta.pools.insert(delta.pools.end(), known->second);
        }
        if (!contains(changed->softwareVersions, target.softwareVersion))
            changed->softwareVersions.push_back(target.softwareVersion);
    }
}

ConfigDelta retiredVersionsDelta(const ClusterConfig& config, const RetireSoftwareVersionsCommand& command)
{
    ConfigDelta delta;
    auto known = config.pools.find(command.pool);
    if (known == config.pools.end())
        return delta;
    // A target of the version may have joined since the command was proposed.
    auto used = softwareVersionsInUse(config, command.pool);
    PoolAssignment pool = known->second;
    auto retired = std::erase_if(pool.softwareVersions, [&](const std::string& version) { return !used.contains(version) && contains(command.versions, version); });
    if (retired > 0)
        delta.pools.push_back(std::move(pool));
    return delta;
}

}
