#include "http/ClientConnection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace briarhitch {

using boost::asio::ip::tcp;

ClientConnection::ClientConnection(boost::asio::io_context& io, std::shared_ptr<ConnectionCount> openCount)
    : socket(io)
    , deadline(socket)
    , count_(std::move(openCount))
{
    ++count_->open;
}

ClientConnection::~ClientConnection()
{
    close();
}

bool ClientConnection::isUsable()
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

bool ClientConnection::isAllAcknowledged()
{
    int bytes = 0;
    // Where the system does not tell, what the socket accepted counts as delivered.
    return ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

bool ClientConnection::hasOrderlyEnd()
{
    // A pending write may have taken the error of a reset, and a read then sees an end of file. The state tells them apart.
    tcp_info info {};
    socklen_t size = sizeof(info);
    bool isKnown = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // Without the state, an end of file that follows a complete write is all there is to go by.
    bool isUnknown = !isKnown || info.tcpi_state == 0;
    return (isUnknown || info.tcpi_state == TCP_CLOSE_WAIT) && isAllAcknowledged();
}

void ClientConnection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
    if (count_)
        --count_->open;
    count_.reset();
}

}
