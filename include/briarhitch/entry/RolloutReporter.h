#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>

namespace briarhitch {

/** Sends the latest report on each pool's rollout to the control leader. */
class RolloutReporter {
public:
    using SendHook = std::function<Result<void>(const RolloutReport&)>;

    /** `send` may block its fiber. */
    explicit RolloutReporter(SendHook send)
        : send_(std::move(send))
    {
    }

    /** Replaces an earlier report on the pool that has not been sent. */
    void record(const RolloutReport& report) { pending_[report.pool] = report; }
    [[nodiscard]] bool hasReports() const { return !pending_.empty(); }
    /** Sends what is pending. Reports are cumulative, so one that fails is not repeated. */
    void flush();

private:
    SendHook send_;
    std::map<PoolId, RolloutReport> pending_;
    bool hasFailed_ { false };
};

}
