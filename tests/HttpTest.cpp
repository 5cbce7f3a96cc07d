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
    TEST_F(HttpTest, WholeAnswersOnAKeptConnection)
    {
        auto echo = [](const HttpRequest& request, HttpExchange& exchange) {
            exchange.send(200, { { "X-Path", request.path } }, request.method + "?" + request.query + ":" + request.body);
        };
        run(echo, [&] {
            for (int i = 0; i < 3; ++i) {
                auto answer = fetch(client_, to("POST", "/a/b?n=" + std::to_string(i), "body" + std::to_string(i)));
                ASSERT_TRUE(answer) << answer.error().message;
                EXPECT_EQ(answer->status, 200);
                EXPECT_EQ(findHeader(answer->headers, "x-path"), "/a/b");
                EXPECT_EQ(answer->body, "POST?n=" + std::to_string(i) + ":body" + std::to_string(i));
            }
        });
    }

    // Guards against streams that are buffered until their end: each part is awaited before the next is sent.
    TEST_F(HttpTest, StreamArrivesPartByPart)
    {
        FiberEvent goOn(loop_);
        auto stream = [&](const HttpRequest&, HttpExchange& exchange) {
            exchange.beginStream(200, {});
            exchange.write("first");
            goOn.wait();
            exchange.write("second");
            exchange.endStream();
        };
        run(stream, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            auto first = (*call)->read(5s);
            ASSERT_TRUE(first && *first);
            EXPECT_EQ(**first, "first");
            goOn.set();
            auto rest = (*call)->readAll(5s);
            ASSERT_TRUE(rest);
            EXPECT_EQ(*rest, "second");
        });
    }

    // Guards against a stream that was cut off and is taken for a whole one.
    TEST_F(HttpTest, AbortedStreamIsAnError)
    {
        auto cutOff = [](const HttpRequest&, HttpExchange& exchange) {
            exchange.beginStream(200, {});
            exchange.write("half");
            exchange.abort();
        };
        run(cutOff, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            auto body = (*call)->readAll(5s);
            ASSERT_FALSE(body);
            EXPECT_EQ(body.error().kind, ErrorKind::TargetFailed);
        });
    }

    // Guards against work that goes on for a caller that has left.
    TEST_F(HttpTest, HandlerLearnsThatTheCallerLeft)
    {
        FiberEvent started(loop_);
        FiberEvent gone(loop_);
        auto wait = [&](const HttpRequest&, HttpExchange& exchange) {
            exchange.onCallerDisconnected([&] { gone.set(); });
            exchange.beginStream(200, {});
            exchange.write("x");
            started.set();
            gone.wait();
            EXPECT_TRUE(exchange.isCallerDisconnected());
        };
        run(wait, [&] {
            auto call = client_.start(to("GET", "/"));
            ASSERT_TRUE(call);
            started.wait();
            (*call)->cancel();
            EXPECT_TRUE(gone.waitFor(5s));
        });
    }

    // Guards against memory use by large input, and against answers that do not say what was wrong.
    TEST_F(HttpTest, LargeBodyIsRefusedWithTheJsonError)
    {
        HttpServerSettings settings;
        settings.maxBodyBytes = 100;
        auto unexpected = [](const HttpRequest&, HttpExchange&) { FAIL(); };
        run(
            unexpected,
            [&] {
                auto answer = fetch(client_, to("POST", "/", std::string(101, 'x')));
                ASSERT_TRUE(answer);
                EXPECT_EQ(answer->status, 413);
                EXPECT_NE(answer->body.find("\"kind\":\"body_too_large\""), std::string::npos);
            },
            settings);
    }

    // Guards against the claim that a request may have run when no connection was made.
    TEST_F(HttpTest, UnreachableServerMeansNotRun)
    {
        auto ignore = [](const HttpRequest&, HttpExchange&) {};
        run(ignore, [&] {
            auto call = to("POST", "/");
            call.port = 1;
            auto answer = client_.start(call);
            ASSERT_FALSE(answer);
            EXPECT_EQ(answer.error().ran, Ran::No);
        });
    }

    // Guards against callers that are cut off, or stay, when a node is about to end: readiness checks take a while to notice.
    TEST_F(HttpTest, AnnouncedCloseIsInEveryAnswerWhileTheServerGoesOn)
    {
        auto answer = [](const HttpRequest&, HttpExchange& exchange) { exchange.send(200, {}, "ok"); };
        run(answer, [&] {
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

    /** A caller that writes without the loop, so that its bytes have arrived before the server has seen any. */
    class PlainCaller {
    public:
        PlainCaller(Loop& loop, uint16_t port)
            : socket_(loop.context())
        {
            socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        }
        void ask() { boost::asio::write(socket_, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))); }
        /** All bytes until the server closes, or as many as were asked for. */
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

    // Guards against requests that are cut off without an answer because the server is told to end just after they came.
    TEST_F(HttpTest, RequestsThatHaveArrivedAreAnsweredWhenTheServerDrains)
    {
        int handled = 0;
        auto answer = [&](const HttpRequest&, HttpExchange& exchange) {
            ++handled;
            exchange.send(200, {}, "ok");
        };
        run(answer, [&] {
            constexpr size_t plenty = 4096;
            PlainCaller kept(loop_, server_->port());
            kept.ask();
            const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            EXPECT_EQ(kept.read(first.size()), first);
            kept.ask();
            PlainCaller waiting(loop_, server_->port());
            waiting.ask();
            PlainCaller opened(loop_, server_->port());
            server_->drain();
            opened.ask();
            for (auto* caller : { &kept, &waiting, &opened }) {
                auto bytes = caller->read(plenty);
                EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200 OK")) << bytes;
                EXPECT_NE(bytes.find("Connection: close"), std::string::npos);
            }
        });
        EXPECT_EQ(handled, 4);
    }

    // Guards against connections that nobody uses and that hold up the end of a server.
    TEST_F(HttpTest, IdleConnectionsEndWhenTheServerDrains)
    {
        auto ignore = [](const HttpRequest&, HttpExchange&) {};
        run(ignore, [&] {
            PlainCaller idle(loop_, server_->port());
            sleepFor(loop_, 1ms);
            server_->drain();
            EXPECT_EQ(idle.read(1), "");
            while (server_->connectionCount() > 0)
                sleepFor(loop_, 1ms);
        });
    }

    // Guards against one request that meets a fault in the program and ends it for all others.
    TEST_F(HttpTest, ExceptionEndsOneExchangeAlone)
    {
        auto answer = [](const HttpRequest& request, HttpExchange& exchange) {
            if (request.path == "/fault")
                throw std::runtime_error("planted");
            exchange.send(200, {}, "ok");
        };
        run(answer, [&] {
            EXPECT_FALSE(fetch(client_, to("POST", "/fault")));
            EXPECT_EQ(server_->requestsRunning(), 0u);
            auto next = fetch(client_, to("POST", "/"));
            EXPECT_TRUE(next);
        });
    }

    // Guards against a late answer to an earlier request that is taken for the answer to this one.
    TEST_F(HttpTest, AnswersToOtherRequestsAreSkipped)
    {
        auto listening = TcpListener::listen(loop_, "127.0.0.1", 0);
        ASSERT_TRUE(listening);
        (*listening)->start([this](boost::asio::ip::tcp::socket socket) {
            auto open = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
            loop_.spawn([open] {
                std::array<char, 4096> bytes {};
                awaitIo([&](auto handler) { open->async_read_some(boost::asio::buffer(bytes), handler); });
                const std::string answers = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nold"
                                            "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew";
                awaitIo([&](auto handler) { boost::asio::async_write(*open, boost::asio::buffer(answers), handler); });
            });
        });
        loop_.spawn([&] {
            HttpCallSettings call;
            call.host = "127.0.0.1";
            call.port = (*listening)->port();
            call.headerTimeout = 5s;
            call.responseOwner = [](const HttpHeaders& headers) { return findHeader(headers, "Id") == "mine" ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest; };
            auto answer = fetch(client_, call);
            EXPECT_TRUE(answer);
            EXPECT_EQ(answer ? answer->body : "", "new");
            loop_.stop();
        });
        loop_.run();
    }

}
}
