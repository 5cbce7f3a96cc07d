#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Random.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarhitch {

/** Least recently used cache of prompt prefixes in blocks, with the events that an engine publishes of it. */
class PrefixCache {
public:
    struct Settings {
        int64_t capacityTokens { 65536 };
        /** Events become visible after this time. */
        Duration eventDelay { std::chrono::milliseconds(500) };
        /** Part of the events that is never published. */
        double eventLoss { 0.02 };
        uint64_t seed { 1 };
    };

    explicit PrefixCache(const Settings& settings);

    /** Tokens of the prompt's longest cached prefix; afterwards the whole prompt is cached. */
    int64_t use(std::string_view prompt, Instant now);
    /** Part of the capacity in use, 0 to 1. */
    [[nodiscard]] double usage() const;
    /** JSON array of the events after this sequence number that are visible now. */
    [[nodiscard]] std::string eventsAfter(uint64_t sequence, Instant now) const;

private:
    struct Event {
        uint64_t sequence;
        bool isStored;
        uint64_t block;
        Instant visibleAt;
    };

    void publish(bool isStored, uint64_t block, Instant now);

    Settings settings_;
    Random random_;
    std::list<uint64_t> recent_;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks_;
    std::deque<Event> events_;
    uint64_t lastSequence_ { 0 };
};

}
