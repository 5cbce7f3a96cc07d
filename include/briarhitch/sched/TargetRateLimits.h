#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Target.h"

#include <map>
#include <optional>

namespace briarhitch {

/** What a target's response says about its rate limit. */
struct RateLimitObservation {
    TargetId target;
    /** Requests that the target accepts from all nodes together; none if the response names no limit. */
    std::optional<RequestRate> limit;
    /** When the request was sent that the target responded to. */
    Instant requestSentAt;
    /** False if the response names a limit that cannot be read; `limit` is none then, and the known limit stays. */
    bool isReadable { true };
};

/**
 * Rate limits that targets name in their responses, each in force until a later response names another one or none.
 * Responses arrive in another order than they were written in, so what is known changes only by a response that was
 * certainly written later: its request was sent after the known limit, or its end, became known.
 */
class TargetRateLimits {
public:
    struct Entry {
        /** None if the target has ended its limit. */
        std::optional<RequestRate> limit;
        Instant since;
        PoolId pool;
        uint64_t targetBornMs { 0 };
    };

    /** True if the target's limit has changed. */
    bool recordObservation(const Target& target, const RateLimitObservation& observation, Instant now);
    /** Records what another node has known since this time, unless this node knows something later. True if it has changed. */
    bool merge(const Target& target, std::optional<RequestRate> limit, Instant since);
    /** Replaces what is known. True if it has changed. */
    bool replace(const Target& target, std::optional<RequestRate> limit, Instant since);
    /** Forgets targets that are not listed any more or were restarted. */
    void updateTargets(const std::map<TargetId, Target>& targets);
    void removePool(PoolId pool);
    /** Forgets limits that ended so long ago that no earlier response is still on its way. */
    void tick(Instant now);

    [[nodiscard]] std::optional<RequestRate> find(TargetId target) const;
    [[nodiscard]] const std::map<TargetId, Entry>& all() const { return entries_; }

private:
    std::map<TargetId, Entry> entries_;
};

}
