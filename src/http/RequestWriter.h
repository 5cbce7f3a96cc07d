#pragma once

#include "briarhitch/http/SharedBody.h"
#include "http/ClientConnection.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <memory>

namespace briarhitch {

/** Writes one request, while its response may already be read. */
class RequestWriter : public std::enable_shared_from_this<RequestWriter> {
public:
    using Request = boost::beast::http::request<boost::beast::http::span_body<const char>>;

    /** The body of `request` refers to `body`, which is held until it is written. */
    RequestWriter(std::shared_ptr<ClientConnection> connection, Request request, SharedBody body);

    void start();
    /** Whether the socket accepted the whole request. */
    [[nodiscard]] bool isWritten() const { return isWritten_; }

private:
    std::shared_ptr<ClientConnection> connection_;
    Request request_;
    SharedBody body_;
    boost::beast::http::request_serializer<boost::beast::http::span_body<const char>> serializer_;
    bool isWritten_ { false };
};

}
