#include "briarhitch/model/Routing.h"
#include "briarhitch/core/NodeAddress.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    Route route(const std::string& name, const std::string& host, const std::string& prefix, std::vector<WeightedService> services = { { "pool", 1 } })
    {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.timeoutMs = 1000;
        route.services = std::move(services);
        return route;
    }

    Routing document()
    {
        Routing routing;
        routing.version = Version(7);
        routing.services = { { "pool", "", 0, true, 0, 1 }, { "shop", "", 0, false, 0, 1 } };
        routing.routes = { route("all", "a.example", "/"), route("plans", "a.example", "/plans/"), route("long", "a.example", "/plans/long/") };
        routing.customers = { { "large", { "k1", "k2" }, Tier(1), {}, 0 }, { "small", { "k3" }, std::nullopt, {}, 0 } };
        routing.hasCustomers = true;
        return routing;
    }

    // Guards against a request that is matched by a route with a shorter prefix, or by a route of another host.
    TEST(RoutingTest, LongestPrefixOfTheHostWins)
    {
        RouteTable table(document());
        EXPECT_EQ(table.find("a.example", "/plans/long/3")->name, "long");
        EXPECT_EQ(table.find("a.example", "/plans/long")->name, "plans");
        EXPECT_EQ(table.find("a.example", "/plansx/long/3")->name, "all");
        EXPECT_EQ(table.find("a.example", "/")->name, "all");
        EXPECT_EQ(table.find("b.example", "/plans/"), nullptr);
        EXPECT_EQ(RouteTable(Routing {}).find("a.example", "/"), nullptr);
    }

    // Guards against a key that authenticates another customer, and against an unknown key that is accepted.
    TEST(RoutingTest, KeysBelongToOneCustomer)
    {
        RouteTable table(document());
        EXPECT_EQ(table.findCustomerByKeyHash("k2")->name, "large");
        EXPECT_EQ(table.findCustomerByKeyHash("k3")->name, "small");
        EXPECT_EQ(table.findCustomerByKeyHash("k4"), nullptr);
    }

    // Guards against an inconsistent document that is accepted and takes effect.
    TEST(RoutingTest, InconsistentDocumentsAreRejected)
    {
        EXPECT_TRUE(checkRouting(document()));
        auto isRejected = [](const std::function<void(Routing&)>& change) {
            auto routing = document();
            change(routing);
            return !checkRouting(routing);
        };
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.version = Version(); }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[0].services[0].service = "nowhere"; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].pathPrefix = "/"; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].pathPrefix = "/open"; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].timeoutMs = 0; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].services = { { "pool", 0 }, { "shop", 0 } }; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].services = { { "pool", -1 }, { "shop", 2 } }; }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.routes[1].services.clear(); }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.customers[1].keyHashes.push_back("k1"); }));
        EXPECT_TRUE(isRejected([](Routing& routing) { routing.customers[1].name = "large"; }));
    }

    // Guards against a service that gets more or fewer requests than its weight says, or any with a weight of zero.
    TEST(RoutingTest, SplitFollowsTheWeights)
    {
        auto split = route("split", "a.example", "/", { { "none", 0 }, { "most", 90 }, { "some", 10 }, { "off", 0 } });
        std::map<std::string, int> counts;
        for (int i = 0; i < 1000; ++i)
            ++counts[chooseService(split, i / 1000.0)];
        EXPECT_EQ(counts["most"], 900);
        EXPECT_EQ(counts["some"], 100);
        EXPECT_EQ(chooseService(split, 0.9999999999999999), "some");
    }

    // Guards against two addresses with the same node id, and against invalid text that is parsed as an address.
    TEST(NodeAddressTest, IdsAndAddressesAreOneToOne)
    {
        EXPECT_EQ(addressFromNodeId(nodeIdFromAddress("10.1.0.14")), "10.1.0.14");
        EXPECT_NE(nodeIdFromAddress("10.1.0.14"), nodeIdFromAddress("10.1.0.15"));
        EXPECT_FALSE(nodeIdFromAddress("10.1.0").isValid());
        EXPECT_EQ(parseHostPort("10.1.0.17:8229"), (HostPort { "10.1.0.17", 8229 }));
        for (const auto* text : { "", "10.1.0.17", "10.1.0.17:", "10.1.0.17:0", "10.1.0.17:99999", "10.1.0.17:80x", "name:80", ":80" })
            EXPECT_FALSE(parseHostPort(text)) << text;
    }

}
}
