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
    constexpr size_t signOfLifeBytes = 16 * 1024;

    const Log& linkLog()
    {
        static const Log log("link:");
        return log;
    }

    LinkTraffic traffic;

    std::string withLength(std::string_view body)
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

    /** The proof covers both hellos, so it is worthless for any other pair of nonces, role or node. */
    std::string proofOf(const LinkSettings& settings, std::string_view end, const LinkHello& client, const LinkHello& server)
    {
        auto unproved = [](LinkHello hello) {
            hello.proof.clear();
            return encode(hello);
        };
        std::string text(end);
        text += unproved(client);
        text += unproved(server);
        return hmacSha256(settings.fleetKey, text);
    }

}

const LinkTraffic& linkTraffic()
{
    return traffic;
}

struct LinkConnection::PendingCall {
    explicit PendingCall(Loop& loop)
        : answered(loop)
    {
    }
    FiberEvent answered;
    Result<std::string> result { fail(ErrorKind::Unavailable, "no answer over the link in time") };
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
    // The timer holds the connection weakly: a refused connection must not live until the timer fires.
    bool isProved = false;
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
        own.proof = proofOf(settings_, "server", other, own);
        if (!writeNow(encode(own)))
            return fail(ErrorKind::Unavailable, "link closed in the handshake");
        auto answer = readHello();
        if (!answer)
            return tl::unexpected(answer.error());
        isProved = constantTimeEqual(answer->proof, proofOf(settings_, "client", other, own));
    } else {
        if (!writeNow(encode(own)))
            return fail(ErrorKind::Unavailable, "link closed in the handshake");
        auto hello = readHello();
        if (!hello)
            return tl::unexpected(hello.error());
        other = *hello;
        isProved = constantTimeEqual(other.proof, proofOf(settings_, "server", own, other));
        if (isProved) {
            own.proof = proofOf(settings_, "client", own, other);
            if (!writeNow(encode(own)))
                return fail(ErrorKind::Unavailable, "link closed in the handshake");
        }
    }
    if (!isProved || other.protocol != protocolVersion)
        return fail(ErrorKind::Unauthorized, "the other end of the link does not know the fleet key");
    peer_.identity = other.identity;
    lastSent_ = lastReceived_ = BootClock::now();
    scheduleWatch();
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
        return fail(ErrorKind::BodyTooLarge, "frame is larger than allowed");
    std::string body(size, '\0');
    // A large frame may take longer than the silence that ends a link; each part of it is a sign of life.
    for (size_t done = 0; done < size; done += std::min(size - done, signOfLifeBytes)) {
        auto part = boost::asio::buffer(body.data() + done, std::min(size - done, signOfLifeBytes));
        read = awaitIo([&](auto handler) { boost::asio::async_read(socket_, part, handler); });
        if (read.error)
            return fail(ErrorKind::Unavailable, "link closed");
        lastReceived_ = BootClock::now();
    }
    lastReceived_ = BootClock::now();
    ++traffic.framesReceived;
    traffic.bytesReceived += lengthBytes + size;
    return body;
}

bool LinkConnection::writeNow(std::string_view body)
{
    std::string framed = withLength(body);
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
            runGuarded(linkLog(), "A message of another node", [&] { hooks_.onPost(peer_, frame.type, frame.body); });
        break;
    case FrameKind::Request:
        handleRequest(std::move(frame));
        break;
    case FrameKind::Answer:
    case FrameKind::ErrorAnswer:
        handleAnswer(std::move(frame));
        break;
    }
}

void LinkConnection::handleRequest(Frame frame)
{
    auto answer = [](const std::shared_ptr<LinkConnection>& self, const Frame& request, Result<std::string> result) {
        if (result) {
            self->send({ FrameKind::Answer, request.call, request.type, std::move(*result) });
            return;
        }
        const auto& error = result.error();
        self->send({ FrameKind::ErrorAnswer, request.call, request.type,
            encode(ErrorAnswerBody { error.kind, error.ran, error.message, error.retryAfter }) });
    };
    auto self = shared_from_this();
    if (!hooks_.onRequest || requestsRunning_ >= maxRequestsPerLink) {
        answer(self, frame, fail(ErrorKind::Unavailable, "too many requests over one link"));
        return;
    }
    ++requestsRunning_;
    loop_.spawn([self, frame = std::move(frame), answer] {
        Result<std::string> result = fail(ErrorKind::Internal, "the call met an unexpected exception");
        runGuarded(linkLog(), "A call of another node", [&] { result = self->hooks_.onRequest(self->peer_, frame.type, frame.body); });
        answer(self, frame, std::move(result));
        --self->requestsRunning_;
    });
}

void LinkConnection::handleAnswer(Frame frame)
{
    auto it = calls_.find(frame.call);
    // The caller may have stopped waiting.
    if (it == calls_.end())
        return;
    auto call = it->second;
    calls_.erase(it);
    if (frame.kind == FrameKind::Answer) {
        call->result = std::move(frame.body);
    } else if (auto error = decode<ErrorAnswerBody>(frame.body)) {
        call->result = tl::unexpected(Error { error->kind, error->message, error->ran, error->retryAfter });
    }
    call->answered.set();
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
    pending->answered.waitFor(timeout);
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
    if (body.size() > maxFrameBytes || outgoing_.size() + body.size() > maxPendingBytes) {
        close();
        return;
    }
    outgoing_ += withLength(body);
    ++traffic.framesSent;
    if (!writing_)
        startWrite();
}

void LinkConnection::startWrite()
{
    // All frames that were queued meanwhile go out in one write.
    inFlight_ = std::move(outgoing_);
    outgoing_.clear();
    writing_ = true;
    lastSent_ = BootClock::now();
    traffic.bytesSent += inFlight_.size();
    boost::asio::async_write(socket_, boost::asio::buffer(inFlight_), [self = shared_from_this()](boost::system::error_code error, size_t) {
        self->writing_ = false;
        if (error)
            self->close();
        else if (!self->outgoing_.empty())
            self->startWrite();
    });
}

void LinkConnection::scheduleWatch()
{
    loop_.after(settings_.heartbeatInterval, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->watch();
    });
}

void LinkConnection::watch()
{
    if (closed_)
        return;
    auto now = BootClock::now();
    if (now - lastReceived_ > settings_.peerTimeout) {
        close();
        return;
    }
    if (now - lastSent_ >= settings_.heartbeatInterval)
        send(Frame {});
    scheduleWatch();
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
        call->result = fail(ErrorKind::Unavailable, "link closed before the answer");
        call->answered.set();
    }
}

}
