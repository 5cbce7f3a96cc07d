#include "sched/PrefixIndex.h"

#include <algorithm>

namespace briarhitch {

namespace {

    // About 5 MB; older blocks are probably evicted from the engines' caches.
    constexpr size_t maxBlocks = 100000;
    // Longer matches rarely change which target is best, and each block costs a lookup.
    constexpr size_t maxBlocksPerPrompt = 32;

    size_t indexedBlocks(const std::vector<uint32_t>& prefix)
    {
        return std::min(prefix.size(), maxBlocksPerPrompt);
    }

}

void PrefixIndex::insert(const std::vector<uint32_t>& prefix, TargetId target)
{
    for (size_t i = 0; i < indexedBlocks(prefix); ++i) {
        auto [entry, isNew] = byBlock_.try_emplace(prefix[i]);
        auto& targets = entry->second;
        auto known = std::find(targets.begin(), targets.end(), target);
        auto last = known == targets.end() ? targets.end() - 1 : known;
        std::move_backward(targets.begin(), last, last + 1);
        targets.front() = target;
        if (isNew)
            byAge_.push_back(prefix[i]);
    }
    while (byAge_.size() > maxBlocks) {
        byBlock_.erase(byAge_.front());
        byAge_.pop_front();
    }
}

PrefixIndex::Matches PrefixIndex::find(const std::vector<uint32_t>& prefix) const
{
    Matches matches;
    for (size_t i = 0; i < indexedBlocks(prefix); ++i) {
        auto entry = byBlock_.find(prefix[i]);
        if (entry == byBlock_.end())
            break;
        bool isExtended = false;
        for (size_t position = 0; position < targetsPerBlock; ++position) {
            if (i == 0)
                matches[position].target = entry->second[position];
            auto& match = matches[position];
            const auto& targets = entry->second;
            if (match.target.isValid() && match.blocks == i && std::find(targets.begin(), targets.end(), match.target) != targets.end()) {
                match.blocks = i + 1;
                isExtended = true;
            }
        }
        if (!isExtended)
            break;
    }
    return matches;
}

}
