#pragma once

#include "briarhitch/core/Ids.h"

#include <cstdint>
#include <string>

namespace briarhitch {

enum class RolloutState : uint8_t {
    Running,
    /** The target version serves all requests, and the other targets of the service have no work left. */
    Completed,
    /** The target version gets no requests. */
    RolledBack,
};

/** Steps of a running rollout. */
enum class RolloutStage : uint8_t {
    /** The target version gets a small share, below what a faulty version may get. */
    Trial,
    /** The share grows in steps. */
    Shift,
    /** The target version gets all new requests; requests on other targets run to their end. */
    Drain,
};

/** The latest rollout of a service: moves its traffic to the targets of one software version. */
struct Rollout {
    /** Increases with each rollout of the fleet. */
    RolloutId id;
    std::string service;
    std::string targetVersion;
    uint32_t durationMs { 0 };
    /** The leader's wall clock at the order, in Unix milliseconds. */
    int64_t orderedAtMs { 0 };
    RolloutState state { RolloutState::Running };
    RolloutStage stage { RolloutStage::Trial };
    /** Part of the service's requests that the target version may get, in thousandths. */
    uint32_t sharePermille { 0 };

    bool operator==(const Rollout&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, service, targetVersion, durationMs, orderedAtMs, state, stage, sharePermille);
    }
};

/** Limits of what a faulty version may get; rollouts are served only where they are set. */
struct RolloutBounds {
    /** Part of the service's requests, 0 to 1, between the order and its deadline. */
    double exposedShare { 0.1 };
    /** Requests beyond that share. */
    double exposedSlack { 50 };
    /** Time after the 50th bad answer of a faulty version after which it gets no request. */
    uint32_t rollbackMs { 5000 };
};

}
