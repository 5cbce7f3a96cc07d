#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace briarhitch {

/** Callbacks of the log into the state machine; called on the loop's thread, must not block. */
struct ReplicatedLogHooks {
    /** Applies one committed command and returns its result; indexes are ascending, with gaps for internal entries. */
    std::function<std::string(uint64_t index, std::string_view command)> apply;
    /** Returns the complete applied state. */
    std::function<std::string()> takeSnapshot;
    /** Replaces the applied state. */
    std::function<void(uint64_t index, std::string_view snapshot)> loadSnapshot;
    /** Called when this process becomes the leader (with all earlier entries applied) or loses this role. */
    std::function<void(bool isLeader, uint64_t term)> onRoleChange;
};

/** A log of commands that a majority of voters stores durably. */
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;

    /**
     * Blocks the calling fiber until the command is applied here and returns what apply() returned. NotLeader: it was
     * not proposed. NoQuorum: the timeout expired and the command may still be applied later.
     */
    virtual Result<std::string> propose(std::string command, Duration timeout) = 0;
    /** True while no other process can have become leader; only then may state be read or leases be granted. */
    [[nodiscard]] virtual bool hasLeaderLease() const = 0;
    [[nodiscard]] virtual uint64_t term() const = 0;
    [[nodiscard]] virtual std::optional<NodeId> leader() const = 0;
};

}
