#include "briarhitch/entry/OwnerZones.h"

#include "briarhitch/entry/EntrySettings.h"
#include "briarhitch/metrics/MetricRegistry.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    PoolAssignment poolNamed(const std::string& name)
    {
        PoolAssignment pool;
        pool.name = name;
        pool.kind = PoolKind::Service;
        return pool;
    }

    // Guards against traffic between zones that operators do not see, and a gauge that stays after its requests are gone.
    TEST(OwnerZonesTest, CountsByZonePairAndResetsWaitingRequests)
    {
        MetricRegistry metrics;
        OwnerZones zones(metrics, { true, 0, 1ms });
        auto pool = poolNamed("wine");
        zones.recordGrant(pool, "a", "b");
        zones.recordGrant(pool, "a", "b");
        zones.recordFinished(pool, "a", "b", Tokens(0), Tokens(0));
        EXPECT_EQ(metrics.counter("pool_zone_requests_total", R"(pool="wine",from="a",to="b")"), 2U);
        EXPECT_GT(metrics.counter("pool_zone_bytes_total", R"(pool="wine",from="a",to="b")"), 0U);
        zones.publishWaiting(pool, { { "a", 3 } });
        EXPECT_NE(metrics.toPrometheusText().find(R"(pool_zone_waiting{pool="wine",zone="a"} 3)"), std::string::npos);
        zones.publishWaiting(pool, {});
        EXPECT_NE(metrics.toPrometheusText().find(R"(pool_zone_waiting{pool="wine",zone="a"} 0)"), std::string::npos);
    }

    // Guards against metrics in deployments that have the setting off.
    TEST(OwnerZonesTest, CountsNothingIfSettingIsOff)
    {
        MetricRegistry metrics;
        OwnerZones zones(metrics, {});
        zones.recordGrant(poolNamed("wine"), "a", "b");
        zones.recordFinished(poolNamed("wine"), "a", "b", Tokens(0), Tokens(0));
        EXPECT_EQ(metrics.toPrometheusText().find("pool_zone"), std::string::npos);
    }

    // Guards against settings that are read with another unit than documented, or not at all.
    TEST(OwnerZonesTest, ReadsSettings)
    {
        std::string text = R"({"node":1,"region":"lakes","zone":"a","fleet_key":"0123456789abcdef0123456789abcdef","serves_callers":false,)"
                           R"("link":{"host":"127.0.0.1","port":7100},"control_voters":[{"host":"127.0.0.1","port":7200}],)"
                           R"("policy":{"name":"slots","zone_spill":true,"zone_delay_ms":1.4,"zone_cost_per_mb":0.2}})";
        auto settings = EntrySettings::fromText(text, "test");
        ASSERT_TRUE(settings) << settings.error().message;
        EXPECT_TRUE(settings->pool.zoneSpill.isEnabled);
        EXPECT_EQ(toMs(settings->pool.zoneSpill.delay * 10), 14);
        EXPECT_DOUBLE_EQ(settings->pool.zoneSpill.costPerMb, 0.2);
    }

}
}
