#include "briarhitch/http/HttpServer.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Guard.h"
#include "briarhitch/runtime/Loop.h"
#include "http/HttpConnection.h"
#include "runtime/TcpListener.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace briarhitch {

namespace {

    const Log& httpLog()
    {
        static const Log log("http:");
        return log;
    }

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
        // The header has whole seconds; the body has the exact time.
        auto seconds = static_cast<int64_t>(std::ceil(toSeconds(*error.retryAfter)));
        headers.emplace_back("Retry-After", std::to_string(std::max<int64_t>(seconds, 1)));
    }
    return exchange.send(errorInfo(error.kind).httpStatus, headers, errorToJson(error));
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(Loop& loopToUse, HttpServerSettings settingsToUse, Handler handlerToUse, std::shared_ptr<TcpListener> listenerToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , listener(std::move(listenerToUse))
    {
        handler = [this, inner = std::move(handlerToUse)](const HttpRequest& request, HttpExchange& exchange) {
            ++running;
            runGuarded(httpLog(), "a request", [&] { inner(request, exchange); });
            --running;
        };
    }

    void serve(boost::asio::ip::tcp::socket socket)
    {
        if (connections.size() >= settings.maxConnections)
            return;
        auto connection = std::make_shared<HttpConnection>(std::move(socket), settings, handler);
        if (isClosing)
            connection->announceClose();
        if (isDraining)
            connection->drain();
        connections.insert(connection);
        loop.spawn([self = shared_from_this(), connection] {
            runGuarded(httpLog(), "a connection", [&] { connection->serve(); });
            self->connections.erase(connection);
        });
    }

    void announceClose()
    {
        isClosing = true;
        for (const auto& connection : connections)
            connection->announceClose();
    }

    void drain()
    {
        if (listener->isClosed())
            return;
        isDraining = true;
        for (const auto& connection : connections)
            connection->drain();
        listener->closeAfterBacklog();
    }

    Loop& loop;
    HttpServerSettings settings;
    std::shared_ptr<TcpListener> listener;
    Handler handler;
    std::set<std::shared_ptr<HttpConnection>> connections;
    size_t running { 0 };
    bool isClosing { false };
    bool isDraining { false };
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
    auto listener = TcpListener::listen(loop, settings.host, settings.port);
    if (!listener)
        return tl::unexpected(listener.error());
    auto impl = std::make_shared<Impl>(loop, settings, std::move(handler), *listener);
    (*listener)->start([impl](boost::asio::ip::tcp::socket socket) { impl->serve(std::move(socket)); });
    return std::unique_ptr<HttpServer>(new HttpServer(impl));
}

uint16_t HttpServer::port() const
{
    return impl_->listener->port();
}

size_t HttpServer::requestsRunning() const
{
    return impl_->running;
}

size_t HttpServer::connectionCount() const
{
    return impl_->connections.size();
}

size_t HttpServer::activeConnections() const
{
    const auto& connections = impl_->connections;
    return static_cast<size_t>(std::count_if(connections.begin(), connections.end(), [](const auto& connection) { return !connection->isIdle(); }));
}

void HttpServer::announceClose()
{
    impl_->announceClose();
}

void HttpServer::drain()
{
    impl_->drain();
}

}
