#include "briarhitch/entry/RequestHistory.h"

#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr size_t maxEvents = 64;
    /** Reasons may come from other processes, so their size is bounded. */
    constexpr size_t maxReasonBytes = 200;
    constexpr double msPerSecond = 1000;

}

RequestHistory::RequestHistory(size_t maxRequests, ClockHook now)
    : maxRequests_(maxRequests)
    , now_(std::move(now))
{
}

void RequestHistory::begin(RequestId request, const std::string& customer, const std::string& workKind, Tier tier)
{
    auto [it, isNew] = records_.try_emplace(request);
    if (!isNew)
        return;
    it->second.startedAt = now_();
    it->second.wallClockMs = wallClockMs();
    it->second.customer = customer;
    it->second.workKind = workKind.substr(0, maxReasonBytes);
    it->second.tier = tier;
    requestOrder_.push_back(request);
    while (requestOrder_.size() > maxRequests_) {
        records_.erase(requestOrder_.front());
        requestOrder_.pop_front();
    }
}

void RequestHistory::add(RequestId request, const std::string& event, const std::string& reason, const LogFields& fields)
{
    auto it = records_.find(request);
    if (it == records_.end())
        return;
    auto& record = it->second;
    if (record.events.size() >= maxEvents) {
        ++record.droppedEvents;
        return;
    }
    record.events.push_back({ now_() - record.startedAt, event, reason.substr(0, maxReasonBytes), fields });
}

std::string RequestHistory::toJson(RequestId request) const
{
    auto it = records_.find(request);
    if (it == records_.end())
        return {};
    const auto& record = it->second;
    nlohmann::ordered_json json;
    json["request"] = toString(request);
    json["begun_unix_ms"] = record.wallClockMs;
    json["customer"] = record.customer;
    json["work"] = record.workKind;
    json["tier"] = record.tier.value();
    json["events"] = nlohmann::ordered_json::array();
    for (const auto& event : record.events) {
        nlohmann::ordered_json entry { { "after_ms", toSeconds(event.sinceStart) * msPerSecond }, { "event", event.name }, { "reason", event.reason } };
        for (const auto& [name, value] : event.fields)
            std::visit([&, key = name](const auto& fieldValue) { entry[key] = fieldValue; }, value);
        json["events"].push_back(std::move(entry));
    }
    json["dropped_events"] = record.droppedEvents;
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void RequestHistory::writeLog(RequestId request, const std::string& callerId) const
{
    static const Log log("request:");
    auto it = records_.find(request);
    if (it == records_.end())
        return;
    const auto& record = it->second;
    for (const auto& event : record.events) {
        LogFields fields { { "request", callerId }, { "work", record.workKind }, { "tier", int64_t(record.tier.value()) },
            { "begun_unix_ms", record.wallClockMs }, { "after_ms", toSeconds(event.sinceStart) * msPerSecond } };
        if (!event.reason.empty())
            fields.emplace_back("reason", event.reason);
        fields.insert(fields.end(), event.fields.begin(), event.fields.end());
        log.event(event.name, fields);
    }
}

}
