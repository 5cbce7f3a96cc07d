#include "briarhitch/wire/Link.h"

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "wire/Codec.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    LinkSettings settingsFor(uint32_t node, const std::string& key = "fleet key of the tests")
    {
        LinkSettings settings;
        settings.fleetKey = key;
        settings.identity = { LinkRole::Entry, NodeId(node), Incarnation(7) };
        return settings;
    }

    LinkHooks echoHooks()
    {
        LinkHooks hooks;
        hooks.onRequest = [](const Peer& peer, MessageType, std::string_view body) -> Result<std::string> {
            return std::to_string(peer.identity.node.value()) + ":" + std::string(body);
        };
        return hooks;
    }

    /** Runs the body in a fiber of a new loop. */
    void runInLoop(const std::function<void(Loop&)>& body)
    {
        Loop loop;
        loop.spawn([&] {
            body(loop);
            loop.stop();
        });
        loop.run();
        // Fibers of closed links end before the loop goes away.
        loop.spawn([&] { sleepFor(loop, 20ms); loop.stop(); });
        loop.run();
    }

    // Guards against requests being lost or answered to the wrong caller.
    TEST(LinkTest, RequestIsAnsweredWithThePeersIdentity)
    {
        runInLoop([](Loop& loop) {
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), echoHooks());
            ASSERT_TRUE(server);
            LinkClient client(loop, "127.0.0.1", (*server)->port(), settingsFor(2), {});
            ASSERT_TRUE(client.waitOpen(5s));
            auto answer = client.call(MessageType::Heartbeat, "hello", 5s);
            ASSERT_TRUE(answer);
            EXPECT_EQ(*answer, "2:hello");
        });
    }

    // Guards against strangers joining the fleet.
    TEST(LinkTest, WrongFleetKeyIsRefused)
    {
        runInLoop([](Loop& loop) {
            bool opened = false;
            LinkHooks hooks;
            hooks.onOpen = [&](const Peer&) { opened = true; };
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), hooks);
            ASSERT_TRUE(server);
            LinkClient client(loop, "127.0.0.1", (*server)->port(), settingsFor(2, "some other fleet's key"), {});
            EXPECT_FALSE(client.waitOpen(300ms));
            EXPECT_FALSE(opened);
        });
    }

    // Guards against a caller that hangs when the other process goes away.
    TEST(LinkTest, CallFailsWhenTheLinkCloses)
    {
        runInLoop([](Loop& loop) {
            LinkHooks hooks;
            std::unique_ptr<LinkServer> server;
            hooks.onRequest = [&](const Peer&, MessageType, std::string_view) -> Result<std::string> {
                server->close();
                return std::string("too late");
            };
            auto listening = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), hooks);
            ASSERT_TRUE(listening);
            server = std::move(*listening);
            LinkClient client(loop, "127.0.0.1", server->port(), settingsFor(2), {});
            ASSERT_TRUE(client.waitOpen(5s));
            auto answer = client.call(MessageType::Heartbeat, "hello", 5s);
            ASSERT_FALSE(answer);
            EXPECT_EQ(answer.error().kind, ErrorKind::Unavailable);
        });
    }

    // Guards against loss of fields, and against a decoder that trusts lengths or types.
    TEST(CodecTest, MessagesSurviveARoundTripAndDamageIsRefused)
    {
        Heartbeat heartbeat;
        heartbeat.node = { NodeId(3), Incarnation(9), "great-lakes", "duluth", "127.0.0.1", 4000, true, false };
        heartbeat.appliedVersion = Version(500);
        heartbeat.busyClosingCustomers = { CustomerId(1), CustomerId(4) };
        auto bytes = encode(heartbeat);
        auto decoded = decode<Heartbeat>(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->node, heartbeat.node);
        EXPECT_EQ(decoded->appliedVersion, heartbeat.appliedVersion);
        EXPECT_EQ(decoded->busyClosingCustomers, heartbeat.busyClosingCustomers);
        for (size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decode<Heartbeat>(std::string_view(bytes).substr(0, size)));
        EXPECT_FALSE(decode<Heartbeat>(std::string("\xdd\xff\xff\xff\xff", 5)));
    }

}
}
