#include "entry/RequestDigests.h"
#include "support/RoutedRequestFixture.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Fixture = RoutedRequestFixture;

    tl::unexpected<Error> broken(ErrorKind kind) { return tl::unexpected(makeError(kind, "scripted")); }

    // Guards against crashes that are not noticed because the target had sent a part of its answer, and against reports of
    // crashes by targets that are slow, send what is no answer, or answer an error.
    TEST(RoutedRequestCrashTest, ClosedConnectionsAreReported)
    {
        struct Case {
            const char* path;
            ScriptedResponse response;
            bool isClosed;
        };
        const std::vector<Case> cases {
            { "/charge/head", failWith(ErrorKind::TargetClosed, Ran::Unknown), true },
            { "/charge/body", { std::nullopt, 200, {}, { "half", broken(ErrorKind::TargetClosed) } }, true },
            { "/plan/head", failWith(ErrorKind::TargetClosed, Ran::Unknown), true },
            { "/plan/first", streamOf({ broken(ErrorKind::TargetClosed) }), true },
            { "/plan/later", streamOf({ event(1), event(2), broken(ErrorKind::TargetClosed) }), true },
            { "/charge/slow", failWith(ErrorKind::TargetTimeout, Ran::Unknown), false },
            { "/charge/garbage", failWith(ErrorKind::TargetFailed, Ran::Unknown), false },
            { "/charge/connect", failWith(ErrorKind::TargetClosed, Ran::No), false },
            { "/charge/error", respondWith(500, "error"), false },
            { "/plan/end", streamOf({}), false },
        };
        for (const auto& [path, response, isClosed] : cases) {
            Fixture fixture;
            fixture.targets.script = { response };
            fixture.run(path);
            ASSERT_FALSE(fixture.pools.finished.empty()) << path;
            EXPECT_EQ(fixture.pools.finished[0].hasTargetClosed, isClosed) << path;
            EXPECT_EQ(fixture.pools.finished[0].hasRefusedConnection, std::string(path) == "/charge/connect") << path;
        }
    }

    // Guards against repeats of a request that are taken for another one, and against sound requests that are taken for it.
    TEST(RoutedRequestCrashTest, RepeatsHaveTheSameDigestAndOtherRequestsDoNot)
    {
        Fixture fixture;
        auto digestOf = [&](const RoutedRequest& request) {
            fixture.pools.grants = { TargetId(1) };
            fixture.targets.script = { respondWith(200, "found") };
            fixture.run(request);
            return fixture.pools.grantRequests.back().digest;
        };
        auto original = Fixture::requestTo("/private/1", "key");
        const std::string body(3 * 1024 * 1024, 'x');
        original.body = body + "a";
        auto repeat = original;
        repeat.callerId = "c2";
        repeat.callerTimeout = 700ms;
        repeat.headers = { { "Traceparent", "00-1" } };
        repeat.lastEventId = 3;
        repeat.prefix = { { PromptPartId(9), Tokens(50) }, { PromptPartId(10), Tokens(5) } };
        auto digest = digestOf(original);
        EXPECT_TRUE(digest.isValid());
        EXPECT_EQ(digestOf(repeat), digest);
        auto otherBody = original;
        otherBody.body = body + "b";
        auto otherQuery = original;
        otherQuery.target += "?page=2";
        auto otherMethod = original;
        otherMethod.method = "PUT";
        auto emptyBody = original;
        emptyBody.body = {};
        auto otherPath = Fixture::requestTo("/lookup/1");
        std::set<RequestDigest> digests { digest };
        for (const auto& other : { otherBody, otherQuery, otherMethod, emptyBody, otherPath })
            EXPECT_TRUE(digests.insert(digestOf(other)).second) << other.target;
        EXPECT_NE(makeRequestDigest(CustomerId(1), "GET", "/a", ""), makeRequestDigest(CustomerId(2), "GET", "/a", ""));
    }

    // Guards against a deadly part that is never blocked because it stands far back in a long prompt.
    TEST(RoutedRequestCrashTest, OwnersLearnAllSharedPartsOfALongPrompt)
    {
        Fixture fixture;
        fixture.targets.script = { streamOf({ event(1) }) };
        auto request = Fixture::requestTo("/plan/long");
        constexpr uint64_t partCount = 1000;
        for (uint64_t part = 1; part <= partCount; ++part)
            request.prefix.push_back({ PromptPartId(part), Tokens(20) });
        fixture.run(request);
        const auto& parts = fixture.pools.grantRequests.at(0).sharedParts;
        ASSERT_EQ(parts.size(), partCount - 1);
        EXPECT_EQ(parts.back(), PromptPartId(partCount - 1));
    }

    // Guards against an invitation to repeat at once, and against a promise that a request has not run which crashed a target.
    TEST(RoutedRequestCrashTest, RequestThatIsBlockedBetweenItsAttemptsMayHaveRun)
    {
        Fixture fixture;
        fixture.pools.grants = { TargetId(1) };
        fixture.pools.refusal = makeError(ErrorKind::SuspectRequest, "this request has crashed 2 targets");
        fixture.pools.refusal->ran = Ran::No;
        fixture.pools.refusal->retryAfter = 17s;
        fixture.targets.script = { failWith(ErrorKind::TargetClosed, Ran::Unknown) };
        EXPECT_EQ(fixture.run("/lookup/1").status, 502);
        EXPECT_NE(fixture.exchange.body.find("\"retry_after_s\":17.0"), std::string::npos) << fixture.exchange.body;
        EXPECT_NE(fixture.exchange.body.find("\"ran\":\"unknown\""), std::string::npos) << fixture.exchange.body;
        Fixture unsent;
        unsent.pools.grants.clear();
        unsent.pools.refusal = fixture.pools.refusal;
        EXPECT_EQ(unsent.run("/lookup/1").status, 503);
        EXPECT_NE(unsent.exchange.body.find("\"retry_after_s\":17.0"), std::string::npos) << unsent.exchange.body;
    }

}
}
