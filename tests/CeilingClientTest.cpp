#include "briarhitch/entry/CeilingClient.h"
#include "briarhitch/entry/CeilingHost.h"

#include "support/EntryFakes.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    PoolAssignment ceilingPool(Epoch epoch, uint32_t owner, uint32_t previousOwner = 0)
    {
        return { PoolId(20), "ceiling:4", PoolKind::Ceiling, "", epoch, NodeId(owner), Incarnation(1), NodeId(previousOwner) };
    }

    Contract limited()
    {
        Contract contract;
        contract.customer = CustomerId(4);
        contract.ceiling.inFlight = 3;
        return contract;
    }

    ClusterConfig configWith(const PoolAssignment& pool)
    {
        ClusterConfig config;
        config.version = Version(1);
        config.customers[CustomerId(4)] = limited();
        config.pools[pool.id] = pool;
        return config;
    }

    /** Delivers asks to a host in the same process. */
    class HostTransport : public FakeTransport {
    public:
        explicit HostTransport(CeilingHost& host)
            : host_(host)
        {
        }
        Result<std::string> call(NodeId, MessageType, std::string body, Duration) override { return host_.onAllocationRequest(NodeId(2), body); }

    private:
        CeilingHost& host_;
    };

    bool givesPortion(CeilingHost& host)
    {
        auto answer = host.onAllocationRequest(NodeId(2), encode(CeilingAsk { PoolId(20), CustomerId(4), 1, 1, 0 }));
        return decode<CeilingPortion>(*answer)->valid;
    }

    // Guards against two owners whose portions add up to more than the ceiling.
    TEST(CeilingClientTest, NewOwnerWaitsForTheOldPortions)
    {
        struct Case {
            PoolAssignment pool;
            Duration wait;
        };
        for (const auto& test : { Case { ceilingPool(Epoch(1), 1), 0s }, Case { ceilingPool(Epoch(2), 1), 1s }, Case { ceilingPool(Epoch(2), 1, 3), 4150ms } }) {
            ManualClock clock;
            bool hasLease = true;
            CeilingHost host(
                NodeId(1), Incarnation(1), [&] { return hasLease; }, clock.hook());
            host.onConfigChange(configWith(test.pool));
            if (test.wait > 0s) {
                clock.now += test.wait - 1ms;
                EXPECT_FALSE(givesPortion(host));
                clock.now += 1ms;
            }
            EXPECT_TRUE(givesPortion(host));
            hasLease = false;
            EXPECT_FALSE(givesPortion(host));
            hasLease = true;
            host.onConfigChange(configWith(ceilingPool(Epoch(3), 2)));
            EXPECT_FALSE(givesPortion(host));
        }
    }

    // Guards against a ceiling that is not kept, or that is never freed.
    TEST(CeilingClientTest, RequestsAreAdmittedWithinThePortion)
    {
        runInFiber([](Loop& loop) {
            ManualClock clock;
            CeilingHost host(
                NodeId(1), Incarnation(1), [] { return true; }, clock.hook());
            auto config = configWith(ceilingPool(Epoch(1), 1));
            host.onConfigChange(config);
            HeartbeatReply reply;
            reply.snapshot = config;
            ClusterView view;
            view.apply(reply);
            HostTransport transport(host);
            CeilingClient client(loop, view, transport, clock.hook());
            for (int i = 0; i < 3; ++i)
                EXPECT_TRUE(client.admit(limited(), Tokens(10)));
            auto refused = client.admit(limited(), Tokens(10));
            ASSERT_FALSE(refused);
            EXPECT_EQ(refused.error().kind, ErrorKind::CeilingInFlight);
            client.release(CustomerId(4), Tokens(0));
            EXPECT_TRUE(client.admit(limited(), Tokens(10)));
            Contract other;
            other.customer = CustomerId(5);
            EXPECT_TRUE(client.admit(other, Tokens(1000000)));
            waitForOtherFibers(loop);
        });
    }

}
}
