#pragma once

#include "briarhitch/model/StreamBinding.h"
#include "briarhitch/sched/StreamBindings.h"

#include <optional>
#include <vector>

namespace briarhitch {

/** The content of a StreamStore, as stored in a snapshot: what was last recorded at each time, oldest first. */
struct StreamStoreSnapshot {
    struct Batch {
        /** Of the store's clock. */
        uint64_t timeMs { 0 };
        std::vector<StreamGroup> groups;

        template <class V>
        void fields(V& visit)
        {
            visit(timeMs, groups);
        }
    };

    uint64_t timeMs { 0 };
    std::vector<Batch> batches;

    template <class V>
    void fields(V& visit)
    {
        visit(timeMs, batches);
    }
};

/**
 * The durable record of what streams are bound to; part of the replicated state. Its clock is the sum of the times that the
 * leaders measured between their commands, so it does not depend on the time of day.
 */
class StreamStore {
public:
    static constexpr size_t capacity = 262144;
    /** Longest time between two commands that counts; a leader that was suspended does not end the retention of all. */
    static constexpr Duration maxElapsed = std::chrono::seconds(10);

    /** Keeps the binding that was recorded first, for another StreamBindings::retention. */
    void record(const std::vector<StreamGroup>& groups, Duration elapsed);
    [[nodiscard]] std::optional<StreamBinding> find(StreamId stream) const { return streams_.find(stream, time_); }
    [[nodiscard]] size_t size() const { return streams_.size(); }
    [[nodiscard]] StreamStoreSnapshot takeSnapshot() const;
    void restore(const StreamStoreSnapshot& snapshot);

private:
    Instant time_ {};
    StreamBindings streams_ { capacity };
};

}
