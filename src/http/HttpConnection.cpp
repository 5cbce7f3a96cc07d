#include "http/HttpConnection.h"

#include "http/ReadAdmission.h"
#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>

namespace briarhitch {

namespace {

    namespace http = boost::beast::http;
    using namespace std::chrono_literals;

    /** Bytes read at once; a header rarely has more than the first. */
    constexpr size_t headerPieceBytes = 4 * 1024;
    constexpr size_t bodyPieceBytes = 16 * 1024;
    /** Kernel buffers of each connection; the system would let each grow to several MiB, which no budget counts. */
    constexpr int socketBufferBytes = 64 * 1024;
    /** Requests and responses of up to this size may use the reserve. */
    constexpr size_t smallBytes = 64 * 1024;
    constexpr size_t firstBodyBytes = 4 * 1024;
    /** A response of up to this size is part of HttpConnection::ownBytes. */
    constexpr size_t unchargedResponseBytes = 4 * 1024;
    /** A header is held by the parser, by HttpRequest and by the request that is derived from it. */
    constexpr size_t headerCopies = 3;
    constexpr size_t fieldBytes = 320;
    /** Interval at which a connection that waits for room asks again. */
    constexpr Duration waitInterval = 10ms;
    /** Time and bytes that a refused caller may go on sending, so that a reset does not destroy the response. */
    constexpr Duration lingerTime = 300ms;
    constexpr size_t maxLingerBytes = 1024 * 1024;

    Error toRequestError(boost::system::error_code error, bool isTimeout)
    {
        if (isTimeout)
            return makeError(ErrorKind::RequestTimeout, "the request did not arrive in time");
        if (error == http::error::header_limit)
            return makeError(ErrorKind::HeaderTooLarge, "the request's header is too large");
        if (error == http::error::body_limit)
            return makeError(ErrorKind::BodyTooLarge, "the request's body is too large");
        return makeError(ErrorKind::BadRequest, "the request is not valid HTTP: " + error.message());
    }

    bool isConnectionError(boost::system::error_code error)
    {
        return error == http::error::end_of_stream || error == http::error::partial_message
            || error.category() != http::make_error_code(http::error::end_of_stream).category();
    }

}

HttpConnection::HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerSettings& settings, const HttpServer::Handler& handler, MemoryCharge charge)
    : socket_(std::move(socket))
    , settings_(settings)
    , handler_(handler)
    , buffer_(settings.maxHeaderBytes + bodyPieceBytes)
    , ownCharge_(std::move(charge))
    , headerCharge_(settings_.memory->makeCharge(MemoryPurpose::Header))
    , responseCharge_(settings_.memory->makeCharge(MemoryPurpose::Response))
    , idleSince_(BootClock::now())
    , deadline_(socket_)
{
    boost::system::error_code ignored;
    // Streams send many small writes that must not wait for one another.
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    socket_.set_option(boost::asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    peer_ = socket_.remote_endpoint(ignored).address().to_string();
}

void HttpConnection::serve()
{
    auto self = shared_from_this();
    do {
        auto request = readRequest();
        reading_.reset();
        isReading_ = false;
        if (!request)
            break;
        handle(*request);
        request.reset();
        headerCharge_.shrinkTo(0);
        idleSince_ = BootClock::now();
    } while (keepAlive_ && !isDisconnected_ && !isDraining_ && !announcedClose_);
    close();
}

std::optional<HttpRequest> HttpConnection::readRequest()
{
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(settings_.maxHeaderBytes));
    parser.body_limit(settings_.maxBodyBytes);
    bodyCharge_ = settings_.memory->makeCharge(MemoryPurpose::RequestBody);
    if (!awaitFirstByte() || !readHeader(parser) || !readBody(parser)) {
        bodyCharge_.shrinkTo(0);
        return std::nullopt;
    }

    auto message = parser.release();
    httpVersion_ = message.version();
    keepAlive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    std::string target(message.target());
    auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos)
        request.query = target.substr(question + 1);
    for (const auto& field : message)
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body = SharedBody(std::move(message.body()), std::move(bodyCharge_));
    request.peer = peer_;
    return request;
}

bool HttpConnection::awaitFirstByte()
{
    if (buffer_.size() == 0) {
        deadline_.arm(isDraining_ ? HttpServer::drainGracePeriod : settings_.idleTimeout);
        auto ready = awaitIo([&](auto handler) { socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, handler); });
        if (ready.error || isEvicted_)
            return false;
    }
    isReading_ = true;
    reading_.emplace(settings_.memory, [this] { evict(); });
    return true;
}

bool HttpConnection::readHeader(Parser& parser)
{
    bool needsMore = buffer_.size() == 0;
    while (!parser.is_header_done()) {
        if (needsMore && !readPiece(headerPieceBytes))
            return false;
        if (!parsePiece(parser) || !chargeHeader(parser))
            return false;
        needsMore = true;
    }
    return true;
}

bool HttpConnection::chargeHeader(Parser& parser)
{
    size_t bytes = buffer_.size();
    size_t fields = 0;
    for (const auto& field : parser.get()) {
        bytes += field.name_string().size() + field.value().size();
        ++fields;
    }
    size_t needed = headerCopies * bytes + fieldBytes * fields;
    return needed <= headerCharge_.bytes() || reserve(headerCharge_, needed - headerCharge_.bytes(), true);
}

bool HttpConnection::readBody(Parser& parser)
{
    if (parser.is_done())
        return true;
    auto announced = static_cast<size_t>(parser.content_length().value_or(0));
    if (announced > 0 && !reserve(bodyCharge_, announced, announced <= smallBytes))
        return false;
    if (parser.get()[http::field::expect] == "100-continue") {
        const std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        // A caller that does not read earlier responses may not accept this one either.
        deadline_.arm(settings_.memory->timeLeft(reading_->id(), settings_.readTimeout));
        auto written = awaitIo([&](auto handler) { boost::asio::async_write(socket_, boost::asio::buffer(continueResponse), handler); });
        deadline_.disarm();
        if (written.error)
            return false;
    }
    // All chunks in the buffer are parsed in one step.
    parser.eager(true);
    bool needsMore = buffer_.size() == 0;
    while (!parser.is_done()) {
        if (needsMore && !readPiece(bodyPieceBytes))
            return false;
        if ((announced == 0 && !growBody(parser)) || !parsePiece(parser))
            return false;
        needsMore = true;
    }
    return true;
}

bool HttpConnection::growBody(Parser& parser)
{
    auto& body = parser.get().body();
    size_t needed = body.size() + buffer_.size();
    if (needed <= bodyCharge_.bytes() || bodyCharge_.bytes() >= settings_.maxBodyBytes)
        return true;
    // Both copies are held while the bytes move.
    size_t before = bodyCharge_.bytes();
    size_t capacity = std::max({ needed, 2 * before, firstBodyBytes });
    if (!reserve(bodyCharge_, capacity, capacity <= smallBytes))
        return false;
    body.reserve(capacity);
    bodyCharge_.shrinkTo(capacity);
    return true;
}

bool HttpConnection::readPiece(size_t maxBytes)
{
    size_t room = buffer_.max_size() - buffer_.size();
    if (room == 0) {
        sendReadError(http::error::header_limit, true);
        return false;
    }
    deadline_.arm(settings_.memory->timeLeft(reading_->id(), settings_.readTimeout));
    auto read = awaitIo([&](auto handler) { socket_.async_read_some(buffer_.prepare(std::min(maxBytes, room)), handler); });
    deadline_.disarm();
    if (isEvicted_)
        return false;
    buffer_.commit(read.count);
    if (read.error)
        sendReadError(read.error, true);
    else
        settings_.memory->recordProgress(reading_->id(), read.count);
    return !read.error;
}

bool HttpConnection::parsePiece(Parser& parser)
{
    boost::system::error_code error;
    buffer_.consume(parser.put(buffer_.data(), error));
    if (!error || error == http::error::need_more)
        return true;
    sendReadError(error, true);
    return false;
}

bool HttpConnection::reserve(MemoryCharge& charge, size_t bytes, bool isSmall)
{
    for (;;) {
        if (isEvicted_ || !socket_.is_open())
            return false;
        switch (settings_.memory->reserve(reading_->id(), charge, bytes, isSmall)) {
        case ReadDecision::Proceed:
            return true;
        case ReadDecision::Refuse:
            refuse(makeError(ErrorKind::Unavailable, "this process holds as many bytes of requests as it can"), "no_room");
            return false;
        case ReadDecision::Wait:
            boost::asio::steady_timer timer(socket_.get_executor(), std::chrono::duration_cast<std::chrono::steady_clock::duration>(waitInterval));
            awaitIo([&](auto handler) { timer.async_wait(handler); });
        }
    }
}

void HttpConnection::refuse(const Error& error, std::string_view reason)
{
    settings_.memory->countRefused(reason);
    keepAlive_ = false;
    isExchangeDone_ = false;
    bodyCharge_.shrinkTo(0);
    if (!sendError(*this, error))
        return;
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    auto end = BootClock::now() + lingerTime;
    buffer_.clear();
    for (size_t discarded = 0; discarded < maxLingerBytes && BootClock::now() < end;) {
        deadline_.arm(std::max<Duration>(end - BootClock::now(), Duration::zero()));
        auto read = awaitIo([&](auto handler) { socket_.async_read_some(buffer_.prepare(bodyPieceBytes), handler); });
        if (read.error)
            break;
        discarded += read.count;
    }
    deadline_.disarm();
}

void HttpConnection::sendReadError(boost::system::error_code error, bool hasBytes)
{
    bool isTimeout = deadline_.hasExpired();
    keepAlive_ = false;
    // Nothing is sent if the caller closed the connection or did not send anything.
    if ((!isTimeout && isConnectionError(error)) || !hasBytes)
        return;
    auto failure = toRequestError(error, isTimeout);
    refuse(failure, errorInfo(failure.kind).name);
}

void HttpConnection::handle(const HttpRequest& request)
{
    deadline_.disarm();
    isHandling_ = true;
    isExchangeDone_ = false;
    isStreaming_ = false;
    watchForDisconnect();
    handler_(request, *this);
    isHandling_ = false;
    disconnectHook_ = nullptr;
    if (!isExchangeDone_)
        abort();
}

void HttpConnection::watchForDisconnect()
{
    if (isWatching_)
        return;
    isWatching_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        self->isWatching_ = false;
        if (!error && self->isHandling_)
            self->onReadable();
    });
}

void HttpConnection::onReadable()
{
    boost::system::error_code failure;
    size_t available = socket_.available(failure);
    if (failure || available == 0) {
        handleDisconnect();
        return;
    }
    // The caller has sent its next request; the end of the connection shows only once these bytes have been read.
    if (buffer_.size() >= settings_.maxHeaderBytes)
        return;
    auto space = buffer_.prepare(std::min(available, settings_.maxHeaderBytes - buffer_.size()));
    buffer_.commit(socket_.read_some(space, failure));
    if (failure)
        handleDisconnect();
    else
        watchForDisconnect();
}

void HttpConnection::handleDisconnect()
{
    if (isDisconnected_)
        return;
    isDisconnected_ = true;
    auto hook = std::move(disconnectHook_);
    disconnectHook_ = nullptr;
    if (hook && isHandling_ && !isExchangeDone_)
        hook();
}

void HttpConnection::onCallerDisconnected(std::function<void()> hook)
{
    disconnectHook_ = std::move(hook);
}

template <class Message>
void HttpConnection::fillHeader(Message& message, int status, const HttpHeaders& headers)
{
    message.version(httpVersion_);
    message.result(static_cast<unsigned>(status));
    for (const auto& [name, value] : headers)
        message.insert(name, value);
    message.keep_alive(keepAlive_ && !isDraining_ && !isClosing_);
    announcedClose_ = !message.keep_alive();
}

template <class Start>
bool HttpConnection::writeWithDeadline(Start&& start)
{
    if (isDisconnected_)
        return false;
    deadline_.arm(settings_.writeTimeout);
    auto written = awaitIo(std::forward<Start>(start));
    deadline_.disarm();
    // The deadline's cancel() also ends watchForDisconnect(); a caller that accepts no data counts as disconnected.
    if (written.error)
        handleDisconnect();
    return !written.error;
}

bool HttpConnection::writeInPieces(Response& message, const MemoryHolder& writing)
{
    if (isDisconnected_)
        return false;
    http::response_serializer<http::span_body<const char>> serializer(message);
    deadline_.arm(settings_.writeTimeout);
    boost::system::error_code error;
    while (!error && !serializer.is_done()) {
        auto written = awaitIo([&](auto handler) { http::async_write_some(socket_, serializer, handler); });
        settings_.memory->recordProgress(writing.id(), written.count);
        error = written.error;
        // A deadline that expires between two pieces has nothing to cancel.
        if (!error && deadline_.hasExpired())
            error = boost::asio::error::timed_out;
    }
    deadline_.disarm();
    if (error)
        handleDisconnect();
    return !error;
}

bool HttpConnection::send(int status, const HttpHeaders& headers, std::string_view body)
{
    if (isExchangeDone_ || isStreaming_)
        return false;
    Response message;
    fillHeader(message, status, headers);
    std::optional<MemoryHolder> writing;
    if (body.size() > unchargedResponseBytes) {
        writing.emplace(settings_.memory, [this] { evict(); });
        if (!settings_.memory->reserveNow(writing->id(), responseCharge_, body.size(), body.size() <= smallBytes)) {
            settings_.memory->countClosed("no_room");
            abort();
            return false;
        }
    }
    message.body() = { body.data(), body.size() };
    message.prepare_payload();
    bool isWritten = writing ? writeInPieces(message, *writing) : writeWithDeadline([&](auto handler) { http::async_write(socket_, message, handler); });
    responseCharge_.shrinkTo(0);
    isExchangeDone_ = true;
    return isWritten;
}

bool HttpConnection::beginStream(int status, const HttpHeaders& headers)
{
    if (isExchangeDone_ || isStreaming_)
        return false;
    isStreaming_ = true;
    http::response<http::empty_body> message;
    // HTTP/1.0 has no chunked encoding; the end of the connection ends the body.
    if (httpVersion_ < 11)
        keepAlive_ = false;
    fillHeader(message, status, headers);
    message.chunked(httpVersion_ >= 11);
    http::response_serializer<http::empty_body> serializer(message);
    return writeWithDeadline([&](auto handler) { http::async_write_header(socket_, serializer, handler); });
}

bool HttpConnection::write(std::string_view part)
{
    // An empty chunk would end the body.
    if (part.empty())
        return !isDisconnected_;
    auto bytes = boost::asio::buffer(part);
    if (httpVersion_ < 11)
        return writeWithDeadline([&](auto handler) { boost::asio::async_write(socket_, bytes, handler); });
    auto chunk = http::make_chunk(bytes);
    return writeWithDeadline([&](auto handler) { boost::asio::async_write(socket_, chunk, handler); });
}

bool HttpConnection::endStream()
{
    bool isWritten = !isDisconnected_;
    if (httpVersion_ >= 11) {
        auto last = http::make_chunk_last();
        isWritten = writeWithDeadline([&](auto handler) { boost::asio::async_write(socket_, last, handler); });
    }
    isExchangeDone_ = true;
    isStreaming_ = false;
    return isWritten;
}

void HttpConnection::abort()
{
    isExchangeDone_ = true;
    isDisconnected_ = true;
    close();
}

bool HttpConnection::isIdle() const
{
    boost::system::error_code error;
    return !isHandling_ && !isReading_ && buffer_.size() == 0 && socket_.available(error) == 0;
}

void HttpConnection::drain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    if (isIdle())
        deadline_.arm(HttpServer::drainGracePeriod);
}

void HttpConnection::evict()
{
    isEvicted_ = true;
    headerCharge_.shrinkTo(0);
    bodyCharge_.shrinkTo(0);
    responseCharge_.shrinkTo(0);
    ownCharge_.shrinkTo(0);
    close();
}

void HttpConnection::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

}
