#include "briarhitch/entry/RequestRunner.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/RequestRun.h"

#include <exception>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** After this time the run record stays claimed until this node's lease or incarnation ends. */
    constexpr Duration outcomeCommitTime = 60s;
    constexpr Duration finishRunTimeout = 5s;
    constexpr Duration finishRetryDelay = 500ms;

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

}

RequestRunner::RequestRunner(Loop& loopToUse, NodeRecord selfToUse, const EntryLimits& limitsToUse, const ClusterView& viewToUse, PoolGateway& poolsToUse,
    TargetClient& targetsToUse, RequestHistory& historyToUse, MetricRegistry& metricsToUse, RequestRunnerHooks hooksToUse)
    : loop(loopToUse)
    , self(std::move(selfToUse))
    , limits(limitsToUse)
    , view(viewToUse)
    , pools(poolsToUse)
    , targets(targetsToUse)
    , history(historyToUse)
    , metrics(metricsToUse)
    , hooks(std::move(hooksToUse))
{
}

void RequestRunner::run(const CallerRequest& request, const Contract& contract, HttpExchange& exchange)
{
    ++inFlight_;
    ++inFlightByCustomer_[request.customer];
    try {
        RequestRun(*this, request, contract, exchange).run();
    } catch (const std::exception&) {
        endRequest(request.customer);
        throw;
    }
    endRequest(request.customer);
}

void RequestRunner::endRequest(CustomerId customer)
{
    if (--inFlightByCustomer_[customer] == 0)
        inFlightByCustomer_.erase(customer);
    --inFlight_;
}

std::vector<CustomerId> RequestRunner::busyClosingCustomers() const
{
    std::vector<CustomerId> busy;
    for (const auto& [customer, count] : inFlightByCustomer_) {
        auto it = view.config().customers.find(customer);
        if (it != view.config().customers.end() && it->second.state != CustomerState::Active)
            busy.push_back(customer);
    }
    return busy;
}

void RequestRunner::commitOutcomeInBackground(const FinishRun& finish)
{
    ++backgroundTasks_;
    loop.spawn([this, finish] {
        commitOutcome(finish);
        --backgroundTasks_;
    });
}

void RequestRunner::cancelStreamInBackground(const TargetCall& call)
{
    ++backgroundTasks_;
    loop.spawn([this, call] {
        (void)targets.cancelStream(call);
        --backgroundTasks_;
    });
}

void RequestRunner::commitOutcome(const FinishRun& finish)
{
    auto end = hooks.now() + outcomeCommitTime;
    for (;;) {
        if (hooks.finishRun(finish, finishRunTimeout))
            return;
        if (hooks.now() >= end)
            break;
        hooks.sleep(finishRetryDelay);
    }
    entryLog().warning("The outcome of request " + toString(finish.attempt.request) + " could not be recorded.");
}

}
