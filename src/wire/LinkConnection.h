#pragma once

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/wire/Link.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <optional>

namespace briarhitch {

enum class FrameKind : uint8_t {
    Heartbeat,
    Post,
    Request,
    Reply,
    ErrorReply,
};

struct Frame {
    FrameKind kind { FrameKind::Heartbeat };
    uint32_t call { 0 };
    MessageType type {};
    std::string body;

    template <class V>
    void fields(V& visit)
    {
        visit(kind, call, type, body);
    }
};

struct LinkHello {
    uint8_t protocol { 0 };
    LinkIdentity identity;
    std::string nonce;
    /** Empty in the client's first message. */
    std::string proof;

    template <class V>
    void fields(V& visit)
    {
        visit(protocol, identity, nonce, proof);
    }
};

struct ErrorReplyBody {
    ErrorKind kind { ErrorKind::Internal };
    Ran ran { Ran::Unknown };
    std::string message;
    std::optional<Duration> retryAfter;

    template <class V>
    void fields(V& visit)
    {
        visit(kind, ran, message, retryAfter);
    }
};

inline constexpr size_t maxFrameBytes = 8U << 20;
inline constexpr size_t maxHandshakeFrameBytes = 1024;
/** Limit of the send queue; a link that exceeds it is closed, as its peer reads too slowly. */
inline constexpr size_t maxPendingBytes = 32U << 20;
inline constexpr size_t maxRequestsPerLink = 4096;

/** One TCP connection between two processes of the fleet. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
    LinkConnection(Loop& loop, boost::asio::ip::tcp::socket socket, LinkSettings settings, const LinkHooks& hooks, LinkId id);

    /** Authenticates both ends; blocks the calling fiber for at most the handshake timeout. */
    Result<void> handshake(bool isServer);
    /** Reads until the connection closes; blocks the calling fiber. */
    void readUntilClosed();
    void close();

    Result<std::string> call(MessageType type, std::string body, Duration timeout);
    void post(MessageType type, std::string body);
    [[nodiscard]] const Peer& peer() const { return peer_; }
    [[nodiscard]] bool isClosed() const { return closed_; }

private:
    struct PendingCall;

    Result<std::string> readFrame(size_t maxBytes);
    Result<LinkHello> readHello();
    bool writeFrame(std::string_view body);
    void send(const Frame& frame);
    void startWrite();
    void handleFrame(Frame frame);
    void handleRequest(Frame frame);
    void handleReply(Frame frame);
    void scheduleKeepalive();
    void checkKeepalive();

    Loop& loop_;
    boost::asio::ip::tcp::socket socket_;
    LinkSettings settings_;
    const LinkHooks hooks_;
    Peer peer_;
    bool closed_ { false };
    bool writing_ { false };
    std::string sendQueue_;
    std::string writeBuffer_;
    Instant lastSent_;
    Instant lastReceived_;
    uint32_t nextCall_ { 1 };
    size_t requestsRunning_ { 0 };
    std::map<uint32_t, std::shared_ptr<PendingCall>> calls_;
};

}
