#include "briarhitch/http/CallerMemory.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"

#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class HttpTest : public testing::Test {
    protected:
        /** Runs the body in a fiber against a server with this handler. */
        void run(HttpServer::Handler handler, const std::function<void()>& body, const HttpServerSettings& settings = {})
        {
            auto listening = HttpServer::listen(loop_, settings, std::move(handler));
            ASSERT_TRUE(listening);
            server_ = std::move(*listening);
            loop_.spawn([&] {
                body();
                loop_.stop();
            });
            loop_.run();
        }

        HttpCallSettings to(const std::string& method, const std::string& target, std::string body = {}) const
        {
            HttpCallSettings call;
            call.host = "127.0.0.1";
            call.port = server_->port();
            call.method = method;
            call.target = target;
            call.body = std::move(body);
            call.headerTimeout = 5s;
            return call;
        }

        Loop loop_;
        std::unique_ptr<HttpServer> server_;
        HttpClient client_ { loop_ };
    };

    // Guards against bodies or headers that are lost or mixed up between requests on one connection.
    TEST_F(HttpTest, CompleteResponsesOnAReusedConnection)
    {
        auto echo = [](const HttpRequest& request, HttpExchange& exchange) {
            exchange.send(200, { { "X-Path", request.path } }, request.method + "?" + request.query + ":" + request.body.text());
        };
        run(echo, [&] {
            for (int i = 0; i < 3; ++i) {
                auto response = fetch(client_, to("POST", "/a/b?n=" + std::to_string(i), "body" + std::to_string(i)));
                ASSERT_TRUE(response) << response.error().message;
                EXPECT_EQ(response->status, 200);
                EXPECT_EQ(findHeader(response->headers, "x-path"), "/a/b");
                EXPECT_EQ(response->body, "POST?n=" + std::to_string(i) + ":body" + std::to_string(i));
            }
        });
    }

    // Guards against streams that are buffered until their end: the caller reads each chunk before the next one is
    // sent.
    TEST_F(HttpTest, StreamIsNotBuffered)
    {
        FiberEvent mayContinue(loop_);
        auto stream = [&](const HttpRequest&, HttpExchange& exchange) {
            exchange.beginStream(200, {});
            exchange.write("first");
            mayContinue.wait();
            exchange.write("second");
            exchange.endStream();
        };
        run(stream, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            auto first = (*call)->read(5s);
            ASSERT_TRUE(first && *first);
            EXPECT_EQ(**first, "first");
            mayContinue.set();
            auto rest = (*call)->readAll(5s);
            ASSERT_TRUE(rest);
            EXPECT_EQ(*rest, "second");
        });
    }

    // Guards against an interrupted stream that is taken for a complete one.
    TEST_F(HttpTest, AbortedStreamIsAnError)
    {
        auto abortAfterWrite = [](const HttpRequest&, HttpExchange& exchange) {
            exchange.beginStream(200, {});
            exchange.write("half");
            exchange.abort();
        };
        run(abortAfterWrite, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            auto body = (*call)->readAll(5s);
            ASSERT_FALSE(body);
            EXPECT_EQ(body.error().kind, ErrorKind::TargetClosed);
        });
    }

    // Guards against work that continues for a caller that has disconnected.
    TEST_F(HttpTest, HandlerIsNotifiedOfDisconnect)
    {
        FiberEvent started(loop_);
        FiberEvent disconnected(loop_);
        auto wait = [&](const HttpRequest&, HttpExchange& exchange) {
            exchange.onCallerDisconnected([&] { disconnected.set(); });
            exchange.beginStream(200, {});
            exchange.write("x");
            started.set();
            disconnected.wait();
            EXPECT_TRUE(exchange.isCallerDisconnected());
        };
        run(wait, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            started.wait();
            (*call)->cancel();
            EXPECT_TRUE(disconnected.waitFor(5s));
        });
    }

    // Guards against a caller whose end is not noticed because it has sent bytes beyond its request.
    TEST_F(HttpTest, HandlerIsNotifiedOfDisconnectAfterPipelinedBytes)
    {
        FiberEvent started(loop_);
        FiberEvent disconnected(loop_);
        auto wait = [&](const HttpRequest&, HttpExchange& exchange) {
            exchange.onCallerDisconnected([&] { disconnected.set(); });
            exchange.beginStream(200, {});
            started.set();
            EXPECT_TRUE(disconnected.waitFor(5s));
            EXPECT_TRUE(exchange.isCallerDisconnected());
        };
        run(wait, [&] {
            boost::asio::ip::tcp::socket socket(loop_.context());
            boost::asio::ip::tcp::endpoint server(boost::asio::ip::make_address("127.0.0.1"), server_->port());
            ASSERT_FALSE(awaitIo([&](auto handler) { socket.async_connect(server, handler); }).error);
            auto send = [&](const std::string& bytes) {
                ASSERT_FALSE(awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(bytes), handler); }).error);
            };
            send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            started.wait();
            for (const char* part : { "GET / HT", "TP/1.1\r\n" }) {
                send(part);
                sleepFor(loop_, 20ms);
            }
            socket.close();
            EXPECT_TRUE(disconnected.waitFor(5s));
        });
    }

    // Guards against memory use by large input, and against responses that do not state the error.
    TEST_F(HttpTest, LargeBodyIsRejectedWithAJsonError)
    {
        HttpServerSettings settings;
        settings.maxBodyBytes = 100;
        auto unexpected = [](const HttpRequest&, HttpExchange&) { FAIL(); };
        run(
            unexpected,
            [&] {
                auto response = fetch(client_, to("POST", "/", std::string(101, 'x')));
                ASSERT_TRUE(response);
                EXPECT_EQ(response->status, 413);
                EXPECT_NE(response->body.find("\"kind\":\"body_too_large\""), std::string::npos);
            },
            settings);
    }

    // Guards against connections that last forever, with the memory of their body, because their caller asks whether to
    // send it but reads nothing.
    TEST_F(HttpTest, UnreadContinueEndsWithTheReadTimeout)
    {
        using boost::asio::ip::tcp;
        auto answer = [](const HttpRequest& request, HttpExchange& exchange) { exchange.send(200, {}, std::string(std::stoul(request.query), 'x')); };
        HttpServerSettings settings;
        settings.readTimeout = 500ms;
        settings.writeTimeout = 500ms;
        run(
            answer, [&] {
                // The first write that waits for the caller is one of many interim and final responses.
                constexpr int callerCount = 16;
                std::vector<tcp::socket> callers;
                for (int i = 0; i < callerCount; ++i) {
                    callers.emplace_back(loop_.context(), tcp::v4());
                    callers.back().set_option(tcp::socket::receive_buffer_size(4 * 1024));
                }
                int connected = 0;
                int ended = 0;
                for (int i = 0; i < callerCount; ++i) {
                    loop_.spawn([&, i] {
                        auto& caller = callers[size_t(i)];
                        connected += awaitIo([&](auto handler) { caller.async_connect({ boost::asio::ip::address_v4::loopback(), server_->port() }, handler); }).error ? 0 : 1;
                        auto requests = "GET /?" + std::to_string(100 * i) + " HTTP/1.1\r\n\r\n";
                        for (int request = 0; request < 5000; ++request)
                            requests += "POST /?1 HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\nx";
                        awaitIo([&](auto handler) { boost::asio::async_write(caller, boost::asio::buffer(requests), handler); });
                        ++ended;
                    });
                }
                sleepFor(loop_, 500ms);
                ASSERT_EQ(connected, callerCount);
                for (int i = 0; i < 100 && server_->connectionCount() > 0; ++i)
                    sleepFor(loop_, 50ms);
                EXPECT_EQ(server_->connectionCount(), 0u);
                callers.clear();
                for (int i = 0; i < 100 && ended < callerCount; ++i)
                    sleepFor(loop_, 10ms);
                EXPECT_EQ(ended, callerCount);
            },
            settings);
    }

    // Guards against responses that are cut off when memory is short, although their caller keeps reading them.
    TEST_F(HttpTest, OnlyReadersThatStandStillAreEvicted)
    {
        auto memory = std::make_shared<CallerMemory>(MemoryLimits { 8 * 1024 * 1024, 1024 * 1024 });
        HttpServerSettings settings;
        settings.memory = memory;
        auto answer = [](const HttpRequest&, HttpExchange& exchange) { exchange.send(200, {}, std::string(3 * 1024 * 1024, 'x')); };
        run(
            answer, [&] {
                boost::asio::ip::tcp::socket caller(loop_.context());
                caller.open(boost::asio::ip::tcp::v4());
                caller.set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024));
                ASSERT_FALSE(awaitIo([&](auto handler) { caller.async_connect({ boost::asio::ip::address_v4::loopback(), server_->port() }, handler); }).error);
                boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
                std::vector<char> bytes(100 * 1024);
                for (int i = 0; i < 20; ++i) {
                    ASSERT_FALSE(awaitIo([&](auto handler) { boost::asio::async_read(caller, boost::asio::buffer(bytes), handler); }).error);
                    ASSERT_FALSE(memory->evictOne());
                    sleepFor(loop_, 100ms);
                }
                sleepFor(loop_, 2500ms);
                EXPECT_TRUE(memory->evictOne());
                for (int i = 0; i < 100 && server_->connectionCount() > 0; ++i)
                    sleepFor(loop_, 10ms);
                EXPECT_EQ(server_->connectionCount(), 0u);
            },
            settings);
    }

    // Guards against a process that refuses every request, on all of its ports, because idle connections fill its budget.
    TEST_F(HttpTest, IdleConnectionsGiveWayToSmallRequests)
    {
        auto memory = std::make_shared<CallerMemory>(MemoryLimits { 1024 * 1024, 256 * 1024 });
        HttpServerSettings settings;
        settings.memory = memory;
        auto answer = [](const HttpRequest&, HttpExchange& exchange) { exchange.send(200, {}, "ok"); };
        run(
            answer, [&] {
                auto other = HttpServer::listen(loop_, settings, answer);
                ASSERT_TRUE(other);
                constexpr int idleCount = 70;
                std::vector<boost::asio::ip::tcp::socket> idle;
                for (int i = 0; i < idleCount; ++i) {
                    auto& caller = idle.emplace_back(loop_.context());
                    ASSERT_FALSE(awaitIo([&](auto handler) { caller.async_connect({ boost::asio::ip::address_v4::loopback(), server_->port() }, handler); }).error);
                }
                sleepFor(loop_, 50ms);
                EXPECT_GT(memory->budget().heldBytes(), memory->budget().limits().requestBytes - 16 * 1024);
                for (auto port : { server_->port(), (*other)->port() }) {
                    auto call = to("GET", "/");
                    call.port = port;
                    auto response = fetch(client_, call);
                    ASSERT_TRUE(response) << response.error().message;
                    EXPECT_EQ(response->status, 200);
                }
                idle.clear();
                // The fibers of the connections end with this loop.
                for (int i = 0; i < 100 && server_->connectionCount() > 1; ++i)
                    sleepFor(loop_, 10ms);
                EXPECT_EQ(server_->connectionCount(), 1u);
            },
            settings);
    }

    // Guards against an error that says that a request may have run although no connection was made.
    TEST_F(HttpTest, UnreachableServerMeansNotRun)
    {
        auto ignore = [](const HttpRequest&, HttpExchange&) {};
        run(ignore, [&] {
            auto call = to("POST", "/");
            call.port = 1;
            auto response = client_.start(call);
            ASSERT_FALSE(response);
            EXPECT_EQ(response.error().ran, Ran::No);
        });
    }

    // Guards against callers that are disconnected, or keep their connections, when a node is about to end: readiness
    // checks take a while to notice.
    TEST_F(HttpTest, AnnouncedCloseIsInEveryResponse)
    {
        auto respond = [](const HttpRequest&, HttpExchange& exchange) { exchange.send(200, {}, "ok"); };
        run(respond, [&] {
            ASSERT_TRUE(fetch(client_, to("GET", "/")));
            server_->announceClose();
            for (int i = 0; i < 2; ++i) {
                auto closing = fetch(client_, to("GET", "/"));
                ASSERT_TRUE(closing) << closing.error().message;
                EXPECT_EQ(findHeader(closing->headers, "Connection"), "close");
                EXPECT_EQ(closing->body, "ok");
            }
        });
    }

    /** A caller that writes synchronously, so that its bytes arrive before the server has processed any. */
    class SynchronousCaller {
    public:
        SynchronousCaller(Loop& loop, uint16_t port)
            : socket_(loop.context())
        {
            socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        }
        void sendRequest() { boost::asio::write(socket_, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))); }
        /** All bytes until the server closes the connection, at most `most`. */
        std::string read(size_t most)
        {
            std::string bytes(most, ' ');
            size_t count = 0;
            awaitIo([&](auto handler) {
                boost::asio::async_read(socket_, boost::asio::buffer(bytes), [&count, handler](boost::system::error_code error, size_t size) mutable {
                    count = size;
                    handler(error);
                });
            });
            bytes.resize(count);
            return bytes;
        }

    private:
        boost::asio::ip::tcp::socket socket_;
    };

    // Guards against requests that get no response because the server is drained just after they arrived.
    TEST_F(HttpTest, DrainHandlesRequestsThatHaveArrived)
    {
        int handled = 0;
        auto respond = [&](const HttpRequest&, HttpExchange& exchange) {
            ++handled;
            exchange.send(200, {}, "ok");
        };
        run(respond, [&] {
            constexpr size_t maxResponseSize = 4096;
            SynchronousCaller reused(loop_, server_->port());
            reused.sendRequest();
            const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            EXPECT_EQ(reused.read(first.size()), first);
            reused.sendRequest();
            SynchronousCaller waiting(loop_, server_->port());
            waiting.sendRequest();
            SynchronousCaller opened(loop_, server_->port());
            server_->drain();
            opened.sendRequest();
            for (auto* caller : { &reused, &waiting, &opened }) {
                auto bytes = caller->read(maxResponseSize);
                EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200 OK")) << bytes;
                EXPECT_NE(bytes.find("Connection: close"), std::string::npos);
            }
        });
        EXPECT_EQ(handled, 4);
    }

    // Guards against idle connections that delay the end of a server.
    TEST_F(HttpTest, DrainClosesIdleConnections)
    {
        auto ignore = [](const HttpRequest&, HttpExchange&) {};
        run(ignore, [&] {
            SynchronousCaller idle(loop_, server_->port());
            sleepFor(loop_, 1ms);
            server_->drain();
            EXPECT_EQ(idle.read(1), "");
            while (server_->connectionCount() > 0)
                sleepFor(loop_, 1ms);
        });
    }

    // Guards against an exception in the handler of one request that ends the process for all others.
    TEST_F(HttpTest, ExceptionEndsOnlyOneExchange)
    {
        auto respond = [](const HttpRequest& request, HttpExchange& exchange) {
            if (request.path == "/fault")
                throw std::runtime_error("planted");
            exchange.send(200, {}, "ok");
        };
        run(respond, [&] {
            EXPECT_FALSE(fetch(client_, to("POST", "/fault")));
            EXPECT_EQ(server_->requestsRunning(), 0u);
            auto next = fetch(client_, to("POST", "/"));
            EXPECT_TRUE(next);
        });
    }

    // Guards against a late response to an earlier request that is taken for the response to this one.
    TEST_F(HttpTest, ResponsesToOtherRequestsAreSkipped)
    {
        auto listening = TcpListener::listen(loop_, "127.0.0.1", 0);
        ASSERT_TRUE(listening);
        (*listening)->start([this](boost::asio::ip::tcp::socket socket) {
            auto open = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
            loop_.spawn([open] {
                std::array<char, 4096> bytes {};
                awaitIo([&](auto handler) { open->async_read_some(boost::asio::buffer(bytes), handler); });
                const std::string responses = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nold"
                                              "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew";
                awaitIo([&](auto handler) { boost::asio::async_write(*open, boost::asio::buffer(responses), handler); });
            });
        });
        loop_.spawn([&] {
            HttpCallSettings call;
            call.host = "127.0.0.1";
            call.port = (*listening)->port();
            call.headerTimeout = 5s;
            call.responseOwner = [](const HttpHeaders& headers) { return findHeader(headers, "Id") == "mine" ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest; };
            auto response = fetch(client_, call);
            EXPECT_TRUE(response);
            EXPECT_EQ(response ? response->body : "", "new");
            loop_.stop();
        });
        loop_.run();
    }

}
}
