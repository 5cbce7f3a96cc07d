#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/runtime/Loop.h"
#include "platform/soak/LedgerTargets.h"

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace briarhitch::platform {

struct StreamCallersSettings {
    uint64_t seed { 1 };
    /** Name and host of each entry. */
    std::vector<std::pair<std::string, std::string>> entries;
    uint16_t port { 0 };
    size_t callers { 24 };
};

/** What callers did, and what came of it. */
struct StreamCallersCounts {
    size_t streams { 0 };
    size_t wholeStreams { 0 };
    size_t continuations { 0 };
    /** Continued while the connection before stayed open and silent. */
    size_t silentContinuations { 0 };
    /** Continued by two requests at once. */
    size_t doubleContinuations { 0 };
    size_t charges { 0 };
    size_t paidCharges { 0 };
};

/**
 * Callers that read streams and continue them through any entry after a pause, a break, or for no reason; they close the connection before, or
 * keep it open without reading. Others send charges. In a thread of their own.
 */
class StreamCallers {
public:
    StreamCallers(StreamCallersSettings settings, LedgerTargets& targets);
    ~StreamCallers();

    /** Lets requests that are under way end; silent connections stay open until this object is destroyed. */
    void stop();

    // To be read after stop().
    StreamCallersCounts counts;
    /** Events that came twice, were missing, or were out of order. */
    std::vector<std::string> violations;

private:
    /** What a caller has of its stream. */
    struct Progress {
        /** The request that brought the first event. */
        std::string firstRequest;
        int lastEvent { 0 };
        bool isWhole { false };
    };
    using Call = std::shared_ptr<HttpCall>;

    void run();
    void followStreams(uint64_t seed);
    void followStream(Random& random, const std::string& name);
    void sendCharges(uint64_t seed);
    /** Sends a request for the stream; the call stays open even if there is no response in time. */
    std::pair<Call, bool> open(Random& random, const std::string& id, const Progress& progress);
    /** Reads until the end, a pause, or this many events. */
    void read(HttpCall& call, const std::string& id, Progress& progress, int maxEvents);
    [[nodiscard]] const std::pair<std::string, std::string>& pickEntry(Random& random) const { return settings_.entries[random.below(settings_.entries.size())]; }

    StreamCallersSettings settings_;
    LedgerTargets& targets_;
    std::atomic<bool> isStopping_ { false };
    std::promise<void> stopped_;
    std::shared_future<void> hasStopped_ { stopped_.get_future() };
    std::atomic<bool> isClosing_ { false };
    Loop* loop_ { nullptr };
    HttpClient* client_ { nullptr };
    size_t runningFibers_ { 0 };
    std::vector<Call> silentCalls_;
    std::thread thread_;
};

}
