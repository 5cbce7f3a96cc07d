#include "process/TcpCutter.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <thread>

namespace briarhitch {

namespace {

    namespace asio = boost::asio;
    using Tcp = asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    constexpr size_t bufferBytes = 16 * 1024;

    /** One direction of a forwarded connection. */
    struct Direction {
        std::array<char, bufferBytes> buffer;
        bool isCut { false };
    };

    struct Connection {
        explicit Connection(asio::io_context& io)
            : caller(io)
            , target(io)
        {
        }
        Tcp::socket caller;
        Tcp::socket target;
        Direction towardsTarget;
        Direction towardsCaller;
        bool breaksAtNextBytes { false };
    };

    void reset(Tcp::socket& socket)
    {
        ErrorCode ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void resetBoth(Connection& connection)
    {
        reset(connection.caller);
        reset(connection.target);
    }

}

struct TcpCutter::Impl {
    explicit Impl(uint16_t port)
        : targetPort(port)
    {
        accept();
        thread = std::thread([this] { io.run(); });
    }

    void accept()
    {
        auto connection = std::make_shared<Connection>(io);
        acceptor.async_accept(connection->caller, [this, connection](ErrorCode error) {
            if (error)
                return;
            open(connection);
            accept();
        });
    }

    void open(const std::shared_ptr<Connection>& connection)
    {
        ErrorCode error;
        connection->target.connect({ asio::ip::address_v4::loopback(), targetPort }, error);
        if (error)
            return;
        connection->towardsTarget.isCut = cutsTowardsTarget;
        connection->towardsCaller.isCut = cutsTowardsCaller;
        connections.push_back(connection);
        forward(connection, connection->caller, connection->target, connection->towardsTarget);
        forward(connection, connection->target, connection->caller, connection->towardsCaller);
    }

    void forward(const std::shared_ptr<Connection>& connection, Tcp::socket& from, Tcp::socket& to, Direction& direction)
    {
        from.async_read_some(asio::buffer(direction.buffer), [=, this, &from, &to, &direction](ErrorCode error, size_t size) {
            // A close is lost like any other message of a path that is cut.
            if (direction.isCut) {
                if (!error)
                    forward(connection, from, to, direction);
                return;
            }
            ErrorCode ignored;
            if (error) {
                to.shutdown(Tcp::socket::shutdown_send, ignored);
                return;
            }
            if (connection->breaksAtNextBytes) {
                asio::async_write(to, asio::buffer(direction.buffer, size / 2), [connection](ErrorCode, size_t) { resetBoth(*connection); });
                return;
            }
            if (delayTime.count() == 0) {
                pass(connection, from, to, direction, size);
                return;
            }
            auto timer = std::make_shared<asio::steady_timer>(io, delayTime);
            timer->async_wait([=, this, &from, &to, &direction](ErrorCode) { pass(connection, from, to, direction, size); });
        });
    }

    void pass(const std::shared_ptr<Connection>& connection, Tcp::socket& from, Tcp::socket& to, Direction& direction, size_t size)
    {
        asio::async_write(to, asio::buffer(direction.buffer, size), [=, this, &from, &to, &direction](ErrorCode writeError, size_t) {
            ErrorCode closed;
            if (writeError)
                from.close(closed);
            else
                forward(connection, from, to, direction);
        });
    }

    /** Runs the change in the forwarder's thread and waits until it is done. */
    void apply(const std::function<void()>& change)
    {
        std::promise<void> done;
        asio::post(io, [&] {
            change();
            done.set_value();
        });
        done.get_future().wait();
    }

    asio::io_context io;
    Tcp::acceptor acceptor { io, { asio::ip::address_v4::loopback(), 0 } };
    uint16_t targetPort;
    bool cutsTowardsTarget { false };
    bool cutsTowardsCaller { false };
    std::chrono::milliseconds delayTime { 0 };
    std::list<std::shared_ptr<Connection>> connections;
    std::thread thread;
};

TcpCutter::TcpCutter(uint16_t targetPort)
    : impl_(std::make_unique<Impl>(targetPort))
{
}

TcpCutter::~TcpCutter()
{
    impl_->io.stop();
    impl_->thread.join();
}

uint16_t TcpCutter::port() const
{
    return impl_->acceptor.local_endpoint().port();
}

void TcpCutter::cutOpenConnections(bool towardsTarget, bool towardsCaller)
{
    impl_->apply([=, this] {
        for (auto& connection : impl_->connections) {
            connection->towardsTarget.isCut |= towardsTarget;
            connection->towardsCaller.isCut |= towardsCaller;
        }
    });
}

void TcpCutter::cutAll(bool towardsTarget, bool towardsCaller)
{
    impl_->apply([=, this] {
        impl_->cutsTowardsTarget = towardsTarget;
        impl_->cutsTowardsCaller = towardsCaller;
    });
    cutOpenConnections(towardsTarget, towardsCaller);
}

void TcpCutter::heal()
{
    impl_->apply([this] { impl_->cutsTowardsTarget = impl_->cutsTowardsCaller = false; });
}

void TcpCutter::delay(std::chrono::milliseconds time)
{
    impl_->apply([=, this] { impl_->delayTime = time; });
}

void TcpCutter::resetOpenConnections()
{
    impl_->apply([this] {
        for (auto& connection : impl_->connections)
            resetBoth(*connection);
        impl_->connections.clear();
    });
}

void TcpCutter::breakOpenConnections()
{
    impl_->apply([this] {
        for (auto& connection : impl_->connections)
            connection->breaksAtNextBytes = true;
    });
}

}
