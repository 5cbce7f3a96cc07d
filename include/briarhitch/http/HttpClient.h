#pragma once

#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarhitch {

class HttpCall;

/** Which request a response belongs to, according to its headers. */
enum class ResponseOwner : uint8_t {
    ThisRequest,
    OtherRequest,
    /** The headers do not identify a request. */
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
    SharedBody body;
    Duration connectTimeout { std::chrono::seconds(1) };
    /** Time from sending the request until the response header has arrived. */
    Duration headerTimeout { std::chrono::seconds(30) };
    /**
     * Whether an idle connection may be reused. The server may have just closed it, so do not allow this where the
     * request must not be sent twice.
     */
    bool isReuseAllowed { true };
    /** Limit of the body that readAll() buffers. */
    size_t maxResponseBytes { 64 * 1024 * 1024 };
    /** Whether a GET may be sent again on a new connection if a reused one turns out to be closed. */
    bool isResendAllowed { true };
    /**
     * Tells which request a response belongs to. Responses to other requests are skipped. A connection is reused only
     * if its response was known to be for this request, since a late duplicate could not be told from the next
     * response. Without this hook every response is taken to be for this request.
     */
    std::function<ResponseOwner(const HttpHeaders&)> responseOwner;
    /** Called just before the first byte is sent, so that the call can be cancelled while start() still blocks. */
    std::function<void(const std::shared_ptr<HttpCall>&)> onSending;
};

/** A response that is being read. */
class HttpCall {
public:
    virtual ~HttpCall() = default;

    [[nodiscard]] virtual int status() const = 0;
    [[nodiscard]] virtual const HttpHeaders& headers() const = 0;
    /** Whether the response has neither a length nor chunks, so that only the end of its connection ends it. */
    [[nodiscard]] virtual bool endsWithConnection() const { return false; }
    /** Time since the connection was opened, which earlier calls may have used; zero if not known. */
    [[nodiscard]] virtual Duration connectionAge() const { return Duration::zero(); }
    /**
     * The next bytes of the body as they arrive; none at its regular end. TargetTimeout if nothing arrives within
     * `timeout`; TargetClosed if the server closes the connection; TargetFailed if the response is invalid; CallerLeft
     * after cancel().
     */
    virtual Result<std::optional<std::string>> read(Duration timeout) = 0;
    /** The rest of the body; TargetTimeout if it is not complete after `timeout`, even if bytes still arrive. */
    virtual Result<std::string> readAll(Duration timeout) = 0;
    /** Closes the connection; a fiber blocked in read() returns. May be called from any fiber or hook. */
    virtual void cancel() = 0;
};

struct HttpClientSettings {
    /** Bytes of bodies that all calls together may buffer in readAll(), beyond the first 64 KiB of each. */
    size_t maxBufferedBytes { 12 * 1024 * 1024 };
    /** Limit of open connections, idle ones included; 0 derives it from the process's descriptor limit. */
    size_t maxConnections { 0 };
    /** Part of the descriptor limit that connections of this client may take if maxConnections is 0. */
    double descriptorShare { 0.9 };
};

/**
 * HTTP/1.1 client with a pool of idle connections. An endless response takes bounded memory. At the limit of open
 * connections, the one that has been idle longest is closed for a new one.
 */
class HttpClient {
public:
    explicit HttpClient(Loop& loop, HttpClientSettings settings = {});
    ~HttpClient();

    /**
     * Sends the request and blocks the calling fiber until the response header has arrived. The error's `ran` is No
     * only if no byte of the request can have reached the server; its kind is then TargetClosed if the server refused the
     * connection.
     */
    Result<std::shared_ptr<HttpCall>> start(const HttpCallSettings& settings);
    /** Closes the idle connections to all servers that `mayKeep` rejects. */
    void closeIdleConnections(const std::function<bool(const std::string& host, uint16_t port)>& mayKeep);
    [[nodiscard]] size_t idleConnections() const;
    /** Connections that are being opened, in use or idle. */
    [[nodiscard]] size_t openConnections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

struct HttpResponse {
    int status { 0 };
    HttpHeaders headers;
    std::string body;
};

/** Sends a request and reads the complete response. */
Result<HttpResponse> fetch(HttpClient& client, const HttpCallSettings& settings);

}
