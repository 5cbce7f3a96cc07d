#include "wire/LinkConnection.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/core/Random.h"
#include "briarhitch/runtime/Guard.h"
#include "runtime/FiberWaiter.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr uint8_t protocolVersion = 1;
    constexpr size_t nonceBytes = 16;
    constexpr size_t lengthBytes = 4;
    constexpr Duration handshakeTimeout = 2s;
    constexpr size_t readChunkBytes = 16 * 1024;

    const Log& linkLog()
    {
        static const Log log("link:");
        return log;
    }

    LinkTraffic traffic;

    std::string withLengthPrefix(std::string_view body)
    {
        auto size = static_cast<uint32_t>(body.size());
        std::string framed;
        framed.reserve(lengthBytes + body.size());
        for (int shift = 24; shift >= 0; shift -= 8)
            framed.push_back(static_cast<char>((size >> shift) & 0xff));
        framed.append(body);
        return framed;
    }

    size_t readLength(const unsigned char (&bytes)[lengthBytes])
    {
        size_t size = 0;
        for (unsigned char byte : bytes)
            size = (size << 8) | byte;
        return size;
    }

    /** HMAC over both hellos, so that it is not valid with any other nonces, roles or nodes. */
    std::string computeProof(const LinkSettings& settings, std::string_view end, const LinkHello& client, const LinkHello& server)
    {
        auto withoutProof = [](LinkHello hello) {
            hello.proof.clear();
            return encode(hello);
        };
        std::string text(end);
        text += withoutProof(client);
        text += withoutProof(server);
        return hmacSha256(settings.fleetKey, text);
    }

}

const LinkTraffic& linkTraffic()
{
    return traffic;
}

struct LinkConnection::PendingCall {
    explicit PendingCall(Loop& loop)
        : completed(loop)
    {
    }
    FiberEvent completed;
    Result<std::string> result { fail(ErrorKind::Unavailable, "no reply over the link in time") };
};

LinkConnection::LinkConnection(Loop& loop, boost::asio::ip::tcp::socket socket, LinkSettings settings, const LinkHooks& hooks, LinkId id)
    : loop_(loop)
    , socket_(std::move(socket))
    , settings_(std::move(settings))
    , hooks_(hooks)
{
    peer_.link = id;
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

Result<void> LinkConnection::handshake(bool isServer)
{
    // The timer holds a weak pointer: a refused connection must not live until the timer fires.
    bool isAuthenticated = false;
    loop_.after(handshakeTimeout, [weak = weak_from_this()] {
        if (auto self = weak.lock(); self && self->peer_.identity == LinkIdentity {})
            self->close();
    });

    LinkHello own { protocolVersion, settings_.identity, secureRandomBytes(nonceBytes), {} };
    LinkHello other;
    if (isServer) {
        auto hello = readHello();
        if (!hello)
            return tl::unexpected(hello.error());
        other = *hello;
        own.proof = computeProof(settings_, "server", other, own);
        if (!writeFrame(encode(own)))
            return fail(ErrorKind::Unavailable, "link closed during the handshake");
        auto reply = readHello();
        if (!reply)
            return tl::unexpected(reply.error());
        isAuthenticated = constantTimeEqual(reply->proof, computeProof(settings_, "client", other, own));
    } else {
        if (!writeFrame(encode(own)))
            return fail(ErrorKind::Unavailable, "link closed during the handshake");
        auto hello = readHello();
        if (!hello)
            return tl::unexpected(hello.error());
        other = *hello;
        isAuthenticated = constantTimeEqual(other.proof, computeProof(settings_, "server", own, other));
        if (isAuthenticated) {
            own.proof = computeProof(settings_, "client", own, other);
            if (!writeFrame(encode(own)))
                return fail(ErrorKind::Unavailable, "link closed during the handshake");
        }
    }
    if (!isAuthenticated || other.protocol != protocolVersion)
        return fail(ErrorKind::Unauthorized, "the peer does not have the fleet key or uses another protocol version");
    peer_.identity = other.identity;
    lastSent_ = lastReceived_ = BootClock::now();
    scheduleKeepalive();
    return {};
}

Result<LinkHello> LinkConnection::readHello()
{
    return readFrame(maxHandshakeFrameBytes).and_then([](const std::string& body) { return decode<LinkHello>(body); });
}

Result<std::string> LinkConnection::readFrame(size_t maxBytes)
{
    unsigned char header[lengthBytes];
    auto read = awaitIo([&](auto handler) { boost::asio::async_read(socket_, boost::asio::buffer(header), handler); });
    if (read.error)
        return fail(ErrorKind::Unavailable, "link closed");
    size_t size = readLength(header);
    if (size > maxBytes)
        return fail(ErrorKind::BodyTooLarge, "frame exceeds the size limit");
    std::string body(size, '\0');
    // A large frame may take longer than idleTimeout to arrive; each chunk of it shows that the peer is alive.
    for (size_t done = 0; done < size; done += std::min(size - done, readChunkBytes)) {
        auto chunk = boost::asio::buffer(body.data() + done, std::min(size - done, readChunkBytes));
        read = awaitIo([&](auto handler) { boost::asio::async_read(socket_, chunk, handler); });
        if (read.error)
            return fail(ErrorKind::Unavailable, "link closed");
        lastReceived_ = BootClock::now();
    }
    lastReceived_ = BootClock::now();
    ++traffic.framesReceived;
    traffic.bytesReceived += lengthBytes + size;
    return body;
}

bool LinkConnection::writeFrame(std::string_view body)
{
    std::string framed = withLengthPrefix(body);
    traffic.bytesSent += framed.size();
    ++traffic.framesSent;
    auto written = awaitIo([&](auto handler) { boost::asio::async_write(socket_, boost::asio::buffer(framed), handler); });
    return !written.error;
}

void LinkConnection::readUntilClosed()
{
    auto self = shared_from_this();
    while (!closed_) {
        auto body = readFrame(maxFrameBytes);
        if (!body)
            break;
        auto frame = decode<Frame>(*body);
        if (!frame)
            break;
        handleFrame(std::move(*frame));
    }
    close();
}

void LinkConnection::handleFrame(Frame frame)
{
    switch (frame.kind) {
    case FrameKind::Heartbeat:
        break;
    case FrameKind::Post:
        if (hooks_.onPost)
            runGuarded(linkLog(), "The handler of a link message", [&] { hooks_.onPost(peer_, frame.type, frame.body); });
        break;
    case FrameKind::Request:
        handleRequest(std::move(frame));
        break;
    case FrameKind::Reply:
    case FrameKind::ErrorReply:
        handleReply(std::move(frame));
        break;
    }
}

void LinkConnection::handleRequest(Frame frame)
{
    auto reply = [](const std::shared_ptr<LinkConnection>& self, const Frame& request, Result<std::string> result) {
        if (result) {
            self->send({ FrameKind::Reply, request.call, request.type, std::move(*result) });
            return;
        }
        const auto& error = result.error();
        self->send({ FrameKind::ErrorReply, request.call, request.type,
            encode(ErrorReplyBody { error.kind, error.ran, error.message, error.retryAfter }) });
    };
    auto self = shared_from_this();
    if (!hooks_.onRequest || requestsRunning_ >= maxRequestsPerLink) {
        reply(self, frame, fail(ErrorKind::Unavailable, "too many requests in progress on this link"));
        return;
    }
    ++requestsRunning_;
    loop_.spawn([self, frame = std::move(frame), reply] {
        Result<std::string> result = fail(ErrorKind::Internal, "the request handler threw an unexpected exception");
        runGuarded(linkLog(), "The handler of a link request", [&] { result = self->hooks_.onRequest(self->peer_, frame.type, frame.body); });
        reply(self, frame, std::move(result));
        --self->requestsRunning_;
    });
}

void LinkConnection::handleReply(Frame frame)
{
    auto it = calls_.find(frame.call);
    // The caller may have stopped waiting for the reply.
    if (it == calls_.end())
        return;
    auto call = it->second;
    calls_.erase(it);
    if (frame.kind == FrameKind::Reply) {
        call->result = std::move(frame.body);
    } else if (auto error = decode<ErrorReplyBody>(frame.body)) {
        call->result = tl::unexpected(Error { error->kind, error->message, error->ran, error->retryAfter });
    }
    call->completed.set();
}

Result<std::string> LinkConnection::call(MessageType type, std::string body, Duration timeout)
{
    auto self = shared_from_this();
    if (closed_)
        return fail(ErrorKind::Unavailable, "link is closed");
    auto pending = std::make_shared<PendingCall>(loop_);
    uint32_t id = nextCall_++;
    calls_.emplace(id, pending);
    send({ FrameKind::Request, id, type, std::move(body) });
    pending->completed.waitFor(timeout);
    calls_.erase(id);
    return std::move(pending->result);
}

void LinkConnection::post(MessageType type, std::string body)
{
    send({ FrameKind::Post, 0, type, std::move(body) });
}

void LinkConnection::send(const Frame& frame)
{
    if (closed_)
        return;
    auto body = encode(frame);
    if (body.size() > maxFrameBytes || sendQueue_.size() + body.size() > maxPendingBytes) {
        close();
        return;
    }
    sendQueue_ += withLengthPrefix(body);
    ++traffic.framesSent;
    if (!writing_)
        startWrite();
}

void LinkConnection::startWrite()
{
    // All frames that were queued during the last write are sent in one write.
    writeBuffer_ = std::move(sendQueue_);
    sendQueue_.clear();
    writing_ = true;
    lastSent_ = BootClock::now();
    traffic.bytesSent += writeBuffer_.size();
    boost::asio::async_write(socket_, boost::asio::buffer(writeBuffer_), [self = shared_from_this()](boost::system::error_code error, size_t) {
        self->writing_ = false;
        if (error)
            self->close();
        else if (!self->sendQueue_.empty())
            self->startWrite();
    });
}

void LinkConnection::scheduleKeepalive()
{
    loop_.after(settings_.heartbeatInterval, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->checkKeepalive();
    });
}

void LinkConnection::checkKeepalive()
{
    if (closed_)
        return;
    auto now = BootClock::now();
    if (now - lastReceived_ > settings_.idleTimeout) {
        close();
        return;
    }
    if (now - lastSent_ >= settings_.heartbeatInterval)
        send(Frame {});
    scheduleKeepalive();
}

void LinkConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    auto calls = std::move(calls_);
    calls_.clear();
    for (auto& [id, call] : calls) {
        call->result = fail(ErrorKind::Unavailable, "link closed before the reply arrived");
        call->completed.set();
    }
}

}
