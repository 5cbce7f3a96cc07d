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

    tl::unexpected<Error> stall() { return fail(ErrorKind::TargetTimeout, "silent"); }
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

        /** The bytes of all events up to the end, or the error. */
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

        /** Reads a stream whose first connection sends one event and then these parts, each after a second, and stalls. */
        Result<std::string> readSlowParts(std::vector<std::string> parts)
        {
            ScriptedResponse slow = respondWith(200, event(1));
            for (auto& part : parts)
                slow.bodyChunks.emplace_back(std::move(part));
            slow.bodyChunks.emplace_back(stall());
            slow.delayBeforeChunk = 1s;
            targets_.script = { slow, respondWith(200, eventsFrom(2)) };
            return readAll();
        }

        ManualClock clock_;
        ScriptedTargets targets_ { clock_ };
        TargetClient client_ { targets_.hook() };
        std::unique_ptr<ModelStream> stream_;
    };

    // Guards against lost, duplicate or partial events when a connection breaks at any byte: by a reset, a stall or an early end.
    TEST_F(ModelStreamTest, EachEventIsReturnedOnceWhereverTheConnectionBreaks)
    {
        auto allEvents = eventsFrom(1);
        for (int kind = 0; kind < 3; ++kind) {
            for (size_t cutAt = 0; cutAt < allEvents.size(); ++cutAt) {
                std::vector<Result<std::string>> chunks { allEvents.substr(0, cutAt) };
                if (kind < 2)
                    chunks.emplace_back(kind == 0 ? reset() : stall());
                // The resumed stream starts with events that were already received.
                targets_.log.clear();
                targets_.script = { { std::nullopt, 200, {}, chunks }, respondWith(200, allEvents) };
                auto text = readAll();
                ASSERT_TRUE(text) << cutAt;
                ASSERT_EQ(*text, allEvents) << "cut at byte " << cutAt;
                ASSERT_EQ(targets_.sent("POST").size(), 1u);
            }
        }
    }

    // Guards against resuming at the wrong event, or another stream.
    TEST_F(ModelStreamTest, ResumesAfterTheLastCompleteEvent)
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

    // Guards against a stream that waits on a stalled connection although a new one would work.
    TEST_F(ModelStreamTest, StallBeforeTheHeaderIsResumed)
    {
        targets_.script = { failWith(ErrorKind::TargetTimeout, Ran::Unknown), respondWith(200, eventsFrom(1)) };
        auto text = readAll();
        ASSERT_TRUE(text);
        EXPECT_EQ(*text, eventsFrom(1));
        EXPECT_EQ(findHeader(targets_.sent("GET")[0].headers, "Last-Event-ID"), "");
    }

    // Guards against endless resumptions when an engine sends nothing, before and after the first token.
    TEST_F(ModelStreamTest, GivesUpAfterTheDeadlineOrSeveralStalledConnections)
    {
        ScriptedResponse stalled { std::nullopt, 200, {}, { stall() } };
        targets_.script.assign(100, stalled);
        auto beforeFirstEvent = readAll();
        ASSERT_FALSE(beforeFirstEvent);
        EXPECT_EQ(beforeFirstEvent.error().kind, ErrorKind::TargetTimeout);
        EXPECT_GE(targets_.sent("GET").size(), 5u);
        EXPECT_LE(targets_.sent("GET").size(), 15u);

        targets_.log.clear();
        targets_.script.assign(100, stalled);
        targets_.script.front() = { std::nullopt, 200, {}, { event(1), stall() } };
        auto afterFirstEvent = readAll();
        ASSERT_FALSE(afterFirstEvent);
        EXPECT_EQ(afterFirstEvent.error().kind, ErrorKind::TargetTimeout);
        EXPECT_EQ(targets_.sent("GET").size(), ModelStreamSettings {}.maxResumes);
    }

    // Guards against relaying a stream with missing events as if it were complete.
    TEST_F(ModelStreamTest, SkippedEventsAreAnError)
    {
        targets_.script = { { std::nullopt, 200, {}, { event(1), reset() } }, respondWith(200, eventsFrom(3)) };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().kind, ErrorKind::TargetFailed);
    }

    // Guards against a stalled engine that keeps its caller waiting by sending a byte occasionally.
    TEST_F(ModelStreamTest, BytesWithoutACompleteEventAreNoProgress)
    {
        auto startedAt = clock_.now;
        auto text = readSlowParts(std::vector<std::string>(20, "x"));
        ASSERT_TRUE(text);
        EXPECT_LE(clock_.now - startedAt, ModelStreamSettings {}.tokenTimeout + 1s);
        EXPECT_EQ(*text, event(1) + eventsFrom(2)) << "the stream must be resumed";
        EXPECT_EQ(targets_.log.size(), 2u);
    }

    // Guards against aborting a slow stream that makes progress.
    TEST_F(ModelStreamTest, SlowEventsAreProgress)
    {
        auto text = readSlowParts({ event(2), event(3), event(4), event(5), event(6) });
        ASSERT_TRUE(text);
        EXPECT_EQ(*text, eventsFrom(1));
        EXPECT_EQ(targets_.log.size(), 1u);
    }

    // Guards against treating a stream that the engine no longer has as complete.
    TEST_F(ModelStreamTest, LostStreamIsAnError)
    {
        targets_.script = { { std::nullopt, 200, {}, { event(1), reset() } }, respondWith(404, "{}") };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().kind, ErrorKind::TargetFailed);
    }

    // Guards against resuming a request that never reached the engine, instead of failing it with ran = no.
    TEST_F(ModelStreamTest, RequestThatWasNotSentIsNotResumed)
    {
        targets_.script = { failWith(ErrorKind::TargetFailed, Ran::No) };
        auto text = readAll();
        ASSERT_FALSE(text);
        EXPECT_EQ(text.error().ran, Ran::No);
        EXPECT_EQ(targets_.log.size(), 1u);
    }

}
}
