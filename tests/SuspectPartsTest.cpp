#include "briarhitch/sched/SuspectParts.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant begin { 1h };
    const PromptPartId common(1);
    const PromptPartId deadly(666);
    const PromptPartId rare(77);

    std::vector<PartState> statesOf(const std::vector<PartVerdict>& verdicts, PromptPartId part)
    {
        std::vector<PartState> states;
        for (const auto& verdict : verdicts) {
            if (verdict.part == part)
                states.push_back(verdict.state);
        }
        return states;
    }

    // Guards against a deadly part that is sent to further targets, and against blame for the parts that it came with.
    TEST(SuspectPartsTest, PartIsBlockedAfterTwoCrashesWithoutAStart)
    {
        SuspectParts parts;
        parts.recordStart({ common }, begin);
        EXPECT_EQ(statesOf(parts.recordBreak({ common, deadly }, TargetId(1), begin + 1s), deadly), std::vector { PartState::Suspected });
        EXPECT_FALSE(parts.findBlock({ common, deadly }, begin + 1s));
        EXPECT_TRUE(parts.hasSuspect({ common, deadly }));
        EXPECT_FALSE(parts.hasSuspect({ common, rare }));
        EXPECT_EQ(statesOf(parts.recordBreak({ common, deadly }, TargetId(2), begin + 2s), deadly), std::vector { PartState::Blocked });
        auto block = parts.findBlock({ common, deadly }, begin + 2s);
        ASSERT_TRUE(block);
        EXPECT_EQ(block->part, deadly);
        EXPECT_EQ(block->crashes, 2u);
        EXPECT_FALSE(parts.findBlock({ common, rare }, begin + 2s));
    }

    // Guards against blame for parts of many sound prompts when several targets end at once, or one after the other.
    TEST(SuspectPartsTest, PartsOfSoundPromptsAreNotBlamed)
    {
        SuspectParts parts;
        Instant now = begin;
        parts.recordStart({ common }, now);
        for (uint32_t crash = 0; crash < 40; ++crash) {
            now += 100ms;
            parts.recordBreak({ common }, TargetId(crash), now);
            if (crash % 4 == 3)
                parts.recordStart({ common }, now + 1ms);
            EXPECT_FALSE(parts.findBlock({ common }, now + 2ms)) << crash;
        }
        for (uint32_t target = 100; target < 120; ++target)
            parts.recordBreak({ common, rare }, TargetId(target), now + 3s);
        EXPECT_FALSE(parts.findBlock({ common, rare }, now + 3s)) << "targets that end together have a common cause";
    }

    // Guards against a part that turns deadly after it was served, which would never be blocked.
    TEST(SuspectPartsTest, PartThatTurnsDeadlyIsBlocked)
    {
        SuspectParts parts;
        parts.recordStart({ rare }, begin);
        for (uint32_t crash = 1; crash <= 5; ++crash) {
            EXPECT_FALSE(parts.findBlock({ rare }, begin + crash * 600ms));
            parts.recordBreak({ rare }, TargetId(crash), begin + crash * 600ms);
        }
        EXPECT_TRUE(parts.findBlock({ rare }, begin + 3s));
    }

    // Guards against a part that stays blocked although it is sound, and against more than one trial at a time.
    TEST(SuspectPartsTest, TrialClearsASoundPartWithinSeconds)
    {
        SuspectParts parts;
        parts.recordBreak({ rare }, TargetId(1), begin);
        parts.recordBreak({ rare }, TargetId(2), begin + 200ms);
        ASSERT_TRUE(parts.findBlock({ rare }, begin + 300ms));
        auto trialAt = begin + 1300ms;
        ASSERT_FALSE(parts.findBlock({ rare }, trialAt));
        ASSERT_TRUE(parts.needsTrial({ rare }));
        EXPECT_TRUE(parts.findBlockWithoutTrial({ rare }, trialAt));
        AttemptId trial { RequestId(5), 1 };
        parts.beginTrial({ rare }, trial, trialAt);
        EXPECT_TRUE(parts.findBlock({ rare }, trialAt + 100ms));
        parts.endTrial({ rare }, trial, trialAt + 100ms);
        EXPECT_FALSE(parts.findBlock({ rare }, trialAt + 700ms)) << "a trial that ended without evidence is repeated";
        parts.beginTrial({ rare }, trial, trialAt + 700ms);
        EXPECT_EQ(statesOf(parts.recordStart({ rare }, trialAt + 900ms), rare), std::vector { PartState::Cleared });
        EXPECT_FALSE(parts.findBlock({ rare }, trialAt + 900ms));
        EXPECT_FALSE(parts.hasSuspect({ rare }));
    }

    // Guards against trials that crash more targets than callers can bear: after the fifth crash none within a minute.
    TEST(SuspectPartsTest, TrialsOfADeadlyPartBecomeRare)
    {
        SuspectParts parts;
        parts.recordBreak({ deadly }, TargetId(1), begin);
        uint32_t crashes = 1;
        Instant fifth {};
        size_t afterFifth = 0;
        for (Instant now = begin + 100ms; now < begin + 5min; now += 100ms) {
            if (parts.findBlock({ deadly }, now))
                continue;
            parts.beginTrial({ deadly }, { RequestId(crashes), 1 }, now);
            parts.recordBreak({ deadly }, TargetId(++crashes), now);
            if (crashes == 5)
                fifth = now;
            afterFifth += crashes > 5 ? 1 : 0;
        }
        ASSERT_GE(crashes, 5u);
        EXPECT_GE(fifth, begin + 15s);
        EXPECT_LE(afterFifth, 3u);
    }

    // Guards against a new owner that starts to count again.
    TEST(SuspectPartsTest, AnotherNodeAdoptsEvidenceAndBlocks)
    {
        SuspectParts first;
        SuspectParts second;
        first.recordBreak({ deadly, rare }, TargetId(1), begin);
        first.recordBreak({ deadly }, TargetId(2), begin + 1s);
        for (const auto& verdict : first.verdicts(begin + 1s)) {
            second.merge(verdict, begin + 1s);
            second.merge(verdict, begin + 1s);
        }
        EXPECT_TRUE(second.findBlock({ deadly }, begin + 1s));
        EXPECT_FALSE(second.findBlock({ rare }, begin + 1s));
        second.recordBreak({ rare }, TargetId(3), begin + 2s);
        EXPECT_TRUE(second.findBlock({ rare }, begin + 2s)) << "crashes that were seen by two nodes add up";
        PartVerdict cleared { PartState::Cleared, deadly, 2, {}, {} };
        second.merge(cleared, begin + 3s);
        EXPECT_FALSE(second.findBlock({ deadly }, begin + 3s));
    }

    // Guards against memory that grows with the number of parts.
    TEST(SuspectPartsTest, MemoryIsBounded)
    {
        SuspectParts parts;
        parts.recordBreak({ deadly }, TargetId(1), begin);
        parts.recordBreak({ deadly }, TargetId(2), begin + 1s);
        for (uint64_t id = 1000; id < 100000; ++id) {
            parts.recordBreak({ PromptPartId(id) }, TargetId(3), begin + 2s);
            parts.recordStart({ PromptPartId(id + 1000000) }, begin + 2s);
        }
        EXPECT_LE(parts.verdicts(begin + 2s).size(), 1024u);
        EXPECT_TRUE(parts.needsTrial({ deadly })) << "blocked parts are kept in favour of suspected ones";
        parts.tick(begin + 1h);
        EXPECT_TRUE(parts.verdicts(begin + 1h).empty());
    }

}
}
