#include "briarhitch/sched/TargetRateLimits.h"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class TargetRateLimitsTest : public testing::Test {
    protected:
        TargetRateLimitsTest()
        {
            target_.id = TargetId(7);
            target_.incarnationStartMs = 100;
        }

        bool observe(std::optional<RequestRate> limit, Instant requestSentAt) { return limits_.recordObservation(target_, { target_.id, limit, requestSentAt }, now_); }

        Target target_;
        Instant now_ { 1h };
        TargetRateLimits limits_;
    };

    // Guards against a limit that ends because of a response written before the target named it, and against one that
    // stays after the target has stopped naming it.
    TEST_F(TargetRateLimitsTest, LimitEndsWithAResponseToALaterRequestOnly)
    {
        EXPECT_FALSE(observe({}, now_)) << "no limit was known";
        EXPECT_TRUE(observe(RequestRate(2.5), now_ - 1s));
        EXPECT_FALSE(observe(RequestRate(2.5), now_)) << "the limit is the same";
        EXPECT_FALSE(observe({}, now_));
        EXPECT_EQ(limits_.find(target_.id), RequestRate(2.5));
        auto namedAt = now_;
        now_ += 2s;
        EXPECT_TRUE(observe(RequestRate(2), now_ - 1s)) << "the target has lowered its limit";
        EXPECT_FALSE(observe({}, namedAt + 1s)) << "the request was sent before the lower limit became known";
        EXPECT_TRUE(observe({}, now_ + 1ms));
        EXPECT_FALSE(limits_.find(target_.id));
    }

    // Guards against values in messages of other nodes that no rate can have.
    TEST_F(TargetRateLimitsTest, InvalidLimitsAreIgnored)
    {
        for (double invalid : { -1.0, std::nan(""), std::numeric_limits<double>::infinity() })
            EXPECT_FALSE(limits_.merge(target_, RequestRate(invalid), now_)) << invalid;
        EXPECT_TRUE(limits_.all().empty());
    }

    // Guards against an older report of another node that replaces what is known, and a newer one that does not.
    TEST_F(TargetRateLimitsTest, LaterKnowledgeWins)
    {
        observe(RequestRate(2), now_);
        EXPECT_FALSE(limits_.merge(target_, RequestRate(5), now_ - 1s));
        EXPECT_TRUE(limits_.merge(target_, std::nullopt, now_ + 1s));
        EXPECT_FALSE(limits_.find(target_.id));
        EXPECT_FALSE(limits_.merge(target_, RequestRate(2), now_)) << "the limit has ended since";
    }

    // Guards against the limit of a process that has ended being applied to the target's next incarnation.
    TEST_F(TargetRateLimitsTest, NewIncarnationHasNoLimit)
    {
        observe(RequestRate(2), now_);
        limits_.updateTargets({ { target_.id, target_ } });
        EXPECT_TRUE(limits_.find(target_.id));
        target_.incarnationStartMs = 200;
        limits_.updateTargets({ { target_.id, target_ } });
        EXPECT_FALSE(limits_.find(target_.id));
        observe(RequestRate(2), now_);
        limits_.updateTargets({});
        EXPECT_TRUE(limits_.all().empty()) << "the target is not listed any more";
    }

}
}
