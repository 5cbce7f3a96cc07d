#include "briarhitch/sched/CeilingAllocator.h"
#include "briarhitch/sched/CeilingLimiter.h"
#include "briarhitch/sched/RetryBudget.h"

#include "support/Property.h"

#include <map>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr CustomerId customer { 7 };
    constexpr Ceiling ceiling { 20, 5000, 9 };

    struct UnexpiredAllocation {
        Ceiling allocation;
        Instant until;
    };

    // Guards against allocations whose sum exceeds the customer's ceiling.
    TEST(CeilingAllocatorTest, UnexpiredAllocationsStayWithinCeiling)
    {
        expectProperty(15, 100, [] {
            CeilingAllocator allocator;
            allocator.setCeiling(customer, ceiling);
            std::map<NodeId, std::vector<UnexpiredAllocation>> unexpired;
            Instant now { 10s };
            for (int step = 0; step < 120; ++step) {
                now += std::chrono::milliseconds(draw(400));
                const NodeId node(static_cast<uint32_t>(1 + draw(6)));
                CeilingAsk request { PoolId(1), customer, static_cast<double>(draw(40)), static_cast<double>(draw(9000)), static_cast<uint32_t>(draw(4)) };
                const auto allocation = allocator.allocate(node, request, now);
                RC_ASSERT(allocation.valid);
                unexpired[node].push_back({ allocation.portion, now + std::chrono::milliseconds(allocation.validMs) });
                Ceiling sum;
                for (auto& [id, allocations] : unexpired) {
                    std::erase_if(allocations, [&](const UnexpiredAllocation& entry) { return entry.until <= now; });
                    // A node uses one allocation at a time; if a reply was lost, the allocator cannot know which.
                    Ceiling largest;
                    for (const auto& entry : allocations) {
                        largest.requestsPerSecond = std::max(largest.requestsPerSecond, entry.allocation.requestsPerSecond);
                        largest.tokensPerSecond = std::max(largest.tokensPerSecond, entry.allocation.tokensPerSecond);
                        largest.inFlight = std::max(largest.inFlight, entry.allocation.inFlight);
                    }
                    sum.requestsPerSecond += largest.requestsPerSecond;
                    sum.tokensPerSecond += largest.tokensPerSecond;
                    sum.inFlight += largest.inFlight;
                }
                RC_ASSERT(sum.requestsPerSecond <= ceiling.requestsPerSecond + 1e-6);
                RC_ASSERT(sum.tokensPerSecond <= ceiling.tokensPerSecond + 1e-6);
                RC_ASSERT(sum.inFlight <= ceiling.inFlight);
            }
        });
    }

    // Guards against an allocation that stays with a node which no longer requests it.
    TEST(CeilingAllocatorTest, AllocationsExpireWhenNotRenewed)
    {
        CeilingAllocator allocator;
        allocator.setCeiling(customer, ceiling);
        const CeilingAsk busy { PoolId(1), customer, 100, 100000, 0 };
        EXPECT_DOUBLE_EQ(allocator.allocate(NodeId(1), busy, Instant(10s)).portion.requestsPerSecond, 20);
        EXPECT_DOUBLE_EQ(allocator.allocate(NodeId(2), busy, Instant(10500ms)).portion.requestsPerSecond, 0);
        EXPECT_DOUBLE_EQ(allocator.allocate(NodeId(2), busy, Instant(11s)).portion.requestsPerSecond, 20);
    }

    // Guards against a new owner that allocates while allocations of the previous owner are still valid.
    TEST(CeilingAllocatorTest, NewOwnerWaitsForAllocationsOfPreviousOwner)
    {
        CeilingAllocator allocator(Instant(20s));
        allocator.setCeiling(customer, ceiling);
        EXPECT_FALSE(allocator.allocate(NodeId(1), { PoolId(1), customer, 1, 1, 0 }, Instant(19s)).valid);
        EXPECT_TRUE(allocator.allocate(NodeId(1), { PoolId(1), customer, 1, 1, 0 }, Instant(20s)).valid);
    }

    CeilingLimiter limiterWithAllocation(const Ceiling& allocation, Instant now)
    {
        CeilingLimiter limiter(customer, ceiling);
        limiter.setAllocation({ allocation, true, 1000 }, now, now);
        return limiter;
    }

    // Guards against refusals without the exceeded limit and a time to retry.
    TEST(CeilingLimiterTest, ReportsExceededLimit)
    {
        const Instant now { 10s };
        auto requests = limiterWithAllocation({ 2, 5000, 9 }, now);
        EXPECT_TRUE(requests.admit(Tokens(10), now));
        EXPECT_TRUE(requests.admit(Tokens(10), now));
        auto refused = requests.admit(Tokens(10), now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::CeilingRequests);
        EXPECT_GE(*refused.error().retryAfter, 1s);

        auto tokens = limiterWithAllocation({ 20, 100, 9 }, now);
        EXPECT_TRUE(tokens.admit(Tokens(600), now));
        refused = tokens.admit(Tokens(1), now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::CeilingTokens);
        EXPECT_EQ(*refused.error().retryAfter, 5s);

        auto inFlight = limiterWithAllocation({ 20, 5000, 1 }, now);
        EXPECT_TRUE(inFlight.admit(Tokens(1), now));
        EXPECT_EQ(inFlight.admit(Tokens(1), now).error().kind, ErrorKind::CeilingInFlight);
        inFlight.finished(Tokens(0));
        EXPECT_TRUE(inFlight.admit(Tokens(1), now));
    }

    // Guards against an allocation of zero being treated as unlimited, and against use without any allocation.
    TEST(CeilingLimiterTest, ZeroAllocationAdmitsNothing)
    {
        const Instant now { 10s };
        EXPECT_EQ(limiterWithAllocation({ 0, 0, 0 }, now).admit(Tokens(1), now).error().kind, ErrorKind::CeilingInFlight);
        EXPECT_EQ(CeilingLimiter(customer, ceiling).admit(Tokens(1), now).error().kind, ErrorKind::NoOwner);
        EXPECT_TRUE(CeilingLimiter(customer, {}).admit(Tokens(1), now));
    }

    // Guards against a node that uses an allocation indefinitely while the ceiling's owner is unreachable.
    TEST(CeilingLimiterTest, AllocationIsUsedForFiveSecondsWithoutOwner)
    {
        const Instant now { 10s };
        auto limiter = limiterWithAllocation({ 20, 5000, 9 }, now);
        EXPECT_TRUE(limiter.needsAllocation(now + 500ms));
        EXPECT_TRUE(limiter.admit(Tokens(1), now + 4900ms));
        EXPECT_EQ(limiter.admit(Tokens(1), now + 5s).error().kind, ErrorKind::NoOwner);
    }

    // Guards against admitting more than the allocation over time, although it is renewed often.
    TEST(CeilingLimiterTest, EnforcesRateOverTime)
    {
        Instant now { 10s };
        auto limiter = limiterWithAllocation({ 5, 5000, 9 }, now);
        int admitted = 0;
        for (int i = 0; i < 1000; ++i) {
            now += 10ms;
            limiter.setAllocation({ { 5, 5000, 9 }, true, 1000 }, now, now);
            if (limiter.admit(Tokens(1), now)) {
                ++admitted;
                limiter.finished(Tokens(0));
            }
        }
        EXPECT_LE(admitted, 5 * 10 + 5);
        EXPECT_GE(admitted, 5 * 10 - 1);
    }

    // Guards against retries that multiply the load on failing targets.
    TEST(RetryBudgetTest, RetriesStayBelowATenth)
    {
        expectProperty(16, 100, [] {
            RetryBudget budget;
            Instant now { 10s };
            int requests = 0;
            int retries = 0;
            for (int step = 0; step < 500; ++step) {
                now += std::chrono::milliseconds(draw(1000));
                if (draw(2) == 0) {
                    budget.recordRequest(customer, now);
                    ++requests;
                } else if (budget.tryRetry(customer, now)) {
                    ++retries;
                }
                RC_ASSERT(retries * 10 <= requests + 20);
            }
            RC_ASSERT(retries > 0);
        });
    }

    // Guards against a customer with few requests whose failures are never retried, and against more than two initial retries.
    TEST(RetryBudgetTest, NewAndIdleCustomersStartWithTwoRetries)
    {
        RetryBudget budget;
        for (Instant now : { Instant(10s), Instant(10s + 11min) }) {
            budget.recordRequest(customer, now);
            EXPECT_TRUE(budget.tryRetry(customer, now));
            EXPECT_TRUE(budget.tryRetry(customer, now));
            EXPECT_FALSE(budget.tryRetry(customer, now));
        }
    }

    // Guards against saved retries that never expire or are unbounded, and against a customer that spends another one's budget.
    TEST(RetryBudgetTest, SavedRetriesAreBoundedAndPerCustomer)
    {
        RetryBudget budget;
        const Instant now { 10s };
        for (int i = 0; i < 1000; ++i)
            budget.recordRequest(customer, now);
        EXPECT_FALSE(budget.tryRetry(CustomerId(8), now));
        for (int i = 0; i < 10; ++i)
            EXPECT_TRUE(budget.tryRetry(customer, now));
        EXPECT_FALSE(budget.tryRetry(customer, now));
        for (int i = 0; i < 20; ++i)
            budget.recordRequest(customer, now);
        EXPECT_FALSE(budget.tryRetry(customer, now + 11min));
    }

}
}
