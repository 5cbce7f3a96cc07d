#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/ServiceRetryBudget.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };
    const CustomerId customer(3);

    Ceiling tokensPerSecond(double rate, double burst)
    {
        Ceiling ceiling;
        ceiling.tokensPerSecond = rate;
        ceiling.burst = burst;
        return ceiling;
    }

    /** Tokens admitted when a request of this size is attempted every 2 ms. */
    int64_t admittedUnderConstantLoad(CeilingBuckets& buckets, int64_t size, Instant from, Duration length)
    {
        int64_t admitted = 0;
        for (Instant now = from; now < from + length; now += 2ms) {
            if (buckets.debit(customer, Tokens(size), now))
                admitted += size;
        }
        return admitted;
    }

    // One customer sends many times its usual load. Guards against use beyond the ceiling and its tolerance in a window.
    TEST(CeilingBucketsTest, ConstantLoadStaysWithinRateBurstAndTolerance)
    {
        CeilingTolerance tolerance { 8s, 0.1, 140000 };
        CeilingBuckets buckets(tolerance);
        buckets.setCeiling(customer, tokensPerSecond(100000, 100000), start);
        auto allowed = static_cast<int64_t>((100000 * 8 + 100000) * 1.1 + 140000);
        auto admitted = admittedUnderConstantLoad(buckets, 9000, start, 8s);
        EXPECT_LE(admitted, allowed);
        EXPECT_GE(admitted, 100000 * 8 + 100000);
    }

    // Guards against an owner and its successor that together admit more than the tolerance allows.
    TEST(CeilingBucketsTest, SuccessorStartsWithWhatIsLeftOrWithFractionOfTolerance)
    {
        CeilingTolerance tolerance { 8s, 0.1, 140000 };
        for (bool isLeftKnown : { false, true }) {
            CeilingBuckets first(tolerance);
            CeilingBuckets second(tolerance);
            first.setCeiling(customer, tokensPerSecond(100000, 100000), start);
            auto admitted = admittedUnderConstantLoad(first, 9000, start, 4s);
            second.setCeiling(customer, tokensPerSecond(100000, 100000), start + 4s);
            if (isLeftKnown)
                second.limitLeft(customer, first.left(customer, start + 3s), 1s, start + 4s);
            else
                second.limitLeftAfterUnknownUse(customer, start + 4s);
            admitted += admittedUnderConstantLoad(second, 9000, start + 4s, 4s);
            EXPECT_LE(admitted, static_cast<int64_t>((100000 * 8 + 100000) * 1.1 + 140000));
            EXPECT_GE(admitted, 100000 * 8);
        }
    }

    // Guards against refusing a customer within its ceiling, and against limiting one without a ceiling.
    TEST(CeilingBucketsTest, UseWithinTheCeilingIsAdmitted)
    {
        CeilingBuckets buckets({});
        buckets.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        for (int i = 0; i < 100; ++i)
            EXPECT_TRUE(buckets.debit(customer, Tokens(99), start + i * 100ms));
        buckets.setCeiling(CustomerId(4), {}, start);
        EXPECT_TRUE(buckets.debit(CustomerId(4), Tokens(1 << 30), start));
        EXPECT_TRUE(buckets.debit(CustomerId(4), Tokens(1 << 30), start));
        EXPECT_EQ(buckets.debit(CustomerId(5), Tokens(1), start).error().kind, ErrorKind::NoOwner);
    }

    // Guards against a lowered ceiling that takes effect only after saved-up tokens are used.
    TEST(CeilingBucketsTest, LoweredCeilingTakesEffectImmediately)
    {
        CeilingBuckets buckets({});
        buckets.setCeiling(customer, tokensPerSecond(100000, 100000), start);
        buckets.setCeiling(customer, tokensPerSecond(100, 100), start);
        EXPECT_LE(admittedUnderConstantLoad(buckets, 50, start, 1s), 300);
        auto refused = buckets.debit(customer, Tokens(50), start + 1s);
        for (int i = 0; refused && i < 10; ++i)
            refused = buckets.debit(customer, Tokens(50), start + 1s);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::CeilingTokens);
        EXPECT_GT(*refused.error().retryAfter, 0s);
    }

    // Guards against charging the ceiling for requests that did not run.
    TEST(CeilingBucketsTest, RefundsAreCounted)
    {
        CeilingBuckets buckets({});
        buckets.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        ASSERT_TRUE(buckets.debit(customer, Tokens(1000), start));
        EXPECT_FALSE(buckets.debit(customer, Tokens(500), start));
        buckets.refund(customer, Tokens(1000), start);
        EXPECT_TRUE(buckets.debit(customer, Tokens(500), start));
    }

    // Guards against use during an outage of the owner that blocks the customer afterwards, and against use beside an owner
    // that went on admitting, which is not charged.
    TEST(CeilingBucketsTest, LocallyAdmittedUseIsChargedOnce)
    {
        CeilingBuckets idle({});
        idle.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        ASSERT_TRUE(idle.debit(customer, Tokens(9000), start));
        auto end = start + 11s;
        idle.charge(customer, { 2, 2000 }, 2s, end);
        EXPECT_TRUE(idle.debit(customer, Tokens(1), end)) << "the owner gained in two seconds what the entries used in them";

        CeilingBuckets busy({});
        busy.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        admittedUnderConstantLoad(busy, 50, start, 10s);
        busy.charge(customer, { 2, 2000 }, 2s, start + 10s);
        EXPECT_FALSE(busy.debit(customer, Tokens(1), start + 11900ms));
        EXPECT_TRUE(busy.debit(customer, Tokens(1), start + 12100ms)) << "the debt ends";
    }

    // Guards against a customer that gets the difference again and again when its ceiling is lowered and raised.
    TEST(CeilingBucketsTest, RaisingALoweredCeilingRestoresItsUse)
    {
        CeilingTolerance tolerance { 8s, 0.1, 72000 };
        CeilingBuckets buckets(tolerance);
        int64_t admitted = 0;
        for (int i = 0; i < 40; ++i) {
            double rate = i % 2 == 0 ? 258000 : 129000;
            buckets.setCeiling(customer, tokensPerSecond(rate, rate), start + i * 200ms);
            admitted += admittedUnderConstantLoad(buckets, 6000, start + i * 200ms, 200ms);
        }
        EXPECT_LE(admitted, static_cast<int64_t>((258000 * 8 + 258000) * 1.1 + 72000));
        EXPECT_GE(admitted, 129000 * 8);
    }

    // Guards against a request larger than the burst that is never admitted, or is admitted beside a whole window of others.
    TEST(CeilingBucketsTest, RequestLargerThanTheBurstIsAdmittedAfterIdleTime)
    {
        CeilingBuckets buckets({});
        buckets.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        ASSERT_TRUE(buckets.debit(customer, Tokens(5000), start));
        auto again = buckets.debit(customer, Tokens(5000), start);
        ASSERT_FALSE(again);
        EXPECT_FALSE(buckets.debit(customer, Tokens(1), start + 3900ms));
        EXPECT_FALSE(buckets.debit(customer, Tokens(5000), start + 5s));
        EXPECT_TRUE(buckets.debit(customer, Tokens(5000), start + 9100ms));
        EXPECT_FALSE(buckets.debit(customer, Tokens(5000), start + 17s));
    }

    // Guards against callers that all return at the moment at which there is room for one of them.
    TEST(CeilingBucketsTest, RefusedCallersReturnOneAfterAnother)
    {
        CeilingBuckets buckets({});
        buckets.setCeiling(customer, tokensPerSecond(1000, 1000), start);
        ASSERT_TRUE(buckets.debit(customer, Tokens(1000), start));
        Duration previous { 0 };
        for (int i = 0; i < 5; ++i) {
            auto refused = buckets.debit(customer, Tokens(200), start);
            ASSERT_FALSE(refused);
            EXPECT_GE(*refused.error().retryAfter - previous, i == 0 ? 50ms : 190ms);
            previous = *refused.error().retryAfter;
        }
        EXPECT_LE(previous, 2s);
    }

    // A service fails on all nodes at once. Guards against more retries than all nodes together may send.
    TEST(ServiceRetryBudgetTest, AllNodesTogetherStayWithinRatioAndSlack)
    {
        constexpr size_t nodes = 9;
        ServiceRetryBudgetSettings settings { 0.2, 58, 10s };
        std::vector<ServiceRetryBudget> budgets(nodes, ServiceRetryBudget(settings));
        int requests = 0;
        int retries = 0;
        for (Instant now = start; now < start + 10s; now += 10ms) {
            for (auto& budget : budgets) {
                budget.recordRequest("pool", now);
                ++requests;
                retries += budget.acquireRetry("pool", nodes, now) ? 1 : 0;
            }
        }
        EXPECT_LE(retries, 0.2 * requests + 58);
        EXPECT_GE(retries, 0.1 * requests);
    }

    // Guards against a budget that never recovers, and against one that is shared between services.
    TEST(ServiceRetryBudgetTest, RetriesBecomeAvailableAfterWindow)
    {
        ServiceRetryBudget budget({ 0, 10, 10s });
        int first = 0;
        while (budget.acquireRetry("pool", 1, start))
            ++first;
        EXPECT_EQ(first, 7);
        EXPECT_TRUE(budget.acquireRetry("shop", 1, start));
        EXPECT_FALSE(budget.acquireRetry("pool", 1, start + 9s));
        EXPECT_TRUE(budget.acquireRetry("pool", 1, start + 11s));
    }

}
}
