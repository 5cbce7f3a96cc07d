#pragma once

#include "briarhitch/entry/TargetClient.h"
#include "entry/EventStreamParser.h"

#include <deque>
#include <functional>

namespace briarhitch {

class Loop;

struct ModelStreamSettings {
    /** Time without a new event after which the stream is resumed on a new connection; before the first one, silence. */
    Duration tokenTimeout { std::chrono::seconds(3) };
    /** Resumptions without a new event in between, once the first event has come. */
    uint32_t maxResumes { 4 };
};

/**
 * An engine's event stream that outlives its connections: each event is returned exactly once and in
 * order, whatever connections break or go silent.
 */
class ModelStream {
public:
    /** Waits between resumptions; sleepFor() in daemons. */
    using SleepHook = std::function<void(Duration)>;

    ModelStream(TargetClient& client, TargetCall call, ModelStreamSettings settings, Instant firstEventDeadline, ClockHook now, SleepHook sleep);

    /**
     * Sends the request. Returns the engine's answer, if that is not an event stream, for the caller to
     * read; nullptr if events follow.
     */
    Result<std::shared_ptr<HttpCall>> open();
    /** The next event; none after the end mark. TargetTimeout, TargetFailed or, after cancel(), CallerLeft. */
    Result<std::optional<ServerSentEvent>> next();
    /** Makes open() and next() return as soon as they can; may be called from any hook. */
    void cancel();
    [[nodiscard]] uint32_t resumes() const { return resumes_; }

private:
    Result<void> resume();
    Result<void> resumeOnce();
    void loseConnection();
    Result<void> readPart();
    Result<void> accept(std::vector<ServerSentEvent> events);
    Result<void> acceptOne(ServerSentEvent event);
    [[nodiscard]] Duration readTimeout() const;

    TargetClient& client_;
    TargetCall call_;
    ModelStreamSettings settings_;
    Instant firstEventDeadline_;
    ClockHook now_;
    SleepHook sleep_;
    std::shared_ptr<HttpCall> connection_;
    EventStreamParser splitter_;
    std::deque<ServerSentEvent> ready_;
    std::optional<uint64_t> lastEventId_;
    /** When the connection was opened or the last new event came; bytes that complete no event are no progress. */
    Instant progressAt_ {};
    bool hasEvents_ { false };
    bool isOver_ { false };
    bool isCancelled_ { false };
    uint32_t resumes_ { 0 };
    uint32_t resumesInARow_ { 0 };
};

}
