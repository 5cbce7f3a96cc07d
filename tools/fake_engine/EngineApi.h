#pragma once

#include "fake_engine/BatchEngine.h"
#include "support/FaultSwitch.h"

namespace briarhitch {

/** The stand-in's HTTP API: OpenAI-compatible requests, streams, load, cache events and administration. */
class EngineApi {
public:
    EngineApi(BatchEngine& engine, FaultSwitch& faults, bool checksFencing);

    void handle(const HttpRequest& request, HttpExchange& exchange);

private:
    void handleCompletion(const HttpRequest& request, HttpExchange& exchange, bool isChat);
    void handleStream(const HttpRequest& request, HttpExchange& exchange);
    /** True if the token is older than one seen before and tokens are checked. */
    bool isFenced(const HttpRequest& request);
    void sendEvents(EngineStream& stream, int64_t firstEvent, HttpExchange& exchange);
    void sendWhole(EngineStream& stream, HttpExchange& exchange);
    /** The engine ends, and all its streams with it. */
    void crash();
    void answerMetrics(HttpExchange& exchange) const;
    void answerLedger(HttpExchange& exchange) const;

    BatchEngine& engine_;
    FaultSwitch& faults_;
    bool checksFencing_;
    uint64_t newestFencingToken_ { 0 };
    uint64_t unnamedRequests_ { 0 };
};

}
