#pragma once

#include "briarhitch/core/Random.h"
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

/** Times of routed requests; the defaults are explained in docs/entry.md. */
struct RoutedRequestLimits {
    Duration connectTimeout { std::chrono::milliseconds(300) };
    /** A target that answers a request at its deadline gets this long until the answer is here. */
    Duration responseGracePeriod { std::chrono::milliseconds(80) };
    /** Of a plain service's whole answer. */
    size_t maxResponseBytes { 4 * 1024 * 1024 };
    /** Time without a new event on a stream that may be continued elsewhere after which it is. */
    Duration stallTimeout { std::chrono::milliseconds(1200) };
    /** Grants in a row whose target could not be reached or was another one. */
    uint32_t maxUnusedGrants { 4 };
    /** A stream that runs for this part of its time is moved to a faster target, if there is one. */
    double migrateAfterFraction { 0.45 };
    /** For a place on another target, for a run that is slow or has stalled; the stream pauses meanwhile. */
    Duration otherSlotTimeout { std::chrono::milliseconds(40) };
    /** Between two tries to find such a place. */
    Duration migrationRetryDelay { std::chrono::milliseconds(400) };
    /** For the call that moves the run. */
    Duration migrationCallTimeout { std::chrono::milliseconds(500) };
};

/** What a runner needs from the rest of the node. All must be set. */
struct RoutedRequestHooks {
    std::function<bool()> hasConfiguration;
    std::function<bool()> hasLease;
    std::function<Result<std::shared_ptr<HttpCall>>(const HttpCallSettings&)> start;
    /** Takes a request and its tokens out of its customer's ceiling. */
    std::function<Result<void>(const Contract&, Tokens)> debitCeiling;
    /** Gives back a request that was admitted and did not run. */
    std::function<void(const Contract&, Tokens)> refundCeiling;
    /** Counts a request to a service, as the base of its budget for repeats. */
    std::function<void(const std::string& service)> countRequest;
    /** Whether one more repeat fits the service's budget; takes it if so. */
    std::function<bool(const std::string& service)> acquireRetry;
    ClockHook now;
};

/** Carries the requests of routes from admission to the whole answer. At most once rests on this node's own memory. */
class RoutedRequestRunner {
public:
    RoutedRequestRunner(RoutedRequestLimits limits, TargetProtocol protocol, const ClusterView& view, PoolGateway& pools, RequestHistory& history,
        MetricRegistry& metrics, RoutedRequestHooks hooks, uint64_t seed);

    /** Runs in the fiber of the caller's connection; answers exactly once. */
    void run(const RoutedRequest& request, HttpExchange& exchange);
    /** To be called when the configuration changed. */
    void onConfigChange(const ClusterConfig& config);
    [[nodiscard]] bool hasRoutes() const { return routes_ != nullptr; }
    [[nodiscard]] size_t inFlight() const { return inFlight_; }
    /** The document in force here; requests that are running keep the one that they began with. */
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
