#include "briarhitch/core/Random.h"
#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"
#include "wire/ConnectBackoff.h"
#include "wire/LinkConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

namespace briarhitch {

namespace {

    using boost::asio::ip::tcp;

}

struct LinkClient::Impl : std::enable_shared_from_this<LinkClient::Impl> {
    Impl(Loop& loopToUse, std::string hostToUse, uint16_t portToUse, LinkSettings settingsToUse, LinkHooks hooksToUse)
        : loop(loopToUse)
        , host(std::move(hostToUse))
        , port(portToUse)
        , settings(std::move(settingsToUse))
        , hooks(std::move(hooksToUse))
        , opened(loopToUse)
        , random(systemSeed())
    {
    }

    void connectUntilClosed()
    {
        Instant downSince = BootClock::now();
        while (!closed) {
            if (auto candidate = connect(ConnectBackoff::after(BootClock::now() - downSince).timeout)) {
                serve(candidate);
                downSince = BootClock::now();
            }
            if (closed)
                return;
            auto pause = ConnectBackoff::after(BootClock::now() - downSince).pause;
            // Jitter keeps the nodes of a fleet from connecting to a restarted process all at once.
            sleepFor(loop, pause / 2 + Duration(random.below(static_cast<uint64_t>(pause.count()))));
        }
    }

    std::shared_ptr<LinkConnection> connect(Duration timeout)
    {
        boost::system::error_code error;
        auto address = boost::asio::ip::make_address(host, error);
        if (error)
            return nullptr;
        auto socket = std::make_shared<tcp::socket>(loop.context());
        auto connected = std::make_shared<bool>(false);
        loop.after(timeout, [socket, connected] {
            boost::system::error_code ignored;
            if (!*connected)
                socket->close(ignored);
        });
        auto result = awaitIo([&](auto handler) { socket->async_connect(tcp::endpoint(address, port), handler); });
        *connected = true;
        if (result.error || closed)
            return nullptr;
        auto candidate = std::make_shared<LinkConnection>(loop, std::move(*socket), settings, hooks, LinkId(nextLink++));
        if (!candidate->handshake(false)) {
            candidate->close();
            return nullptr;
        }
        return candidate;
    }

    void serve(const std::shared_ptr<LinkConnection>& newConnection)
    {
        if (closed) {
            newConnection->close();
            return;
        }
        connection = newConnection;
        opened.set();
        if (hooks.onOpen)
            hooks.onOpen(newConnection->peer());
        newConnection->readUntilClosed();
        connection = nullptr;
        opened.reset();
        if (hooks.onClosed)
            hooks.onClosed(newConnection->peer());
    }

    Loop& loop;
    std::string host;
    uint16_t port;
    LinkSettings settings;
    LinkHooks hooks;
    FiberEvent opened;
    Random random;
    std::shared_ptr<LinkConnection> connection;
    uint64_t nextLink { 1 };
    bool closed { false };
};

LinkClient::LinkClient(Loop& loop, std::string host, uint16_t port, LinkSettings settings, LinkHooks hooks)
    : impl_(std::make_shared<Impl>(loop, std::move(host), port, std::move(settings), std::move(hooks)))
{
    loop.spawn([impl = impl_] { impl->connectUntilClosed(); });
}

LinkClient::~LinkClient()
{
    close();
}

bool LinkClient::isOpen() const
{
    return impl_->connection && !impl_->connection->isClosed();
}

bool LinkClient::waitOpen(Duration timeout)
{
    auto impl = impl_;
    return impl->opened.waitFor(timeout);
}

Result<std::string> LinkClient::call(MessageType type, std::string body, Duration timeout)
{
    auto connection = impl_->connection;
    if (!connection)
        return fail(ErrorKind::Unavailable, "link is closed");
    return connection->call(type, std::move(body), timeout);
}

bool LinkClient::post(MessageType type, std::string body)
{
    if (!isOpen())
        return false;
    impl_->connection->post(type, std::move(body));
    return true;
}

void LinkClient::close()
{
    if (impl_->closed)
        return;
    impl_->closed = true;
    if (auto connection = impl_->connection)
        connection->close();
}

}
