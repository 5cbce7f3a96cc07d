#include "briarhitch/metrics/MetricRegistry.h"

#include "metrics/MetricHelp.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

namespace briarhitch {
namespace {

    // Guards against histograms whose buckets are not cumulative, or which lose what is above the last bound.
    TEST(MetricRegistryTest, HistogramsHaveCumulativeBuckets)
    {
        MetricRegistry metrics;
        for (double seconds : { 0.0005, 0.1, 0.1, 0.9, 100.0 })
            metrics.observe("routed_queue_seconds", "route_tier=\"1\"", seconds);
        auto text = metrics.toPrometheusText();
        for (const auto* line : { "# TYPE routed_queue_seconds histogram", "routed_queue_seconds_bucket{route_tier=\"1\",le=\"0.001\"} 1\n",
                 "routed_queue_seconds_bucket{route_tier=\"1\",le=\"0.1\"} 3\n", "routed_queue_seconds_bucket{route_tier=\"1\",le=\"1\"} 4\n",
                 "routed_queue_seconds_bucket{route_tier=\"1\",le=\"30\"} 4\n", "routed_queue_seconds_bucket{route_tier=\"1\",le=\"+Inf\"} 5\n",
                 "routed_queue_seconds_sum{route_tier=\"1\"} 101.1005\n", "routed_queue_seconds_count{route_tier=\"1\"} 5\n" })
            EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }

    // Guards against a type or help line that is missing or written once for each set of labels.
    TEST(MetricRegistryTest, EachMetricIsDescribedOnce)
    {
        MetricRegistry metrics;
        metrics.count("routed_refusals_total", "kind=\"shed\"");
        metrics.count("routed_refusals_total", "kind=\"no_target\"", 2);
        metrics.setGauge("pool_owned", {}, 3);
        EXPECT_EQ(metrics.toPrometheusText(), "# HELP routed_refusals_total Routed requests that were refused, by kind of error.\n"
                                              "# TYPE routed_refusals_total counter\n"
                                              "routed_refusals_total{kind=\"no_target\"} 2\n"
                                              "routed_refusals_total{kind=\"shed\"} 1\n"
                                              "# HELP pool_owned Pools that this entry owns.\n"
                                              "# TYPE pool_owned gauge\n"
                                              "pool_owned 3\n");
    }

    // Guards against a metric that is added without saying what it means.
    TEST(MetricRegistryTest, EachNameInTheSourcesHasHelp)
    {
        const std::regex use(R"re((?:count|setGauge|observe)\("([a-z_]+)")re");
        size_t names = 0;
        for (const auto& file : std::filesystem::recursive_directory_iterator(std::string(BRIARHITCH_SOURCE_DIR) + "/src")) {
            if (file.path().extension() != ".cpp")
                continue;
            std::ifstream stream(file.path());
            std::stringstream text;
            text << stream.rdbuf();
            auto source = text.str();
            for (std::sregex_iterator it(source.begin(), source.end(), use), end; it != end; ++it) {
                ++names;
                EXPECT_FALSE(metricHelp((*it)[1].str()).empty()) << (*it)[1] << " in " << file.path();
            }
        }
        EXPECT_GT(names, 40u);
    }

}
}
