#pragma once

#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarhitch {

class HttpCall;

/** Whose request an answer belongs to, as its header tells. */
enum class ResponseOwner : uint8_t {
    ThisRequest,
    OtherRequest,
    /** The server names no request in its answers. */
    Unknown,
};

/** One request to an HTTP server. */
struct HttpCallSettings {
    std::string host;
    uint16_t port { 0 };
    std::string method { "GET" };
    /** Path with query. */
    std::string target { "/" };
    HttpHeaders headers;
    std::string body;
    Duration connectTimeout { std::chrono::seconds(1) };
    /** Time from sending to the answer's header. */
    Duration headerTimeout { std::chrono::seconds(30) };
    /** A kept connection may have been closed by the server just before; where a second sending is not allowed, use a new one. */
    bool isReuseAllowed { true };
    /** Of a body that readAll() collects. */
    size_t maxResponseBytes { 64 * 1024 * 1024 };
    /** Whether a GET may be sent again on a new connection if a kept one turns out to be closed. */
    bool isResendAllowed { true };
    /**
     * Tells whose answer has arrived. Answers to other requests are skipped. A connection is kept only if the answer was
     * known to be this request's, since a late second copy could not be told from the next answer. Without this hook
     * every answer is taken for this request's.
     */
    std::function<ResponseOwner(const HttpHeaders&)> responseOwner;
    /** Called just before the first byte is sent, so that the call can be cancelled while start() still blocks. */
    std::function<void(const std::shared_ptr<HttpCall>&)> onSending;
};

/** An answer that is being read. */
class HttpCall {
public:
    virtual ~HttpCall() = default;

    [[nodiscard]] virtual int status() const = 0;
    [[nodiscard]] virtual const HttpHeaders& headers() const = 0;
    /**
     * The next bytes of the body as they arrive; none at its orderly end. TargetTimeout if nothing
     * arrived in time; TargetFailed if the connection broke; CallerLeft after cancel().
     */
    virtual Result<std::optional<std::string>> read(Duration timeout) = 0;
    /** All that is left of the body; TargetTimeout if it is not complete after `timeout`, however its bytes arrive. */
    virtual Result<std::string> readAll(Duration timeout) = 0;
    /** Closes the connection; a fiber blocked in read() returns. May be called from any fiber or hook. */
    virtual void cancel() = 0;
};

struct HttpClientSettings {
    /** Bytes of bodies that all calls together may collect with readAll(), beside the first 64 KiB of each. */
    size_t maxBufferedBytes { 12 * 1024 * 1024 };
};

/** HTTP/1.1 client that keeps idle connections for reuse. What a server sends without end takes bounded memory. */
class HttpClient {
public:
    explicit HttpClient(Loop& loop, HttpClientSettings settings = {});
    ~HttpClient();

    /**
     * Sends the request and blocks the calling fiber until the answer's header is there. The error's
     * `ran` is No only if no byte of the request can have reached the server.
     */
    Result<std::shared_ptr<HttpCall>> start(const HttpCallSettings& settings);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

struct HttpResponse {
    int status { 0 };
    HttpHeaders headers;
    std::string body;
};

/** Sends a request and reads the whole answer. */
Result<HttpResponse> fetch(HttpClient& client, const HttpCallSettings& settings);

}
