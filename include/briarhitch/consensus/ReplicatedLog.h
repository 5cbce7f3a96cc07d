#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace briarhitch {

/** What the log drives; all are called on the loop's thread and must not block. */
struct ReplicatedLogHooks {
    /** Applies one committed command and returns its result; indexes rise by one or skip internal entries. */
    std::function<std::string(uint64_t index, std::string_view command)> apply;
    /** The whole applied state. */
    std::function<std::string()> takeSnapshot;
    /** Replaces the applied state. */
    std::function<void(uint64_t index, std::string_view snapshot)> loadSnapshot;
    /** Called when this process becomes the leader (with all earlier entries applied) or stops being it. */
    std::function<void(bool isLeader, uint64_t term)> onRoleChange;
};

/** A log of commands that a majority of voters keeps on disk. */
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;

    /**
     * Blocks the calling fiber until the command is applied here and returns what apply() returned.
     * NotLeader: it was not proposed. NoQuorum: the time ran out and it may still be applied later.
     */
    virtual Result<std::string> propose(std::string command, Duration timeout) = 0;
    /** True while no other process can have become leader; only then may state be read or leases be given. */
    [[nodiscard]] virtual bool hasLeaderLease() const = 0;
    [[nodiscard]] virtual uint64_t term() const = 0;
    [[nodiscard]] virtual std::optional<NodeId> leader() const = 0;
};

}
