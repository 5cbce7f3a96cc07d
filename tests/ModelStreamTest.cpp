#include "entry/ModelStream.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr int eventCount = 6;

    std::string event(int id)
    {
        std::string data = id == eventCount ? "[DONE]" : "token " + std::to_string(id);
        return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
    }

    std::string eventsFrom(int first)
    {
        std::string text;
        for (int id = first; id <= eventCount; ++id)
            text += event(id);
        return text;
    }

    tl::unexpected<Error> silence() { return fail(ErrorKind::TargetTimeout, "silent"); }
    tl::unexpected<Error> reset() { return fail(ErrorKind::TargetFailed, "reset"); }

    class ModelStreamTest : public testing::Test {
    protected:
        void makeStream()
        {
            TargetCall call;
            call.method = "POST";
            call.path = "/v1/chat/completions";
            call.attempt = { RequestId(7), 1 };
            stream_ = std::make_unique<ModelStream>(client_, call, ModelStreamSettings {}, clock_.now + 30s, clock_.hook(), [this](Duration time) { clock_.now += time; });
        }

        /** All events' bytes up to the end, or the error. */
        Result<std::string> readAll()
        {
            makeStream();
            auto opened = stream_->open();
            if (!opened)
                return tl::unexpected(opened.error());
            std::string text;
            for (;;) {
                auto next = stream_->next();
                if (!next)
                    return tl::unexpected(next.error());
                if (!*next)
                    return text;
                text += (*next)->text;
            }
        }

        /** A stream that has begun and then sends these parts, each after a second. */
        Result<std::string> readSlowParts(std::vector<std::string> parts)
        {
            ScriptedResponse slow = respondWith(200, event(1));
            for (auto& part : parts)
                slow.parts.emplace_back(std::move(part));
            slow.parts.emplace_back(silence());
            slow.delayBeforeChunk = 1s;
            targets_.script = { slow, respondWith(200, eventsFrom(2)) };
            return readAll();
        }

        ManualClock clock_;
        ScriptedTargets targets_ { clock_ };
        TargetClient client_ { targets_.hook() };
        std::unique_ptr<ModelStream> stream_;
    };

    // Guards against lost, repeated or torn events when a connection breaks at any byte, by a reset, silence or an early end.
    TEST_F(ModelStreamTest, EachEventComesOnceWhereverTheConnectionBreaks)
    {
        auto whole = eventsFrom(1);
        for (int kind = 0; kind < 3; ++kind) {
            for (size_t cut = 0; cut < whole.size(); ++cut) {
                std::vector<Result<std::string>> parts { whole.substr(0, cut) };
                if (kind < 2)
                    parts.emplace_back(kind == 0 ? reset() : silence());
                // The engine repeats one event too many, as one that acknowledges late does.
                targets_.log.clear();
                targets_.script = { { std::nullopt, 200, {}, parts }, respondWith(200, whole) };
                auto text = readAll();
                ASSERT_TRUE(text) << cut;
                ASSERT_EQ(*text, whole) << "cut at byte " << cut;
                ASSERT_EQ(targets_.sent("POST").size(), 1u);
            }
        }
    }

    // Guards against a resumption that asks for the wrong place, or at another stream.
    TEST_F(ModelStreamTest, ResumesAfterTheLastWholeEvent)
    {
        targets_.script = { { std::nullopt, 200, {}, { event(1) + event(2) + "id: 3\nda", reset() } }, respondWith(200, eventsFrom(3)) };
        auto text = readAll();
        ASSERT_TRUE(text);
        EXPECT_EQ(*text, eventsFrom(1));
        auto resumed = targets_.sent("GET /v1/streams/" + toString(AttemptId { RequestId(7), 1 }));
        ASSERT_EQ(resumed.size(), 1u);
        EXPECT_EQ(findHeader(resumed[0].headers, "Last-Event-ID"), "2");
        EXPECT_FALSE(resumed[0].isReuseAllowed);
    }

    // Guards against a stream that waits on a silent connection although a new one would work.
    TEST_F(ModelStreamTest, SilenceBeforeTheHeaderIsResumedToo)
    {
        targets_.script = { failWith(ErrorKind::TargetTimeout, Ran::Unknown), respondWith(200, eventsFrom(1)) };
        auto text = readAll();
        ASSERT_TRUE(text);
        EXPECT_EQ(*text, eventsFrom(1));
        EXPECT_EQ(findHeader(targets_.sent("GET")[0].headers, "Last-Event-ID"), "");
    }

    // Guards against resuming without end when an engine stays silent, before and after the first token.
    TEST_F(ModelStreamTest, GivesUpAfterTheDeadlineOrSeveralSilentConnections)
    {
        ScriptedResponse silent { std::nullopt, 200, {}, { silence() } };
        targets_.script.assign(100, silent);
        auto early = readAll();
        ASSERT_FALSE(early);
        EXPECT_EQ(early.error().kind, ErrorKind::TargetTimeout);
        EXPECT_GE(targets_.sent("GET").size(), 5u);
        EXPECT_LE(targets_.sent("GET").size(), 15u);

        targets_.log.clear();
        targets_.script.assign(100, silent);
        targets_.script.front() = { std::nullopt, 200, {}, { event(1), silence() } };
        auto late = readAll();
        ASSERT_FALSE(late);
        EXPECT_EQ(late.error().kind, ErrorKind::TargetTimeout);
        EXPECT_EQ(targets_.sent("GET").size(), ModelStreamSettings {}.maxResumes);
    }

    // Guards against handing on a stream with a hole as if it were whole.
    TEST_F(ModelStreamTest, SkippedEventsAreAnError)
    {
        targets_.script = { { std::nullopt, 200, {}, { event(1), reset() } }, respondWith(200, eventsFrom(3)) };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().kind, ErrorKind::TargetFailed);
    }

    // Guards against a stalled engine that keeps its caller with a byte now and then.
    TEST_F(ModelStreamTest, BytesWithoutAnEventAreNoProgress)
    {
        auto begun = clock_.now;
        auto text = readSlowParts(std::vector<std::string>(20, "x"));
        ASSERT_TRUE(text);
        EXPECT_LE(clock_.now - begun, ModelStreamSettings {}.tokenTimeout + 1s);
        EXPECT_EQ(*text, event(1) + eventsFrom(2)) << "it was resumed";
        EXPECT_EQ(targets_.log.size(), 2u);
    }

    // Guards against a slow but sound stream that is cut off.
    TEST_F(ModelStreamTest, SlowEventsAreProgress)
    {
        auto text = readSlowParts({ event(2), event(3), event(4), event(5), event(6) });
        ASSERT_TRUE(text);
        EXPECT_EQ(*text, eventsFrom(1));
        EXPECT_EQ(targets_.log.size(), 1u);
    }

    // Guards against treating a lost stream as a complete one.
    TEST_F(ModelStreamTest, LostStreamIsAnError)
    {
        targets_.script = { { std::nullopt, 200, {}, { event(1), reset() } }, respondWith(404, "{}") };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().kind, ErrorKind::TargetFailed);
    }

    // Guards against a request that never reached the engine being resumed there instead of refused with ran = no.
    TEST_F(ModelStreamTest, UnsentRequestIsNotResumed)
    {
        targets_.script = { failWith(ErrorKind::TargetFailed, Ran::No) };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().ran, Ran::No);
        EXPECT_EQ(targets_.log.size(), 1u);
    }

}
}
