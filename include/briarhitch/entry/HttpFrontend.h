#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/entry/CallerRequest.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/RequestHistory.h"
#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <string>
#include <vector>

namespace briarhitch {

class MetricRegistry;

struct HttpFrontendSettings {
    CallerDefaults defaults;
    std::vector<std::string> operatorKeyHashes;
    /** Seeds the request ids. */
    uint64_t seed { 1 };
};

struct HttpFrontendHooks {
    /** Runs the request and responds to the caller; called in the fiber of the caller's connection. */
    std::function<void(const CallerRequest&, const Contract&, HttpExchange&)> run;
    /** Why this node accepts no requests; empty if it does. */
    std::function<std::string()> unreadyReason;
};

/** Authenticates, parses and dispatches callers' HTTP requests; see docs/design.md 8. */
class HttpFrontend {
public:
    HttpFrontend(HttpFrontendSettings settings, const ClusterView& view, const RequestHistory& history, MetricRegistry& metrics, HttpFrontendHooks hooks);

    void handle(const HttpRequest& request, HttpExchange& exchange);

private:
    void route(const HttpRequest& request, HttpExchange& exchange, RequestId id);
    void runRequest(const HttpRequest& request, HttpExchange& exchange, RequestId id);
    Result<Contract> authenticate(const HttpRequest& request) const;
    void sendReadiness(HttpExchange& exchange, RequestId id) const;
    void sendHistory(const HttpRequest& request, HttpExchange& exchange, RequestId id) const;
    [[nodiscard]] bool isOperator(const HttpRequest& request) const;
    void refuse(HttpExchange& exchange, RequestId id, const Error& error) const;
    RequestId nextRequestId();

    HttpFrontendSettings settings_;
    const ClusterView& view_;
    const RequestHistory& history_;
    MetricRegistry& metrics_;
    HttpFrontendHooks hooks_;
    Random random_;
};

}
