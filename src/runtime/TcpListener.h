#pragma once

#include "briarhitch/core/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace briarhitch {

class Loop;

/** Accepts TCP connections on one address. */
class TcpListener : public std::enable_shared_from_this<TcpListener> {
public:
    using SocketHook = std::function<void(boost::asio::ip::tcp::socket)>;

    /** Unavailable if the address cannot be bound; port 0 takes a free one. */
    static Result<std::shared_ptr<TcpListener>> listen(Loop& loop, const std::string& host, uint16_t port);

    /** Starts a fiber that passes each connection to the hook until close(); the hook must not block. */
    void start(SocketHook onAccepted);
    void close();
    /** Accepts the connections in the kernel's backlog, then closes. */
    void closeAfterBacklog();
    [[nodiscard]] bool isClosed() const { return isClosed_; }
    [[nodiscard]] uint16_t port() const { return port_; }

private:
    explicit TcpListener(Loop& loop);
    void acceptUntilClosed();

    Loop& loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    SocketHook onAccepted_;
    uint16_t port_ { 0 };
    bool isClosed_ { false };
};

}
