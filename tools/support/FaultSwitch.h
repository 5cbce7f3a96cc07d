#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/http/HttpServer.h"

#include <cstdint>
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
     * Reads {"mode", "count", "after_events", "late_ms", "slowdown", "rate_limit", "crash_on"}; all are optional. A prompt
     * with the text `crash_on` crashes the engine when it begins to answer it. `count` is the
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
    /** Whether a prompt crashes the engine that begins to answer it. */
    [[nodiscard]] bool crashesOn(std::string_view prompt) const { return !crashText_.empty() && prompt.find(crashText_) != std::string_view::npos; }
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
    uint64_t orders_ { 0 };
};

}
