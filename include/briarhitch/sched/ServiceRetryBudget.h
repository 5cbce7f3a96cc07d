#pragma once

#include "briarhitch/core/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace briarhitch {

struct ServiceRetryBudgetSettings {
    /** Repeats allowed for each request, over all nodes. */
    double ratio { 0.1 };
    /** Repeats allowed in a window beside those, over all nodes. */
    double slack { 10 };
    Duration window { std::chrono::seconds(10) };
};

/** One node's part of a budget for repeats that all nodes share, kept for each service in a sliding window. */
class ServiceRetryBudget {
public:
    explicit ServiceRetryBudget(const ServiceRetryBudgetSettings& settings);

    void countRequest(const std::string& service, Instant now);
    /** Whether one more repeat fits; true spends it. `nodes`: how many nodes share the slack. */
    bool acquireRetry(const std::string& service, size_t nodes, Instant now);

private:
    static constexpr size_t slotCount = 20;
    struct Slot {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t repeats { 0 };
    };
    struct Window {
        /** One more than the window has, because the oldest slot is only partly in it. */
        std::array<Slot, slotCount + 1> slots;
    };

    Slot& slotAt(const std::string& service, Instant now);
    [[nodiscard]] int64_t slotNumber(Instant now) const;

    ServiceRetryBudgetSettings settings_;
    std::map<std::string, Window> windows_;
};

}
