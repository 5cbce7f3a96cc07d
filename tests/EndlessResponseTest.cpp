#include "briarhitch/http/HttpClient.h"

#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"
#include "support/EntryFakes.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using Socket = boost::asio::ip::tcp::socket;

    constexpr size_t maxAnswerBytes = 1024 * 1024;
    /** What a server may get rid of: the largest answer, and the sockets' buffers on both sides. */
    constexpr size_t acceptedBytes = 24 * 1024 * 1024;
    /** The server gives up after this many, so that a client that reads on fails the test. */
    constexpr size_t offeredBytes = 64 * 1024 * 1024;

    /** A server that answers every request with `start` and then `filler`, over and over, until the client closes. */
    class EndlessServer {
    public:
        EndlessServer(Loop& loop, const std::string& start, const std::string& filler)
            : listener_(*TcpListener::listen(loop, "127.0.0.1", 0))
        {
            state_->start = start;
            while (state_->block.size() < 64 * 1024)
                state_->block += filler;
            listener_->start([&loop, state = state_](Socket socket) {
                ++state->connections;
                loop.spawn([state, open = std::make_shared<Socket>(std::move(socket))] { serve(*state, *open); });
            });
        }
        ~EndlessServer() { listener_->close(); }
        EndlessServer(const EndlessServer&) = delete;
        EndlessServer& operator=(const EndlessServer&) = delete;

        void offer(size_t bytes) { state_->offered = bytes; }
        [[nodiscard]] size_t written() const { return state_->written; }
        [[nodiscard]] int connections() const { return state_->connections; }
        [[nodiscard]] HttpCallSettings call() const
        {
            HttpCallSettings settings;
            settings.host = "127.0.0.1";
            settings.port = listener_->port();
            settings.method = "POST";
            settings.headerTimeout = 20s;
            settings.maxAnswerBytes = maxAnswerBytes;
            return settings;
        }

    private:
        struct State {
            std::string start;
            std::string block;
            size_t written { 0 };
            size_t offered { offeredBytes };
            int connections { 0 };
        };

        static void serve(State& state, Socket& socket)
        {
            std::array<char, 4096> bytes {};
            auto result = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(bytes), handler); });
            if (!result.error)
                result = awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(state.start), handler); });
            while (!result.error && state.written < state.offered) {
                result = awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(state.block), handler); });
                state.written += result.error ? 0 : state.block.size();
            }
        }

        /** Shared with the fibers of connections, which may end after the server. */
        std::shared_ptr<State> state_ { std::make_shared<State>() };
        std::shared_ptr<TcpListener> listener_;
    };

    struct Endless {
        std::string name;
        std::string start;
        std::string filler;
    };

    class EndlessAnswerTest : public testing::TestWithParam<Endless> { };

    // Guards against a target whose bytes never end and that takes a node's memory, or its time, with them.
    TEST_P(EndlessAnswerTest, EndsAsAFailureThatMayHaveRun)
    {
        runInFiber([](Loop& loop) {
            EndlessServer server(loop, GetParam().start, GetParam().filler);
            HttpClient client(loop);
            auto answer = client.start(server.call());
            if (!answer) {
                EXPECT_EQ(answer.error().ran, Ran::Unknown);
            } else {
                auto body = (*answer)->readAll(20s);
                EXPECT_FALSE(body) << body->size();
            }
            EXPECT_LT(server.written(), acceptedBytes);
        });
    }

    const std::string okStart = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedStart = okStart + "Transfer-Encoding: chunked\r\n\r\n";

    INSTANTIATE_TEST_SUITE_P(Bytes, EndlessAnswerTest,
        testing::Values(
            Endless { "StatusLine", "HTTP/1.1 200 ", "x" },
            Endless { "NoHttp", "", "garbage " },
            Endless { "HeaderValue", okStart + "A: ", "x" },
            Endless { "HeaderLines", okStart, "A: x\r\n" },
            Endless { "ChunkSize", chunkedStart, "0" },
            Endless { "ChunkExtension", chunkedStart + "5;", "x" },
            Endless { "Chunks", chunkedStart, "5\r\nxxxxx\r\n" },
            Endless { "Trailer", chunkedStart + "0\r\n", "A: x\r\n" },
            Endless { "BodyWithoutLength", okStart + "\r\n", "x" },
            Endless { "BodyOfHugeLength", okStart + "Content-Length: 1000000000000\r\n\r\n", "x" }),
        [](const auto& info) { return info.param.name; });

    // Guards against bytes after a whole answer that are taken for the start of the next one.
    TEST(EndlessBodyTest, BytesBeyondTheLengthBelongToNoAnswer)
    {
        runInFiber([](Loop& loop) {
            EndlessServer server(loop, okStart + "Content-Length: 3\r\n\r\nyes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
            HttpClient client(loop);
            for (int i = 0; i < 2; ++i) {
                auto answer = fetch(client, server.call());
                EXPECT_TRUE(answer);
                EXPECT_EQ(answer ? answer->body : "", "yes");
            }
            EXPECT_EQ(server.connections(), 2);
        });
    }

    // Guards against many such targets at once, which together take more memory than the node has.
    TEST(EndlessBodyTest, AllBodiesTogetherAreBounded)
    {
        runInFiber([](Loop& loop) {
            constexpr int calls = 50;
            EndlessServer endless(loop, okStart + "\r\n", "x");
            endless.offer(calls * offeredBytes);
            HttpClientSettings settings;
            settings.maxCollectedBytes = 2 * maxAnswerBytes;
            HttpClient client(loop, settings);
            int failures = 0;
            int ended = 0;
            for (int i = 0; i < calls; ++i) {
                loop.spawn([&] {
                    auto call = endless.call();
                    call.maxAnswerBytes = offeredBytes;
                    failures += fetch(client, call) ? 0 : 1;
                    ++ended;
                });
            }
            while (ended < calls)
                sleepFor(loop, 1ms);
            EXPECT_EQ(failures, calls);
            // The sockets' buffers take most of this; each call's largest answer would be as much.
            EXPECT_LT(endless.written(), calls * acceptedBytes / 2);
        });
    }

    // Guards against a body that comes byte by byte and keeps its reader for as long as it likes.
    TEST(EndlessBodyTest, TrickledBodyEndsAtTheTimeout)
    {
        runInFiber([](Loop& loop) {
            auto listener = *TcpListener::listen(loop, "127.0.0.1", 0);
            listener->start([&loop](Socket accepted) {
                loop.spawn([&loop, socket = std::make_shared<Socket>(std::move(accepted))] {
                    constexpr int bodyBytes = 100;
                    std::string bytes = okStart + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
                    for (int i = 0; i < bodyBytes; ++i) {
                        auto result = awaitIo([&](auto handler) { boost::asio::async_write(*socket, boost::asio::buffer(bytes), handler); });
                        if (result.error)
                            return;
                        bytes = "x";
                        sleepFor(loop, 20ms);
                    }
                });
            });
            HttpClient client(loop);
            HttpCallSettings call;
            call.host = "127.0.0.1";
            call.port = listener->port();
            auto answer = client.start(call);
            ASSERT_TRUE(answer);
            auto body = (*answer)->readAll(200ms);
            EXPECT_FALSE(body);
            EXPECT_EQ(body ? ErrorKind::Internal : body.error().kind, ErrorKind::TargetTimeout);
            (*answer)->cancel();
            listener->close();
        });
    }

}
}
