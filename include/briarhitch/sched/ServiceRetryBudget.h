#pragma once

#include "briarhitch/core/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace briarhitch {

struct ServiceRetryBudgetSettings {
    /** Retries allowed per request, over all nodes. */
    double ratio { 0.1 };
    /** Retries allowed per window in addition, over all nodes. */
    double slack { 10 };
    Duration window { std::chrono::seconds(10) };
};

/** One node's part of a retry budget that all nodes share, per service, in a sliding window. */
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(const ServiceRetryBudgetSettings& settings);

    void recordRequest(const std::string& service, Instant now);
    /** Spends one retry; false if none is available. `nodes`: number of nodes that share the slack. */
    bool acquireRetry(const std::string& service, size_t nodes, Instant now);

private:
    static constexpr size_t timeSlotCount = 20;
    struct TimeSlot {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };
    struct Window {
        /** One more than the window has, because the oldest one is only partly inside it. */
        std::array<TimeSlot, timeSlotCount + 1> timeSlots;
    };

    TimeSlot& timeSlotAt(const std::string& service, Instant now);
    [[nodiscard]] int64_t timeSlotNumber(Instant now) const;

    ServiceRetryBudgetSettings settings_;
    std::map<std::string, Window> windows_;
};

}
