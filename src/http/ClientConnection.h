#pragma once

#include "briarhitch/core/Clock.h"
#include "http/SocketDeadline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <compare>
#include <memory>
#include <string>

namespace briarhitch {

/** Open connections of one HTTP client. */
struct ConnectionCount {
    size_t open { 0 };
};

struct ServerAddress {
    std::string host;
    uint16_t port { 0 };
    /**
     * Calls whose responses identify their request have separate connections: on others, a late duplicate would
     * identify none.
     */
    bool identifiesRequests { false };

    auto operator<=>(const ServerAddress&) const = default;
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

/** One connection of an HTTP client to a server. */
struct ClientConnection {
    /** Beast's parser limits the size of a header itself, but not of the lines around chunks and the trailer. */
    static constexpr size_t maxUnparsedBytes = 64 * 1024;

    ClientConnection(boost::asio::io_context& io, std::shared_ptr<ConnectionCount> openCount);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /** Whether nothing has arrived on an idle connection: neither end of file nor unexpected bytes. */
    [[nodiscard]] bool isUsable();
    /** Whether the server's kernel has acknowledged all bytes that were written. */
    [[nodiscard]] bool isAllAcknowledged();
    /** After the end of file: whether the server closed its side without a reset, and has received all that was written. */
    [[nodiscard]] bool hasOrderlyEnd();
    void close();

    boost::asio::ip::tcp::socket socket;
    SocketDeadline deadline;
    boost::beast::flat_buffer buffer { maxUnparsedBytes };
    const Instant openedAt { BootClock::now() };
    Instant idleSince;
    Instant idleUntil;

private:
    std::shared_ptr<ConnectionCount> count_;
};

}
