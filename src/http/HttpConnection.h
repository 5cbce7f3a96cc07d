#pragma once

#include "briarhitch/http/CallerMemory.h"
#include "briarhitch/http/HttpServer.h"
#include "http/SocketDeadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace briarhitch {

/** One caller's connection: reads requests one after the other and calls the handler for each. */
class HttpConnection : public HttpExchange, public std::enable_shared_from_this<HttpConnection> {
public:
    /** What a connection uses apart from requests: its fiber's stack, its objects, the first bytes of a header. */
    static constexpr size_t ownBytes = 16 * 1024;

    /** `charge` holds ownBytes. */
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerSettings& settings, const HttpServer::Handler& handler, MemoryCharge charge);

    /** Serves until the connection closes; blocks the calling fiber. */
    void serve();
    /** Whether no request is being handled, being read or waiting to be read. */
    [[nodiscard]] bool isIdle() const;
    /** The next response has "Connection: close"; the connection closes after it. */
    void announceClose() { isClosing_ = true; }
    /** Closes the connection after the running request or the one that arrives within HttpServer::drainGracePeriod. */
    void drain();
    void close();
    /** Closes the connection and returns its charges at once. */
    void evict();
    [[nodiscard]] bool isEvicted() const { return isEvicted_; }
    [[nodiscard]] Instant idleSince() const { return idleSince_; }

    bool send(int status, const HttpHeaders& headers, std::string_view body) override;
    bool beginStream(int status, const HttpHeaders& headers) override;
    bool write(std::string_view part) override;
    bool endStream() override;
    void abort() override;
    [[nodiscard]] bool isCallerDisconnected() const override { return isDisconnected_; }
    void onCallerDisconnected(std::function<void()> hook) override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using ResponseHeader = boost::beast::http::response_header<>;
    using Response = boost::beast::http::response<boost::beast::http::span_body<const char>>;

    std::optional<HttpRequest> readRequest();
    bool awaitFirstByte();
    bool readHeader(Parser& parser);
    bool readBody(Parser& parser);
    /** Reads at most this many bytes into buffer_, within the time that the request has left. */
    bool readPiece(size_t maxBytes);
    /** Parses the bytes in buffer_; false if they are not valid. */
    bool parsePiece(Parser& parser);
    /** Makes room for the bytes in buffer_ at the end of a body without announced length. */
    bool growBody(Parser& parser);
    bool chargeHeader(Parser& parser);
    /** Waits without reading, or refuses the request, if the process holds too much. */
    bool reserve(MemoryCharge& charge, size_t bytes, bool isSmall);
    void refuse(const Error& error, std::string_view reason);
    void sendReadError(boost::system::error_code error, bool hasBytes);
    void handle(const HttpRequest& request);
    void watchForDisconnect();
    /** While a request is handled: detects the end of the connection, and reads bytes of the next request that are before it. */
    void onReadable();
    void handleDisconnect();
    template <class Message>
    void fillHeader(Message& message, int status, const HttpHeaders& headers);
    template <class Start>
    bool writeWithDeadline(Start&& start);
    /** Within one deadline as writeWithDeadline(), but records the progress of the caller. */
    bool writeInPieces(Response& message, const MemoryHolder& writing);

    boost::asio::ip::tcp::socket socket_;
    const HttpServerSettings settings_;
    const HttpServer::Handler& handler_;
    boost::beast::flat_buffer buffer_;
    MemoryCharge ownCharge_;
    MemoryCharge headerCharge_;
    MemoryCharge bodyCharge_;
    MemoryCharge responseCharge_;
    /** While a request is read. */
    std::optional<MemoryHolder> reading_;
    Instant idleSince_;
    SocketDeadline deadline_;
    std::string peer_;
    std::function<void()> disconnectHook_;
    unsigned httpVersion_ { 11 };
    bool keepAlive_ { true };
    bool isClosing_ { false };
    bool announcedClose_ { false };
    bool isDraining_ { false };
    bool isReading_ { false };
    bool isHandling_ { false };
    bool isWatching_ { false };
    bool isStreaming_ { false };
    bool isExchangeDone_ { false };
    bool isDisconnected_ { false };
    bool isEvicted_ { false };
};

}
