#include "briarhitch/model/RoutingPatch.h"

#include "briarhitch/core/Random.h"
#include "wire/Codec.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    // Pattern: hundreds of nodes receive many routing documents in quick succession, each with a small change.

    Routing documentOf(uint64_t version, int routes)
    {
        Routing routing;
        routing.version = Version(version);
        for (int i = 0; i < routes; ++i) {
            Route route;
            route.name = "r-" + std::to_string(i);
            route.host = "host" + std::to_string(i % 7) + ".example";
            route.pathPrefix = "/p" + std::to_string(i) + "/";
            route.timeoutMs = 1000;
            route.services = { { "shop", 1 } };
            routing.routes.push_back(route);
        }
        for (const auto* name : { "shop", "engines" }) {
            RoutedService service;
            service.name = name;
            routing.services.push_back(service);
        }
        return routing;
    }

    RoutedCustomer customerOf(const std::string& name, const std::string& key)
    {
        RoutedCustomer customer;
        customer.name = name;
        customer.keyHashes = { key };
        return customer;
    }

    // Guards against a series of patches after which a node's document differs from the operator's.
    TEST(RoutingPatchTest, ApplyingPatchesYieldsTheWholeDocument)
    {
        Random random(7);
        Routing current;
        Routing routingOfNode;
        for (uint64_t version = 1; version <= 300; ++version) {
            auto next = documentOf(version, static_cast<int>(random.below(12)));
            for (auto& route : next.routes)
                route.timeoutMs = 1000 + static_cast<uint32_t>(random.below(2));
            for (uint64_t i = random.below(5); i > 0; --i)
                next.customers.push_back(customerOf("c" + std::to_string(i), "k" + std::to_string(random.below(3))));
            next.hasCustomers = !next.customers.empty();
            next.limits.idleTimeoutMs = 1000 + static_cast<uint32_t>(random.below(2));
            if (random.below(2) == 0)
                next.services.pop_back();
            next = inCanonicalOrder(next);
            auto patch = decode<RoutingPatch>(encode(patchBetween(current, next)));
            ASSERT_TRUE(patch);
            ASSERT_TRUE(applyPatch(routingOfNode, *patch));
            ASSERT_EQ(routingOfNode, next) << version;
            current = next;
        }
    }

    // Guards against a patch that is applied to a document of another version than the one it is based on.
    TEST(RoutingPatchTest, PatchOfAnotherVersionChangesNothing)
    {
        auto one = inCanonicalOrder(documentOf(1, 5));
        auto three = inCanonicalOrder(documentOf(3, 6));
        auto patch = patchBetween(inCanonicalOrder(documentOf(2, 4)), three);
        auto node = one;
        EXPECT_FALSE(applyPatch(node, patch));
        EXPECT_EQ(node, one);
    }

    // Guards against patches whose size grows with the document instead of the change.
    TEST(RoutingPatchTest, PatchSizeIsIndependentOfDocumentSize)
    {
        auto bytesOfOneChange = [](int routes) {
            auto from = inCanonicalOrder(documentOf(1, routes));
            auto to = from;
            to.version = Version(2);
            auto changed = std::find_if(to.routes.begin(), to.routes.end(), [](const Route& route) { return route.pathPrefix == "/p3/"; });
            changed->timeoutMs = 2000;
            return encode(patchBetween(from, to)).size();
        };
        EXPECT_EQ(bytesOfOneChange(10), bytesOfOneChange(1400));
    }

}
}
