#pragma once

#include "support/FaultSwitch.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

class Loop;

/** A plain service with a call that may not be repeated (POST /charges) and one that may (GET /status/ID). */
class ServiceApi {
public:
    struct Settings {
        /** Time of one call while no more than `slots` run; it grows in proportion beyond. */
        Duration callTime { std::chrono::milliseconds(5) };
        size_t slots { 16 };
        /** Age of the published load, up to twice this. */
        Duration loadDelay { std::chrono::milliseconds(200) };
    };

    ServiceApi(Loop& loop, FaultSwitch& faults, const Settings& settings);

    /** Starts the fiber that publishes the load. */
    void start();
    void handle(const HttpRequest& request, HttpExchange& exchange);

private:
    /** A call as it arrived. */
    struct Receipt {
        std::string requestId;
        std::string call;
        bool ran;
        /** On the clock that counts suspended time; the same for all processes of a machine. */
        int64_t arrivedMs;
        /** The call crashes the service. */
        bool isDeadly;
        /** When the answer was sent; zero without one. */
        int64_t answeredMs { 0 };
    };

    void handleCharge(const HttpRequest& request, HttpExchange& exchange);
    void handleStatus(const HttpRequest& request, HttpExchange& exchange);
    /** Notes the call and takes its time; the index of its receipt, none if a fault refused it, cut the connection or crashed the service. */
    std::optional<size_t> work(const HttpRequest& request, HttpExchange& exchange, const std::string& chargeId);
    /** Names the rate limit, if there is one. */
    void sendAnswer(HttpExchange& exchange, size_t receipt, int status, const std::string& json);
    void answerMetrics(HttpExchange& exchange) const;
    void answerLedger(HttpExchange& exchange) const;

    Loop& loop_;
    FaultSwitch& faults_;
    Settings settings_;
    /** How often each charge id was charged. */
    std::map<std::string, uint64_t> charges_;
    std::vector<Receipt> receipts_;
    size_t running_ { 0 };
    size_t observedRunning_ { 0 };
    size_t publishedRunning_ { 0 };
};

}
