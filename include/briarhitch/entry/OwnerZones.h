#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/zone/ZoneSpillSettings.h"

#include <map>
#include <string>
#include <vector>

namespace briarhitch {

class MetricRegistry;

/** Metrics and log lines of the owner of pools about traffic between availability zones; nothing if the setting is off. */
class OwnerZones {
public:
    OwnerZones(MetricRegistry& metrics, const ZoneSpillSettings& settings);

    [[nodiscard]] bool isEnabled() const { return isEnabled_; }
    void recordGrant(const PoolAssignment& pool, const std::string& from, const std::string& to);
    void recordFinished(const PoolAssignment& pool, const std::string& from, const std::string& to, Tokens prompt, Tokens output);
    void log(const PoolAssignment& pool, const std::vector<ZoneSpillEvent>& events) const;
    /** Requests that wait in the pool, by the zone of their entry. */
    void publishWaiting(const PoolAssignment& pool, const std::map<std::string, size_t>& waiting);

private:
    MetricRegistry& metrics_;
    bool isEnabled_;
    /** Published gauges by pool and zone, so that those of zones without waiting requests become zero. */
    std::map<std::string, std::map<std::string, size_t>> waiting_;
};

}
