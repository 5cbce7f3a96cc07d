#include "platform/process/PlatformProcesses.h"

#include "briarhitch/runtime/Loop.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr auto orderText = R"({"service":"shop","target":"v2","durationS":600})";

    constexpr auto documentText = R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"service":"shop"}],"services":[{"name":"shop"}]})";

    /** Three control processes with rollouts, without entries and targets. */
    struct ControlGroup {
        ControlGroup()
        {
            for (int number : { 1, 2, 3 })
                start(number, true);
        }

        void start(int number, bool mayBootstrap)
        {
            auto settings = fleet.controlSettings(number, mayBootstrap);
            settings["rollout"] = { { "expose_share", 0.1 }, { "expose_slack", 50 }, { "rollback_ms", 5000 } };
            fleet.start(nameOf(number), "briarhitch-platform-control", settings, { "--instances=" + fleet.address(50, PlatformProcesses::platformPort) });
        }

        static std::string nameOf(int number) { return "control-" + std::to_string(number); }

        HttpResponse call(int number, const std::string& method, const std::string& path, const std::string& body = {})
        {
            HttpResponse result;
            loop.spawn([&] {
                result = fleet.callOperatorApi(client, number, method, body, path);
                loop.stop();
            });
            loop.run();
            return result;
        }

        int order(int number, const std::string& body = orderText) { return call(number, "POST", "/v1/rollouts", body).status; }

        /** The process that answers without a redirect; 0 if there is none. */
        int leader()
        {
            for (int number : { 1, 2, 3 }) {
                HttpResponse answer;
                loop.spawn([&] {
                    if (auto response = fetch(client, PlatformProcesses::callSettings(fleet.host(number), PlatformProcesses::adminPort, "GET", "/v1/rollouts/shop")))
                        answer = *response;
                    loop.stop();
                });
                loop.run();
                if (answer.status == 200)
                    return number;
            }
            return 0;
        }

        static void waitUntil(const std::string& what, const std::function<bool()>& condition)
        {
            auto end = std::chrono::steady_clock::now() + 60s;
            while (!condition()) {
                ASSERT_LT(std::chrono::steady_clock::now(), end) << "waited for " << what;
                std::this_thread::sleep_for(20ms);
            }
        }

        PlatformProcesses fleet { BRIARHITCH_BIN_DIR };
        Loop loop;
        HttpClient client { loop };
    };

    // Guards against an acknowledged order that is lost with the leader or with all processes, and against a second rollout or a
    // refusal when it is sent again to another process.
    TEST(RolloutOrderTest, AnAcknowledgedOrderSurvivesTheLeaderAndAllProcesses)
    {
        ControlGroup group;
        group.waitUntil("a leader", [&] { return group.call(1, "GET", "/v1/rollouts/shop").status == 404; });
        EXPECT_EQ(group.order(1), 503) << "without a routing document";
        group.waitUntil("the routing document", [&] { return group.call(1, "PUT", "/v1/config", documentText).status == 200; });
        group.waitUntil("the order", [&] { return group.order(2) == 200; });
        auto isKept = [&](int number) {
            auto answer = group.call(number, "GET", "/v1/rollouts/shop");
            return answer.status == 200 && Json::parse(answer.body) == Json({ { "state", "running" }, { "target", "v2" } });
        };
        EXPECT_TRUE(isKept(3));

        int leader = 0;
        group.waitUntil("the leader", [&] { return (leader = group.leader()) != 0; });
        group.fleet.at(ControlGroup::nameOf(leader)).kill();
        int other = leader % 3 + 1;
        group.waitUntil("the rollout at the next leader", [&] { return isKept(other); });
        group.waitUntil("the repeated order", [&] { return group.order(other) == 200; });
        EXPECT_EQ(group.order(other, R"({"service":"shop","target":"v3","durationS":600})"), 409);

        group.fleet.killAll();
        for (int number : { 1, 2, 3 })
            group.start(number, false);
        group.waitUntil("the rollout after a power failure", [&] { return isKept(1); });
    }

}
}
