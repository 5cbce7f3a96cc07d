#include "briarhitch/entry/RoutedRunner.h"

#include "entry/RoutedRun.h"

#include <exception>

namespace briarhitch {

RoutedRunner::RoutedRunner(RoutedLimits limitsToUse, TargetDialect dialectToUse, const ClusterView& viewToUse, PoolGateway& poolsToUse,
    RequestHistory& historyToUse, MetricRegistry& metricsToUse, RoutedHooks hooksToUse, uint64_t seed)
    : limits(limitsToUse)
    , dialect(std::move(dialectToUse))
    , view(viewToUse)
    , pools(poolsToUse)
    , history(historyToUse)
    , metrics(metricsToUse)
    , hooks(std::move(hooksToUse))
    , random_(seed)
{
}

void RoutedRunner::run(const RoutedRequest& request, HttpExchange& exchange)
{
    ++inFlight_;
    try {
        RoutedRun(*this, request, exchange).run();
    } catch (const std::exception&) {
        --inFlight_;
        throw;
    }
    --inFlight_;
}

void RoutedRunner::onConfigChange(const ClusterConfig& config)
{
    if (config.routing.version <= version_)
        return;
    version_ = config.routing.version;
    routes_ = std::make_shared<RouteTable>(config.routing);
}

RequestId RoutedRunner::nextRequestId()
{
    auto value = random_.next();
    return RequestId(value == 0 ? 1 : value);
}

}
