#pragma once

#include "briarhitch/core/Clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace briarhitch {

/** Cancels a socket's pending operations when a timeout expires. */
class SocketDeadline {
public:
    explicit SocketDeadline(boost::asio::ip::tcp::socket& socket)
        : socket_(socket)
        , timer_(socket.get_executor())
    {
    }

    void arm(Duration duration)
    {
        disarm();
        hasExpired_ = false;
        timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
        timer_.async_wait([this, token = std::weak_ptr<char>(token_), generation = generation_](boost::system::error_code error) {
            // The handler may already be queued when the deadline is disarmed or destroyed.
            if (error || token.expired() || generation != generation_)
                return;
            hasExpired_ = true;
            boost::system::error_code ignored;
            socket_.cancel(ignored);
        });
    }

    void disarm()
    {
        ++generation_;
        timer_.cancel();
    }

    [[nodiscard]] bool hasExpired() const { return hasExpired_; }

private:
    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<char> token_ { std::make_shared<char>() };
    uint64_t generation_ { 0 };
    bool hasExpired_ { false };
};

}
