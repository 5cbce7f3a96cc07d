#include "runtime/TcpListener.h"

#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

namespace briarhitch {

namespace {

    using boost::asio::ip::tcp;
    using namespace std::chrono_literals;

    /** Pause after a failed accept, for example when file descriptors have run out. */
    constexpr Duration acceptRetryDelay = 100ms;
    /** Upper bound of the kernel's backlog of connections that are not accepted yet. */
    constexpr int maxBacklog = 4096;

}

TcpListener::TcpListener(Loop& loop)
    : loop_(loop)
    , acceptor_(loop.context())
{
}

Result<std::shared_ptr<TcpListener>> TcpListener::listen(Loop& loop, const std::string& host, uint16_t port)
{
    std::shared_ptr<TcpListener> listener(new TcpListener(loop));
    auto& acceptor = listener->acceptor_;
    boost::system::error_code error;
    tcp::endpoint endpoint(boost::asio::ip::make_address(host, error), port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return fail(ErrorKind::Unavailable, "cannot listen on " + host + ":" + std::to_string(port) + ": " + error.message());
    listener->port_ = acceptor.local_endpoint(error).port();
    return listener;
}

void TcpListener::start(SocketHook onAccepted)
{
    onAccepted_ = std::move(onAccepted);
    loop_.spawn([self = shared_from_this()] { self->acceptUntilClosed(); });
}

void TcpListener::acceptUntilClosed()
{
    while (!isClosed_) {
        tcp::socket socket(loop_.context());
        auto accepted = awaitIo([&](auto handler) { acceptor_.async_accept(socket, handler); });
        if (!accepted.error)
            onAccepted_(std::move(socket));
        else if (!isClosed_)
            sleepFor(loop_, acceptRetryDelay);
    }
    // The hook may hold a reference to the owner of this listener.
    onAccepted_ = nullptr;
}

void TcpListener::closeAfterBacklog()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    for (int accepted = 0; !error && accepted < maxBacklog; ++accepted) {
        tcp::socket socket(loop_.context());
        acceptor_.accept(socket, error);
        if (!error)
            onAccepted_(std::move(socket));
    }
    acceptor_.close(error);
}

void TcpListener::close()
{
    isClosed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

}
