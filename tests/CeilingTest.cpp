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

    struct LivePortion {
        Ceiling portion;
        Instant until;
    };

    // Guards against nodes that together may use more than the customer's ceiling.
    TEST(CeilingLedgerTest, LivePortionsStayWithinTheCeiling)
    {
        expectProperty(15, 100, [] {
            CeilingAllocator ledger;
            ledger.setCeiling(customer, ceiling);
            std::map<NodeId, std::vector<LivePortion>> live;
            Instant now { 10s };
            for (int step = 0; step < 120; ++step) {
                now += std::chrono::milliseconds(draw(400));
                const NodeId node(static_cast<uint32_t>(1 + draw(6)));
                CeilingRequest ask { PoolId(1), customer, static_cast<double>(draw(40)), static_cast<double>(draw(9000)), static_cast<uint32_t>(draw(4)) };
                const auto portion = ledger.allocate(node, ask, now);
                RC_ASSERT(portion.valid);
                live[node].push_back({ portion.allocation, now + std::chrono::milliseconds(portion.validMs) });
                Ceiling sum;
                for (auto& [id, portions] : live) {
                    std::erase_if(portions, [&](const LivePortion& entry) { return entry.until <= now; });
                    // A node uses one portion at a time; which one is unknown if an answer was lost.
                    Ceiling most;
                    for (const auto& entry : portions) {
                        most.requestsPerSecond = std::max(most.requestsPerSecond, entry.portion.requestsPerSecond);
                        most.tokensPerSecond = std::max(most.tokensPerSecond, entry.portion.tokensPerSecond);
                        most.inFlight = std::max(most.inFlight, entry.portion.inFlight);
                    }
                    sum.requestsPerSecond += most.requestsPerSecond;
                    sum.tokensPerSecond += most.tokensPerSecond;
                    sum.inFlight += most.inFlight;
                }
                RC_ASSERT(sum.requestsPerSecond <= ceiling.requestsPerSecond + 1e-6);
                RC_ASSERT(sum.tokensPerSecond <= ceiling.tokensPerSecond + 1e-6);
                RC_ASSERT(sum.inFlight <= ceiling.inFlight);
            }
        });
    }

    // Guards against a share that is stuck at a node that no longer asks.
    TEST(CeilingLedgerTest, PortionsReturnWhenTheyAreNotRenewed)
    {
        CeilingAllocator ledger;
        ledger.setCeiling(customer, ceiling);
        const CeilingRequest busy { PoolId(1), customer, 100, 100000, 0 };
        EXPECT_DOUBLE_EQ(ledger.allocate(NodeId(1), busy, Instant(10s)).allocation.requestsPerSecond, 20);
        EXPECT_DOUBLE_EQ(ledger.allocate(NodeId(2), busy, Instant(10500ms)).allocation.requestsPerSecond, 0);
        EXPECT_DOUBLE_EQ(ledger.allocate(NodeId(2), busy, Instant(11s)).allocation.requestsPerSecond, 20);
    }

    // Guards against two owners whose portions add up.
    TEST(CeilingLedgerTest, NewOwnerWaitsForTheOldPortions)
    {
        CeilingAllocator ledger(Instant(20s));
        ledger.setCeiling(customer, ceiling);
        EXPECT_FALSE(ledger.allocate(NodeId(1), { PoolId(1), customer, 1, 1, 0 }, Instant(19s)).valid);
        EXPECT_TRUE(ledger.allocate(NodeId(1), { PoolId(1), customer, 1, 1, 0 }, Instant(20s)).valid);
    }

    CeilingLimiter accountWith(const Ceiling& portion, Instant now)
    {
        CeilingLimiter account(customer, ceiling);
        account.setAllocation({ portion, true, 1000 }, now, now);
        return account;
    }

    // Guards against a caller that is refused without being told why and when to come back.
    TEST(CeilingAccountTest, SaysWhichLimitIsExceeded)
    {
        const Instant now { 10s };
        auto requests = accountWith({ 2, 5000, 9 }, now);
        EXPECT_TRUE(requests.admit(Tokens(10), now));
        EXPECT_TRUE(requests.admit(Tokens(10), now));
        auto refused = requests.admit(Tokens(10), now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::CeilingRequests);
        EXPECT_GE(*refused.error().retryAfter, 1s);

        auto tokens = accountWith({ 20, 100, 9 }, now);
        EXPECT_TRUE(tokens.admit(Tokens(600), now));
        refused = tokens.admit(Tokens(1), now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::CeilingTokens);
        EXPECT_EQ(*refused.error().retryAfter, 5s);

        auto inFlight = accountWith({ 20, 5000, 1 }, now);
        EXPECT_TRUE(inFlight.admit(Tokens(1), now));
        EXPECT_EQ(inFlight.admit(Tokens(1), now).error().kind, ErrorKind::CeilingInFlight);
        inFlight.finished(Tokens(0));
        EXPECT_TRUE(inFlight.admit(Tokens(1), now));
    }

    // Guards against an exhausted portion being taken for "no limit", and against use without any portion.
    TEST(CeilingAccountTest, ZeroPortionAdmitsNothing)
    {
        const Instant now { 10s };
        EXPECT_EQ(accountWith({ 0, 0, 0 }, now).admit(Tokens(1), now).error().kind, ErrorKind::CeilingInFlight);
        EXPECT_EQ(CeilingLimiter(customer, ceiling).admit(Tokens(1), now).error().kind, ErrorKind::NoOwner);
        EXPECT_TRUE(CeilingLimiter(customer, {}).admit(Tokens(1), now));
    }

    // Guards against a node that goes on for ever without its ceiling's owner.
    TEST(CeilingAccountTest, PortionIsUsedForFiveSecondsWithoutItsOwner)
    {
        const Instant now { 10s };
        auto account = accountWith({ 20, 5000, 9 }, now);
        EXPECT_TRUE(account.needsAllocation(now + 500ms));
        EXPECT_TRUE(account.admit(Tokens(1), now + 4900ms));
        EXPECT_EQ(account.admit(Tokens(1), now + 5s).error().kind, ErrorKind::NoOwner);
    }

    // Guards against admitting more than the portion over a longer time.
    TEST(CeilingAccountTest, RateHoldsOverTime)
    {
        Instant now { 10s };
        auto account = accountWith({ 5, 5000, 9 }, now);
        int admitted = 0;
        for (int i = 0; i < 1000; ++i) {
            now += 10ms;
            account.setAllocation({ { 5, 5000, 9 }, true, 1000 }, now, now);
            if (account.admit(Tokens(1), now)) {
                ++admitted;
                account.finished(Tokens(0));
            }
        }
        EXPECT_LE(admitted, 5 * 10 + 5);
        EXPECT_GE(admitted, 5 * 10 - 1);
    }

    // Guards against retries that multiply the load of a failing fleet.
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

    // Guards against a customer with few requests whose failures are never retried, and against more than two in hand.
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

    // Guards against savings from long ago, and against one customer that spends another one's budget.
    TEST(RetryBudgetTest, SavingsAreBoundedAndByCustomer)
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
