#include "briarhitch/entry/OwnerZones.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/zone/TransferBytes.h"

namespace briarhitch {

namespace {

    const Log& zoneLog()
    {
        static const Log log("zones:");
        return log;
    }

    std::string pairLabels(const PoolAssignment& pool, const std::string& from, const std::string& to)
    {
        return "pool=\"" + pool.name + "\",from=\"" + from + "\",to=\"" + to + "\"";
    }

}

OwnerZones::OwnerZones(MetricRegistry& metrics, const ZoneSpillSettings& settings)
    : metrics_(metrics)
    , isEnabled_(settings.isEnabled)
{
}

void OwnerZones::recordGrant(const PoolAssignment& pool, const std::string& from, const std::string& to)
{
    if (isEnabled_)
        metrics_.count("pool_zone_requests_total", pairLabels(pool, from, to));
}

void OwnerZones::recordFinished(const PoolAssignment& pool, const std::string& from, const std::string& to, Tokens prompt, Tokens output)
{
    if (isEnabled_)
        metrics_.count("pool_zone_bytes_total", pairLabels(pool, from, to), static_cast<uint64_t>(estimateTransferBytes(pool.kind, prompt, output)));
}

void OwnerZones::log(const PoolAssignment& pool, const std::vector<ZoneSpillEvent>& events) const
{
    for (const auto& event : events)
        zoneLog().event(event.isStart ? "zone sends work to others" : "zone stops sending work to others", { { "pool", pool.name }, { "zone", event.zone }, { "reason", event.reason } });
}

void OwnerZones::publishWaiting(const PoolAssignment& pool, const std::map<std::string, size_t>& waiting)
{
    auto& published = waiting_[pool.name];
    for (auto& [zone, count] : published)
        count = 0;
    for (const auto& [zone, count] : waiting)
        published[zone] = count;
    for (const auto& [zone, count] : published)
        metrics_.setGauge("pool_zone_waiting", "pool=\"" + pool.name + "\",zone=\"" + zone + "\"", static_cast<double>(count));
}

}
