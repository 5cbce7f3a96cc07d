#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/wire/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <compare>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/**
 * The attempts that run streams which callers may continue, from their grants on. Of the requests that continue a stream only the
 * latest runs; it overtakes the one that began the stream, and those that continued it before. Owners of pools keep the attempts of
 * all entries, entries their own.
 */
class StreamRuns {
public:
    struct Run {
        NodeId entry;
        PoolId pool;
        AttemptId attempt;
    };
    using StopHook = std::function<void(const Run& run, RequestId overtakenBy)>;

    /** An overtaken request is remembered for this long after the last attempt of its stream has ended. */
    static constexpr Duration retention = std::chrono::minutes(2);
    static constexpr size_t capacity = 65536;
    /** How long a request waits for the end of the attempts that it overtook; their entries may be suspended. */
    static constexpr Duration maxWaitForEnd = std::chrono::milliseconds(200);

    /** The hook stops an attempt; it may be called again for one that has not ended. */
    StreamRuns(StopHook stop, ClockHook now);

    /** Whether a later request that continues the stream has been granted a target. */
    [[nodiscard]] bool isOvertaken(const GrantRequest& request, Instant arrivedAt) const;
    /** Stops the attempts of the requests that this one overtakes, or this one if it has been overtaken. */
    void attemptGranted(NodeId entry, const GrantRequest& request, Instant arrivedAt);
    /** Whether attempts that the request overtook have not ended, and it should not be sent yet. */
    [[nodiscard]] bool shouldWait(const GrantRequest& request) const;
    /** Ignored if the attempt is known; otherwise its entry selected the target, and says nothing else of it. */
    void attemptStarted(NodeId entry, const AttemptStarted& started);
    /** The time since the attempt was first stopped; none if it was not. */
    std::optional<Duration> attemptEnded(AttemptId attempt);
    /** The entry has ended, and its attempts with it. */
    void forgetEntry(NodeId entry);
    void forgetPool(PoolId pool);
    /** Drops the entry's attempts in the pool for which the function is false. */
    void retain(NodeId entry, PoolId pool, const std::function<bool(AttemptId)>& isRunning);
    /** When the request of this attempt arrived at its entry. */
    [[nodiscard]] std::optional<Instant> arrivedAt(AttemptId attempt) const;
    /** Stops attempts again that have not ended, since the message may have been lost. */
    void tick();
    [[nodiscard]] size_t streamCount() const { return streams_.size(); }

private:
    /** The greater one is the later request; any request that continues a stream is later than the one that began it. */
    struct Order {
        bool isContinuation { false };
        Instant arrivedAt;
        RequestId request;

        auto operator<=>(const Order&) const = default;
    };
    struct Attempt {
        Run run;
        Order order;
    };
    struct Stream {
        std::optional<Order> latestContinuation;
        std::vector<Attempt> attempts;
        /** Kept by id too, because a message that was delayed makes its request seem to have arrived later. */
        std::vector<RequestId> overtaken;
        Instant idleSince;
    };
    struct Stop {
        Instant since;
        Instant repeatedAt;
    };

    static bool isOvertaken(const Stream& stream, const Order& order);
    void add(StreamId id, const Attempt& attempt);
    void stopOvertaken(Stream& stream);
    /** Removes the attempts for which the function is true. */
    void dropIf(const std::function<bool(const Run&)>& isDropped);
    void forgetIdleStreams();

    StopHook stop_;
    ClockHook now_;
    absl::flat_hash_map<StreamId, Stream> streams_;
    absl::flat_hash_map<AttemptId, StreamId> streamsOfAttempts_;
    std::map<AttemptId, Stop> stops_;
    /** Streams without attempts in which a request was overtaken, by the time since. */
    std::deque<std::pair<Instant, StreamId>> idleStreams_;
};

}
