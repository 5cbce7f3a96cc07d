#include "briarhitch/entry/RoutedRequestRunner.h"

#include "entry/RoutedRequestRun.h"

#include <exception>

namespace briarhitch {

RoutedRequestRunner::RoutedRequestRunner(RoutedRequestLimits limitsToUse, TargetProtocol protocolToUse, const ClusterView& viewToUse, PoolGateway& poolsToUse,
    RequestHistory& historyToUse, MetricRegistry& metricsToUse, RoutedRequestHooks hooksToUse, uint64_t seed)
    : limits(limitsToUse)
    , protocol(std::move(protocolToUse))
    , view(viewToUse)
    , pools(poolsToUse)
    , history(historyToUse)
    , metrics(metricsToUse)
    , hooks(std::move(hooksToUse))
    , random_(seed)
{
}

void RoutedRequestRunner::run(const RoutedRequest& request, HttpExchange& exchange)
{
    ++inFlight_;
    try {
        RoutedRequestRun(*this, request, exchange).run();
    } catch (const std::exception&) {
        --inFlight_;
        throw;
    }
    --inFlight_;
}

void RoutedRequestRunner::onConfigChange(const ClusterConfig& config)
{
    if (config.routing.version <= version_)
        return;
    version_ = config.routing.version;
    routes_ = std::make_shared<RouteTable>(config.routing);
}

RequestId RoutedRequestRunner::nextRequestId()
{
    auto value = random_.next();
    return RequestId(value == 0 ? 1 : value);
}

}
