#include "briarhitch/entry/EntrySettings.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/settings/ControlSettings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <sstream>

namespace briarhitch::platform {
namespace {

    std::string replaceAll(std::string text, const std::string& from, const std::string& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
        return text;
    }

    /** Renders a template as the platform does; supports values, and sections that are rendered at most once. */
    std::string render(const std::string& file, const std::map<std::string, std::string>& json)
    {
        std::ifstream input(std::string(BRIARHITCH_SOURCE_DIR) + "/deploy/" + file);
        std::ostringstream all;
        all << input.rdbuf();
        auto text = all.str();
        std::smatch section;
        const std::regex plainSection(R"(\{\{#([A-Za-z.]+)\}\}([^]*?)\{\{/\1\}\})");
        while (std::regex_search(text, section, plainSection)) {
            auto value = json.find(section[1]);
            auto body = value == json.end() ? "" : replaceAll(section[2], "{{.}}", value->second);
            text.replace(static_cast<size_t>(section.position(0)), static_cast<size_t>(section.length(0)), body);
        }
        const std::regex invertedSection(R"(\{\{\^([A-Za-z.]+)\}\}([^]*?)\{\{/\1\}\})");
        while (std::regex_search(text, section, invertedSection))
            text.replace(static_cast<size_t>(section.position(0)), static_cast<size_t>(section.length(0)), json.contains(section[1]) ? "" : section[2].str());
        for (const auto& [name, value] : json) {
            for (const auto* end : { "|json}}", "}}" }) {
                std::string placeholder = "{{";
                placeholder.append(name).append(end);
                text = replaceAll(text, placeholder, value);
            }
        }
        EXPECT_EQ(text.find("{{"), std::string::npos) << text;
        return text;
    }

    std::map<std::string, std::string> fields()
    {
        return { { "seeds", R"(["10.1.0.17:8229","10.2.0.7:8229","10.3.0.36:8229"])" }, { "portRange.0", "7600" }, { "portRange.1", "7615" },
            { "zone", R"("duluth")" }, { "ip", R"("10.1.0.17")" }, { "listen.front", R"("10.1.0.17:8221")" }, { "listen.ready", R"("10.1.0.17:8224")" },
            { "listen.control", R"("10.1.0.17:8229")" }, { "bounds.retryBudgetRatio", "0.2" }, { "bounds.budgetSlack", "58" }, { "bounds.budgetWindowS", "10" },
            { "bounds.quotaOver", "0.1" }, { "bounds.quotaSlack", "140000" }, { "bounds.quotaWindowS", "8" }, { "tolerate.machines", "2" },
            { "bootstrap", "true" }, { "dataDir", R"("/data/control")" } };
    }

    // Guards against a template whose settings fail validation, on a deployment with or without the optional bounds.
    TEST(TemplatesTest, RenderedSettingsAreValid)
    {
        auto values = fields();
        auto front = EntrySettings::fromText(render("front.json.in", values), "front");
        ASSERT_TRUE(front) << front.error().message;
        EXPECT_EQ(addressFromNodeId(front->node), "10.1.0.17");
        EXPECT_EQ(front->controlVoters.at(2), (HostPort { "10.3.0.36", 7600 }));
        EXPECT_EQ(front->http.port, 8221);
        // A long stream accepted 3.5 s after SIGTERM was aborted at the end of the grace period (leaving-servers-in-burst, seed
        // 1075956145699). Requests sent later than 3 s after SIGTERM have no guarantee, so none may be accepted after that.
        EXPECT_LE(front->limits.lameDuckTime + HttpServer::drainGracePeriod, std::chrono::seconds(3));
        EXPECT_GE(front->limits.lameDuckTime, std::chrono::seconds(2)) << "time for two readiness checks, which come once a second";
        EXPECT_EQ(front->ready->port, 8224);
        EXPECT_EQ(front->routed.retryBudget.slack, 58);
        EXPECT_EQ(front->ceilingTolerance.slack, 140000);
        auto pools = EntrySettings::fromText(render("pools.json.in", values), "pools");
        ASSERT_TRUE(pools) << pools.error().message;
        EXPECT_FALSE(pools->servesCallers);
        EXPECT_TRUE(pools->prefersPools);
        auto control = ControlSettings::fromText(render("control.json.in", values), "control");
        ASSERT_TRUE(control) << control.error().message;
        EXPECT_EQ(control->fleet->targetVoters, 5u);
        EXPECT_TRUE(control->fleet->mayBootstrap);
        EXPECT_EQ(control->findVoter(nodeIdFromAddress("10.9.9.9"))->adminPort, 8229);
        for (const auto* name : { "bounds.retryBudgetRatio", "bounds.budgetSlack", "bounds.budgetWindowS", "bounds.quotaOver", "bounds.quotaSlack", "bounds.quotaWindowS" })
            values.erase(name);
        values["tolerate.machines"] = "0";
        values["bootstrap"] = "false";
        EXPECT_TRUE(EntrySettings::fromText(render("front.json.in", values), "front"));
        EXPECT_TRUE(EntrySettings::fromText(render("pools.json.in", values), "pools"));
        EXPECT_TRUE(ControlSettings::fromText(render("control.json.in", values), "control"));
    }

}
}
