#include "support/RoutedRequestFixture.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Fixture = RoutedRequestFixture;

    // Guards against a charge that runs twice, or is reported as not run, after a connection broke.
    TEST(RoutedRequestRunnerTest, ChargeThatMayHaveRunIsNotRetried)
    {
        Fixture fixture;
        fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(200, "paid") };
        EXPECT_EQ(fixture.run("/charge/1").status, 502);
        EXPECT_EQ(fixture.targets.log.size(), 1u);
    }

    // Guards against queueing a retry after the objective as if it had no objective, and so as if it could not miss it.
    TEST(RoutedRequestRunnerTest, RetryAfterTheObjectiveIsQueuedAsLate)
    {
        Fixture fixture;
        fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(200, "found") };
        fixture.targets.onConnected = [&] { fixture.clock.now += 200ms; };
        EXPECT_EQ(fixture.run("/lookup/1").status, 200);
        EXPECT_EQ(fixture.pools.grantRequests.at(0).objectiveMs, 150u);
        EXPECT_EQ(fixture.pools.grantRequests.at(1).objectiveMs, 1u);
    }

    // Guards against requests to a target that has reported that it drains, before the configuration shows it.
    TEST(RoutedRequestRunnerTest, DrainingTargetGetsNoNewRequests)
    {
        Fixture fixture;
        fixture.pools.grants = { TargetId(1), TargetId(1), TargetId(2) };
        fixture.targets.script = { respondWith(200, "paid", { { "Leaving", "1" } }), respondWith(200, "paid") };
        EXPECT_EQ(fixture.run("/charge/1").status, 200) << "the response of a draining target is valid";
        ASSERT_EQ(fixture.pools.availabilityNotices.size(), 1u);
        EXPECT_TRUE(fixture.pools.availabilityNotices[0].isLeaving);
        EXPECT_EQ(fixture.run("/charge/2").status, 200);
        ASSERT_EQ(fixture.targets.log.size(), 2u);
        EXPECT_EQ(fixture.header(1, "Instance"), "t2") << "a grant from before the report is released";
        EXPECT_EQ(fixture.pools.released, 1);
    }

    // Guards against sending the next request to a target that asked this node for a pause.
    TEST(RoutedRequestRunnerTest, PausedTargetIsSkipped)
    {
        Fixture fixture;
        fixture.pools.grants = { TargetId(1), TargetId(1), TargetId(2) };
        fixture.targets.script = { respondWith(503, "full", { { "Not-Run", "1" }, { "Pause", "1" } }), respondWith(200, "open") };
        EXPECT_EQ(fixture.run("/lookup/1").status, 200);
        ASSERT_EQ(fixture.pools.availabilityNotices.size(), 1u);
        EXPECT_EQ(fixture.pools.availabilityNotices[0].pauseMs, 1500u);
        EXPECT_FALSE(fixture.pools.availabilityNotices[0].isLeaving);
        EXPECT_EQ(fixture.header(1, "Instance"), "t2");
    }

    // Guards against rate limits that do not reach the pool, and against limits that end because of a response that the
    // target did not write, or that does not tell.
    TEST(RoutedRequestRunnerTest, RateLimitsOfTargetsAreReported)
    {
        Fixture fixture;
        fixture.pools.grants = { TargetId(1), TargetId(1), TargetId(1), TargetId(2), TargetId(1), TargetId(1) };
        fixture.targets.script = { respondWith(200, "found", { { "Limit", "3.2" } }), respondWith(200, "found"), respondWith(421, "", { { "Limit", "9" } }),
            respondWith(503, "full", { { "Not-Run", "1" } }), respondWith(200, "found", { { "Limit", "unreadable" } }), respondWith(200, "?", { { "Unsound", "1" } }) };
        auto sentAt = fixture.clock.now;
        for (const auto* path : { "/lookup/1", "/lookup/2", "/charge/3", "/charge/4", "/lookup/5", "/charge/6" })
            fixture.run(path);
        const auto& observations = fixture.pools.rateLimitObservations;
        ASSERT_EQ(observations.size(), 3u);
        EXPECT_FALSE(observations[2].isReadable) << "counted, but without effect";
        EXPECT_EQ(observations[0].target, TargetId(1));
        EXPECT_EQ(observations[0].limit, RequestRate(3.2));
        EXPECT_EQ(observations[0].requestSentAt, sentAt);
        EXPECT_FALSE(observations[1].limit) << "a valid response without a limit ends it";
    }

    /** A stream with a delay before each chunk except the first. */
    ScriptedResponse slowStream(Duration delay, std::vector<Result<std::string>> chunks)
    {
        auto response = streamOf(std::move(chunks));
        response.delayBeforeChunk = delay;
        return response;
    }

    // Guards against a stalled target that keeps its caller waiting beyond the deadline by sending a byte occasionally.
    TEST(RoutedRequestRunnerTest, BytesWithoutACompleteEventDoNotKeepAStreamOpen)
    {
        for (const auto* path : { "/plan/1", "/query/1", "/once/1" }) {
            Fixture fixture;
            std::vector<Result<std::string>> chunks { event(1) };
            chunks.insert(chunks.end(), 100, "x");
            chunks.emplace_back("\n\n");
            fixture.targets.script = { slowStream(70ms, chunks) };
            fixture.run(path);
            EXPECT_EQ(fixture.exchange.body, event(1)) << path;
            EXPECT_FALSE(fixture.exchange.isEnded) << path;
        }
    }

    // Guards against a stalled stream that is not resumed on another target because a byte arrives occasionally.
    TEST(RoutedRequestRunnerTest, StalledStreamIsResumedOnAnotherTarget)
    {
        RoutedRequestLimits limits;
        limits.stallTimeout = 300ms;
        Fixture fixture(limits);
        std::vector<Result<std::string>> chunks { event(1) };
        chunks.insert(chunks.end(), 10, "x");
        fixture.targets.script = { slowStream(100ms, chunks), streamOf({ event(2), event(3) }) };
        fixture.run("/query/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
        EXPECT_TRUE(fixture.exchange.isEnded);
    }

    // Guards against aborting a slow stream that no other attempt can replace.
    TEST(RoutedRequestRunnerTest, SlowStreamIsNotAborted)
    {
        RoutedRequestLimits limits;
        limits.stallTimeout = 300ms;
        Fixture fixture(limits);
        fixture.targets.script = { slowStream(350ms, { event(1), event(2), event(3) }) };
        fixture.run("/once/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
        EXPECT_TRUE(fixture.exchange.isEnded);
    }

    // Guards against aborting a slow stream before another target has granted a slot: under high load (scale-2 of the large
    // site) there was none, and the caller got a partial response.
    TEST(RoutedRequestRunnerTest, StalledStreamStaysOnItsTargetWithoutAnotherSlot)
    {
        for (bool hasBudget : { true, false }) {
            RoutedRequestLimits limits;
            limits.stallTimeout = 200ms;
            Fixture fixture(limits);
            if (hasBudget)
                fixture.pools.grants = { TargetId(1) };
            fixture.retriesLeft = 0;
            fixture.targets.script = { slowStream(450ms, { event(1), event(2), event(3) }) };
            fixture.run("/query/1");
            EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3)) << hasBudget;
            EXPECT_TRUE(fixture.exchange.isEnded) << hasBudget;
            EXPECT_EQ(fixture.targets.log.size(), 1u) << hasBudget;
        }
    }

    // Guards against an endless event that exhausts a node's memory.
    TEST(RoutedRequestRunnerTest, EndlessEventIsAFailure)
    {
        Fixture fixture;
        std::vector<Result<std::string>> chunks { event(1) };
        chunks.insert(chunks.end(), 1000, std::string(16 * 1024, 'x'));
        chunks.emplace_back("\n\n");
        fixture.targets.script = { streamOf(chunks) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.exchange.body, event(1));
        EXPECT_TRUE(fixture.exchange.isAborted);
    }

    // Guards against failing a charge of which no byte was sent.
    TEST(RoutedRequestRunnerTest, ChargeThatWasNotSentGoesToAnotherTarget)
    {
        Fixture fixture;
        fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::No), respondWith(200, "paid") };
        EXPECT_EQ(fixture.run("/charge/1").status, 200);
        EXPECT_EQ(fixture.pools.outcomes, (std::vector { AttemptOutcome::Unreachable, AttemptOutcome::Completed }));
        EXPECT_EQ(fixture.pools.grantRequests.at(1).excluded, std::vector { TargetId(1) });
    }

    // Guards against a target's refusal that is reported as a failure, or retried on more targets than the route allows.
    TEST(RoutedRequestRunnerTest, RefusalByTheTargetIsReportedAsNotRun)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(503, "full", { { "Not-Run", "1" } }), respondWith(200, "paid") };
        EXPECT_EQ(fixture.run("/charge/1").status, 503);
        EXPECT_EQ(fixture.targets.log.size(), 1u);
        EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Refused });
    }

    // Guards against a request that fails because a target's address now belongs to another target.
    TEST(RoutedRequestRunnerTest, WrongTargetIsSkippedWithinTheBudget)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(421, ""), respondWith(200, "paid") };
        EXPECT_EQ(fixture.run("/charge/1").status, 200);
        Fixture withoutBudget;
        withoutBudget.retriesLeft = 0;
        withoutBudget.targets.script = { respondWith(421, ""), respondWith(200, "paid") };
        EXPECT_EQ(withoutBudget.run("/charge/1").status, 503);
    }

    // Guards against a lookup that fails with its first target, and against retries beyond the route's attempts or the budget.
    TEST(RoutedRequestRunnerTest, IdempotentRequestIsRetriedWithinAttemptsAndBudget)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(500, "oops"), respondWith(200, "open") };
        EXPECT_EQ(fixture.run("/lookup/1").status, 200);
        EXPECT_EQ(fixture.pools.outcomes.front(), AttemptOutcome::Errored);
        Fixture twice;
        twice.targets.script = { respondWith(500, "oops"), respondWith(500, "again"), respondWith(200, "open") };
        EXPECT_EQ(twice.run("/lookup/1").status, 500);
        EXPECT_EQ(twice.exchange.body, "again") << "the target's own failure is relayed";
        EXPECT_EQ(twice.targets.log.size(), 2u);
        Fixture withoutBudget;
        withoutBudget.retriesLeft = 0;
        withoutBudget.targets.script = { respondWith(500, "oops"), respondWith(200, "open") };
        EXPECT_EQ(withoutBudget.run("/lookup/1").status, 500);
    }

    // Guards against relaying the bytes of a faulty target as the response.
    TEST(RoutedRequestRunnerTest, InvalidResponseIsAFailure)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(200, "garbage", { { "Unsound", "1" } }) };
        EXPECT_EQ(fixture.run("/charge/1").status, 502);
        EXPECT_EQ(fixture.exchange.body.find("garbage"), std::string::npos);
    }

    // Guards against a partial stream that looks complete.
    TEST(RoutedRequestRunnerTest, InterruptedStreamIsAborted)
    {
        Fixture fixture;
        fixture.targets.script = { streamOf({ event(1), tl::unexpected(makeError(ErrorKind::TargetFailed, "reset")) }), streamOf({ event(1) }) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.exchange.body, event(1));
        EXPECT_TRUE(fixture.exchange.isAborted);
        EXPECT_FALSE(fixture.exchange.isEnded);
        EXPECT_EQ(fixture.targets.log.size(), 1u);
    }

    // Guards against lost or duplicate events when a stream is resumed on another target.
    TEST(RoutedRequestRunnerTest, ResumableStreamIsResumedOnAnotherTarget)
    {
        Fixture fixture;
        fixture.targets.script = { streamOf({ event(1) + event(2) + "id: 3\nda", tl::unexpected(makeError(ErrorKind::TargetFailed, "reset")) }), streamOf({ event(2) + event(3), event(4) }) };
        fixture.run("/query/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3) + event(4));
        EXPECT_TRUE(fixture.exchange.isEnded);
        EXPECT_EQ(fixture.exchange.responses, 1);
        EXPECT_EQ(fixture.header(1, "After"), "2");
        EXPECT_EQ(fixture.header(1, "Instance"), "t2");
    }

    // Guards against a stream that ends inside an event and looks complete: streams without a length end with their connection.
    TEST(RoutedRequestRunnerTest, StreamThatEndsInsideAnEventIsInterrupted)
    {
        for (size_t length = 1; length < event(2).size(); ++length) {
            SCOPED_TRACE(length);
            auto cut = event(2).substr(0, length);
            Fixture fixed;
            fixed.targets.script = { streamOf({ event(1) + cut }) };
            fixed.run("/plan/1");
            EXPECT_EQ(fixed.exchange.body, event(1));
            EXPECT_TRUE(fixed.exchange.isAborted);
            EXPECT_FALSE(fixed.exchange.isEnded);
            Fixture resumable;
            resumable.targets.script = { streamOf({ event(1) + cut }), streamOf({ event(2) + event(3) }) };
            resumable.run("/query/1");
            EXPECT_EQ(resumable.exchange.body, event(1) + event(2) + event(3));
            EXPECT_TRUE(resumable.exchange.isEnded);
        }
    }

    // Guards against bytes of another response in the middle of a stream, and against a stream that looks complete because
    // the target that should resume it sent nothing.
    TEST(RoutedRequestRunnerTest, StreamIsInterruptedUnlessItIsResumed)
    {
        auto broken = Result<std::string>(tl::unexpected(makeError(ErrorKind::TargetFailed, "reset")));
        const std::vector<ScriptedResponse> answers {
            respondWith(404, "not here"),
            respondWith(500, "internal error"),
            respondWith(200, "not a stream", { { "Content-Type", "text/plain" } }),
            respondWith(200, "garbage", { { "Unsound", "1" }, { "Content-Type", "text/event-stream" } }),
            streamOf({}),
            streamOf({ event(1) }),
            streamOf({ "id: 2\nda" }),
            failWith(ErrorKind::TargetFailed, Ran::Unknown),
        };
        for (size_t i = 0; i < answers.size(); ++i) {
            SCOPED_TRACE(i);
            Fixture fixture;
            fixture.targets.script = { streamOf({ event(1), broken }), answers[i] };
            fixture.run("/query/1");
            EXPECT_EQ(fixture.exchange.body, event(1));
            EXPECT_TRUE(fixture.exchange.isAborted);
            EXPECT_FALSE(fixture.exchange.isEnded);
            EXPECT_EQ(fixture.exchange.responses, 1);
        }
    }

    // Guards against targets that continue after the caller disconnected.
    TEST(RoutedRequestRunnerTest, StreamIsCancelledWhenTheCallerDisconnects)
    {
        Fixture fixture;
        fixture.exchange.disconnectAfterWrites = 1;
        fixture.targets.script = { streamOf({ event(1), event(2), event(3) }) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Cancelled });
        EXPECT_LE(fixture.exchange.writes, 2);
    }

    // Guards against telling a target, also on a retry, that more time is left than there is.
    TEST(RoutedRequestRunnerTest, TargetsGetTheRemainingTime)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(500, "oops"), respondWith(200, "open") };
        fixture.targets.onRequest = [&] { fixture.clock.now += 400ms; };
        fixture.run("/lookup/1");
        EXPECT_EQ(fixture.header(0, "Left-Ms"), "1200") << "the route's timeout is shorter than the caller's";
        EXPECT_EQ(fixture.header(1, "Left-Ms"), "800");
    }

    // Guards against permanent errors (unknown key or path) that are reported as temporary, and the reverse.
    TEST(RoutedRequestRunnerTest, AdmissionErrorsHaveTheRightStatus)
    {
        EXPECT_EQ(Fixture().run("/nowhere/").status, 404);
        EXPECT_EQ(Fixture().run("/private/1").status, 401);
        EXPECT_EQ(Fixture().run("/private/1", "wrong").status, 401);
        Fixture withoutLease;
        withoutLease.hasLease = false;
        EXPECT_EQ(withoutLease.run("/private/1", "key").status, 503);
        Fixture starting;
        starting.hasConfiguration = false;
        EXPECT_EQ(starting.run("/charge/1").status, 503) << "a node without a routing document must not report a route as missing";
        Fixture open;
        open.hasLease = false;
        open.targets.script = { respondWith(200, "paid") };
        EXPECT_EQ(open.run("/charge/1").status, 200) << "requests without a key do not need the lease";
    }

    // Guards against a request that runs although its key was revoked while it was queued.
    TEST(RoutedRequestRunnerTest, RequestWhoseKeyIsRevokedWhileQueuedDoesNotRun)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(200, "open") };
        fixture.pools.onAcquire = [&] {
            auto config = fixture.view.config();
            config.version = Version(2);
            config.customers[CustomerId(4)].keyHashes.clear();
            fixture.apply(config);
        };
        EXPECT_EQ(fixture.run("/private/1", "key").status, 401);
        EXPECT_TRUE(fixture.targets.log.empty());
        EXPECT_EQ(fixture.debited, 0) << "a request that did not run is refunded";
    }

    // Guards against ceilings that are debited for requests that did not run, or not for those that did.
    TEST(RoutedRequestRunnerTest, CeilingsAreDebitedOnlyForRequestsThatRan)
    {
        Fixture fixture;
        fixture.targets.script = { respondWith(200, "open") };
        EXPECT_EQ(fixture.run("/private/1", "key").status, 200);
        EXPECT_EQ(fixture.debited, 200);
        EXPECT_EQ(fixture.header(0, "Customer"), "harbour");
        Fixture refused;
        refused.pools.grants.clear();
        EXPECT_EQ(refused.run("/private/1", "key").status, 503);
        EXPECT_EQ(refused.debited, 0);
    }

    /** Advances the clock by this time after the first event. */
    void letTimePassAfterFirstEvent(Fixture& fixture, Duration time)
    {
        fixture.exchange.onWrite = [&fixture, time] {
            if (fixture.exchange.writes == 1)
                fixture.clock.now += time;
        };
    }

    // Guards against a migration that loses events or does not pass on the KV cache, for a long response on a slow engine.
    TEST(RoutedRequestRunnerTest, LongStreamMigratesToAFasterTarget)
    {
        Fixture fixture;
        letTimePassAfterFirstEvent(fixture, 600ms);
        fixture.targets.script = { streamOf({ event(1), event(2), tl::unexpected(makeError(ErrorKind::TargetFailed, "closed")) }), respondWith(200, "h7"),
            streamOf({ event(3), event(4) }) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3) + event(4));
        EXPECT_TRUE(fixture.exchange.isEnded);
        ASSERT_EQ(fixture.targets.log.size(), 3u);
        EXPECT_EQ(fixture.targets.log[1].target, "/move/c1/t1/t2");
        EXPECT_EQ(fixture.pools.grantRequests.at(1).migratesFrom, TargetId(1));
        EXPECT_EQ(fixture.header(2, "From"), "t1/h7");
        EXPECT_EQ(fixture.header(2, "After"), "2");
        EXPECT_EQ(fixture.header(2, "Instance"), "t2");
        EXPECT_EQ(fixture.pools.outcomes, (std::vector { AttemptOutcome::Cancelled, AttemptOutcome::Completed }));
    }

    // Guards against failing a generation that stopped for a migration, although its target still has the KV cache.
    TEST(RoutedRequestRunnerTest, StoppedGenerationResumesOnItsTargetIfItCannotMigrate)
    {
        Fixture fixture;
        letTimePassAfterFirstEvent(fixture, 600ms);
        fixture.targets.script = { streamOf({ event(1), event(2), tl::unexpected(makeError(ErrorKind::TargetFailed, "closed")) }), respondWith(503, "h7"),
            streamOf({ event(3) }) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
        EXPECT_EQ(fixture.header(2, "Instance"), "t1");
        EXPECT_EQ(fixture.header(2, "From"), "t1/h7");
        EXPECT_EQ(fixture.pools.released, 1);
    }

    // Guards against a second run of a stream that may run only once: after it stopped for a migration, the target that should
    // resume it, whether the destination (200) or the source (503), was unreachable, and the request was sent to another
    // target from the start (hunt-c620-7 of the larger Pincel site).
    TEST(RoutedRequestRunnerTest, MigratedGenerationWhoseTargetIsUnreachableIsNotRestarted)
    {
        for (int moveStatus : { 200, 503 }) {
            Fixture fixture;
            letTimePassAfterFirstEvent(fixture, 600ms);
            fixture.targets.script = { streamOf({ event(1), event(2), tl::unexpected(makeError(ErrorKind::TargetFailed, "closed")) }), respondWith(moveStatus, "h7"),
                failWith(ErrorKind::TargetFailed, Ran::No), streamOf({ event(3) }) };
            fixture.run("/plan/1");
            EXPECT_EQ(fixture.targets.log.size(), 3u) << moveStatus;
            EXPECT_EQ(fixture.exchange.body, event(1) + event(2)) << moveStatus;
            EXPECT_FALSE(fixture.exchange.isEnded) << moveStatus;
        }
    }

    // Guards against disturbing a stream when no faster target has a slot, or the migration fails.
    TEST(RoutedRequestRunnerTest, StreamContinuesWhenItIsNotMigrated)
    {
        Fixture fixture;
        letTimePassAfterFirstEvent(fixture, 600ms);
        fixture.pools.grants = { TargetId(1) };
        fixture.targets.script = { streamOf({ event(1), event(2), event(3) }) };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
        Fixture failing;
        letTimePassAfterFirstEvent(failing, 600ms);
        failing.targets.script = { streamOf({ event(1), event(2), event(3) }), respondWith(404, "") };
        failing.run("/plan/1");
        EXPECT_EQ(failing.exchange.body, event(1) + event(2) + event(3));
        EXPECT_TRUE(failing.exchange.isEnded);
        EXPECT_EQ(failing.pools.released, 1);
        Fixture early;
        early.targets.script = { streamOf({ event(1), event(2) }) };
        early.run("/plan/1");
        EXPECT_EQ(early.targets.log.size(), 1u);
    }

    ScriptedResponse unframedStreamOf(std::vector<Result<std::string>> chunks)
    {
        auto response = streamOf(std::move(chunks));
        response.endsWithConnection = true;
        return response;
    }

    // Guards against an answer that ends as complete although its generation was stopped for a move whose answer was lost: without a
    // length, the end of the connection looks like the end of the stream.
    TEST(RoutedRequestRunnerTest, MoveWithoutAnAnswerDoesNotCompleteTheStream)
    {
        for (auto kind : { ErrorKind::TargetClosed, ErrorKind::TargetFailed }) {
            Fixture fixture;
            letTimePassAfterFirstEvent(fixture, 600ms);
            fixture.targets.script = { unframedStreamOf({ event(1), event(2) }), failWith(kind, Ran::Unknown) };
            fixture.run("/plan/1");
            EXPECT_EQ(fixture.exchange.body, event(1) + event(2));
            EXPECT_FALSE(fixture.exchange.isEnded) << errorInfo(kind).name;
            EXPECT_TRUE(fixture.exchange.isAborted) << errorInfo(kind).name;
        }
    }

    // Guards against a stream that is broken off because the copy of its KV cache waits behind others for longer than usual.
    TEST(RoutedRequestRunnerTest, LateAnswerOfAMoveIsWaitedFor)
    {
        for (bool isUnframed : { true, false }) {
            Fixture fixture;
            letTimePassAfterFirstEvent(fixture, 600ms);
            fixture.spawnDelay = 400ms;
            auto stopped = streamOf({ event(1), event(2), tl::unexpected(makeError(ErrorKind::TargetClosed, "closed")) });
            fixture.targets.script = { isUnframed ? unframedStreamOf({ event(1), event(2) }) : stopped, respondWith(200, "h7"), streamOf({ event(3) }) };
            fixture.run("/plan/1");
            EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
            EXPECT_TRUE(fixture.exchange.isEnded);
            EXPECT_EQ(fixture.header(2, "From"), "t1/h7");
            EXPECT_EQ(fixture.pools.released, 0);
        }
    }

    // Guards against a request that never ends, or ends as complete, when a move is not answered at all.
    TEST(RoutedRequestRunnerTest, UnansweredMoveEndsAtTheDeadline)
    {
        Fixture fixture;
        letTimePassAfterFirstEvent(fixture, 600ms);
        fixture.spawnDelay = 1h;
        auto startedAt = fixture.clock.now;
        fixture.targets.script = { unframedStreamOf({ event(1), event(2) }) };
        fixture.run("/plan/1");
        EXPECT_FALSE(fixture.exchange.isEnded);
        EXPECT_TRUE(fixture.exchange.isAborted);
        EXPECT_EQ(fixture.pools.released, 1);
        EXPECT_LE(fixture.clock.now - startedAt, 1300ms);
    }

    // Guards against a whole answer that is broken off because of a move that came too late for it.
    TEST(RoutedRequestRunnerTest, CompleteStreamDoesNotWaitForItsMove)
    {
        Fixture fixture;
        letTimePassAfterFirstEvent(fixture, 600ms);
        fixture.spawnDelay = 1h;
        fixture.targets.script = { streamOf({ event(1), event(2) }) };
        fixture.run("/plan/1");
        EXPECT_TRUE(fixture.exchange.isEnded);
        EXPECT_EQ(fixture.pools.released, 1);
    }

    // Guards against a place at the destination of a move that stays occupied because the caller left meanwhile.
    TEST(RoutedRequestRunnerTest, CallerThatLeavesDuringAMoveFreesThePlaceAtItsDestination)
    {
        for (Duration answerAfter : { Duration(0), Duration(1h) }) {
            Fixture fixture;
            fixture.spawnDelay = answerAfter;
            letTimePassAfterFirstEvent(fixture, 600ms);
            fixture.exchange.disconnectAfterWrites = 2;
            fixture.targets.script = { streamOf({ event(1), event(2), event(3) }) };
            if (answerAfter == Duration(0))
                fixture.targets.script.push_back(respondWith(200, "h7"));
            fixture.run("/plan/1");
            EXPECT_EQ(fixture.pools.released, 1);
            EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Cancelled });
        }
    }

}
}
