#include "briarhitch/runtime/Loop.h"
#include "runtime/TcpListener.h"
#include "wire/LinkConnection.h"

#include <map>

namespace briarhitch {

namespace {

    /** Limit of connections in the handshake; further ones are closed at once. */
    constexpr size_t maxPendingHandshakes = 256;
}

struct LinkServer::Impl : std::enable_shared_from_this<LinkServer::Impl> {
    Impl(Loop& loopToUse, LinkSettings settingsToUse, LinkHooks hooksToUse, std::shared_ptr<TcpListener> listenerToUse)
        : loop(loopToUse)
        , listener(std::move(listenerToUse))
        , settings(std::move(settingsToUse))
        , hooks(std::move(hooksToUse))
    {
    }

    void accept(boost::asio::ip::tcp::socket socket)
    {
        if (pendingHandshakes >= maxPendingHandshakes)
            return;
        auto connection = std::make_shared<LinkConnection>(loop, std::move(socket), settings, hooks, LinkId(nextLink++));
        loop.spawn([self = shared_from_this(), connection] { self->serve(connection); });
    }

    void serve(const std::shared_ptr<LinkConnection>& connection)
    {
        ++pendingHandshakes;
        auto authenticated = connection->handshake(true);
        --pendingHandshakes;
        if (!authenticated || listener->isClosed()) {
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
    std::shared_ptr<TcpListener> listener;
    LinkSettings settings;
    LinkHooks hooks;
    std::map<LinkId, std::shared_ptr<LinkConnection>> links;
    uint64_t nextLink { 1 };
    size_t pendingHandshakes { 0 };
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
    auto listener = TcpListener::listen(loop, host, port);
    if (!listener)
        return tl::unexpected(listener.error());
    auto impl = std::make_shared<Impl>(loop, std::move(settings), std::move(hooks), *listener);
    (*listener)->start([impl](boost::asio::ip::tcp::socket socket) { impl->accept(std::move(socket)); });
    return std::unique_ptr<LinkServer>(new LinkServer(impl));
}

uint16_t LinkServer::port() const
{
    return impl_->listener->port();
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

void LinkServer::postToAll(LinkRole role, MessageType type, const std::string& body)
{
    for (const auto& [id, connection] : impl_->links) {
        if (connection->peer().identity.role == role)
            connection->post(type, body);
    }
}

void LinkServer::close()
{
    if (impl_->listener->isClosed())
        return;
    impl_->listener->close();
    auto links = impl_->links;
    for (auto& [id, connection] : links)
        connection->close();
}

}
