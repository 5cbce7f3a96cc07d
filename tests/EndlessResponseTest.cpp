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

    constexpr size_t maxResponseBytes = 1024 * 1024;
    /** Bytes that a server may be able to write: the largest response, and the socket buffers on both sides. */
    constexpr size_t maxAcceptedBytes = 24 * 1024 * 1024;
    /** The server stops after this many, so that a client that keeps reading fails the test. */
    constexpr size_t maxOfferedBytes = 64 * 1024 * 1024;

    /** A server that responds to every request with `start` and then repeats `filler` until the client closes. */
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

        void allowBytes(size_t bytes) { state_->maxWritten = bytes; }
        [[nodiscard]] size_t written() const { return state_->written; }
        [[nodiscard]] int connections() const { return state_->connections; }
        [[nodiscard]] HttpCallSettings call() const
        {
            HttpCallSettings settings;
            settings.host = "127.0.0.1";
            settings.port = listener_->port();
            settings.method = "POST";
            settings.headerTimeout = 20s;
            settings.maxResponseBytes = maxResponseBytes;
            return settings;
        }

    private:
        struct State {
            std::string start;
            std::string block;
            size_t written { 0 };
            size_t maxWritten { maxOfferedBytes };
            int connections { 0 };
        };

        static void serve(State& state, Socket& socket)
        {
            std::array<char, 4096> bytes {};
            auto result = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(bytes), handler); });
            if (!result.error)
                result = awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(state.start), handler); });
            while (!result.error && state.written < state.maxWritten) {
                result = awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(state.block), handler); });
                state.written += result.error ? 0 : state.block.size();
            }
        }

        /** Shared with the fibers of connections, which may outlive the server. */
        std::shared_ptr<State> state_ { std::make_shared<State>() };
        std::shared_ptr<TcpListener> listener_;
    };

    struct EndlessResponse {
        std::string name;
        std::string start;
        std::string filler;
    };

    class EndlessResponseTest : public testing::TestWithParam<EndlessResponse> { };

    // Guards against a target whose endless response exhausts a node's memory or blocks its reader.
    TEST_P(EndlessResponseTest, FailsAsPossiblyRun)
    {
        runInFiber([](Loop& loop) {
            EndlessServer server(loop, GetParam().start, GetParam().filler);
            HttpClient client(loop);
            auto response = client.start(server.call());
            if (!response) {
                EXPECT_EQ(response.error().ran, Ran::Unknown);
            } else {
                auto body = (*response)->readAll(20s);
                EXPECT_FALSE(body) << body->size();
            }
            EXPECT_LT(server.written(), maxAcceptedBytes);
        });
    }

    const std::string okStart = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedStart = okStart + "Transfer-Encoding: chunked\r\n\r\n";

    INSTANTIATE_TEST_SUITE_P(Bytes, EndlessResponseTest,
        testing::Values(
            EndlessResponse { "StatusLine", "HTTP/1.1 200 ", "x" },
            EndlessResponse { "NoHttp", "", "garbage " },
            EndlessResponse { "HeaderValue", okStart + "A: ", "x" },
            EndlessResponse { "HeaderLines", okStart, "A: x\r\n" },
            EndlessResponse { "ChunkSize", chunkedStart, "0" },
            EndlessResponse { "ChunkExtension", chunkedStart + "5;", "x" },
            EndlessResponse { "Chunks", chunkedStart, "5\r\nxxxxx\r\n" },
            EndlessResponse { "Trailer", chunkedStart + "0\r\n", "A: x\r\n" },
            EndlessResponse { "BodyWithoutLength", okStart + "\r\n", "x" },
            EndlessResponse { "BodyOfHugeLength", okStart + "Content-Length: 1000000000000\r\n\r\n", "x" }),
        [](const auto& info) { return info.param.name; });

    // Guards against bytes after a complete response that are taken for the start of the next one.
    TEST(EndlessBodyTest, BytesBeyondTheContentLengthAreDiscarded)
    {
        runInFiber([](Loop& loop) {
            EndlessServer server(loop, okStart + "Content-Length: 3\r\n\r\nyes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
            HttpClient client(loop);
            for (int i = 0; i < 2; ++i) {
                auto response = fetch(client, server.call());
                EXPECT_TRUE(response);
                EXPECT_EQ(response ? response->body : "", "yes");
            }
            EXPECT_EQ(server.connections(), 2);
        });
    }

    // Guards against many endless responses at once that together exhaust a node's memory.
    TEST(EndlessBodyTest, TotalSizeOfBufferedBodiesIsBounded)
    {
        runInFiber([](Loop& loop) {
            constexpr int calls = 50;
            EndlessServer server(loop, okStart + "\r\n", "x");
            server.allowBytes(calls * maxOfferedBytes);
            HttpClientSettings settings;
            settings.maxBufferedBytes = 2 * maxResponseBytes;
            HttpClient client(loop, settings);
            int failures = 0;
            int ended = 0;
            for (int i = 0; i < calls; ++i) {
                loop.spawn([&] {
                    auto call = server.call();
                    call.maxResponseBytes = maxOfferedBytes;
                    failures += fetch(client, call) ? 0 : 1;
                    ++ended;
                });
            }
            while (ended < calls)
                sleepFor(loop, 1ms);
            EXPECT_EQ(failures, calls);
            // Most of this is socket buffers; if each call buffered its largest response, that would be as much again.
            EXPECT_LT(server.written(), calls * maxAcceptedBytes / 2);
        });
    }

    // Guards against a body that arrives byte by byte and keeps its reader waiting beyond the timeout.
    TEST(EndlessBodyTest, SlowlySentBodyEndsAtTheTimeout)
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
            auto response = client.start(call);
            ASSERT_TRUE(response);
            auto body = (*response)->readAll(200ms);
            EXPECT_FALSE(body);
            EXPECT_EQ(body ? ErrorKind::Internal : body.error().kind, ErrorKind::TargetTimeout);
            (*response)->cancel();
            listener->close();
        });
    }

}
}
