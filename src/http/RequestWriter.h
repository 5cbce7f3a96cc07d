#pragma once

#include "http/ClientConnection.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

namespace briarhitch {

/** Writes one request, while its response may already be read. */
class RequestWriter : public std::enable_shared_from_this<RequestWriter> {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    RequestWriter(std::shared_ptr<ClientConnection> connection, Request request);

    void start();
    /** Whether the socket accepted the whole request. */
    [[nodiscard]] bool isWritten() const { return isWritten_; }

private:
    std::shared_ptr<ClientConnection> connection_;
    Request request_;
    boost::beast::http::request_serializer<boost::beast::http::string_body> serializer_;
    bool isWritten_ { false };
};

}
