#include "sched/PrefixIndex.h"

#include <algorithm>

namespace briarhitch {

namespace {

    // About 5 MB; older blocks have most likely left the engines' caches.
    constexpr size_t mostBlocks = 100000;
    // Longer matches hardly change which target is best, and each block costs a look-up.
    constexpr size_t mostBlocksByPrompt = 32;

    size_t blocksUsed(const std::vector<uint32_t>& prefix)
    {
        return std::min(prefix.size(), mostBlocksByPrompt);
    }

}

void PrefixIndex::insert(const std::vector<uint32_t>& prefix, TargetId target)
{
    for (size_t i = 0; i < blocksUsed(prefix); ++i) {
        auto [entry, isNew] = byBlock_.try_emplace(prefix[i]);
        auto& targets = entry->second;
        auto known = std::find(targets.begin(), targets.end(), target);
        auto last = known == targets.end() ? targets.end() - 1 : known;
        std::move_backward(targets.begin(), last, last + 1);
        targets.front() = target;
        if (isNew)
            byAge_.push_back(prefix[i]);
    }
    while (byAge_.size() > mostBlocks) {
        byBlock_.erase(byAge_.front());
        byAge_.pop_front();
    }
}

PrefixIndex::Matches PrefixIndex::find(const std::vector<uint32_t>& prefix) const
{
    Matches matches;
    for (size_t i = 0; i < blocksUsed(prefix); ++i) {
        auto entry = byBlock_.find(prefix[i]);
        if (entry == byBlock_.end())
            break;
        bool grew = false;
        for (size_t slot = 0; slot < targetsByBlock; ++slot) {
            if (i == 0)
                matches[slot].target = entry->second[slot];
            auto& match = matches[slot];
            const auto& targets = entry->second;
            if (match.target.isValid() && match.blocks == i && std::find(targets.begin(), targets.end(), match.target) != targets.end()) {
                match.blocks = i + 1;
                grew = true;
            }
        }
        if (!grew)
            break;
    }
    return matches;
}

}
