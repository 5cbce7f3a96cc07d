#include "http/ReadAdmission.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t mib = 1024 * 1024;

    class ReadAdmissionTest : public testing::Test {
    protected:
        /** A holder that received `bytes` at once and then nothing. */
        HolderId addStopped(size_t bytes)
        {
            auto id = admission_.add(now_);
            admission_.addHeld(id, bytes);
            admission_.recordProgress(id, bytes, now_);
            return id;
        }

        ReadAdmission admission_ { ReadAdmissionSettings {} };
        Instant now_ { 100s };
    };

    // Guards against closing callers that still send: load of many large bodies that arrive steadily.
    TEST_F(ReadAdmissionTest, SteadyBodiesAreNotVictims)
    {
        auto steady = admission_.add(now_);
        admission_.addHeld(steady, 4 * mib);
        for (int i = 0; i < 40; ++i) {
            now_ += 100ms;
            admission_.recordProgress(steady, 16 * 1024, now_);
            EXPECT_FALSE(admission_.victim(0, now_)) << i;
        }
    }

    // Guards against memory that is held forever: load of bodies that stop short of their end, one of them with single bytes.
    TEST_F(ReadAdmissionTest, TheLargestAndOldestStoppedBodyIsTheVictim)
    {
        auto small = addStopped(mib);
        auto large = addStopped(4 * mib);
        now_ += 500ms;
        auto later = addStopped(4 * mib);
        EXPECT_FALSE(admission_.victim(0, now_));
        for (int i = 0; i < 4; ++i) {
            now_ += 1s;
            admission_.recordProgress(large, 1, now_);
        }
        EXPECT_EQ(admission_.victim(0, now_), large);
        EXPECT_EQ(admission_.victim(large, now_), later);
        admission_.forgetHeld(large);
        admission_.remove(later);
        EXPECT_EQ(admission_.victim(0, now_), small);
    }

    // Guards against small requests that wait behind large ones, and against a refusal before the time to wait: load of large bodies
    // beyond the budget.
    TEST_F(ReadAdmissionTest, LargeRequestsWaitInOrderAndAreRefusedInTheEnd)
    {
        auto first = admission_.add(now_);
        auto second = admission_.add(now_);
        auto small = admission_.add(now_);
        EXPECT_EQ(admission_.decide(first, false, false, now_), ReadDecision::Wait);
        EXPECT_EQ(admission_.decide(second, false, false, now_), ReadDecision::Wait);
        EXPECT_TRUE(admission_.isNext(first));
        EXPECT_FALSE(admission_.isNext(second));
        EXPECT_EQ(admission_.decide(small, true, true, now_), ReadDecision::Proceed);
        now_ += 1s;
        EXPECT_EQ(admission_.decide(first, true, false, now_), ReadDecision::Proceed);
        EXPECT_TRUE(admission_.isNext(second));
        now_ += 500ms;
        EXPECT_EQ(admission_.decide(second, false, false, now_), ReadDecision::Refuse);
        EXPECT_TRUE(admission_.isNext(first));
    }

    // Guards against blaming a caller for the time in which it was not read: back-pressure under a burst.
    TEST_F(ReadAdmissionTest, WaitingIsNotLackOfProgress)
    {
        auto holder = addStopped(mib);
        EXPECT_EQ(admission_.decide(holder, false, false, now_), ReadDecision::Wait);
        now_ += 1400ms;
        EXPECT_FALSE(admission_.victim(0, now_));
        EXPECT_EQ(admission_.decide(holder, true, false, now_), ReadDecision::Proceed);
        EXPECT_FALSE(admission_.victim(0, now_));
        EXPECT_EQ(admission_.timeLeft(holder, 10s, now_), 10s + 32s);
    }

    // Guards against a slow but steady caller that is cut off, and against one byte a second that is waited for without end.
    TEST_F(ReadAdmissionTest, ReceivedBytesExtendTheTime)
    {
        auto steady = admission_.add(now_);
        auto trickle = admission_.add(now_);
        for (int i = 0; i < 20; ++i) {
            now_ += 1s;
            admission_.recordProgress(steady, 64 * 1024, now_);
            admission_.recordProgress(trickle, 1, now_);
        }
        EXPECT_GT(admission_.timeLeft(steady, 10s, now_), Duration::zero());
        EXPECT_EQ(admission_.timeLeft(trickle, 10s, now_), Duration::zero());
    }

}
}
