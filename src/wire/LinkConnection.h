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
    Answer,
    ErrorAnswer,
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
    /** Empty in the first message of the dialling end. */
    std::string proof;

    template <class V>
    void fields(V& visit)
    {
        visit(protocol, identity, nonce, proof);
    }
};

struct ErrorAnswerBody {
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
/** Bytes that wait to be sent; a peer that reads slower than this is cut off. */
inline constexpr size_t maxPendingBytes = 32U << 20;
inline constexpr size_t maxRequestsPerLink = 4096;

/** One TCP connection between two processes of the fleet. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
    LinkConnection(Loop& loop, boost::asio::ip::tcp::socket socket, LinkSettings settings, const LinkHooks& hooks, LinkId id);

    /** Proves both identities; blocks the calling fiber for at most the handshake timeout. */
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
    bool writeNow(std::string_view body);
    void send(const Frame& frame);
    void startWrite();
    void handleFrame(Frame frame);
    void handleRequest(Frame frame);
    void handleAnswer(Frame frame);
    void scheduleWatch();
    void watch();

    Loop& loop_;
    boost::asio::ip::tcp::socket socket_;
    LinkSettings settings_;
    const LinkHooks hooks_;
    Peer peer_;
    bool closed_ { false };
    bool writing_ { false };
    std::string outgoing_;
    std::string inFlight_;
    Instant lastSent_;
    Instant lastReceived_;
    uint32_t nextCall_ { 1 };
    size_t requestsRunning_ { 0 };
    std::map<uint32_t, std::shared_ptr<PendingCall>> calls_;
};

}
