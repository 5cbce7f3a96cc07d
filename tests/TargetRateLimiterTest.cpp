#include "briarhitch/sched/TargetRateLimiter.h"
#include "briarhitch/sched/RateLimitShares.h"

#include <gtest/gtest.h>
#include <set>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class TargetRateLimiterTest : public testing::Test {
    protected:
        /** Requests that are allowed in this time, if each is sent as soon as it is. */
        int countAllowed(Duration time)
        {
            int count = 0;
            for (auto end = now_ + time; now_ < end; now_ += 1ms) {
                while (limiter_.allowsRequest(target_, now_)) {
                    limiter_.recordRequests(target_, 1, now_);
                    ++count;
                }
            }
            return count;
        }

        const TargetId target_ { 7 };
        Instant now_ { 1h };
        TargetRateLimiter limiter_;
    };

    // Guards against a burst when a limit becomes known or after a pause, and against unused rate.
    TEST_F(TargetRateLimiterTest, RequestsAreSpaced)
    {
        EXPECT_TRUE(limiter_.allowsRequest(target_, now_)) << "no limit";
        limiter_.setRate(target_, RequestRate(4), now_);
        EXPECT_FALSE(limiter_.allowsRequest(target_, now_));
        EXPECT_EQ(limiter_.timeUntilAllowed(target_, now_), 250ms);
        EXPECT_NEAR(countAllowed(10s), 40, 1);
        now_ += 1min;
        EXPECT_LE(countAllowed(1ms), 1) << "a pause saves up one request";
    }

    // Guards against requests beyond the limit that are not made up for, and requests that were not sent but count.
    TEST_F(TargetRateLimiterTest, ExcessIsMadeUpForAndUnsentRequestsAreReturned)
    {
        limiter_.setRate(target_, RequestRate(2), now_);
        limiter_.recordRequests(target_, 3, now_);
        EXPECT_EQ(limiter_.timeUntilAllowed(target_, now_), 2s);
        now_ += 2s;
        EXPECT_TRUE(limiter_.allowsRequest(target_, now_));
        limiter_.recordRequests(target_, 1, now_);
        limiter_.refundRequest(target_, now_);
        EXPECT_TRUE(limiter_.allowsRequest(target_, now_));
    }

    // Guards against a share of zero that waiting requests take for a short wait.
    TEST_F(TargetRateLimiterTest, RateOfZeroBlocks)
    {
        limiter_.setRate(target_, RequestRate(0), now_);
        EXPECT_TRUE(limiter_.isBlocked(target_));
        EXPECT_EQ(countAllowed(10s), 0);
        limiter_.setRate(target_, RequestRate(1), now_);
        EXPECT_FALSE(limiter_.isBlocked(target_));
        EXPECT_NEAR(countAllowed(5s), 5, 1);
    }

    // Guards against all waiting requests being sent at the end of a limit, and against a limit that never ends.
    TEST_F(TargetRateLimiterTest, RateRisesAfterALimit)
    {
        limiter_.setRate(target_, RequestRate(2), now_);
        now_ += 5s;
        limiter_.endLimit(target_, now_);
        EXPECT_LE(countAllowed(500ms), 3);
        EXPECT_GE(countAllowed(1500ms), 10);
        now_ += 1s;
        limiter_.tick(now_);
        EXPECT_FALSE(limiter_.isLimited(target_));
    }

    // Guards against entries that together use more or less than the limit, and against all entries choosing the same targets.
    TEST(RateLimitSharesTest, SharesAddUpToTheLimit)
    {
        std::vector<NodeId> entries;
        for (uint32_t id = 1; id <= 295; ++id)
            entries.emplace_back(id);
        for (double limit : { 0.2, 1.0, 3.2, 100.0, 1000.0 }) {
            RequestRate sum;
            auto shares = divideRateLimit("t1", RequestRate(limit), entries);
            for (NodeId entry : entries)
                sum += shares.rateOf(entry);
            EXPECT_NEAR(sum.value(), limit, limit * 1e-9) << limit;
            EXPECT_LE(static_cast<double>(shares.entries.size()), std::max(1.0, limit)) << "each entry may save up one request";
        }
        std::set<NodeId> used;
        for (int target = 0; target < 100; ++target)
            used.insert(divideRateLimit("t" + std::to_string(target), RequestRate(1), entries).entries.at(0));
        EXPECT_GE(used.size(), 60u);
    }

}
}
