#pragma once

#include "briarhitch/core/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <deque>
#include <vector>

namespace briarhitch {

/** Which targets were last sent prompts with a given prefix block. Bounded; the oldest blocks are forgotten first. */
class PrefixIndex {
public:
    struct Match {
        TargetId target;
        /** Leading blocks of the prompt that the target was sent before. */
        size_t blocks { 0 };
    };
    static constexpr size_t targetsByBlock = 3;
    using Matches = std::array<Match, targetsByBlock>;

    void insert(const std::vector<uint32_t>& prefix, TargetId target);
    /** Targets that had the first block, with the length of their match; invalid ids fill the rest. */
    [[nodiscard]] Matches find(const std::vector<uint32_t>& prefix) const;

private:
    using Targets = std::array<TargetId, targetsByBlock>;

    absl::flat_hash_map<uint32_t, Targets> byBlock_;
    std::deque<uint32_t> byAge_;
};

}
