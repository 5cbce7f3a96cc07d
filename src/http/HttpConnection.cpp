#include "http/HttpConnection.h"

#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace briarhitch {

namespace {

    namespace http = boost::beast::http;

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

HttpConnection::HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerSettings& settings, const HttpServer::Handler& handler)
    : socket_(std::move(socket))
    , settings_(settings)
    , handler_(handler)
    , buffer_(settings.maxHeaderBytes + settings.maxBodyBytes)
    , deadline_(socket_)
{
    boost::system::error_code ignored;
    // Streams send many small writes that must not wait for one another.
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    peer_ = socket_.remote_endpoint(ignored).address().to_string();
}

void HttpConnection::serve()
{
    auto self = shared_from_this();
    do {
        auto request = readRequest();
        isReading_ = false;
        if (!request)
            break;
        handle(*request);
    } while (keepAlive_ && !isDisconnected_ && !isDraining_ && !announcedClose_);
    close();
}

std::optional<HttpRequest> HttpConnection::readRequest()
{
    Parser parser;
    parser.header_limit(static_cast<uint32_t>(settings_.maxHeaderBytes));
    parser.body_limit(settings_.maxBodyBytes);
    if (!readHeader(parser) || !readBody(parser))
        return std::nullopt;

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
    request.body = std::move(message.body());
    request.peer = peer_;
    return request;
}

bool HttpConnection::readHeader(Parser& parser)
{
    if (buffer_.size() == 0) {
        deadline_.arm(isDraining_ ? HttpServer::drainGracePeriod : settings_.idleTimeout);
        auto ready = awaitIo([&](auto handler) { socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, handler); });
        if (ready.error)
            return false;
    }
    isReading_ = true;
    deadline_.arm(settings_.readTimeout);
    auto read = awaitIo([&](auto handler) { http::async_read_header(socket_, buffer_, parser, handler); });
    if (read.error)
        sendReadError(read.error, buffer_.size() > 0 || parser.got_some());
    return !read.error;
}

bool HttpConnection::readBody(Parser& parser)
{
    if (parser.is_done())
        return true;
    if (parser.get()[http::field::expect] == "100-continue") {
        const std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        awaitIo([&](auto handler) { boost::asio::async_write(socket_, boost::asio::buffer(continueResponse), handler); });
    }
    auto read = awaitIo([&](auto handler) { http::async_read(socket_, buffer_, parser, handler); });
    if (read.error)
        sendReadError(read.error, true);
    return !read.error;
}

void HttpConnection::sendReadError(boost::system::error_code error, bool hasBytes)
{
    bool isTimeout = deadline_.hasExpired();
    keepAlive_ = false;
    // Nothing is sent if the caller closed the connection or did not send anything.
    if ((!isTimeout && isConnectionError(error)) || !hasBytes)
        return;
    isExchangeDone_ = false;
    sendError(*this, toRequestError(error, isTimeout));
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

bool HttpConnection::send(int status, const HttpHeaders& headers, std::string_view body)
{
    if (isExchangeDone_ || isStreaming_)
        return false;
    http::response<http::string_body> message;
    fillHeader(message, status, headers);
    message.body() = body;
    message.prepare_payload();
    bool isWritten = writeWithDeadline([&](auto handler) { http::async_write(socket_, message, handler); });
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

void HttpConnection::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

}
