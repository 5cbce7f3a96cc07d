#include "fake_engine/PrefixCache.h"

#include "briarhitch/core/Digest.h"
#include "support/ExpectedAnswer.h"

#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr size_t blockBytes = 256;
    constexpr int64_t blockTokens = 64;
    constexpr size_t maxEvents = 10000;

}

PrefixCache::PrefixCache(const Settings& settings)
    : settings_(settings)
    , random_(settings.seed)
{
}

int64_t PrefixCache::use(std::string_view prompt, Instant now)
{
    int64_t cached = 0;
    bool isPrefix = true;
    uint64_t block = 0;
    for (size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        block = stableHash(prompt.substr(start, blockBytes), block);
        if (auto it = blocks_.find(block); it != blocks_.end()) {
            cached += isPrefix ? blockTokens : 0;
            recent_.splice(recent_.begin(), recent_, it->second);
            continue;
        }
        isPrefix = false;
        recent_.push_front(block);
        blocks_[block] = recent_.begin();
        publish(true, block, now);
    }
    while (static_cast<int64_t>(recent_.size()) * blockTokens > settings_.capacityTokens) {
        publish(false, recent_.back(), now);
        blocks_.erase(recent_.back());
        recent_.pop_back();
    }
    return cached;
}

double PrefixCache::usage() const
{
    if (settings_.capacityTokens <= 0)
        return 0;
    return static_cast<double>(static_cast<int64_t>(recent_.size()) * blockTokens) / static_cast<double>(settings_.capacityTokens);
}

void PrefixCache::publish(bool isStored, uint64_t block, Instant now)
{
    ++lastSequence_;
    if (random_.chance(settings_.eventLoss))
        return;
    events_.push_back({ lastSequence_, isStored, block, now + settings_.eventDelay });
    if (events_.size() > maxEvents)
        events_.pop_front();
}

std::string PrefixCache::eventsAfter(uint64_t sequence, Instant now) const
{
    auto list = nlohmann::json::array();
    for (const auto& event : events_) {
        if (event.sequence > sequence && event.visibleAt <= now)
            list.push_back({ { "sequence", event.sequence }, { "type", event.isStored ? "stored" : "removed" }, { "block", event.block } });
    }
    return list.dump();
}

}
