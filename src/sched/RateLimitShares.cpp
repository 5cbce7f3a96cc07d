#include "briarhitch/sched/RateLimitShares.h"

#include "briarhitch/core/Digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhitch {

RequestRate RateLimitShares::rateOf(NodeId entry) const
{
    return std::find(entries.begin(), entries.end(), entry) == entries.end() ? RequestRate() : rate;
}

RateLimitShares divideRateLimit(const std::string& targetName, RequestRate limit, const std::vector<NodeId>& entries)
{
    if (entries.empty())
        return {};
    // Each entry may save up one request, so with more than one entry per request a second these would add up to a burst.
    auto count = static_cast<size_t>(std::clamp(std::floor(limit.value()), 1.0, static_cast<double>(entries.size())));
    std::vector<std::pair<uint64_t, NodeId>> ranked;
    ranked.reserve(entries.size());
    for (NodeId entry : entries)
        ranked.emplace_back(stableHash(targetName, entry.value()), entry);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    RateLimitShares shares;
    for (size_t i = 0; i < count; ++i)
        shares.entries.push_back(ranked[i].second);
    shares.rate = RequestRate(limit.value() / static_cast<double>(count));
    return shares;
}

}
