#include "entry/RateLimitLog.h"

namespace briarhitch {

const Log& rateLimitLog()
{
    static const Log log("pool:");
    return log;
}

void logRateLimitChange(const Target& target, std::optional<RequestRate> limit, std::optional<RequestRate> previous, LogFields fields)
{
    fields.emplace_back("target", target.name);
    if (limit)
        fields.emplace_back("requests_per_second", limit->value());
    if (previous)
        fields.emplace_back("previous_requests_per_second", previous->value());
    rateLimitLog().event(limit ? "target rate limit in force" : "target rate limit ended", fields);
}

}
