#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/http/SharedBody.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarhitch {

class CallerMemory;
class Loop;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Value of the first header with this name, compared without case; empty if there is none. */
std::string_view findHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
    std::string method;
    /** Path without the query. */
    std::string path;
    /** After the '?'; empty if there is none. */
    std::string query;
    HttpHeaders headers;
    SharedBody body;
    /** IP address of the caller. */
    std::string peer;

    [[nodiscard]] std::string_view header(std::string_view name) const { return findHeader(headers, name); }
};

/** Sends the response to one request; used in the fiber of the handler. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    /** Sends a complete response; false if the caller has disconnected. `body` must not change until then; it is not copied. */
    virtual bool send(int status, const HttpHeaders& headers, std::string_view body) = 0;
    /** Starts a chunked response. */
    virtual bool beginStream(int status, const HttpHeaders& headers) = 0;
    /**
     * Sends the next bytes of the body and waits until the socket accepted them; false if the caller has disconnected.
     */
    virtual bool write(std::string_view part) = 0;
    virtual bool endStream() = 0;
    /**
     * Closes the connection without ending the response, so that the caller sees that it is incomplete. May be called from any fiber
     * or hook; a blocked write() returns false.
     */
    virtual void abort() = 0;
    [[nodiscard]] virtual bool isCallerDisconnected() const = 0;
    /**
     * The hook is called once, outside the handler's fiber, if the caller closes the connection before the response is
     * complete.
     */
    virtual void onCallerDisconnected(std::function<void()> hook) = 0;
};

struct HttpServerSettings {
    std::string host { "127.0.0.1" };
    /** 0 takes a free port. */
    uint16_t port { 0 };
    size_t maxHeaderBytes { 16 * 1024 };
    size_t maxBodyBytes { 4 * 1024 * 1024 };
    /** Time in which a caller must send header and body; received bytes of a body extend it by a second for each 32 KiB. */
    Duration readTimeout { std::chrono::seconds(10) };
    /** Time in which a caller must accept each write of the response. */
    Duration writeTimeout { std::chrono::seconds(30) };
    /** An idle connection is closed after this time. */
    Duration idleTimeout { std::chrono::seconds(60) };
    /** At this limit, the connection that has been idle longest is closed for a new one. */
    size_t maxConnections { 4096 };
    /** Shared by all servers of a process; a server without one has a large budget of its own. */
    std::shared_ptr<CallerMemory> memory;
};

/** HTTP/1.1 server; one fiber for each connection. */
class HttpServer {
public:
    /**
     * Time for which open connections may still deliver a request after drain(); one may be in transit on a new or
     * reused connection.
     */
    static constexpr Duration drainGracePeriod { std::chrono::milliseconds(400) };

    /** Runs in the connection's fiber and must send exactly one response. */
    using Handler = std::function<void(const HttpRequest&, HttpExchange&)>;

    /** Unavailable if the address cannot be bound. */
    static Result<std::unique_ptr<HttpServer>> listen(Loop& loop, const HttpServerSettings& settings, Handler handler);
    ~HttpServer();

    [[nodiscard]] uint16_t port() const;
    /** Requests whose handler is running. */
    [[nodiscard]] size_t requestsRunning() const;
    [[nodiscard]] size_t connectionCount() const;
    /** Connections with a request that is being read or handled. */
    [[nodiscard]] size_t activeConnections() const;
    /** Keeps serving, but sends "Connection: close" with every response. */
    void announceClose();
    /**
     * Accepts only connections that callers have opened already. Every request that has arrived, or arrives within
     * drainGracePeriod on an open connection, is handled and its response has "Connection: close"; then connections
     * close.
     */
    void drain();

private:
    struct Impl;
    explicit HttpServer(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> impl_;
};

/** Sends the error as JSON, with its HTTP status and Retry-After. */
bool sendError(HttpExchange& exchange, const Error& error, HttpHeaders headers = {});

}
