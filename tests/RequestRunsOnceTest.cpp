#include "support/RoutedRequestFixture.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Fixture = RoutedRequestFixture;

    // Guards against a request that is sent although its caller left, or continued it elsewhere, while its connection opened.
    TEST(RequestRunsOnceTest, CancelledRequestIsNotSentWhenItsConnectionOpens)
    {
        for (const char* path : { "/query/1", "/plan/1", "/lookup/1" }) {
            Fixture fixture;
            fixture.targets.onConnected = [&] { fixture.exchange.disconnect(); };
            fixture.targets.script = { streamOf({ event(1) }), streamOf({ event(1) }) };
            fixture.run(path);
            EXPECT_TRUE(fixture.targets.log.empty()) << path;
            EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Cancelled }) << path;
        }
        Fixture superseded;
        superseded.targets.onConnected = [&] { superseded.pools.supersededHooks.begin()->second(); };
        superseded.targets.script = { streamOf({ event(1) }) };
        superseded.run("/query/1");
        EXPECT_TRUE(superseded.targets.log.empty());
        EXPECT_EQ(superseded.exchange.status, 502);
    }

    // Guards against a generation that goes on at the destination of a move although its caller left while the move was under way.
    TEST(RequestRunsOnceTest, MovedStreamDoesNotGoOnWithoutItsCaller)
    {
        for (bool isSuperseded : { false, true }) {
            Fixture fixture;
            fixture.exchange.onWrite = [&] {
                if (fixture.exchange.writes == 1)
                    fixture.clock.now += 600ms;
            };
            fixture.spawnDelay = 400ms;
            fixture.targets.onRequest = [&] {
                bool isMove = fixture.targets.log.size() == 2;
                if (isMove && isSuperseded)
                    fixture.pools.supersededHooks.begin()->second();
                else if (isMove)
                    fixture.exchange.disconnect();
            };
            fixture.targets.script = { streamOf({ event(1), event(2), tl::unexpected(makeError(ErrorKind::TargetClosed, "closed")) }), respondWith(200, "h7"), streamOf({ event(3) }) };
            fixture.run("/query/1");
            ASSERT_EQ(fixture.targets.log.size(), 2U);
            EXPECT_EQ(fixture.targets.log[1].target, "/move/c1/t1/t2");
            EXPECT_EQ(fixture.pools.released, 1);
            EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Cancelled });
        }
    }

    // Guards against a stream whose owner has refused it in favour of a later request, and that waits or is tried again.
    TEST(RequestRunsOnceTest, RefusalInFavourOfALaterRequestEndsTheRequest)
    {
        Fixture fixture;
        fixture.pools.grants.clear();
        fixture.pools.refusal = makeError(ErrorKind::Superseded, "scripted");
        fixture.run("/query/1");
        EXPECT_TRUE(fixture.targets.log.empty());
        EXPECT_EQ(fixture.pools.grantRequests.size(), 1U);
        EXPECT_EQ(fixture.exchange.responses, 1);
        EXPECT_EQ(fixture.exchange.status, 502) << "not one that has the caller repeat it";
    }

    /** The claim of the grant request for a stream that continues "c1" after event 2. */
    StreamClaim claimOf(const std::string& path, const std::string& key, const std::string& body, const std::string& resumes = "c1")
    {
        Fixture fixture;
        auto request = Fixture::requestTo(path, key);
        request.callerId = resumes.empty() ? "" : "c2";
        request.resumesCallerId = resumes;
        request.lastEventId = 2;
        request.body = body;
        fixture.run(request);
        return fixture.pools.grantRequests.at(0).streamClaim;
    }

    // Guards against a caller without a customer that stops the stream of another one by its name, and against nameless requests
    // that are taken for one stream.
    TEST(RequestRunsOnceTest, OnlyRequestsOfTheSameCallerClaimAStream)
    {
        Fixture fixture;
        auto begun = Fixture::requestTo("/query/1");
        begun.body = "secret";
        fixture.run(begun);
        auto claim = fixture.pools.grantRequests.at(0).streamClaim;
        EXPECT_TRUE(claim.stream.isValid());
        EXPECT_FALSE(claim.isContinuation);
        EXPECT_EQ(claimOf("/query/1", "", "secret").stream, claim.stream);
        EXPECT_TRUE(claimOf("/query/1", "", "secret").isContinuation);
        EXPECT_NE(claimOf("/query/1", "", "guess").stream, claim.stream);
        EXPECT_FALSE(claimOf("/query/1", "", "secret", "").stream.isValid());
        EXPECT_FALSE(claimOf("/plan/1", "", "secret").stream.isValid()) << "callers cannot continue it";
    }

    // Guards against a request that runs twice because a late copy of a refusal, of an earlier attempt at the same address, is taken for
    // the answer to a later one.
    TEST(RequestRunsOnceTest, FurtherAttemptAtAnAddressUsesANewConnection)
    {
        for (uint16_t secondPort : { uint16_t { 7001 }, uint16_t { 7002 } }) {
            Fixture fixture;
            auto config = fixture.view.config();
            config.version = Version(2);
            config.targets[TargetId(1)].port = 7001;
            config.targets[TargetId(2)].port = secondPort;
            fixture.apply(config);
            fixture.targets.script = { respondWith(421, ""), respondWith(200, "paid") };
            fixture.run("/charge/1");
            ASSERT_EQ(fixture.targets.log.size(), 2U);
            EXPECT_TRUE(fixture.targets.log[0].isReuseAllowed);
            EXPECT_EQ(fixture.targets.log[1].isReuseAllowed, secondPort != 7001);
        }
    }

}
}
