#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"

#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"

#include <array>
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
            exchange.onCallerGone([&] { gone.set(); });
            exchange.beginStream(200, {});
            exchange.write("x");
            started.set();
            gone.wait();
            EXPECT_TRUE(exchange.isCallerGone());
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
            call.isForeign = [](const HttpHeaders& headers) { return findHeader(headers, "Id") != "mine"; };
            auto answer = fetch(client_, call);
            EXPECT_TRUE(answer);
            EXPECT_EQ(answer ? answer->body : "", "new");
            loop_.stop();
        });
        loop_.run();
    }

}
}
