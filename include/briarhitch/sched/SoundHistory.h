#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/model/Suspect.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace briarhitch {

/** When targets last served each suspect, for ten seconds; bounded, drops the oldest. */
class SoundHistory {
public:
    void remember(SuspectId id, Instant now);
    [[nodiscard]] bool contains(SuspectId id) const { return lastAt_.contains(id); }
    /** Whether a target served it less than this long ago; `time`: at most ten seconds. */
    [[nodiscard]] bool isWithin(SuspectId id, Duration time, Instant now) const;

private:
    struct Record {
        SuspectId id;
        Instant at;
    };

    absl::flat_hash_map<SuspectId, Instant> lastAt_;
    /** In order of time; one for each change in lastAt_. */
    std::deque<Record> records_;
};

}
