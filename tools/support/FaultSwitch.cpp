#include "support/FaultSwitch.h"

#include "briarhitch/runtime/Loop.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration holdCheckInterval = 20ms;
    constexpr Duration crashTime = 1500ms;
    constexpr double smallestSlowdown = 0.01;
    constexpr std::array<std::string_view, 5> modeNames { "none", "stall", "refuse", "reset", "late" };

}

FaultSwitch::FaultSwitch(Loop& loop)
    : loop_(loop)
{
}

Result<void> FaultSwitch::set(std::string_view json)
{
    auto order = nlohmann::json::parse(json, nullptr, false);
    if (!order.is_object())
        return fail(ErrorKind::BadRequest, "faults must be a JSON object");
    try {
        const auto* name = std::find(modeNames.begin(), modeNames.end(), order.value("mode", std::string("none")));
        if (name == modeNames.end())
            return fail(ErrorKind::BadRequest, "mode must be none, stall, refuse, reset or late");
        auto count = order.value("count", int64_t { 0 });
        lateness_ = std::chrono::milliseconds(order.value("late_ms", int64_t { 0 }));
        slowdown_ = std::max(smallestSlowdown, order.value("slowdown", 1.0));
        afterEvents_ = order.value("after_events", int64_t { 0 });
        rateLimit_ = order.contains("rate_limit") ? std::optional(order.at("rate_limit").get<double>()) : std::nullopt;
        crashText_ = order.value("crash_on", std::string());
        remaining_ = count > 0 ? count : -1;
        mode_ = static_cast<FaultMode>(name - modeNames.begin());
    } catch (const nlohmann::json::exception&) {
        return fail(ErrorKind::BadRequest, "a field of the faults has the wrong type");
    }
    ++orders_;
    return {};
}

void FaultSwitch::crash()
{
    downUntil_ = BootClock::now() + crashTime;
    ++crashes_;
    if (onCrash_)
        onCrash_(crashTime);
}

bool FaultSwitch::isDown() const
{
    return BootClock::now() < downUntil_;
}

bool FaultSwitch::take(FaultMode mode, int64_t eventsSent)
{
    if (mode_ != mode || remaining_ == 0 || eventsSent < afterEvents_)
        return false;
    if (remaining_ > 0)
        --remaining_;
    return true;
}

void FaultSwitch::holdConnection(HttpExchange& exchange)
{
    auto order = orders_;
    while (orders_ == order && !exchange.isCallerDisconnected())
        sleepFor(loop_, holdCheckInterval);
}

void FaultSwitch::answer(const HttpRequest& request, HttpExchange& exchange)
{
    if (auto result = set(request.body.text()); !result) {
        sendError(exchange, result.error());
        return;
    }
    exchange.send(200, { { "Content-Type", "application/json" } }, "{}");
}

}
