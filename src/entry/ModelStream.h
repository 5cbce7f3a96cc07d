#pragma once

#include "briarhitch/entry/TargetClient.h"
#include "entry/EventStreamParser.h"

#include <deque>
#include <functional>

namespace briarhitch {

class Loop;

struct ModelStreamSettings {
    /** Time without a new event after which the stream is resumed on a new connection; before the first event, time without any byte. */
    Duration tokenTimeout { std::chrono::seconds(3) };
    /** Consecutive resumptions without a new event, once the first event has come. */
    uint32_t maxResumes { 4 };
};

/**
 * An engine's event stream that is resumed when its connection is lost: each event is returned exactly once and
 * in order, whichever connections break or stall.
 */
class ModelStream {
public:
    /** Waits between resumptions; sleepFor() in daemons. */
    using SleepHook = std::function<void(Duration)>;

    ModelStream(TargetClient& client, TargetCall call, ModelStreamSettings settings, Instant firstEventDeadline, ClockHook now, SleepHook sleep);

    /**
     * Sends the request. Returns the engine's response, if it is not an event stream, for the caller to
     * read; nullptr if events follow.
     */
    Result<std::shared_ptr<HttpCall>> open();
    /**
     * The next event; none after the [DONE] marker. Errors: TargetTimeout, TargetFailed, TargetClosed if the engine closed
     * the last connection, or, after cancel(), CallerLeft.
     */
    Result<std::optional<ServerSentEvent>> next();
    /** Makes open() and next() return as soon as they can; may be called from any hook. */
    void cancel();
    [[nodiscard]] uint32_t resumes() const { return resumes_; }

private:
    Result<void> resume();
    Result<void> resumeOnce();
    void dropConnection();
    Result<void> readChunk();
    Result<void> acceptEvents(std::vector<ServerSentEvent> events);
    Result<void> acceptEvent(ServerSentEvent event);
    [[nodiscard]] Duration readTimeout() const;
    /** TargetClosed if the engine closed the last connection, TargetFailed otherwise. */
    [[nodiscard]] ErrorKind lossKind() const;

    TargetClient& client_;
    TargetCall call_;
    ModelStreamSettings settings_;
    Instant firstEventDeadline_;
    ClockHook now_;
    SleepHook sleep_;
    std::shared_ptr<HttpCall> connection_;
    /** Why the last connection was lost. */
    ErrorKind lossKind_ { ErrorKind::TargetFailed };
    EventStreamParser parser_;
    std::deque<ServerSentEvent> readyEvents_;
    std::optional<uint64_t> lastEventId_;
    /** When the connection was opened or the last new event came; bytes that complete no event do not count. */
    Instant lastProgressAt_ {};
    bool hasFirstEvent_ { false };
    bool hasEnded_ { false };
    bool isCancelled_ { false };
    uint32_t resumes_ { 0 };
    uint32_t consecutiveResumes_ { 0 };
};

}
