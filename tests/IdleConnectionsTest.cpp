#include "briarhitch/http/HttpClient.h"

#include "support/EntryFakes.h"
#include "support/RawTarget.h"

#include <deque>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using End = RawAnswer::End;

    const std::string okAnswer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok";

    HttpCallSettings callTo(const RawTarget& target, std::string body = {})
    {
        HttpCallSettings call;
        call.host = "127.0.0.1";
        call.port = target.port();
        call.method = "POST";
        call.body = std::move(body);
        call.headerTimeout = 5s;
        return call;
    }

    /** Whether the condition holds before a time that is far longer than an interval between sweeps. */
    bool comesTrue(Loop& loop, const std::function<bool()>& condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
            sleepFor(loop, 5ms);
        return condition();
    }

    // Guards against a new connection for each request, which costs targets and callers time.
    TEST(IdleConnectionsTest, SteadyTrafficReusesItsConnections)
    {
        runInFiber([](Loop& loop) {
            RawTarget target(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            HttpClient client(loop);
            constexpr int parallelCalls = 4;
            for (int round = 0; round < 50; ++round) {
                int ended = 0;
                for (int i = 0; i < parallelCalls; ++i) {
                    loop.spawn([&] {
                        EXPECT_TRUE(fetch(client, callTo(target, std::string(size_t(round) * 1000, 'x'))));
                        ++ended;
                    });
                }
                while (ended < parallelCalls)
                    sleepFor(loop, 1ms);
            }
            EXPECT_EQ(target.connections(), parallelCalls);
            EXPECT_EQ(client.idleConnections(), size_t(parallelCalls));
            EXPECT_EQ(client.openConnections(), size_t(parallelCalls));
        });
    }

    // Guards against descriptors that stay in use for targets that have ended and whose address is never used again.
    TEST(IdleConnectionsTest, ConnectionsThatTargetsCloseAreClosed)
    {
        runInFiber([](Loop& loop) {
            // The answers allow reuse, though the targets close their side.
            RawTarget closing(loop, [](const std::string&, int) { return RawAnswer { okAnswer, End::Close }; });
            RawTarget resetting(loop, [](const std::string&, int) { return RawAnswer { okAnswer, End::Reset }; });
            HttpClient client(loop);
            EXPECT_TRUE(fetch(client, callTo(closing)));
            EXPECT_TRUE(fetch(client, callTo(resetting)));
            EXPECT_EQ(client.idleConnections(), 2u);
            EXPECT_TRUE(comesTrue(loop, [&] { return client.openConnections() == 0; }));
            EXPECT_EQ(client.idleConnections(), 0u);
        });
    }

    // Guards against idle connections that outlast the time for which the target keeps them.
    TEST(IdleConnectionsTest, ConnectionsAreClosedWhenTheirIdleTimeEnds)
    {
        runInFiber([](Loop& loop) {
            RawTarget target(loop, [](const std::string&, int) { return RawAnswer { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok" }; });
            HttpClient client(loop);
            EXPECT_TRUE(fetch(client, callTo(target)));
            EXPECT_EQ(client.idleConnections(), 1u);
            EXPECT_TRUE(comesTrue(loop, [&] { return client.openConnections() == 0; }));
        });
    }

    // Guards against connections to a target that has left the list and keeps its side open.
    TEST(IdleConnectionsTest, ConnectionsToFormerTargetsAreClosed)
    {
        runInFiber([](Loop& loop) {
            RawTarget former(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            RawTarget listed(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            HttpClient client(loop);
            EXPECT_TRUE(fetch(client, callTo(former)));
            EXPECT_TRUE(fetch(client, callTo(listed)));
            client.closeIdleConnections([&](const std::string& host, uint16_t port) { return host == "127.0.0.1" && port == listed.port(); });
            EXPECT_EQ(client.idleConnections(), 1u);
            EXPECT_TRUE(fetch(client, callTo(listed)));
            EXPECT_EQ(listed.connections(), 1);
        });
    }

    // Guards against connections beyond the limit, and against closing one that is likely to be used soon.
    TEST(IdleConnectionsTest, LongestIdleIsClosedAtTheLimit)
    {
        runInFiber([](Loop& loop) {
            std::deque<RawTarget> targets;
            for (int i = 0; i < 4; ++i)
                targets.emplace_back(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            HttpClientSettings settings;
            settings.maxConnections = 3;
            HttpClient client(loop, settings);
            for (int i : { 0, 1, 2, 0, 3 })
                EXPECT_TRUE(fetch(client, callTo(targets[i])));
            EXPECT_EQ(client.openConnections(), 3u);
            EXPECT_TRUE(fetch(client, callTo(targets[0])));
            EXPECT_EQ(targets[0].connections(), 1) << "used more recently than the one of target 1";
            EXPECT_TRUE(fetch(client, callTo(targets[1])));
            EXPECT_EQ(targets[1].connections(), 2);
        });
    }

    // Guards against a process that keeps failing after its descriptors ran out.
    TEST(IdleConnectionsTest, RunningOutOfDescriptorsEndsWithItsCause)
    {
        runInFiber([](Loop& loop) {
            RawTarget idle(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            RawTarget other(loop, [](const std::string&, int) { return RawAnswer { okAnswer }; });
            HttpClientSettings settings;
            settings.maxConnections = 1000;
            HttpClient client(loop, settings);
            EXPECT_TRUE(fetch(client, callTo(idle)));
            rlimit usual {};
            getrlimit(RLIMIT_NOFILE, &usual);
            rlimit low = usual;
            low.rlim_cur = 1;
            setrlimit(RLIMIT_NOFILE, &low);
            auto refused = client.start(callTo(other));
            EXPECT_FALSE(refused);
            EXPECT_EQ(refused ? Ran::Unknown : refused.error().ran, Ran::No);
            EXPECT_EQ(client.idleConnections(), 0u) << "closed for the new connection";
            EXPECT_EQ(client.openConnections(), 0u);
            setrlimit(RLIMIT_NOFILE, &usual);
            EXPECT_TRUE(fetch(client, callTo(idle)));
        });
    }

    // Guards against the next request on a connection whose target still takes bytes for the one that it answered early.
    TEST(IdleConnectionsTest, ConnectionOfAnEarlyAnswerIsNotReused)
    {
        runInFiber([](Loop& loop) {
            RawTarget target(loop, [](const std::string&, int number) { return number == 0 ? RawAnswer { okAnswer, End::Hold, false } : RawAnswer { okAnswer }; });
            HttpClient client(loop);
            constexpr size_t longBodyBytes = 16 * 1024 * 1024;
            EXPECT_TRUE(fetch(client, callTo(target, std::string(longBodyBytes, 'x'))));
            EXPECT_EQ(client.openConnections(), 0u);
            EXPECT_TRUE(fetch(client, callTo(target)));
            EXPECT_EQ(target.connections(), 2);
        });
    }

}
}
