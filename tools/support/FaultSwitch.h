#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/http/HttpServer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace briarhitch {

class Loop;

enum class FaultMode : uint8_t {
    None,
    /** Sends nothing more, and keeps the connection open. */
    Stall,
    /** Answers 503 without running the request. */
    Refuse,
    /** Runs the request and cuts the connection. */
    Reset,
    /** Runs the request and holds the answer back. */
    Late,
};

/** The fault that a stand-in shows at present, as ordered by POST /admin/faults. */
class FaultSwitch {
public:
    explicit FaultSwitch(Loop& loop);

    /**
     * Reads {"mode", "count", "after_events", "late_ms", "slowdown", "rate_limit", "crash_on"}; all are optional. A request
     * with the text `crash_on` crashes the stand-in when it begins to run it. `count` is the
     * number of connections that the mode hits (0: all), `after_events` the events that a stream sends
     * before it does, `rate_limit` the requests per second that responses name as limit. An empty object ends all
     * faults. BadRequest if a field is wrong.
     */
    Result<void> set(std::string_view json);
    /** True if the mode hits a connection that has sent this many events; uses up one of the count. */
    bool take(FaultMode mode, int64_t eventsSent = 0);
    /** Factor on the time that work takes, at least 0.01. */
    [[nodiscard]] double slowdown() const { return slowdown_; }
    [[nodiscard]] Duration lateness() const { return lateness_; }
    /** Requests per second that responses name as limit; none without a limit. */
    [[nodiscard]] std::optional<double> rateLimit() const { return rateLimit_; }
    /** Whether a prompt, path or body crashes the stand-in that begins to run it. */
    [[nodiscard]] bool crashesOn(std::string_view text) const { return !crashText_.empty() && text.find(crashText_) != std::string_view::npos; }
    /** The stand-in ends: all its connections close, none is accepted for a while, and what it ran is lost. */
    void crash();
    [[nodiscard]] bool isDown() const;
    /** Crashes so far; what began before one is lost. */
    [[nodiscard]] uint64_t crashes() const { return crashes_; }
    /** Called when a crash begins, with the time until the stand-in is back. */
    void setCrashHook(std::function<void(Duration)> hook) { onCrash_ = std::move(hook); }
    void setCrashText(std::string text) { crashText_ = std::move(text); }
    void setRateLimit(double requestsPerSecond) { rateLimit_ = requestsPerSecond; }
    /** Blocks the fiber until the faults change or the caller leaves. */
    void holdConnection(HttpExchange& exchange);
    /** Handles POST /admin/faults. */
    void answer(const HttpRequest& request, HttpExchange& exchange);

private:
    Loop& loop_;
    FaultMode mode_ { FaultMode::None };
    /** Connections that are still to be hit; negative means all. */
    int64_t remaining_ { 0 };
    int64_t afterEvents_ { 0 };
    Duration lateness_ { 0 };
    double slowdown_ { 1 };
    std::optional<double> rateLimit_;
    std::string crashText_;
    std::function<void(Duration)> onCrash_;
    uint64_t crashes_ { 0 };
    Instant downUntil_ {};
    uint64_t orders_ { 0 };
};

}
