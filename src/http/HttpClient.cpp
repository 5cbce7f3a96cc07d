#include "briarhitch/http/HttpClient.h"

#include "briarhitch/runtime/Loop.h"
#include "http/SocketDeadline.h"
#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <limits>
#include <map>
#include <optional>

namespace briarhitch {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using namespace std::chrono_literals;

    constexpr size_t readBytes = 16 * 1024;
    constexpr size_t maxIdlePerServer = 64;
    constexpr Duration longestIdleTime = 60s;
    /** Shorter than the idle timeout of common servers, so that a kept connection is rarely found closed. */
    constexpr Duration maxIdleTime = 4s;
    /** A server that states its idle timeout may close a connection a little before this client expects it. */
    constexpr Duration idleMargin = 500ms;
    /** More answers to earlier requests than this on one connection mean that it cannot be trusted. */
    constexpr int maxForeignAnswers = 4;
    constexpr size_t maxForeignBytes = 1024 * 1024;
    /** Beast's parser limits a header by itself, but not the lines around chunks and the trailer. */
    constexpr size_t maxUnparsedBytes = 64 * 1024;
    /** Bodies of up to this size are collected whatever others hold. */
    constexpr size_t freeBodyBytes = 64 * 1024;

    /** The idle time that a server's Keep-Alive header allows, less a margin; the usual one if it states none. */
    Duration allowedIdleTime(std::string_view keepAlive)
    {
        constexpr std::string_view field = "timeout=";
        auto at = keepAlive.find(field);
        if (at == std::string_view::npos)
            return maxIdleTime;
        int seconds = 0;
        auto text = keepAlive.substr(at + field.size());
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || seconds < 0)
            return maxIdleTime;
        return std::clamp<Duration>(std::chrono::seconds(seconds) - idleMargin, Duration(0), longestIdleTime);
    }

    struct Connection {
        explicit Connection(boost::asio::io_context& io)
            : socket(io)
            , deadline(socket)
        {
        }

        [[nodiscard]] bool isUsable()
        {
            // Nothing may have arrived on an idle connection: neither its end nor stray bytes.
            boost::system::error_code error;
            socket.non_blocking(true, error);
            char byte = 0;
            socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            return error == boost::asio::error::would_block;
        }

        void close()
        {
            boost::system::error_code ignored;
            socket.close(ignored);
        }

        tcp::socket socket;
        SocketDeadline deadline;
        boost::beast::flat_buffer buffer { maxUnparsedBytes };
        Instant idleUntil;
    };

    struct Address {
        std::string host;
        uint16_t port { 0 };
        /** Connections whose answers name their requests are kept apart: a late copy of another one would name none. */
        bool namesRequests { false };

        auto operator<=>(const Address&) const = default;
        [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
    };

    /** Idle connections by server. */
    class ConnectionPool {
    public:
        std::shared_ptr<Connection> take(const Address& address)
        {
            auto& idle = idle_[address];
            while (!idle.empty()) {
                auto connection = std::move(idle.back());
                idle.pop_back();
                if (BootClock::now() < connection->idleUntil && connection->isUsable())
                    return connection;
                connection->close();
            }
            return nullptr;
        }

        void give(const Address& address, std::shared_ptr<Connection> connection, Duration idleTime)
        {
            auto& idle = idle_[address];
            if (idle.size() >= maxIdlePerServer || connection->buffer.size() > 0) {
                connection->close();
                return;
            }
            connection->idleUntil = BootClock::now() + idleTime;
            idle.push_back(std::move(connection));
        }

    private:
        std::map<Address, std::vector<std::shared_ptr<Connection>>> idle_;
    };

    /** Bounds what all calls of a client collect at the same time. */
    class CollectedBytes {
    public:
        explicit CollectedBytes(size_t limit)
            : limit_(limit)
        {
        }

        [[nodiscard]] bool take(size_t bytes)
        {
            if (bytes > limit_ - taken_)
                return false;
            taken_ += bytes;
            return true;
        }
        void give(size_t bytes) { taken_ -= bytes; }

    private:
        size_t limit_;
        size_t taken_ { 0 };
    };

    Error withRan(Error error, Ran ran)
    {
        error.ran = ran;
        return error;
    }

    class BeastCall : public HttpCall {
    public:
        BeastCall(std::shared_ptr<Connection> connection, bool isReused, std::shared_ptr<ConnectionPool> pool, std::shared_ptr<CollectedBytes> collected, Address address, size_t maxAnswerBytes)
            : connection_(std::move(connection))
            , isReused_(isReused)
            , pool_(std::move(pool))
            , collected_(std::move(collected))
            , address_(std::move(address))
            , maxAnswerBytes_(maxAnswerBytes)
        {
            newParser();
        }

        ~BeastCall() override
        {
            collected_->give(taken_);
            if (connection_)
                connection_->close();
        }

        Result<void> send(const HttpCallSettings& settings)
        {
            http::request<http::string_body> request;
            request.method_string(settings.method);
            request.target(settings.target);
            request.set(http::field::host, settings.host + ":" + std::to_string(settings.port));
            for (const auto& [name, value] : settings.headers) {
                if (boost::beast::iequals(name, "host"))
                    request.set(name, value);
                else
                    request.insert(name, value);
            }
            request.body() = settings.body;
            if (!settings.body.empty() || settings.method == "POST" || settings.method == "PUT")
                request.prepare_payload();
            connection_->deadline.arm(settings.headerTimeout);
            auto written = awaitIo([&](auto handler) { http::async_write(connection_->socket, request, handler); });
            if (written.error)
                return tl::unexpected(failure(written.error));
            for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
                auto read = awaitIo([&](auto handler) { http::async_read_header(connection_->socket, connection_->buffer, *parser_, handler); });
                if (read.error)
                    return tl::unexpected(failure(read.error));
                headers_.clear();
                for (const auto& field : parser_->get())
                    headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
                auto owner = settings.responseOwner ? settings.responseOwner(headers_) : ResponseOwner::ThisRequest;
                if (owner == ResponseOwner::Unknown && isReused_)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "an answer on a kept connection to " + address_.text() + " names no request"));
                if (owner != ResponseOwner::OtherRequest) {
                    isOwnerKnown_ = owner == ResponseOwner::ThisRequest;
                    connection_->deadline.disarm();
                    return {};
                }
                if (auto skipped = skipBody(); !skipped)
                    return skipped;
            }
            return tl::unexpected(makeError(ErrorKind::TargetFailed, "too many answers to other requests from " + address_.text()));
        }

        [[nodiscard]] int status() const override { return static_cast<int>(parser_->get().result_int()); }
        [[nodiscard]] const HttpHeaders& headers() const override { return headers_; }

        Result<std::optional<std::string>> read(Duration timeout) override
        {
            std::array<char, readBytes> bytes;
            while (!parser_->is_done()) {
                if (isCancelled_ || !connection_)
                    return tl::unexpected(failure());
                auto& body = parser_->get().body();
                body.data = bytes.data();
                body.size = bytes.size();
                auto connection = connection_;
                connection->deadline.arm(timeout);
                auto result = awaitIo([&](auto handler) { http::async_read_some(connection->socket, connection->buffer, *parser_, handler); });
                connection->deadline.disarm();
                if (result.error && result.error != http::error::need_buffer)
                    return tl::unexpected(failure(result.error));
                size_t count = bytes.size() - parser_->get().body().size;
                if (count > 0)
                    return std::optional<std::string>(std::string(bytes.data(), count));
            }
            finish();
            return std::optional<std::string>();
        }

        Result<std::string> readAll(Duration timeout) override
        {
            std::string body;
            auto end = BootClock::now() + timeout;
            for (;;) {
                auto part = read(std::max<Duration>(end - BootClock::now(), Duration::zero()));
                if (!part)
                    return tl::unexpected(part.error());
                if (!*part)
                    return body;
                body += **part;
                if (body.size() > maxAnswerBytes_ || !takeRoomFor(body.size())) {
                    cancel();
                    return fail(ErrorKind::TargetFailed, "the answer is larger than allowed");
                }
            }
        }

        void cancel() override
        {
            isCancelled_ = true;
            if (connection_)
                connection_->close();
        }

    private:
        void newParser()
        {
            parser_.emplace();
            // Beast 1.74 compares the length with an empty optional, so "no limit" would refuse every body.
            parser_->body_limit(std::numeric_limits<uint64_t>::max());
        }

        /** Reads the rest of an answer that nobody waits for; the deadline of the request goes on. */
        Result<void> skipBody()
        {
            // Its end would be the end of the connection.
            if (!parser_->keep_alive())
                return tl::unexpected(makeError(ErrorKind::TargetFailed, "the connection ends with an answer to another request"));
            std::array<char, readBytes> bytes;
            size_t skipped = 0;
            while (!parser_->is_done()) {
                parser_->get().body().data = bytes.data();
                parser_->get().body().size = bytes.size();
                auto read = awaitIo([&](auto handler) { http::async_read_some(connection_->socket, connection_->buffer, *parser_, handler); });
                if (read.error && read.error != http::error::need_buffer)
                    return tl::unexpected(failure(read.error));
                skipped += bytes.size() - parser_->get().body().size;
                if (skipped > maxForeignBytes)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "an answer to another request is larger than allowed"));
            }
            newParser();
            return {};
        }

        void finish()
        {
            if (!connection_)
                return;
            if (parser_->keep_alive() && !isCancelled_ && isOwnerKnown_)
                pool_->give(address_, std::move(connection_), allowedIdleTime(findHeader(headers_, "Keep-Alive")));
            else
                connection_->close();
            connection_ = nullptr;
        }

        [[nodiscard]] bool takeRoomFor(size_t bodyBytes)
        {
            size_t needed = bodyBytes > freeBodyBytes ? bodyBytes - freeBodyBytes : 0;
            if (needed <= taken_)
                return true;
            if (!collected_->take(needed - taken_))
                return false;
            taken_ = needed;
            return true;
        }

        [[nodiscard]] Error failure(boost::system::error_code error = {}) const
        {
            if (isCancelled_)
                return makeError(ErrorKind::CallerLeft, "the request was cancelled");
            if (connection_ && connection_->deadline.hasExpired())
                return makeError(ErrorKind::TargetTimeout, "no answer in time from " + address_.text());
            return makeError(ErrorKind::TargetFailed, "connection to " + address_.text() + " broke: " + error.message());
        }

        std::shared_ptr<Connection> connection_;
        bool isReused_;
        std::shared_ptr<ConnectionPool> pool_;
        std::shared_ptr<CollectedBytes> collected_;
        Address address_;
        size_t maxAnswerBytes_;
        /** What this call has taken of collected_. */
        size_t taken_ { 0 };
        bool isOwnerKnown_ { true };
        std::optional<http::response_parser<http::buffer_body>> parser_;
        HttpHeaders headers_;
        bool isCancelled_ { false };
    };

}

struct HttpClient::Impl {
    Loop& loop;
    std::shared_ptr<CollectedBytes> collected;
    std::shared_ptr<ConnectionPool> pool { std::make_shared<ConnectionPool>() };

    Result<std::shared_ptr<Connection>> connect(const HttpCallSettings& settings) const
    {
        auto unreachable = [&](const std::string& why) {
            Error error = makeError(ErrorKind::TargetFailed, "cannot connect to " + settings.host + ":" + std::to_string(settings.port) + ": " + why);
            return tl::unexpected(withRan(std::move(error), Ran::No));
        };
        boost::system::error_code error;
        auto address = boost::asio::ip::make_address(settings.host, error);
        if (error)
            return unreachable(error.message());
        auto connection = std::make_shared<Connection>(loop.context());
        boost::system::error_code openError;
        connection->socket.open(address.is_v6() ? tcp::v6() : tcp::v4(), openError);
        if (openError)
            return unreachable(openError.message());
        connection->deadline.arm(settings.connectTimeout);
        auto result = awaitIo([&](auto handler) { connection->socket.async_connect(tcp::endpoint(address, settings.port), handler); });
        connection->deadline.disarm();
        if (result.error)
            return unreachable(connection->deadline.hasExpired() ? "no answer in time" : result.error.message());
        boost::system::error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        return connection;
    }
};

HttpClient::HttpClient(Loop& loop, HttpClientSettings settings)
    : impl_(std::make_shared<Impl>(Impl { loop, std::make_shared<CollectedBytes>(settings.maxBufferedBytes) }))
{
}

HttpClient::~HttpClient() = default;

Result<std::shared_ptr<HttpCall>> HttpClient::start(const HttpCallSettings& settings)
{
    Address address { settings.host, settings.port, settings.responseOwner != nullptr };
    auto impl = impl_;
    auto connection = settings.isReuseAllowed ? impl->pool->take(address) : nullptr;
    bool isReused = connection != nullptr;
    if (!connection) {
        auto opened = impl->connect(settings);
        if (!opened)
            return tl::unexpected(opened.error());
        connection = *opened;
    }
    auto call = std::make_shared<BeastCall>(connection, isReused, impl->pool, impl->collected, address, settings.maxResponseBytes);
    if (settings.onSending)
        settings.onSending(call);
    auto sent = call->send(settings);
    if (sent)
        return std::shared_ptr<HttpCall>(call);
    // GET has no effect on the server, so a kept connection that just broke may be replaced.
    if (isReused && settings.isResendAllowed && settings.method == "GET" && sent.error().kind == ErrorKind::TargetFailed) {
        auto fresh = settings;
        fresh.isReuseAllowed = false;
        return start(fresh);
    }
    return tl::unexpected(withRan(sent.error(), Ran::Unknown));
}

Result<HttpResponse> fetch(HttpClient& client, const HttpCallSettings& settings)
{
    auto call = client.start(settings);
    if (!call)
        return tl::unexpected(call.error());
    auto body = (*call)->readAll(settings.headerTimeout);
    if (!body)
        return tl::unexpected(body.error());
    return HttpResponse { (*call)->status(), (*call)->headers(), std::move(*body) };
}

}
