#include "briarhitch/http/HttpClient.h"

#include "briarhitch/runtime/Loop.h"
#include "http/ClientConnection.h"
#include "http/IdleConnections.h"
#include "http/RequestWriter.h"
#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <sys/resource.h>

namespace briarhitch {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using namespace std::chrono_literals;

    constexpr size_t readBytes = 16 * 1024;
    constexpr Duration maxStatedIdleTime = 60s;
    /** Shorter than the idle timeout of common servers, so that a reused connection is rarely closed already. */
    constexpr Duration defaultIdleTime = 4s;
    /** A server that states its idle timeout may close a connection a little before this client expects it. */
    constexpr Duration idleMargin = 500ms;
    /** A connection with more responses to earlier requests than this is not trusted any more. */
    constexpr int maxSkippedResponses = 4;
    constexpr size_t maxSkippedBytes = 1024 * 1024;
    /** Servers send one or two interim responses (1xx) before a response. */
    constexpr int maxInterimResponses = 16;
    constexpr int switchingProtocolsStatus = 101;
    constexpr int firstFinalStatus = 200;
    constexpr int lastFinalStatus = 599;
    /** Bodies of up to this size are buffered regardless of the shared budget. */
    constexpr size_t unreservedBodyBytes = 64 * 1024;

    /** The idle time from a server's Keep-Alive header, less a margin; defaultIdleTime if it states none. */
    Duration allowedIdleTime(std::string_view keepAlive)
    {
        constexpr std::string_view field = "timeout=";
        auto at = keepAlive.find(field);
        if (at == std::string_view::npos)
            return defaultIdleTime;
        int seconds = 0;
        auto text = keepAlive.substr(at + field.size());
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc() || seconds < 0)
            return defaultIdleTime;
        return std::clamp<Duration>(std::chrono::seconds(seconds) - idleMargin, Duration(0), maxStatedIdleTime);
    }

    /** Limits the bytes that all calls of a client buffer at the same time. */
    class BufferBudget {
    public:
        explicit BufferBudget(size_t limit)
            : limit_(limit)
        {
        }

        [[nodiscard]] bool reserve(size_t bytes)
        {
            if (bytes > limit_ - reservedBytes_)
                return false;
            reservedBytes_ += bytes;
            return true;
        }
        void release(size_t bytes) { reservedBytes_ -= bytes; }

    private:
        size_t limit_;
        size_t reservedBytes_ { 0 };
    };

    bool isClosedByPeer(boost::system::error_code error)
    {
        return error == boost::asio::error::eof || error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe || error == http::error::end_of_stream || error == http::error::partial_message;
    }

    Error withRan(Error error, Ran ran)
    {
        error.ran = ran;
        return error;
    }

    class BeastCall : public HttpCall {
    public:
        BeastCall(std::shared_ptr<ClientConnection> connection, bool isReused, std::shared_ptr<IdleConnections> idleConnections, std::shared_ptr<BufferBudget> bufferBudget, ServerAddress address, size_t maxResponseBytes)
            : connection_(std::move(connection))
            , connectionOpenedAt_(connection_->openedAt)
            , isReused_(isReused)
            , idleConnections_(std::move(idleConnections))
            , bufferBudget_(std::move(bufferBudget))
            , address_(std::move(address))
            , maxResponseBytes_(maxResponseBytes)
        {
            newParser();
        }

        ~BeastCall() override
        {
            bufferBudget_->release(reservedBytes_);
            if (connection_)
                connection_->close();
        }

        Result<void> send(const HttpCallSettings& settings)
        {
            connection_->deadline.arm(settings.headerTimeout);
            writer_ = std::make_shared<RequestWriter>(connection_, makeRequest(settings), settings.body);
            // A server may answer before it has read the request, and then never read it.
            writer_->start();
            int interimResponses = 0;
            int skippedResponses = 0;
            for (;;) {
                auto read = awaitIo([&](auto handler) { http::async_read_header(connection_->socket, connection_->buffer, *parser_, handler); });
                if (read.error)
                    return tl::unexpected(failure(read.error));
                if (status() / 100 == 1 && status() != switchingProtocolsStatus && ++interimResponses <= maxInterimResponses) {
                    newParser();
                    continue;
                }
                if (status() < firstFinalStatus || status() > lastFinalStatus)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "status " + std::to_string(status()) + " of " + address_.text() + " is no response"));
                headers_.clear();
                for (const auto& field : parser_->get())
                    headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
                auto owner = settings.responseOwner ? settings.responseOwner(headers_) : ResponseOwner::ThisRequest;
                if (owner == ResponseOwner::Unknown && isReused_)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "a response on a reused connection to " + address_.text() + " does not identify its request"));
                if (owner != ResponseOwner::OtherRequest) {
                    isOwnerKnown_ = owner == ResponseOwner::ThisRequest;
                    connection_->deadline.disarm();
                    return {};
                }
                if (++skippedResponses > maxSkippedResponses)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "too many responses to other requests from " + address_.text()));
                if (auto skipped = skipBody(); !skipped)
                    return skipped;
            }
        }

        [[nodiscard]] int status() const override { return static_cast<int>(parser_->get().result_int()); }
        [[nodiscard]] const HttpHeaders& headers() const override { return headers_; }
        [[nodiscard]] bool endsWithConnection() const override { return parser_->need_eof(); }
        [[nodiscard]] Duration connectionAge() const override { return BootClock::now() - connectionOpenedAt_; }

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
            // Without a length, the end of the connection may have cut the response off.
            if (connection_ && parser_->need_eof() && !(writer_->isWritten() && connection_->hasOrderlyEnd())) {
                connection_->close();
                connection_ = nullptr;
                return fail(ErrorKind::TargetClosed, "the connection to " + address_.text() + " broke before the request was sent in full");
            }
            finish();
            return std::optional<std::string>();
        }

        Result<std::string> readAll(Duration timeout) override
        {
            std::string body;
            auto end = BootClock::now() + timeout;
            for (;;) {
                auto chunk = read(std::max<Duration>(end - BootClock::now(), Duration::zero()));
                if (!chunk)
                    return tl::unexpected(chunk.error());
                if (!*chunk)
                    return body;
                body += **chunk;
                if (body.size() > maxResponseBytes_ || !reserveBufferFor(body.size())) {
                    cancel();
                    return fail(ErrorKind::TargetFailed, "the response exceeds the size limit or the buffer budget of this client");
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
        static RequestWriter::Request makeRequest(const HttpCallSettings& settings)
        {
            RequestWriter::Request request;
            request.method_string(settings.method);
            request.target(settings.target);
            request.set(http::field::host, settings.host + ":" + std::to_string(settings.port));
            for (const auto& [name, value] : settings.headers) {
                if (boost::beast::iequals(name, "host"))
                    request.set(name, value);
                else
                    request.insert(name, value);
            }
            request.body() = { settings.body.text().data(), settings.body.size() };
            if (!settings.body.empty() || settings.method == "POST" || settings.method == "PUT")
                request.prepare_payload();
            return request;
        }

        void newParser()
        {
            parser_.emplace();
            // Beast 1.74 compares the length with an empty optional, so without a limit it would reject every body.
            parser_->body_limit(std::numeric_limits<uint64_t>::max());
        }

        /** Discards the rest of a response to another request; the deadline of this request keeps running. */
        Result<void> skipBody()
        {
            // Without keep-alive the connection ends with this response.
            if (!parser_->keep_alive())
                return tl::unexpected(makeError(ErrorKind::TargetFailed, "the connection ends with a response to another request"));
            std::array<char, readBytes> bytes;
            size_t skipped = 0;
            while (!parser_->is_done()) {
                parser_->get().body().data = bytes.data();
                parser_->get().body().size = bytes.size();
                auto read = awaitIo([&](auto handler) { http::async_read_some(connection_->socket, connection_->buffer, *parser_, handler); });
                if (read.error && read.error != http::error::need_buffer)
                    return tl::unexpected(failure(read.error));
                skipped += bytes.size() - parser_->get().body().size;
                if (skipped > maxSkippedBytes)
                    return tl::unexpected(makeError(ErrorKind::TargetFailed, "a response to another request exceeds the size limit"));
            }
            newParser();
            return {};
        }

        void finish()
        {
            if (!connection_)
                return;
            // The server may still take bytes of a request that it has answered early for the next one.
            bool isRequestReceived = writer_->isWritten() && connection_->isAllAcknowledged();
            if (parser_->keep_alive() && !isCancelled_ && isOwnerKnown_ && isRequestReceived)
                idleConnections_->release(address_, std::move(connection_), allowedIdleTime(findHeader(headers_, "Keep-Alive")));
            else
                connection_->close();
            connection_ = nullptr;
        }

        [[nodiscard]] bool reserveBufferFor(size_t bodyBytes)
        {
            size_t needed = bodyBytes > unreservedBodyBytes ? bodyBytes - unreservedBodyBytes : 0;
            if (needed <= reservedBytes_)
                return true;
            if (!bufferBudget_->reserve(needed - reservedBytes_))
                return false;
            reservedBytes_ = needed;
            return true;
        }

        [[nodiscard]] Error failure(boost::system::error_code error = {}) const
        {
            if (isCancelled_)
                return makeError(ErrorKind::CallerLeft, "the request was cancelled");
            if (connection_ && connection_->deadline.hasExpired())
                return makeError(ErrorKind::TargetTimeout, "no response in time from " + address_.text());
            return makeError(isClosedByPeer(error) ? ErrorKind::TargetClosed : ErrorKind::TargetFailed, "connection to " + address_.text() + " broke: " + error.message());
        }

        std::shared_ptr<ClientConnection> connection_;
        Instant connectionOpenedAt_;
        bool isReused_;
        std::shared_ptr<IdleConnections> idleConnections_;
        std::shared_ptr<BufferBudget> bufferBudget_;
        ServerAddress address_;
        size_t maxResponseBytes_;
        /** Bytes that this call has reserved in bufferBudget_. */
        size_t reservedBytes_ { 0 };
        bool isOwnerKnown_ { true };
        std::shared_ptr<RequestWriter> writer_;
        std::optional<http::response_parser<http::buffer_body>> parser_;
        HttpHeaders headers_;
        bool isCancelled_ { false };
    };

}

struct HttpClient::Impl {
    Impl(Loop& loopToUse, const HttpClientSettings& settingsToUse)
        : loop(loopToUse)
        , settings(settingsToUse)
        , bufferBudget(std::make_shared<BufferBudget>(settings.maxBufferedBytes))
        , idleConnections(std::make_shared<IdleConnections>(loop))
    {
    }

    /** Read each time, since the limit of a running process can change. */
    [[nodiscard]] size_t maxConnections() const
    {
        if (settings.maxConnections > 0)
            return settings.maxConnections;
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return std::numeric_limits<size_t>::max();
        return static_cast<size_t>(settings.descriptorShare * static_cast<double>(limit.rlim_cur));
    }

    /** Opens a socket; closes idle connections if that is what it takes. */
    boost::system::error_code open(ClientConnection& connection, const tcp& protocol) const
    {
        boost::system::error_code error;
        do
            connection.socket.open(protocol, error);
        while (error == boost::asio::error::no_descriptors && idleConnections->closeLongestIdle());
        return error;
    }

    Result<std::shared_ptr<ClientConnection>> connect(const HttpCallSettings& settings) const
    {
        auto unreachable = [&](const std::string& why, ErrorKind kind = ErrorKind::TargetFailed) {
            Error error = makeError(kind, "cannot connect to " + settings.host + ":" + std::to_string(settings.port) + ": " + why);
            return tl::unexpected(withRan(std::move(error), Ran::No));
        };
        boost::system::error_code error;
        auto address = boost::asio::ip::make_address(settings.host, error);
        if (error)
            return unreachable(error.message());
        while (connectionCount->open >= maxConnections()) {
            if (!idleConnections->closeLongestIdle())
                return unreachable("all of this client's " + std::to_string(maxConnections()) + " connections are in use");
        }
        auto connection = std::make_shared<ClientConnection>(loop.context(), connectionCount);
        if (auto openError = open(*connection, address.is_v6() ? tcp::v6() : tcp::v4()))
            return unreachable(openError.message());
        connection->deadline.arm(settings.connectTimeout);
        auto result = awaitIo([&](auto handler) { connection->socket.async_connect(tcp::endpoint(address, settings.port), handler); });
        connection->deadline.disarm();
        if (result.error == boost::asio::error::connection_refused)
            return unreachable(result.error.message(), ErrorKind::TargetClosed);
        if (result.error)
            return unreachable(connection->deadline.hasExpired() ? "connect timeout" : result.error.message());
        boost::system::error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        return connection;
    }

    Loop& loop;
    HttpClientSettings settings;
    std::shared_ptr<BufferBudget> bufferBudget;
    std::shared_ptr<ConnectionCount> connectionCount { std::make_shared<ConnectionCount>() };
    std::shared_ptr<IdleConnections> idleConnections;
};

HttpClient::HttpClient(Loop& loop, HttpClientSettings settings)
    : impl_(std::make_shared<Impl>(loop, settings))
{
}

HttpClient::~HttpClient() = default;

Result<std::shared_ptr<HttpCall>> HttpClient::start(const HttpCallSettings& settings)
{
    ServerAddress address { settings.host, settings.port, settings.responseOwner != nullptr };
    auto impl = impl_;
    auto connection = settings.isReuseAllowed ? impl->idleConnections->acquire(address) : nullptr;
    bool isReused = connection != nullptr;
    if (!connection) {
        auto opened = impl->connect(settings);
        if (!opened)
            return tl::unexpected(opened.error());
        connection = *opened;
    }
    auto call = std::make_shared<BeastCall>(connection, isReused, impl->idleConnections, impl->bufferBudget, address, settings.maxResponseBytes);
    if (settings.onSending)
        settings.onSending(call);
    auto sent = call->send(settings);
    if (sent)
        return std::shared_ptr<HttpCall>(call);
    // GET has no effect on the server, so it may be sent again when a reused connection fails.
    if (isReused && settings.isResendAllowed && settings.method == "GET" && sent.error().kind == ErrorKind::TargetClosed) {
        auto retrySettings = settings;
        retrySettings.isReuseAllowed = false;
        return start(retrySettings);
    }
    return tl::unexpected(withRan(sent.error(), Ran::Unknown));
}

void HttpClient::closeIdleConnections(const std::function<bool(const std::string& host, uint16_t port)>& mayKeep)
{
    impl_->idleConnections->closeUnless([&](const ServerAddress& address) { return mayKeep(address.host, address.port); });
}

size_t HttpClient::idleConnections() const
{
    return impl_->idleConnections->size();
}

size_t HttpClient::openConnections() const
{
    return impl_->connectionCount->open;
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
