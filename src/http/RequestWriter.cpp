#include "http/RequestWriter.h"

#include <boost/beast/http/write.hpp>
#include <utility>

namespace briarhitch {

RequestWriter::RequestWriter(std::shared_ptr<ClientConnection> connection, Request request, SharedBody body)
    : connection_(std::move(connection))
    , request_(std::move(request))
    , body_(std::move(body))
    , serializer_(request_)
{
}

void RequestWriter::start()
{
    // Whoever reads the response sees that the connection broke, so an error is not reported from here.
    boost::beast::http::async_write(connection_->socket, serializer_, [self = shared_from_this()](boost::system::error_code error, size_t) {
        self->isWritten_ = !error;
        // A stream may last long after its request.
        if (!error) {
            self->request_.body() = {};
            self->body_ = SharedBody();
        }
        // A deadline of the reader cancels all operations of the socket, but a reader may go on after it.
        if (error == boost::asio::error::operation_aborted && self->connection_->socket.is_open())
            self->start();
    });
}

}
