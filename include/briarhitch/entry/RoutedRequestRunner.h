#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/entry/CeilingVerdict.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/PoolGateway.h"
#include "briarhitch/entry/RequestHistory.h"
#include "briarhitch/entry/RoutedRequest.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/model/Routing.h"

#include <functional>
#include <memory>

namespace briarhitch {

class MetricRegistry;

/** Limits of routed requests; docs/entry.md gives the reasons for the defaults. */
struct RoutedRequestLimits {
    Duration connectTimeout { std::chrono::milliseconds(300) };
    /** Added to a request's deadline, so that a response that the target sends at the deadline still arrives. */
    Duration responseGracePeriod { std::chrono::milliseconds(80) };
    /** Of a complete response that is not streamed. */
    size_t maxResponseBytes { 4 * 1024 * 1024 };
    /** Time without a new event after which a stream is resumed on another target, if it may be. */
    Duration stallTimeout { std::chrono::milliseconds(1200) };
    /** Grants of one request under which nothing was sent: the target could not be reached or was no longer usable. */
    uint32_t maxUnusedGrants { 4 };
    /** A stream that has run on its target for this fraction of its time from arrival to deadline is migrated to a faster one with a free slot. */
    double migrateAfterFraction { 0.45 };
    /** How long a slow or stalled stream waits for a slot on another target; nothing is relayed meanwhile. */
    Duration otherSlotTimeout { std::chrono::milliseconds(40) };
    /** Between two attempts to migrate a stream. */
    Duration migrationRetryDelay { std::chrono::milliseconds(400) };
    /** For the migration call's response, which comes when the KV cache has been copied behind those of other generations. */
    Duration migrationCallTimeout { std::chrono::seconds(5) };
    /** Between two checks whether a migration call that a stream waits for has been answered. */
    Duration migrationPollInterval { std::chrono::milliseconds(5) };
};

/** Functions of the rest of the node that a RoutedRequestRunner calls. All must be set. */
struct RoutedRequestHooks {
    std::function<bool()> hasConfiguration;
    std::function<bool()> hasLease;
    std::function<Result<std::shared_ptr<HttpCall>>(const HttpCallSettings&)> start;
    /** Debits a request and its tokens from its customer's ceiling. */
    std::function<CeilingVerdict(const Contract&, Tokens)> debitCeiling;
    /** Refunds the debit of an admitted request that did not run. */
    std::function<void(const Contract&, Tokens, CeilingDecider)> refundCeiling;
    /** Records a request to a service for the service's retry budget. */
    std::function<void(const std::string& service)> recordRequest;
    /** Takes one retry from the service's retry budget; false if the budget is spent. */
    std::function<bool(const std::string& service)> acquireRetry;
    /** Runs a task in a fiber of its own. */
    std::function<void(std::function<void()> task)> spawn;
    std::function<void(Duration)> sleep;
    ClockHook now;
};

/**
 * Handles requests that match a route of the routing document, from admission to the complete response. That a
 * non-idempotent request runs at most once is ensured by this node's memory only; there is no run record.
 */
class RoutedRequestRunner {
public:
    RoutedRequestRunner(RoutedRequestLimits limits, TargetProtocol protocol, const ClusterView& view, PoolGateway& pools, RequestHistory& history,
        MetricRegistry& metrics, RoutedRequestHooks hooks, uint64_t seed);

    /** Runs in the fiber of the caller's connection; sends exactly one response. */
    void run(const RoutedRequest& request, HttpExchange& exchange);
    /** Must be called after each change of the configuration. */
    void onConfigChange(const ClusterConfig& config);
    [[nodiscard]] bool hasRoutes() const { return routes_ != nullptr; }
    [[nodiscard]] size_t inFlight() const { return inFlight_; }
    /** The routing document that new requests use; a running request keeps the one that it started with. */
    [[nodiscard]] std::shared_ptr<const RouteTable> routes() const { return routes_; }
    RequestId nextRequestId();
    double randomFraction() { return random_.unit(); }

    const RoutedRequestLimits limits;
    const TargetProtocol protocol;
    const ClusterView& view;
    PoolGateway& pools;
    RequestHistory& history;
    MetricRegistry& metrics;
    const RoutedRequestHooks hooks;

private:
    Random random_;
    Version version_;
    std::shared_ptr<const RouteTable> routes_;
    size_t inFlight_ { 0 };
};

}
