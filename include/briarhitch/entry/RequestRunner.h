#pragma once

#include "briarhitch/entry/CallerRequest.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/EntrySettings.h"
#include "briarhitch/entry/PoolGateway.h"
#include "briarhitch/entry/RequestHistory.h"
#include "briarhitch/entry/TargetClient.h"
#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <map>
#include <vector>

namespace briarhitch {

class Loop;
class MetricRegistry;

/** What a runner needs from the rest of the node. All must be set. */
struct RequestRunnerHooks {
    std::function<bool()> hasLease;
    std::function<bool()> hasConfiguration;
    std::function<Result<ClaimRunReply>(const ClaimRun&, Duration timeout)> claimRun;
    std::function<Result<void>(const FinishRun&, Duration timeout)> finishRun;
    /** Takes a request and its tokens out of the customer's ceiling. */
    std::function<Result<void>(const Contract&, Tokens estimate)> acquireCeiling;
    /** Must follow each acquireCeiling() that succeeded; the tokens are those of the estimate that were not used. */
    std::function<void(CustomerId, Tokens unused)> releaseCeiling;
    /** Counts a request, as the base of the retry budget. */
    std::function<void(CustomerId)> countRequest;
    /** Whether one more retry fits the budget; takes it if so. */
    std::function<bool(CustomerId)> acquireRetry;
    ClockHook now;
    std::function<void(Duration)> sleep;
};

/** Carries callers' requests through admission, run record, grant, dispatch and answer. */
class RequestRunner {
public:
    RequestRunner(Loop& loop, NodeRecord self, const EntryLimits& limits, const ClusterView& view, PoolGateway& pools, TargetClient& targets,
        RequestHistory& history, MetricRegistry& metrics, RequestRunnerHooks hooks);

    /** Runs in the fiber of the caller's connection; answers exactly once. */
    void run(const CallerRequest& request, const Contract& contract, HttpExchange& exchange);
    /** Refuses new requests with `draining`. */
    void setDraining() { isDraining_ = true; }
    [[nodiscard]] bool isDraining() const { return isDraining_; }
    /** Requests, and records and cancellations on their way. */
    [[nodiscard]] size_t inFlight() const { return inFlight_ + background_; }
    /** Customers in wind-down that still have requests here. */
    [[nodiscard]] std::vector<CustomerId> busyClosingCustomers() const;
    /** Commits an outcome in a fiber of its own and repeats it until it is committed or a minute has passed. */
    void commitOutcomeInBackground(const FinishRun& finish);

    /** Ends an engine's stream in a fiber of its own. */
    void cancelStreamInBackground(const TargetCall& call);

    Loop& loop;
    const NodeRecord self;
    const EntryLimits limits;
    const ClusterView& view;
    PoolGateway& pools;
    TargetClient& targets;
    RequestHistory& history;
    MetricRegistry& metrics;
    const RequestRunnerHooks hooks;

private:
    void leave(CustomerId customer);
    void commitOutcome(const FinishRun& finish);

    bool isDraining_ { false };
    size_t inFlight_ { 0 };
    size_t background_ { 0 };
    std::map<CustomerId, size_t> inFlightByCustomer_;
};

}
