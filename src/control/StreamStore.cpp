#include "briarhitch/control/StreamStore.h"

#include <algorithm>

namespace briarhitch {

namespace {

    uint64_t toWireTime(Instant time) { return static_cast<uint64_t>(toMs(time.time_since_epoch())); }
    Instant fromWireTime(uint64_t timeMs) { return Instant(std::chrono::milliseconds(timeMs)); }

}

void StreamStore::record(const std::vector<StreamGroup>& groups, Duration elapsed)
{
    time_ += std::clamp<Duration>(elapsed, Duration::zero(), maxElapsed);
    streams_.tick(time_);
    for (const auto& group : groups) {
        for (auto stream : group.streams)
            streams_.record({ stream, group.softwareVersion, group.service }, time_);
    }
}

StreamStoreSnapshot StreamStore::takeSnapshot() const
{
    StreamStoreSnapshot snapshot;
    snapshot.timeMs = toWireTime(time_);
    streams_.forEach([&](Instant recordedAt, const StreamBinding& binding) {
        auto timeMs = toWireTime(recordedAt);
        if (snapshot.batches.empty() || snapshot.batches.back().timeMs != timeMs)
            snapshot.batches.push_back({ timeMs, {} });
        addToGroups(snapshot.batches.back().groups, binding);
    });
    return snapshot;
}

void StreamStore::restore(const StreamStoreSnapshot& snapshot)
{
    *this = StreamStore();
    for (const auto& batch : snapshot.batches) {
        time_ = fromWireTime(batch.timeMs);
        record(batch.groups, Duration::zero());
    }
    time_ = fromWireTime(snapshot.timeMs);
}

}
