#include "briarhitch/entry/EntryStreamRuns.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr StreamId stream { 77 };

    struct Runs {
        ManualClock clock;
        std::vector<AttemptId> stopped;
        StreamRuns runs { [this](const StreamRuns::Run& run, RequestId) { stopped.push_back(run.attempt); }, clock.hook() };

        static GrantRequest request(uint64_t id, bool isContinuation, uint8_t number = 1)
        {
            GrantRequest request;
            request.pool = PoolId(10);
            request.attempt = { RequestId(id), number };
            request.streamClaim = { stream, isContinuation, 0 };
            return request;
        }

        void grant(const GrantRequest& request, Duration age = 0ms, uint32_t entry = 1) { runs.attemptGranted(NodeId(entry), request, clock.now - age); }
        [[nodiscard]] bool isSuperseded(const GrantRequest& request, Duration age = 0ms) const { return runs.isSuperseded(request, clock.now - age); }
        [[nodiscard]] static std::vector<AttemptId> ids(std::initializer_list<uint64_t> requests)
        {
            std::vector<AttemptId> result;
            for (auto id : requests)
                result.push_back({ RequestId(id), 1 });
            return result;
        }
    };

    // Guards against a request that comes back to its stream after a later one has continued it, also if its message was delayed.
    TEST(StreamRunsTest, SupersededRequestDoesNotComeBack)
    {
        Runs runs;
        runs.grant(Runs::request(1, false), 2s);
        runs.grant(Runs::request(2, true), 1s);
        EXPECT_EQ(runs.stopped, Runs::ids({ 1 }));
        EXPECT_TRUE(runs.isSuperseded(Runs::request(1, false, 2), 2s));
        EXPECT_TRUE(runs.isSuperseded(Runs::request(1, false, 2))) << "the one that began the stream is earlier than any that continues it";
        runs.grant(Runs::request(3, true));
        EXPECT_EQ(runs.stopped, Runs::ids({ 1, 2 }));
        runs.clock.now += 1s;
        EXPECT_TRUE(runs.isSuperseded(Runs::request(2, true, 2))) << "the message was delayed";
        EXPECT_FALSE(runs.isSuperseded(Runs::request(3, true, 2)));
        EXPECT_FALSE(runs.isSuperseded(Runs::request(4, true)));
        // The attempts that were stopped have ended, and so has the latest.
        for (uint64_t id : { 1, 2, 3 })
            runs.runs.attemptEnded({ RequestId(id), 1 });
        EXPECT_TRUE(runs.isSuperseded(Runs::request(2, true, 2)));
    }

    // Guards against two continuations that arrive at once and both run, or stop each other.
    TEST(StreamRunsTest, OneOfTwoContinuationsThatArriveAtOnceRuns)
    {
        for (bool isFirstGrantedFirst : { true, false }) {
            Runs runs;
            runs.grant(Runs::request(isFirstGrantedFirst ? 2 : 3, true));
            runs.grant(Runs::request(isFirstGrantedFirst ? 3 : 2, true), 0ms, 2);
            EXPECT_EQ(runs.stopped, Runs::ids({ 2 }));
            EXPECT_TRUE(runs.isSuperseded(Runs::request(2, true)));
            EXPECT_FALSE(runs.isSuperseded(Runs::request(3, true)));
        }
    }

    // Guards against requests that are stopped although no request continues their stream: repeats by the same request, requests
    // without a name for their stream, and others under the same name.
    TEST(StreamRunsTest, OnlyAContinuationStopsOtherRequests)
    {
        Runs runs;
        runs.grant(Runs::request(1, false));
        runs.grant(Runs::request(1, false, 2));
        runs.grant(Runs::request(5, false));
        auto nameless = Runs::request(6, true);
        nameless.streamClaim.stream = {};
        runs.grant(nameless);
        EXPECT_TRUE(runs.stopped.empty());
        EXPECT_FALSE(runs.isSuperseded(nameless, 1h));
        runs.grant(Runs::request(7, true));
        EXPECT_EQ(runs.stopped.size(), 3U);
    }

    // Guards against an attempt that keeps running because the message that stops it was lost, and against messages without end.
    TEST(StreamRunsTest, StopIsRepeatedUntilTheAttemptHasEnded)
    {
        Runs runs;
        runs.grant(Runs::request(1, false));
        runs.grant(Runs::request(2, true));
        runs.clock.now += 200ms;
        runs.runs.tick();
        EXPECT_EQ(runs.stopped, Runs::ids({ 1 }));
        runs.clock.now += 100ms;
        runs.runs.tick();
        EXPECT_EQ(runs.stopped, Runs::ids({ 1, 1 }));
        EXPECT_EQ(runs.runs.attemptEnded({ RequestId(1), 1 }), 300ms);
        EXPECT_EQ(runs.runs.attemptEnded({ RequestId(2), 1 }), std::nullopt);
        runs.clock.now += 1s;
        runs.runs.tick();
        EXPECT_EQ(runs.stopped.size(), 2U);
    }

    // Guards against streams that are never forgotten.
    TEST(StreamRunsTest, StreamsAreForgotten)
    {
        Runs runs;
        runs.grant(Runs::request(1, false));
        runs.runs.attemptEnded({ RequestId(1), 1 });
        EXPECT_EQ(runs.runs.streamCount(), 0U);
        runs.grant(Runs::request(2, true));
        runs.grant(Runs::request(3, true), 0ms, 2);
        runs.runs.retain(NodeId(1), PoolId(10), [](AttemptId) { return false; });
        runs.runs.forgetEntry(NodeId(2));
        runs.runs.tick();
        EXPECT_EQ(runs.runs.streamCount(), 1U);
        runs.clock.now += StreamRuns::retention;
        runs.runs.tick();
        EXPECT_EQ(runs.runs.streamCount(), 0U);
    }

    // Guards against an attempt that is stopped between its grant and its first byte, and is sent nevertheless.
    TEST(StreamRunsTest, AttemptThatWasStoppedBeforeItsHookWasSetIsStopped)
    {
        ManualClock clock;
        EntryStreamRuns runs(NodeId(1), clock.hook());
        int stops = 0;
        auto request = Runs::request(1, false);
        runs.attemptGranted(request, clock.now);
        runs.stop(request.attempt);
        runs.onStopped(request.attempt, [&] { ++stops; });
        EXPECT_EQ(stops, 1);
        runs.attemptEnded(request.attempt);
        runs.onStopped(request.attempt, [&] { ++stops; });
        EXPECT_EQ(stops, 1);
    }

}
}
