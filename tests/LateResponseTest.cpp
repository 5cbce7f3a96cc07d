#include "briarhitch/entry/TargetClient.h"

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

    /** A target that sends each response on a connection a second time, just before the next one. */
    class DuplicatingTarget {
    public:
        DuplicatingTarget(Loop& loop, bool echoesIds)
            : listener_(*TcpListener::listen(loop, "127.0.0.1", 0))
        {
            listener_->start([&loop, echoesIds, connections = connections_](Socket socket) {
                ++*connections;
                loop.spawn([echoesIds, open = std::make_shared<Socket>(std::move(socket))] { serve(*open, echoesIds); });
            });
        }
        ~DuplicatingTarget() { listener_->close(); }
        DuplicatingTarget(const DuplicatingTarget&) = delete;
        DuplicatingTarget& operator=(const DuplicatingTarget&) = delete;

        [[nodiscard]] int connections() const { return *connections_; }
        [[nodiscard]] TargetCall call(uint64_t request) const
        {
            TargetCall call;
            call.target.host = "127.0.0.1";
            call.target.port = listener_->port();
            call.attempt = { RequestId(request), 1 };
            call.method = "POST";
            call.path = "/";
            call.isIdempotent = true;
            call.headerTimeout = 10s;
            return call;
        }

    private:
        static void serve(Socket& socket, bool echoesIds)
        {
            std::string previousResponse;
            for (;;) {
                std::array<char, 4096> bytes {};
                auto read = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(bytes), handler); });
                if (read.error)
                    return;
                auto response = responseTo(std::string(bytes.data()), echoesIds);
                auto sent = previousResponse + response;
                previousResponse = response;
                awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(sent), handler); });
            }
        }

        static std::string responseTo(const std::string& request, bool echoesIds)
        {
            const std::string field = "X-Request-Id: ";
            auto begin = request.find(field) + field.size();
            auto id = request.substr(begin, request.find("\r\n", begin) - begin);
            auto echo = echoesIds ? field + id + "\r\n" : "";
            return "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
        }

        /** Shared with the listener's hook, which may outlive the target. */
        std::shared_ptr<int> connections_ { std::make_shared<int>(0) };
        std::shared_ptr<TcpListener> listener_;
    };

    class LateResponseTest : public testing::TestWithParam<bool> { };

    // Guards against a caller that gets the late second copy of the response to another caller's request.
    TEST_P(LateResponseTest, EachCallerGetsItsOwnResponse)
    {
        bool echoesIds = GetParam();
        runInFiber([echoesIds](Loop& loop) {
            DuplicatingTarget target(loop, echoesIds);
            HttpClient http(loop);
            TargetClient client([&](const HttpCallSettings& call) { return http.start(call); });
            for (uint64_t request = 1; request <= 3; ++request) {
                auto call = target.call(request);
                auto response = client.send(call);
                EXPECT_TRUE(response);
                auto body = response ? (*response)->readAll(10s) : Result<std::string>();
                EXPECT_EQ(body.value_or(""), toString(call.attempt));
            }
            EXPECT_EQ(target.connections(), echoesIds ? 1 : 3) << "only responses that echo the request id can be told apart";
        });
    }

    INSTANTIATE_TEST_SUITE_P(TargetEchoesIds, LateResponseTest, testing::Bool());

}
}
