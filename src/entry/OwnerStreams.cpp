#include "briarhitch/entry/OwnerStreams.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/PoolRequests.h"

#include <utility>

namespace briarhitch {

OwnerStreams::OwnerStreams(MetricRegistry& metrics, ClockHook now)
    : metrics_(metrics)
    , now_(std::move(now))
{
}

Result<void> OwnerStreams::resolve(GrantRequest& request, const PoolAssignment& pool)
{
    if (!needsStreamVersion(request))
        return {};
    auto known = streams_.find(request.continuedStream, now_());
    if (known && !pool.mayContinue(*known))
        return fail(ErrorKind::UnknownStream, "another service began this stream");
    if (known && !known->softwareVersion.empty())
        request.softwareVersion = known->softwareVersion;
    metrics_.count("pool_continued_streams_total", request.softwareVersion ? "known=\"yes\"" : "known=\"no\"");
    if (!request.softwareVersion)
        return fail(ErrorKind::UnknownStream, "the owner of the pool does not know this stream");
    return {};
}

void OwnerStreams::merge(const PoolSync& sync)
{
    for (const auto& stream : sync.streams)
        streams_.record(stream, now_());
}

void OwnerStreams::publishGauges() const
{
    metrics_.setGauge("pool_known_streams", {}, static_cast<double>(streams_.size()));
}

}
