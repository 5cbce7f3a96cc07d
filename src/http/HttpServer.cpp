#include "briarhitch/http/HttpServer.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/http/CallerMemory.h"
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

    /** The budget of a server that is not part of a process with a budget. */
    constexpr MemoryLimits separateLimits { size_t { 1 } << 30, size_t { 1 } << 27 };

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

/** Connections that were closed to make room, and whose fibers have not ended yet. */
constexpr size_t maxEndingConnections = 16;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(Loop& loopToUse, HttpServerSettings settingsToUse, Handler handlerToUse, std::shared_ptr<TcpListener> listenerToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , listener(std::move(listenerToUse))
    {
        if (!settings.memory)
            settings.memory = std::make_shared<CallerMemory>(separateLimits);
        handler = [this, inner = std::move(handlerToUse)](const HttpRequest& request, HttpExchange& exchange) {
            ++running;
            runGuarded(httpLog(), "a request", [&] { inner(request, exchange); });
            --running;
        };
        idleId = settings.memory->addIdleConnections([this] { return closeLongestIdle(); });
    }
    ~Impl() { settings.memory->removeIdleConnections(idleId); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void serve(boost::asio::ip::tcp::socket socket)
    {
        auto charge = settings.memory->makeCharge(MemoryPurpose::Connection);
        if (!makeRoom(charge)) {
            settings.memory->countClosed("no_room");
            return;
        }
        auto connection = std::make_shared<HttpConnection>(std::move(socket), settings, handler, std::move(charge));
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

    /** For one more connection. Closes the longest idle connection, or one whose request stands still, if need be. */
    bool makeRoom(MemoryCharge& charge)
    {
        // Connections that are closed here stay in `connections` until their fibers have ended.
        if (connections.size() >= settings.maxConnections + maxEndingConnections)
            return false;
        if (connections.size() >= settings.maxConnections && !closeLongestIdle() && !settings.memory->evictOne())
            return false;
        while (!charge.grow(HttpConnection::ownBytes, true)) {
            if (!closeLongestIdle() && !settings.memory->closeOne())
                return false;
        }
        return true;
    }

    bool closeLongestIdle()
    {
        HttpConnection* longest = nullptr;
        for (const auto& connection : connections) {
            if (!connection->isEvicted() && connection->isIdle() && (longest == nullptr || connection->idleSince() < longest->idleSince()))
                longest = connection.get();
        }
        if (longest == nullptr)
            return false;
        settings.memory->countClosed("idle");
        longest->evict();
        return true;
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
    uint64_t idleId { 0 };
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
