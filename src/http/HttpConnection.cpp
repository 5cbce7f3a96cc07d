#include "http/HttpConnection.h"

#include "runtime/FiberWaiter.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace briarhitch {

namespace {

    namespace http = boost::beast::http;

    Error errorOfRead(boost::system::error_code error, bool isTimeout)
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
    // Streams send many small parts that must not wait for one another.
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
    } while (keepAlive_ && !isGone_ && !isDraining_ && !announcedClose_);
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
        answerReadError(read.error, buffer_.size() > 0 || parser.got_some());
    return !read.error;
}

bool HttpConnection::readBody(Parser& parser)
{
    if (parser.is_done())
        return true;
    if (parser.get()[http::field::expect] == "100-continue") {
        const std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        awaitIo([&](auto handler) { boost::asio::async_write(socket_, boost::asio::buffer(goOn), handler); });
    }
    auto read = awaitIo([&](auto handler) { http::async_read(socket_, buffer_, parser, handler); });
    if (read.error)
        answerReadError(read.error, true);
    return !read.error;
}

void HttpConnection::answerReadError(boost::system::error_code error, bool hasBytes)
{
    bool isTimeout = deadline_.hasExpired();
    keepAlive_ = false;
    // There is nobody to answer if the caller closed the connection, and nothing to answer if it sent nothing.
    if ((!isTimeout && isConnectionError(error)) || !hasBytes)
        return;
    isAnswered_ = false;
    sendError(*this, errorOfRead(error, isTimeout));
}

void HttpConnection::handle(const HttpRequest& request)
{
    deadline_.disarm();
    isHandling_ = true;
    isAnswered_ = false;
    isStreaming_ = false;
    watchCaller();
    handler_(request, *this);
    isHandling_ = false;
    goneHook_ = nullptr;
    if (!isAnswered_)
        abort();
}

void HttpConnection::watchCaller()
{
    if (isWatching_)
        return;
    isWatching_ = true;
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        self->isWatching_ = false;
        if (error || !self->isHandling_)
            return;
        boost::system::error_code failure;
        // A readable socket with nothing to read has been closed by the caller; otherwise it sent its next request.
        if (self->socket_.available(failure) == 0 || failure)
            self->callerIsGone();
    });
}

void HttpConnection::callerIsGone()
{
    if (isGone_)
        return;
    isGone_ = true;
    auto hook = std::move(goneHook_);
    goneHook_ = nullptr;
    if (hook && isHandling_ && !isAnswered_)
        hook();
}

void HttpConnection::onCallerDisconnected(std::function<void()> hook)
{
    goneHook_ = std::move(hook);
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
bool HttpConnection::timedWrite(Start&& start)
{
    if (isGone_)
        return false;
    deadline_.arm(settings_.writeTimeout);
    auto written = awaitIo(std::forward<Start>(start));
    deadline_.disarm();
    // cancel() of the deadline also ends the watch; a caller that takes no data counts as gone.
    if (written.error)
        callerIsGone();
    return !written.error;
}

bool HttpConnection::send(int status, const HttpHeaders& headers, std::string_view body)
{
    if (isAnswered_ || isStreaming_)
        return false;
    http::response<http::string_body> message;
    fillHeader(message, status, headers);
    message.body() = body;
    message.prepare_payload();
    bool good = timedWrite([&](auto handler) { http::async_write(socket_, message, handler); });
    isAnswered_ = true;
    return good;
}

bool HttpConnection::beginStream(int status, const HttpHeaders& headers)
{
    if (isAnswered_ || isStreaming_)
        return false;
    isStreaming_ = true;
    http::response<http::empty_body> message;
    // HTTP/1.0 has no chunks; there the end of the connection ends the body.
    if (httpVersion_ < 11)
        keepAlive_ = false;
    fillHeader(message, status, headers);
    message.chunked(httpVersion_ >= 11);
    http::response_serializer<http::empty_body> serializer(message);
    return timedWrite([&](auto handler) { http::async_write_header(socket_, serializer, handler); });
}

bool HttpConnection::write(std::string_view part)
{
    // An empty chunk would end the body.
    if (part.empty())
        return !isGone_;
    auto bytes = boost::asio::buffer(part);
    if (httpVersion_ < 11)
        return timedWrite([&](auto handler) { boost::asio::async_write(socket_, bytes, handler); });
    auto chunk = http::make_chunk(bytes);
    return timedWrite([&](auto handler) { boost::asio::async_write(socket_, chunk, handler); });
}

bool HttpConnection::endStream()
{
    bool good = !isGone_;
    if (httpVersion_ >= 11) {
        auto last = http::make_chunk_last();
        good = timedWrite([&](auto handler) { boost::asio::async_write(socket_, last, handler); });
    }
    isAnswered_ = true;
    isStreaming_ = false;
    return good;
}

void HttpConnection::abort()
{
    isAnswered_ = true;
    isGone_ = true;
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
