#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/core/Units.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

/** Events of recent requests: why each was queued, routed, limited, retried or refused. Never holds keys or prompts. */
class RequestHistory {
public:
    RequestHistory(size_t maxRequests, ClockHook now);

    void begin(RequestId request, const std::string& customer, const std::string& workKind, Tier tier);
    /** Ignored for a request that is no longer held; keeps at most 64 events of each request. */
    void add(RequestId request, const std::string& event, const std::string& reason = {}, const LogFields& fields = {});
    /** Writes a log line for each event of the request; meant for failed, late, retried and sampled requests. */
    void writeLog(RequestId request, const std::string& callerId) const;
    /** JSON object with all events; empty if the request is not held. */
    [[nodiscard]] std::string toJson(RequestId request) const;
    [[nodiscard]] size_t size() const { return records_.size(); }

private:
    struct Event {
        Duration sinceStart;
        std::string name;
        std::string reason;
        LogFields fields;
    };
    struct Record {
        Instant startedAt;
        int64_t wallClockMs { 0 };
        std::string customer;
        std::string workKind;
        Tier tier;
        std::vector<Event> events;
        size_t droppedEvents { 0 };
    };

    size_t maxRequests_;
    ClockHook now_;
    std::map<RequestId, Record> records_;
    std::deque<RequestId> requestOrder_;
};

}
