#include "briarhitch/settings/ControlSettings.h"

#include <gtest/gtest.h>
#include <string>

namespace briarhitch {
namespace {

    std::string settingsText(const std::string& voters, const std::string& more = "")
    {
        return R"({ "node": 1, "link": { "host": "127.0.0.1", "port": 7100 }, "admin": { "host": "127.0.0.1", "port": 7101 },
            "data_folder": "/data", "fleet_key": "0123456789abcdef", "operator_key_hashes": [")"
            + std::string(64, 'a') + R"("], "voters": [)" + voters + "]" + more + "}";
    }

    constexpr auto voter = R"({ "node": 1, "host": "127.0.0.1", "port": 7100, "admin_port": 7101 })";

    // Guards against defaults that differ from the documentation.
    TEST(ControlSettingsTest, MissingSettingsGetDefaults)
    {
        auto settings = ControlSettings::fromText(settingsText(voter), "test");
        ASSERT_TRUE(settings) << settings.error().message;
        EXPECT_EQ(settings->poolScope, PoolScope::Region);
        EXPECT_EQ(settings->maxRunRecords, 5'000'000);
        EXPECT_EQ(settings->responseRetention, std::chrono::hours(24));
        EXPECT_TRUE(settings->findVoter(NodeId(1)).has_value());
        EXPECT_FALSE(settings->findVoter(NodeId(2)).has_value());
    }

    // Guards against a voter that starts although its settings allow no majority or no operator.
    TEST(ControlSettingsTest, ProblemsAreReported)
    {
        auto messageOf = [](const std::string& text) {
            auto settings = ControlSettings::fromText(text, "test");
            return settings ? std::string("accepted") : settings.error().message;
        };
        std::string both = std::string(voter) + "," + voter;
        EXPECT_NE(messageOf(settingsText(both)).find("listed twice"), std::string::npos);
        EXPECT_NE(messageOf(settingsText("")).find("voters: found 0"), std::string::npos);
        EXPECT_NE(messageOf(settingsText(R"({ "node": 2, "host": "127.0.0.1", "port": 1, "admin_port": 2 })")).find("is not listed"), std::string::npos);
        EXPECT_NE(messageOf(settingsText(voter, R"(, "pool_scop": "zone")")).find("pool_scop: is not a known setting"), std::string::npos);
        EXPECT_NE(messageOf(settingsText(voter, R"(, "pool_scope": "planet")")).find("expected one of: region, zone"), std::string::npos);
        EXPECT_NE(messageOf("{}").find("fleet_key: is missing"), std::string::npos);
    }

}
}
