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
};

/** Rate limits that targets name in their responses, each in force until a later response names none. */
class TargetRateLimits {
public:
    struct Entry {
        RequestRate limit;
        /** When this limit became known here. */
        Instant since;
        uint64_t targetBornMs { 0 };
    };

    /** True if the target's limit has changed. */
    bool recordObservation(const Target& target, const RateLimitObservation& observation, Instant now);
    /** Records a limit, or its end if there is none, that another node reports. True if it has changed. */
    bool set(const Target& target, std::optional<RequestRate> limit, Instant now);
    /** Removes the limits of targets that are not listed any more or were restarted. */
    void updateTargets(const std::map<TargetId, Target>& targets);

    [[nodiscard]] std::optional<RequestRate> find(TargetId target) const;
    [[nodiscard]] const std::map<TargetId, Entry>& all() const { return limits_; }

private:
    std::map<TargetId, Entry> limits_;
};

}
