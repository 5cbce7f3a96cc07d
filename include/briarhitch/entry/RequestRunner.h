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

/** Functions of the rest of the node that a RequestRunner calls. All must be set. */
struct RequestRunnerHooks {
    std::function<bool()> hasLease;
    std::function<bool()> hasConfiguration;
    std::function<Result<ClaimRunReply>(const ClaimRun&, Duration timeout)> claimRun;
    std::function<Result<void>(const FinishRun&, Duration timeout)> finishRun;
    /** Debits a request and its estimated tokens from the customer's ceiling. */
    std::function<Result<void>(const Contract&, Tokens estimate)> acquireCeiling;
    /** Must follow each successful acquireCeiling(), with the tokens of the estimate that were not used. */
    std::function<void(CustomerId, Tokens unused)> releaseCeiling;
    /** Records a request for the customer's retry budget. */
    std::function<void(CustomerId)> recordRequest;
    /** Takes one retry from the customer's retry budget; false if the budget is spent. */
    std::function<bool(CustomerId)> acquireRetry;
    ClockHook now;
    std::function<void(Duration)> sleep;
};

/** Handles callers' requests to /v1 and /services: admission, run record, grant, dispatch and response. */
class RequestRunner {
public:
    RequestRunner(Loop& loop, NodeRecord self, const EntryLimits& limits, const ClusterView& view, PoolGateway& pools, TargetClient& targets,
        RequestHistory& history, MetricRegistry& metrics, RequestRunnerHooks hooks);

    /** Runs in the fiber of the caller's connection; sends exactly one response. */
    void run(const CallerRequest& request, const Contract& contract, HttpExchange& exchange);
    /** Refuses new requests with `draining`. */
    void setDraining() { isDraining_ = true; }
    [[nodiscard]] bool isDraining() const { return isDraining_; }
    /** Running requests, and outcomes and cancellations that are still to be delivered. */
    [[nodiscard]] size_t inFlight() const { return inFlight_ + backgroundTasks_; }
    /** Customers in wind-down that still have requests here. */
    [[nodiscard]] std::vector<CustomerId> busyClosingCustomers() const;
    /** Commits an outcome to the run record in a fiber of its own; retries until it is committed or a minute has passed. */
    void commitOutcomeInBackground(const FinishRun& finish);

    /** Cancels an engine's stream in a fiber of its own. */
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
    void endRequest(CustomerId customer);
    void commitOutcome(const FinishRun& finish);

    bool isDraining_ { false };
    size_t inFlight_ { 0 };
    size_t backgroundTasks_ { 0 };
    std::map<CustomerId, size_t> inFlightByCustomer_;
};

}
