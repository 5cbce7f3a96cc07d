#include "briarhitch/entry/HttpFrontend.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/http/BearerKey.h"
#include "briarhitch/metrics/MetricRegistry.h"

#include <exception>

namespace briarhitch {

namespace {

    constexpr int okStatus = 200;
    constexpr int unavailableStatus = 503;
    constexpr std::string_view servicesPrefix = "/services/";
    constexpr std::string_view debugPrefix = "/debug/requests/";

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

    bool isLoopback(const std::string& address)
    {
        return address.starts_with("127.") || address == "::1" || address.starts_with("::ffff:127.");
    }

    bool isModelPath(const std::string& path)
    {
        return path == "/v1/chat/completions" || path == "/v1/completions";
    }

    HttpHeaders headersFor(RequestId id, const std::string& contentType)
    {
        return { { "Content-Type", contentType }, { "X-Request-Id", toString(id) } };
    }

}

HttpFrontend::HttpFrontend(HttpFrontendSettings settings, const ClusterView& view, const RequestHistory& history, MetricRegistry& metrics, HttpFrontendHooks hooks)
    : settings_(std::move(settings))
    , view_(view)
    , history_(history)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
    , random_(settings_.seed)
{
}

RequestId HttpFrontend::nextRequestId()
{
    auto value = random_.next();
    return RequestId(value == 0 ? 1 : value);
}

void HttpFrontend::handle(const HttpRequest& request, HttpExchange& exchange)
{
    auto id = nextRequestId();
    try {
        route(request, exchange, id);
    } catch (const std::exception&) {
        // One caller's input must not end the process for all others. The exception's text may quote the input, so it is not logged.
        entryLog().error("Request " + toString(id) + " failed with an unexpected exception.");
        metrics_.count("entry_exceptions_total");
        // Once a stream has started, no error can be sent; aborting the connection shows that the stream is incomplete.
        auto error = makeError(ErrorKind::Internal, "internal error; see the log of this node");
        if (!sendError(exchange, error, { { "X-Request-Id", toString(id) } }))
            exchange.abort();
    }
}

void HttpFrontend::route(const HttpRequest& request, HttpExchange& exchange, RequestId id)
{
    bool isGet = request.method == "GET";
    if (isGet && request.path == "/healthz")
        exchange.send(okStatus, headersFor(id, "text/plain"), "ok\n");
    else if (isGet && request.path == "/readyz")
        sendReadiness(exchange, id);
    else if (isGet && request.path == "/metrics")
        exchange.send(okStatus, headersFor(id, "text/plain; version=0.0.4"), metrics_.toPrometheusText());
    else if (isGet && request.path.starts_with(debugPrefix))
        sendHistory(request, exchange, id);
    else if (isModelPath(request.path) || request.path.starts_with(servicesPrefix))
        runRequest(request, exchange, id);
    else
        refuse(exchange, id, makeError(ErrorKind::NotFound, "no such path"));
}

void HttpFrontend::sendReadiness(HttpExchange& exchange, RequestId id) const
{
    auto reason = hooks_.unreadyReason();
    if (reason.empty())
        exchange.send(okStatus, headersFor(id, "text/plain"), "ready\n");
    else
        exchange.send(unavailableStatus, headersFor(id, "text/plain"), reason + "\n");
}

bool HttpFrontend::isOperator(const HttpRequest& request) const
{
    return isLoopback(request.peer) || hasKnownBearerKey(request, settings_.operatorKeyHashes);
}

void HttpFrontend::sendHistory(const HttpRequest& request, HttpExchange& exchange, RequestId id) const
{
    if (!isOperator(request)) {
        refuse(exchange, id, makeError(ErrorKind::Unauthorized, "an operator key is required"));
        return;
    }
    auto json = history_.toJson(parseRequestId(request.path.substr(debugPrefix.size())));
    if (json.empty())
        refuse(exchange, id, makeError(ErrorKind::NotFound, "this node has no history of this request"));
    else
        exchange.send(okStatus, headersFor(id, "application/json"), json);
}

Result<Contract> HttpFrontend::authenticate(const HttpRequest& request) const
{
    auto hash = bearerKeyHash(request);
    // Without a configuration this node knows no keys, and must not tell a caller that its key is wrong.
    if (view_.config().version == Version())
        return fail(ErrorKind::NoLease, "this node has not reached the control leader yet");
    const auto* contract = hash.empty() ? nullptr : view_.findCustomerByKeyHash(hash);
    if (!contract || contract->state == CustomerState::Erased)
        return fail(ErrorKind::Unauthorized, "the bearer key is missing or unknown");
    return *contract;
}

void HttpFrontend::runRequest(const HttpRequest& request, HttpExchange& exchange, RequestId id)
{
    auto contract = authenticate(request);
    if (!contract) {
        refuse(exchange, id, contract.error());
        return;
    }
    bool isModel = isModelPath(request.path);
    if (isModel && request.method != "POST") {
        refuse(exchange, id, makeError(ErrorKind::BadRequest, "this path accepts only POST"));
        return;
    }
    auto parsed = isModel ? parseModelRequest(request, *contract, id, settings_.defaults) : parseServiceRequest(request, *contract, id, settings_.defaults);
    if (!parsed) {
        refuse(exchange, id, parsed.error());
        return;
    }
    hooks_.run(*parsed, *contract, exchange);
}

void HttpFrontend::refuse(HttpExchange& exchange, RequestId id, const Error& error) const
{
    metrics_.count("entry_refusals_total", "kind=\"" + std::string(errorInfo(error.kind).name) + "\"");
    sendError(exchange, error, { { "X-Request-Id", toString(id) } });
}

}
