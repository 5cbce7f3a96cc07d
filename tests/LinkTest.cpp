#include "briarhitch/wire/Link.h"

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"
#include "wire/Codec.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

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
        // Fibers of closed links end before the loop is destroyed.
        loop.spawn([&] { sleepFor(loop, 20ms); loop.stop(); });
        loop.run();
    }

    // Guards against requests that are lost or whose reply goes to the wrong caller.
    TEST(LinkTest, HandlerGetsThePeersIdentity)
    {
        runInLoop([](Loop& loop) {
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), echoHooks());
            ASSERT_TRUE(server);
            LinkClient client(loop, "127.0.0.1", (*server)->port(), settingsFor(2), {});
            ASSERT_TRUE(client.waitOpen(5s));
            auto reply = client.call(MessageType::Heartbeat, "hello", 5s);
            ASSERT_TRUE(reply);
            EXPECT_EQ(*reply, "2:hello");
        });
    }

    // Guards against an exception in the handler of one message that ends the process, or the link for all other
    // messages.
    TEST(LinkTest, ExceptionEndsOnlyOneMessage)
    {
        runInLoop([](Loop& loop) {
            LinkHooks hooks;
            hooks.onPost = [](const Peer&, MessageType, std::string_view) { throw std::runtime_error("planted"); };
            hooks.onRequest = [](const Peer&, MessageType, std::string_view body) -> Result<std::string> {
                if (body == "fault")
                    throw std::runtime_error("planted");
                return std::string(body);
            };
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), hooks);
            ASSERT_TRUE(server);
            LinkClient client(loop, "127.0.0.1", (*server)->port(), settingsFor(2), {});
            ASSERT_TRUE(client.waitOpen(5s));
            client.post(MessageType::GrantRequest, "any");
            EXPECT_FALSE(client.call(MessageType::Heartbeat, "fault", 5s));
            auto reply = client.call(MessageType::Heartbeat, "hello", 5s);
            ASSERT_TRUE(reply);
            EXPECT_EQ(*reply, "hello");
        });
    }

    // A snapshot is sent to hundreds of nodes at once over slow links. Guards against a link that is considered
    // unresponsive, closed and opened again while a frame larger than its bandwidth is still in transit.
    TEST(LinkTest, LargeFrameOnASlowConnectionKeepsTheLinkOpen)
    {
        runInLoop([](Loop& loop) {
            constexpr size_t bodyBytes = 1024 * 1024;
            auto settings = settingsFor(1);
            settings.heartbeatInterval = 100ms;
            settings.idleTimeout = 500ms;
            std::optional<LinkId> opened;
            LinkHooks serverHooks;
            serverHooks.onOpen = [&](const Peer& peer) { opened = peer.link; };
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settings, serverHooks);
            ASSERT_TRUE(server);
            auto proxy = *TcpListener::listen(loop, "127.0.0.1", 0);
            proxy->start([&](boost::asio::ip::tcp::socket accepted) {
                using Socket = boost::asio::ip::tcp::socket;
                auto near = std::make_shared<Socket>(std::move(accepted));
                auto far = std::make_shared<Socket>(loop.context());
                far->connect({ boost::asio::ip::make_address("127.0.0.1"), (*server)->port() });
                auto forward = [&loop](const std::shared_ptr<Socket>& from, const std::shared_ptr<Socket>& to, Duration pause) {
                    loop.spawn([&loop, from, to, pause] {
                        std::vector<char> bytes(16 * 1024);
                        for (;;) {
                            auto read = awaitIo([&](auto handler) { from->async_read_some(boost::asio::buffer(bytes), handler); });
                            if (read.error || awaitIo([&](auto handler) { boost::asio::async_write(*to, boost::asio::buffer(bytes.data(), read.count), handler); }).error)
                                return;
                            sleepFor(loop, pause);
                        }
                    });
                };
                forward(near, far, 0ms);
                forward(far, near, 20ms);
            });
            auto clientSettings = settingsFor(2);
            clientSettings.heartbeatInterval = settings.heartbeatInterval;
            clientSettings.idleTimeout = settings.idleTimeout;
            struct Seen {
                size_t received { 0 };
                int closed { 0 };
            };
            // The hooks are also called when the link is closed at the end.
            auto seen = std::make_shared<Seen>();
            LinkHooks hooks;
            hooks.onPost = [seen](const Peer&, MessageType, std::string_view body) { seen->received = body.size(); };
            hooks.onClosed = [seen](const Peer&) { ++seen->closed; };
            LinkClient client(loop, "127.0.0.1", proxy->port(), clientSettings, hooks);
            ASSERT_TRUE(client.waitOpen(5s));
            while (!opened)
                sleepFor(loop, 1ms);
            (*server)->post(*opened, MessageType::GrantRequest, std::string(bodyBytes, 'x'));
            while (seen->received == 0 && seen->closed == 0)
                sleepFor(loop, 10ms);
            EXPECT_EQ(seen->received, bodyBytes);
            EXPECT_EQ(seen->closed, 0);
            proxy->close();
        });
    }

    // Guards against unauthenticated peers that join the fleet.
    TEST(LinkTest, WrongFleetKeyIsRejected)
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

    /** Forwards one connection to a port and records what the client sent. */
    class RecordingForwarder {
    public:
        RecordingForwarder(Loop& loop, uint16_t to)
            : loop_(loop)
            , acceptor_(loop.context(), { boost::asio::ip::address_v4::loopback(), 0 })
            , near_(loop.context())
            , far_(loop.context())
        {
            loop_.spawn([this, to] {
                awaitIo([&](auto done) { acceptor_.async_accept(near_, done); });
                awaitIo([&](auto done) { far_.async_connect({ boost::asio::ip::address_v4::loopback(), to }, done); });
                loop_.spawn([this] { pass(far_, near_, nullptr); });
                pass(near_, far_, &recorded_);
            });
        }

        [[nodiscard]] uint16_t port() const { return acceptor_.local_endpoint().port(); }
        [[nodiscard]] const std::string& recorded() const { return recorded_; }

    private:
        static void pass(boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to, std::string* record)
        {
            std::array<char, 4096> bytes {};
            for (;;) {
                auto read = awaitIo([&](auto done) { from.async_read_some(boost::asio::buffer(bytes), done); });
                if (read.error)
                    return;
                if (record)
                    record->append(bytes.data(), read.count);
                awaitIo([&](auto done) { boost::asio::async_write(to, boost::asio::buffer(bytes.data(), read.count), done); });
            }
        }

        Loop& loop_;
        boost::asio::ip::tcp::acceptor acceptor_;
        boost::asio::ip::tcp::socket near_;
        boost::asio::ip::tcp::socket far_;
        std::string recorded_;
    };

    // Guards against an unauthenticated peer that recorded a handshake and sends it again.
    TEST(LinkTest, ReplayedHandshakeIsRejected)
    {
        runInLoop([](Loop& loop) {
            int opened = 0;
            auto hooks = echoHooks();
            hooks.onOpen = [&](const Peer&) { ++opened; };
            auto server = LinkServer::listen(loop, "127.0.0.1", 0, settingsFor(1), hooks);
            ASSERT_TRUE(server);
            RecordingForwarder forwarder(loop, (*server)->port());
            LinkClient client(loop, "127.0.0.1", forwarder.port(), settingsFor(2), {});
            ASSERT_TRUE(client.waitOpen(5s));
            ASSERT_TRUE(client.call(MessageType::Heartbeat, "hello", 5s));
            ASSERT_EQ(opened, 1);

            boost::asio::ip::tcp::socket replay(loop.context());
            awaitIo([&](auto done) { replay.async_connect({ boost::asio::ip::address_v4::loopback(), (*server)->port() }, done); });
            awaitIo([&](auto done) { boost::asio::async_write(replay, boost::asio::buffer(forwarder.recorded()), done); });
            // The server replies to the first message with its own nonce and proof, and closes at the stale proof.
            std::string reply;
            auto read = awaitIo([&](auto done) { boost::asio::async_read(replay, boost::asio::dynamic_buffer(reply), done); });
            EXPECT_TRUE(read.error);
            EXPECT_EQ(opened, 1);
        });
    }

    // Guards against a caller that hangs when the other process ends.
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
            auto reply = client.call(MessageType::Heartbeat, "hello", 5s);
            ASSERT_FALSE(reply);
            EXPECT_EQ(reply.error().kind, ErrorKind::Unavailable);
        });
    }

    // Guards against lost fields, and against a decoder that trusts lengths or types.
    TEST(CodecTest, RoundTripKeepsFieldsAndMalformedBytesAreRejected)
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
