#include "Wire.h"

#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"
#include "support/EntryFakes.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using Socket = boost::asio::ip::tcp::socket;

    std::string refusalOf(const std::string& id)
    {
        auto echo = id.empty() ? "" : "Briarhitch-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 503 Service Unavailable\r\nBriarhitch-Not-Run: 1\r\n" + echo + "Content-Length: 4\r\n\r\nfull";
    }

    std::string answerTo(const std::string& id)
    {
        return "HTTP/1.1 200 OK\r\nBriarhitch-Request-Id: " + id + "\r\nBriarhitch-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n" + id + "\r\n0\r\n\r\n";
    }

    /** Refuses the request "r-1" and answers others; sends `copy` once more, before the answers or inside them. */
    class RepeatingServer {
    public:
        enum class Place : uint8_t {
            OnTheIdleConnection,
            BeforeTheNextAnswer,
            InsideTheNextAnswer,
        };

        RepeatingServer(Loop& loop, Place place, const std::string& copy)
            : listener_(*TcpListener::listen(loop, "127.0.0.1", 0))
        {
            listener_->start([&loop, place, copy](Socket socket) {
                loop.spawn([place, copy, open = std::make_shared<Socket>(std::move(socket))] { serve(*open, place, copy); });
            });
        }
        ~RepeatingServer() { listener_->close(); }
        RepeatingServer(const RepeatingServer&) = delete;
        RepeatingServer& operator=(const RepeatingServer&) = delete;

        [[nodiscard]] uint16_t port() const { return listener_->port(); }

    private:
        static void serve(Socket& socket, Place place, const std::string& copy)
        {
            bool hasRefused = false;
            for (;;) {
                std::array<char, 4096> bytes {};
                auto read = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(bytes), handler); });
                if (read.error)
                    return;
                auto sent = responseTo(std::string(bytes.data()), place, hasRefused ? copy : "");
                hasRefused = hasRefused || sent.find(" 503 ") != std::string::npos;
                if (sent == refusalOf("r-1") && place == Place::OnTheIdleConnection)
                    sent += copy;
                awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(sent), handler); });
            }
        }

        static std::string responseTo(const std::string& request, Place place, const std::string& copy)
        {
            const std::string field = "Briarhitch-Request-Id: ";
            auto begin = request.find(field) + field.size();
            auto id = request.substr(begin, request.find("\r\n", begin) - begin);
            if (id == "r-1")
                return refusalOf(id);
            auto answer = answerTo(id);
            if (place == Place::InsideTheNextAnswer)
                answer.insert(answer.find(id + "\r\n0"), copy);
            return place == Place::BeforeTheNextAnswer ? copy + answer : answer;
        }

        std::shared_ptr<TcpListener> listener_;
    };

    /** Answers each migration call with a handle that holds the id of its request, and repeats the answer before it. */
    void serveMigrations(Socket& socket)
    {
        std::string previous;
        for (;;) {
            std::array<char, 4096> bytes {};
            auto read = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(bytes), handler); });
            if (read.error)
                return;
            std::string request(bytes.data());
            const std::string field = "\"id\":\"";
            auto begin = request.find(field) + field.size();
            auto id = request.substr(begin, request.find('"', begin) - begin);
            auto body = "{\"handle\":\"" + id + "\"}";
            auto answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            auto sent = previous + answer;
            previous = answer;
            awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(sent), handler); });
        }
    }

    /** What a request came to: its answer, "not run", or "unknown". */
    std::string outcomeOf(HttpClient& http, uint16_t port, const std::string& id)
    {
        auto protocol = serverProtocol();
        RoutedRequest request;
        request.callerId = id;
        HttpCallSettings settings;
        settings.host = "127.0.0.1";
        settings.port = port;
        settings.method = "POST";
        settings.target = "/";
        settings.headers = { { "Briarhitch-Request-Id", id } };
        settings.isResendAllowed = false;
        settings.responseOwner = [&](const HttpHeaders& headers) { return protocol.responseOwner(request, headers); };
        auto call = http.start(settings);
        if (!call)
            return call.error().ran == Ran::No ? "not run" : "unknown";
        auto kind = protocol.classifyResponse(request, (*call)->status(), (*call)->headers());
        auto body = (*call)->readAll(1s);
        if (kind == ResponseKind::NotRun)
            return "not run";
        return kind == ResponseKind::Valid && body ? *body : "unknown";
    }

    // Guards against a generation that is resumed from the memory of another one, because a server repeated the answer to an
    // earlier migration call, which names no request.
    TEST(RepeatedRefusalTest, MigrationCallGetsItsOwnAnswer)
    {
        runInFiber([](Loop& loop) {
            auto listener = *TcpListener::listen(loop, "127.0.0.1", 0);
            listener->start([&loop](Socket socket) { loop.spawn([open = std::make_shared<Socket>(std::move(socket))] { serveMigrations(*open); }); });
            HttpClient http(loop);
            auto protocol = serverProtocol();
            Target from;
            from.host = "127.0.0.1";
            from.port = listener->port();
            for (const char* id : { "r-1", "r-2", "r-3" }) {
                RoutedRequest request;
                request.callerId = id;
                auto response = fetch(http, protocol.migrationCall(request, from, from));
                ASSERT_TRUE(response);
                EXPECT_TRUE(protocol.parseMigrationResult(from, response->status, response->body).kvCacheSource.ends_with(std::string("/") + id)) << id;
            }
            listener->close();
        });
    }

    // Guards against a caller that is told that its request did not run, because a server repeated the refusal of an earlier
    // request on the same connection.
    TEST(RepeatedRefusalTest, NextRequestIsNotReportedAsNotRun)
    {
        using Place = RepeatingServer::Place;
        struct Case {
            Place place;
            std::string copy;
            std::string outcome;
        };
        for (const auto& test : {
                 Case { Place::OnTheIdleConnection, refusalOf("r-1"), "r-2" },
                 Case { Place::OnTheIdleConnection, refusalOf(""), "r-2" },
                 Case { Place::BeforeTheNextAnswer, refusalOf("r-1"), "r-2" },
                 Case { Place::BeforeTheNextAnswer, refusalOf("r-0"), "r-2" },
                 Case { Place::BeforeTheNextAnswer, refusalOf(""), "unknown" },
                 Case { Place::InsideTheNextAnswer, refusalOf("r-1"), "unknown" },
                 Case { Place::InsideTheNextAnswer, refusalOf(""), "unknown" },
             }) {
            SCOPED_TRACE(testing::Message() << static_cast<int>(test.place) << " " << test.copy);
            runInFiber([&](Loop& loop) {
                RepeatingServer server(loop, test.place, test.copy);
                HttpClient http(loop);
                EXPECT_EQ(outcomeOf(http, server.port(), "r-1"), "not run");
                // Bytes on an idle connection arrive within this time on the loopback interface.
                sleepFor(loop, 20ms);
                EXPECT_EQ(outcomeOf(http, server.port(), "r-2"), test.outcome);
                EXPECT_NE(outcomeOf(http, server.port(), "r-3"), "not run");
            });
        }
    }

}
}
