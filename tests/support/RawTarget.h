#pragma once

#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"
#include "runtime/TcpListener.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhitch {

/** What a raw target does with one request. */
struct RawAnswer {
    enum class End : uint8_t {
        /** Keeps the connection for the next request. */
        Keep,
        /** Closes its side in an orderly way, and reads no more. */
        Close,
        Reset,
        /** Neither reads nor sends any more. */
        Hold,
    };

    std::string bytes;
    End end { End::Keep };
    /** Otherwise it answers as soon as it has the request's header. */
    bool readsBody { true };
    /** Between the answer and the end, so that the client has read the answer. */
    Duration delayBeforeEnd { std::chrono::milliseconds(15) };
};

/** A target that sends the bytes of a script. */
class RawTarget {
public:
    using Socket = boost::asio::ip::tcp::socket;
    /** Receives the request's header and the number of earlier requests. */
    using Script = std::function<RawAnswer(const std::string& header, int number)>;

    RawTarget(Loop& loop, Script script)
        : listener_(*TcpListener::listen(loop, "127.0.0.1", 0))
    {
        state_->script = std::move(script);
        listener_->start([&loop, state = state_](Socket socket) {
            ++state->connections;
            loop.spawn([&loop, state, open = std::make_shared<Socket>(std::move(socket))] { serve(loop, *state, open); });
        });
    }
    ~RawTarget()
    {
        listener_->close();
        state_->held.clear();
    }
    RawTarget(const RawTarget&) = delete;
    RawTarget& operator=(const RawTarget&) = delete;

    [[nodiscard]] uint16_t port() const { return listener_->port(); }
    [[nodiscard]] int connections() const { return state_->connections; }
    [[nodiscard]] int requests() const { return state_->requests; }

private:
    struct State {
        Script script;
        int connections { 0 };
        int requests { 0 };
        std::vector<std::shared_ptr<Socket>> held;
    };

    static bool readMore(Socket& socket, std::string& received)
    {
        std::array<char, 64 * 1024> bytes;
        size_t count = 0;
        auto read = awaitIo([&](auto handler) {
            socket.async_read_some(boost::asio::buffer(bytes), [&count, handler](boost::system::error_code error, size_t size) mutable {
                count = size;
                handler(error);
            });
        });
        received.append(bytes.data(), count);
        return !read.error;
    }

    static void serve(Loop& loop, State& state, const std::shared_ptr<Socket>& socket)
    {
        std::string received;
        for (;;) {
            size_t headerEnd = 0;
            while ((headerEnd = received.find("\r\n\r\n")) == std::string::npos) {
                if (!readMore(*socket, received))
                    return;
            }
            auto header = received.substr(0, headerEnd + 4);
            const std::string field = "Content-Length: ";
            auto length = header.find(field);
            size_t size = header.size() + (length == std::string::npos ? 0 : std::stoul(header.substr(length + field.size())));
            auto answer = state.script(header, state.requests++);
            while (answer.readsBody && received.size() < size) {
                if (!readMore(*socket, received))
                    return;
            }
            received.erase(0, size);
            if (awaitIo([&](auto handler) { boost::asio::async_write(*socket, boost::asio::buffer(answer.bytes), handler); }).error)
                return;
            if (answer.end == RawAnswer::End::Keep)
                continue;
            sleepFor(loop, answer.delayBeforeEnd);
            end(state, socket, answer.end);
            return;
        }
    }

    static void end(State& state, const std::shared_ptr<Socket>& socket, RawAnswer::End end)
    {
        boost::system::error_code ignored;
        if (end == RawAnswer::End::Reset) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
            return;
        }
        if (end == RawAnswer::End::Close)
            socket->shutdown(Socket::shutdown_send, ignored);
        // Closing it now would reset the connection if some of the request has not been read.
        state.held.push_back(socket);
    }

    /** Shared with the fibers of connections, which may outlive the target. */
    std::shared_ptr<State> state_ { std::make_shared<State>() };
    std::shared_ptr<TcpListener> listener_;
};

}
