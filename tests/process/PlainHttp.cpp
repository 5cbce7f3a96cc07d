#include "process/PlainHttp.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace briarhitch {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using Tcp = asio::ip::tcp;

    constexpr std::chrono::seconds sendBound { 5 };
    constexpr uint64_t maxBodyBytes = 64ULL * 1024 * 1024;

    Tcp::endpoint loopback(uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

}

struct PlainCall::Impl {
    asio::io_context io;
    beast::tcp_stream stream { io };
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code error;

    /** Runs one asynchronous operation to its end; only those obey the stream's time limit. */
    template <class Start>
    void run(std::chrono::milliseconds bound, Start start)
    {
        if (error)
            return;
        stream.expires_after(bound);
        start([this](beast::error_code result, auto...) { error = result; });
        io.restart();
        io.run();
    }
};

PlainCall::PlainCall(uint16_t port, const PlainRequest& request)
    : impl_(std::make_unique<Impl>())
{
    impl_->parser.body_limit(maxBodyBytes);
    http::request<http::string_body> message(http::string_to_verb(request.method), request.path, 11);
    message.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    impl_->run(sendBound, [&](auto handler) { impl_->stream.async_connect(loopback(port), handler); });
    impl_->run(sendBound, [&](auto handler) { http::async_write(impl_->stream, message, handler); });
}

PlainCall::~PlainCall() = default;
PlainCall::PlainCall(PlainCall&&) noexcept = default;

bool PlainCall::readAtLeast(size_t bodyBytes)
{
    while (!impl_->error && !impl_->parser.is_done() && impl_->parser.get().body().size() < bodyBytes)
        impl_->run(std::chrono::seconds(30), [&](auto handler) { http::async_read_some(impl_->stream, impl_->buffer, impl_->parser, handler); });
    return impl_->parser.get().body().size() >= bodyBytes;
}

PlainAnswer PlainCall::finish(std::chrono::milliseconds bound)
{
    while (!impl_->error && !impl_->parser.is_done())
        impl_->run(bound, [&](auto handler) { http::async_read_some(impl_->stream, impl_->buffer, impl_->parser, handler); });
    PlainAnswer answer;
    answer.isWhole = impl_->parser.is_done();
    if (!impl_->parser.is_header_done())
        return answer;
    const auto& message = impl_->parser.get();
    answer.status = message.result_int();
    for (const auto& field : message)
        answer.headers[std::string(field.name_string())] = std::string(field.value());
    answer.body = message.body();
    return answer;
}

PlainAnswer callPlain(uint16_t port, const PlainRequest& request, std::chrono::milliseconds bound)
{
    return PlainCall(port, request).finish(bound);
}

bool sendGarbage(uint16_t port, const std::string& bytes, std::chrono::milliseconds bound)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::error_code error;
    std::string answer(4096, '\0');
    stream.socket().connect(loopback(port), error);
    if (error)
        return false;
    asio::write(stream.socket(), asio::buffer(bytes), error);
    stream.expires_after(bound);
    std::function<void()> readOn = [&] {
        stream.async_read_some(asio::buffer(answer), [&](beast::error_code result, size_t) {
            error = result;
            if (!error)
                readOn();
        });
    };
    readOn();
    io.run();
    return error != beast::error::timeout;
}

}
