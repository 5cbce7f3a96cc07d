#include "http/ClientConnection.h"

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

void ClientConnection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
    if (count_)
        --count_->open;
    count_.reset();
}

}
