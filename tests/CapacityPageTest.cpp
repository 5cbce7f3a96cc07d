#include "capacity/CapacityTable.h"

#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace briarhitch {
namespace {

    std::string readSource(const std::string& name)
    {
        std::ifstream stream(std::string(BRIARHITCH_SOURCE_DIR) + "/" + name);
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    // Guards against a page whose figures do not follow from the run that is kept with it.
    TEST(CapacityPageTest, TableFollowsFromTheKeptRun)
    {
        auto page = readSource("docs/CAPACITY.md");
        auto data = nlohmann::json::parse(readSource("docs/data/capacity.json"));
        auto filled = fillTable(page, data);
        ASSERT_TRUE(filled) << filled.error().message;
        EXPECT_EQ(*filled, page) << "run build/bin/briarhitch-capacity --fill_page docs/CAPACITY.md";
        EXPECT_NE(page.find("| line:"), std::string::npos) << "the page has no table";
    }

    // Guards against a slope from too few points, or a bend that is reported as a line.
    TEST(CapacityPageTest, EachSlopeHasFourPointsAndBendsAreNamedOnThePage)
    {
        auto page = readSource("docs/CAPACITY.md");
        auto data = nlohmann::json::parse(readSource("docs/data/capacity.json"));
        for (const auto& [name, slope] : data["slopes"].items()) {
            EXPECT_GE(slope["points"].size(), 4U) << name;
            bool isNamed = page.find("`" + name + "` bends") != std::string::npos;
            EXPECT_EQ(slope["bends"].get<bool>(), isNamed) << name;
        }
    }

    // Guards against an evaluator that returns a page's own numbers.
    TEST(CapacityPageTest, ResultIsComputedFromSourceCountAndFactor)
    {
        auto data = nlohmann::json::parse(R"({"slopes":{"s":{"slope":2,"intercept":10}},"message_bytes":{"m":70},"figures":{"f":5}})");
        auto fill = [&](const std::string& source) {
            return fillTable("| x | " + source + " | 8/2 | 0.5 | 0 | B |", data).value_or("");
        };
        EXPECT_EQ(fill("line:s"), "| x | line:s | 8/2 | 0.5 | 9 | B |");
        EXPECT_EQ(fill("slope:s"), "| x | slope:s | 8/2 | 0.5 | 4 | B |");
        EXPECT_EQ(fill("message:m"), "| x | message:m | 8/2 | 0.5 | 140 | B |");
        EXPECT_EQ(fill("figure:f"), "| x | figure:f | 8/2 | 0.5 | 10 | B |");
        EXPECT_EQ(fill("line:missing"), "");
    }

}
}
