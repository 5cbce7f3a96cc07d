#pragma once

#include "briarhitch/core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/** One caller that a process holds memory for: a connection that reads a request or writes a response. */
using HolderId = uint64_t;

struct ReadAdmissionSettings {
    /** Time over which progress is judged. */
    Duration progressWindow { std::chrono::seconds(1) };
    /** A holder that moved fewer bytes in the window stands still: a body of 4 MiB at this rate takes a minute. */
    size_t minWindowBytes { 64 * 1024 };
    /** Longest time without reading before a request is refused. */
    Duration maxWait { std::chrono::milliseconds(1500) };
    /** Received bytes extend the time for a request at this rate, so that a slow but steady caller is served. */
    size_t minBytesPerSecond { 32 * 1024 };
};

enum class ReadDecision : uint8_t {
    Proceed,
    /** Do not read for now. */
    Wait,
    /** Refuse the request as not run. */
    Refuse,
};

/** Decides who may read, waits, is refused, or is closed to make room. */
class ReadAdmission {
public:
    explicit ReadAdmission(const ReadAdmissionSettings& settings);

    HolderId add(Instant now);
    void remove(HolderId holder);
    void addHeld(HolderId holder, size_t bytes);
    /** The holder is being closed, and is not a victim again. */
    void forgetHeld(HolderId holder);
    void recordProgress(HolderId holder, size_t bytes, Instant now);

    /** After an attempt to charge: large requests proceed in the order in which they began to wait; small ones at once. */
    ReadDecision decide(HolderId holder, bool hasRoom, bool isSmall, Instant now);
    /** Whether a large request may try to charge: nobody began to wait before it. */
    [[nodiscard]] bool isNext(HolderId holder) const;
    /** Time until the request counts as not arriving, if `allowed` is the time for one that is not received at all. */
    [[nodiscard]] Duration timeLeft(HolderId holder, Duration allowed, Instant now) const;
    /** Of those that stand still, the holder of most bytes for longest. */
    [[nodiscard]] std::optional<HolderId> victim(HolderId asking, Instant now) const;

private:
    struct Holder {
        Instant since;
        size_t heldBytes { 0 };
        size_t movedBytes { 0 };
        Instant windowStart;
        size_t windowBytes { 0 };
        /** Bytes of the window before the present one. */
        size_t lastWindowBytes { SIZE_MAX };
        std::optional<Instant> waitsSince;
    };

    [[nodiscard]] bool standsStill(const Holder& holder, Instant now) const;
    void stopWaiting(HolderId holder, Instant now);

    ReadAdmissionSettings settings_;
    std::map<HolderId, Holder> holders_;
    /** Large requests that wait, in order. */
    std::vector<HolderId> waiting_;
    HolderId lastId_ { 0 };
};

}
