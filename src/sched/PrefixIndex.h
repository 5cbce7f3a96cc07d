#pragma once

#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <deque>
#include <vector>

namespace briarhitch {

/** Maps prompt prefix blocks to the targets that most recently received them. Bounded; evicts the oldest blocks first. */
class PrefixIndex {
public:
    struct Match {
        TargetId target;
        /** Number of leading blocks of the prompt that the target received before. */
        size_t blocks { 0 };
    };
    static constexpr size_t targetsPerBlock = 3;
    using Matches = std::array<Match, targetsPerBlock>;

    void insert(const std::vector<uint32_t>& prefix, TargetId target);
    /** Targets that received the first block, with the length of their match; unused elements have invalid ids. */
    [[nodiscard]] Matches find(const std::vector<uint32_t>& prefix) const;

private:
    using Targets = std::array<TargetId, targetsPerBlock>;

    absl::flat_hash_map<uint32_t, Targets> byBlock_;
    std::deque<uint32_t> byAge_;
};

}
