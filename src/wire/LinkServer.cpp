#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"
#include "wire/LinkConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <map>

namespace briarhitch {

namespace {

    using boost::asio::ip::tcp;
    using namespace std::chrono_literals;

    /** Connections that have not proved the fleet key yet; more are closed at once. */
    constexpr size_t maxHandshakes = 256;
    /** Pause after a failed accept, for example when file descriptors have run out. */
    constexpr Duration acceptRetryDelay = 100ms;

}

struct LinkServer::Impl : std::enable_shared_from_this<LinkServer::Impl> {
    Impl(Loop& loopToUse, LinkSettings settingsToUse, LinkHooks hooksToUse)
        : loop(loopToUse)
        , acceptor(loopToUse.context())
        , settings(std::move(settingsToUse))
        , hooks(std::move(hooksToUse))
    {
    }

    void acceptUntilClosed()
    {
        while (!closed) {
            tcp::socket socket(loop.context());
            auto accepted = awaitIo([&](auto handler) { acceptor.async_accept(socket, handler); });
            if (closed)
                return;
            if (accepted.error) {
                sleepFor(loop, acceptRetryDelay);
                continue;
            }
            if (handshakes >= maxHandshakes)
                continue;
            auto connection = std::make_shared<LinkConnection>(loop, std::move(socket), settings, hooks, LinkId(nextLink++));
            loop.spawn([self = shared_from_this(), connection] { self->serve(connection); });
        }
    }

    void serve(const std::shared_ptr<LinkConnection>& connection)
    {
        ++handshakes;
        auto proved = connection->handshake(true);
        --handshakes;
        if (!proved || closed) {
            connection->close();
            return;
        }
        auto peer = connection->peer();
        links.emplace(peer.link, connection);
        if (hooks.onOpen)
            hooks.onOpen(peer);
        connection->readUntilClosed();
        links.erase(peer.link);
        if (hooks.onClosed)
            hooks.onClosed(peer);
    }

    Loop& loop;
    tcp::acceptor acceptor;
    LinkSettings settings;
    LinkHooks hooks;
    std::map<LinkId, std::shared_ptr<LinkConnection>> links;
    uint64_t nextLink { 1 };
    size_t handshakes { 0 };
    bool closed { false };
};

LinkServer::LinkServer(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

LinkServer::~LinkServer()
{
    close();
}

Result<std::unique_ptr<LinkServer>> LinkServer::listen(Loop& loop, const std::string& host, uint16_t port, LinkSettings settings, LinkHooks hooks)
{
    auto impl = std::make_shared<Impl>(loop, std::move(settings), std::move(hooks));
    boost::system::error_code error;
    tcp::endpoint endpoint(boost::asio::ip::make_address(host, error), port);
    if (!error)
        impl->acceptor.open(endpoint.protocol(), error);
    if (!error)
        impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        impl->acceptor.bind(endpoint, error);
    if (!error)
        impl->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable, "cannot listen on " + host + ":" + std::to_string(port) + ": " + error.message());
    loop.spawn([impl] { impl->acceptUntilClosed(); });
    return std::unique_ptr<LinkServer>(new LinkServer(impl));
}

uint16_t LinkServer::port() const
{
    boost::system::error_code ignored;
    return impl_->acceptor.local_endpoint(ignored).port();
}

Result<std::string> LinkServer::call(LinkId link, MessageType type, std::string body, Duration timeout)
{
    auto it = impl_->links.find(link);
    if (it == impl_->links.end())
        return fail(ErrorKind::Unavailable, "link is closed");
    auto connection = it->second;
    return connection->call(type, std::move(body), timeout);
}

void LinkServer::post(LinkId link, MessageType type, std::string body)
{
    auto it = impl_->links.find(link);
    if (it != impl_->links.end())
        it->second->post(type, std::move(body));
}

void LinkServer::close()
{
    if (impl_->closed)
        return;
    impl_->closed = true;
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
    auto links = impl_->links;
    for (auto& [id, connection] : links)
        connection->close();
}

}
