#include "briarhitch/http/HttpServer.h"

#include "briarhitch/runtime/Loop.h"
#include "http/HttpConnection.h"
#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <cmath>
#include <set>

namespace briarhitch {

namespace {

    using boost::asio::ip::tcp;
    using namespace std::chrono_literals;

    /** Pause after a failed accept, for example when file descriptors have run out. */
    constexpr Duration acceptRetryDelay = 100ms;

    bool equalIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

}

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalIgnoringCase(key, name))
            return value;
    }
    return {};
}

bool sendError(HttpExchange& exchange, const Error& error, HttpHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    if (error.retryAfter) {
        // The header counts whole seconds; the body has the exact time.
        auto seconds = static_cast<int64_t>(std::ceil(toSeconds(*error.retryAfter)));
        headers.emplace_back("Retry-After", std::to_string(std::max<int64_t>(seconds, 1)));
    }
    return exchange.send(errorInfo(error.kind).httpStatus, headers, errorToJson(error));
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(Loop& loopToUse, HttpServerSettings settingsToUse, Handler handlerToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , acceptor(loopToUse.context())
    {
        handler = [this, inner = std::move(handlerToUse)](const HttpRequest& request, HttpExchange& exchange) {
            ++running;
            inner(request, exchange);
            --running;
        };
    }

    void acceptUntilClosed()
    {
        while (!isClosed) {
            tcp::socket socket(loop.context());
            auto accepted = awaitIo([&](auto done) { acceptor.async_accept(socket, done); });
            if (isClosed)
                return;
            if (accepted.error) {
                sleepFor(loop, acceptRetryDelay);
                continue;
            }
            if (connections.size() >= settings.maxConnections)
                continue;
            auto connection = std::make_shared<HttpConnection>(std::move(socket), settings, handler);
            connections.insert(connection);
            loop.spawn([self = shared_from_this(), connection] {
                connection->serve();
                self->connections.erase(connection);
            });
        }
    }

    void drain()
    {
        if (isClosed)
            return;
        isClosed = true;
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto& connection : connections)
            connection->drain();
    }

    Loop& loop;
    HttpServerSettings settings;
    tcp::acceptor acceptor;
    Handler handler;
    std::set<std::shared_ptr<HttpConnection>> connections;
    size_t running { 0 };
    bool isClosed { false };
};

HttpServer::HttpServer(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    impl_->drain();
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(Loop& loop, const HttpServerSettings& settings, Handler handler)
{
    auto impl = std::make_shared<Impl>(loop, settings, std::move(handler));
    boost::system::error_code error;
    tcp::endpoint endpoint(boost::asio::ip::make_address(settings.host, error), settings.port);
    if (!error)
        impl->acceptor.open(endpoint.protocol(), error);
    if (!error)
        impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        impl->acceptor.bind(endpoint, error);
    if (!error)
        impl->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable, "cannot listen on " + settings.host + ":" + std::to_string(settings.port) + ": " + error.message());
    loop.spawn([impl] { impl->acceptUntilClosed(); });
    return std::unique_ptr<HttpServer>(new HttpServer(impl));
}

uint16_t HttpServer::port() const
{
    boost::system::error_code ignored;
    return impl_->acceptor.local_endpoint(ignored).port();
}

size_t HttpServer::requestsRunning() const
{
    return impl_->running;
}

void HttpServer::drain()
{
    impl_->drain();
}

}
