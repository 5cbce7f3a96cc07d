#pragma once

#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"

#include <string>
#include <vector>

namespace briarhitch {

/** How entries that select targets without the pool's owner divide a target's rate limit. */
struct RateLimitShares {
    /** Entries that may send requests to the target; the same for all nodes with the same list of entries. */
    std::vector<NodeId> entries;
    /** For each of these entries. */
    RequestRate rate;

    /** Zero for an entry that has no share. */
    [[nodiscard]] RequestRate rateOf(NodeId entry) const;
};

/** A target with a lower limit still gets requests at this rate; otherwise it could not say that its limit has ended. */
inline constexpr RequestRate minProbeRate { 0.2 };

RateLimitShares divideRateLimit(const std::string& targetName, RequestRate limit, const std::vector<NodeId>& entries);

}
