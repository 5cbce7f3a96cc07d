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
    loop_.spawn([self = shared_from_this(), onAccepted = std::move(onAccepted)] { self->acceptUntilClosed(onAccepted); });
}

void TcpListener::acceptUntilClosed(const SocketHook& onAccepted)
{
    while (!isClosed_) {
        tcp::socket socket(loop_.context());
        auto accepted = awaitIo([&](auto handler) { acceptor_.async_accept(socket, handler); });
        if (isClosed_)
            return;
        if (accepted.error)
            sleepFor(loop_, acceptRetryDelay);
        else
            onAccepted(std::move(socket));
    }
}

void TcpListener::close()
{
    isClosed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

}
