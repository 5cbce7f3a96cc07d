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
 * latest runs; it supersedes the one that began the stream, and those that continued it before. Owners of pools keep the attempts of
 * all entries, entries their own.
 */
class StreamRuns {
public:
    struct Run {
        NodeId entry;
        PoolId pool;
        AttemptId attempt;
    };
    using StopHook = std::function<void(const Run& run, RequestId supersededBy)>;

    /** An superseded request is remembered for this long after the last attempt of its stream has ended. */
    static constexpr Duration retention = std::chrono::minutes(2);
    static constexpr size_t capacity = 65536;
    /** How long a request waits for the end of the attempts that it superseded; their entries may be suspended. */
    static constexpr Duration maxWaitForEnd = std::chrono::milliseconds(200);

    /** The hook stops an attempt; it may be called again for one that has not ended. */
    StreamRuns(StopHook stop, ClockHook now);

    /** Whether a later request that continues the stream has been granted a target. */
    [[nodiscard]] bool isSuperseded(const GrantRequest& request, Instant arrivedAt) const;
    /** Stops the attempts of the requests that this one supersedes, or this one if it has been superseded. */
    void attemptGranted(NodeId entry, const GrantRequest& request, Instant arrivedAt);
    /** Whether other requests' attempts to run the stream have been stopped and not ended, so that this request should not be sent yet. */
    [[nodiscard]] bool shouldWait(StreamId stream, RequestId request) const;
    /** Whether the attempt has been stopped and not ended. */
    [[nodiscard]] bool isStopped(AttemptId attempt) const { return stops_.contains(attempt); }
    /** For an entry of an earlier release, which reports nothing else of the targets that it selects itself; ignored if the attempt is known. */
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
        std::vector<RequestId> superseded;
        Instant idleSince;
    };
    struct Stop {
        Instant since;
        Instant repeatedAt;
    };

    static bool isSuperseded(const Stream& stream, const Order& order);
    void add(StreamId id, const Attempt& attempt);
    void stopSuperseded(Stream& stream);
    /** Removes the attempts for which the function is true. */
    void dropIf(const std::function<bool(const Run&)>& isDropped);
    void forgetIdleStreams();

    StopHook stop_;
    ClockHook now_;
    absl::flat_hash_map<StreamId, Stream> streams_;
    absl::flat_hash_map<AttemptId, StreamId> streamsOfAttempts_;
    std::map<AttemptId, Stop> stops_;
    /** Streams without attempts in which a request was superseded, by the time since. */
    std::deque<std::pair<Instant, StreamId>> idleStreams_;
};

}
