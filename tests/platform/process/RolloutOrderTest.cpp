#include "platform/process/ControlGroup.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarhitch::platform {
namespace {

    using Json = nlohmann::json;

    constexpr auto orderText = R"({"service":"shop","target":"v2","durationS":600})";

    constexpr auto documentText = R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"service":"shop"}],"services":[{"name":"shop"}]})";

    int placeOrder(ControlGroup& group, int number, const std::string& body = orderText) { return group.call(number, "POST", "/v1/rollouts", body).status; }

    // Guards against an acknowledged order that is lost with the leader or with all processes, and against a second rollout or a
    // refusal when it is sent again to another process.
    TEST(RolloutOrderTest, AnAcknowledgedOrderSurvivesTheLeaderAndAllProcesses)
    {
        ControlGroup group(3);
        group.waitUntil("a leader", [&] { return group.call(1, "GET", "/v1/rollouts/shop").status == 404; });
        EXPECT_EQ(placeOrder(group, 1), 503) << "without a routing document";
        group.waitUntil("the routing document", [&] { return group.call(1, "PUT", "/v1/config", documentText).status == 200; });
        group.waitUntil("the order", [&] { return placeOrder(group, 2) == 200; });
        auto isKept = [&](int number) {
            auto answer = group.call(number, "GET", "/v1/rollouts/shop");
            return answer.status == 200 && Json::parse(answer.body) == Json({ { "state", "running" }, { "target", "v2" } });
        };
        EXPECT_TRUE(isKept(3));

        int leader = 0;
        group.waitUntil("the leader", [&] { return (leader = group.leader()) != 0; });
        group.process(leader).kill();
        int other = leader % 3 + 1;
        group.waitUntil("the rollout at the next leader", [&] { return isKept(other); });
        group.waitUntil("the repeated order", [&] { return placeOrder(group, other) == 200; });
        EXPECT_EQ(placeOrder(group, other, R"({"service":"shop","target":"v3","durationS":600})"), 409);

        group.killAll();
        for (int number : { 1, 2, 3 })
            group.start(number, false);
        group.waitUntil("the rollout after a power failure", [&] { return isKept(1); });
    }

}
}
