#include "briarhitch/entry/CeilingClient.h"
#include "briarhitch/entry/CeilingHost.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    PoolAssignment ceilingPool(Epoch epoch, uint32_t owner, uint32_t previousOwner = 0)
    {
        return { PoolId(20), "ceiling:4", PoolKind::Ceiling, "", epoch, NodeId(owner), Incarnation(1), NodeId(previousOwner) };
    }

    Contract limitedContract()
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
        config.customers[CustomerId(4)] = limitedContract();
        config.pools[pool.id] = pool;
        return config;
    }

    /** Delivers allocation requests to a CeilingHost in the same process. */
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

    bool givesAllocation(CeilingHost& host)
    {
        auto reply = host.onAllocationRequest(NodeId(2), encode(CeilingRequest { PoolId(20), CustomerId(4), 1, 1, 0 }));
        return decode<CeilingAllocation>(*reply)->valid;
    }

    // Guards against a new pool owner that hands out allocations while those of the previous owner are still valid, so
    // that together they exceed the ceiling.
    TEST(CeilingClientTest, NewOwnerWaitsForAllocationsOfThePreviousOwner)
    {
        struct Case {
            PoolAssignment pool;
            Duration wait;
        };
        for (const auto& test : { Case { ceilingPool(Epoch(1), 1), 0s }, Case { ceilingPool(Epoch(2), 1), 1s }, Case { ceilingPool(Epoch(2), 1, 3), 4150ms } }) {
            ManualClock clock;
            MetricRegistry metrics;
            bool hasLease = true;
            CeilingHost host({ NodeId(1), Incarnation(1) }, metrics, { [&] { return hasLease; }, [] {}, clock.hook() });
            host.onConfigChange(configWith(test.pool));
            if (test.wait > 0s) {
                clock.now += test.wait - 1ms;
                EXPECT_FALSE(givesAllocation(host));
                clock.now += 1ms;
            }
            EXPECT_TRUE(givesAllocation(host));
            hasLease = false;
            EXPECT_FALSE(givesAllocation(host));
            hasLease = true;
            host.onConfigChange(configWith(ceilingPool(Epoch(3), 2)));
            EXPECT_FALSE(givesAllocation(host));
        }
    }

    // Guards against admitting more requests in flight than the ceiling, and against a ceiling that stays used up after
    // requests have ended.
    TEST(CeilingClientTest, RequestsAreAdmittedWithinTheAllocation)
    {
        runInFiber([](Loop& loop) {
            ManualClock clock;
            MetricRegistry metrics;
            CeilingHost host({ NodeId(1), Incarnation(1) }, metrics, { [] { return true; }, [] {}, clock.hook() });
            auto config = configWith(ceilingPool(Epoch(1), 1));
            host.onConfigChange(config);
            HeartbeatReply reply;
            reply.snapshot = config;
            ClusterView view;
            view.apply(reply);
            HostTransport transport(host);
            CeilingClient client(loop, { NodeId(2) }, view, transport, metrics, clock.hook());
            for (int i = 0; i < 3; ++i)
                EXPECT_TRUE(client.admit(limitedContract(), Tokens(10)));
            auto refused = client.admit(limitedContract(), Tokens(10));
            ASSERT_FALSE(refused);
            EXPECT_EQ(refused.error().kind, ErrorKind::CeilingInFlight);
            client.release(CustomerId(4), Tokens(0));
            EXPECT_TRUE(client.admit(limitedContract(), Tokens(10)));
            Contract other;
            other.customer = CustomerId(5);
            EXPECT_TRUE(client.admit(other, Tokens(1000000)));
            waitForOtherFibers(loop);
        });
    }

}
}
