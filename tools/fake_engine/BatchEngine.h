#pragma once

#include "fake_engine/EngineStream.h"
#include "fake_engine/PrefixCache.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace briarhitch {

class Loop;

/** Continuous batching of a language model engine: admits in arrival order, without priorities. */
class BatchEngine {
public:
    struct Settings {
        size_t slots { 8 };
        /** Time of a step in which one stream decodes. */
        Duration stepTime { std::chrono::milliseconds(10) };
        /** Part of stepTime that each further running stream adds. */
        double stepGrowth { 0.05 };
        double prefillTokensPerSecond { 8000 };
        /** A stream that nobody reads is ended after this time. */
        Duration resumeTime { std::chrono::seconds(10) };
        /** Age of the load figures that load() gives, up to twice this. */
        Duration loadDelay { std::chrono::milliseconds(200) };
        PrefixCache::Settings cache;
    };

    struct Load {
        size_t running { 0 };
        size_t waiting { 0 };
        double cacheUsage { 0 };
    };

    BatchEngine(Loop& loop, const Settings& settings, std::function<double()> slowdown);

    /** Starts the engine's fibers. */
    void start();
    /** Queues a request; a later one with the same id replaces it for find(). */
    std::shared_ptr<EngineStream> add(const std::string& id, const std::string& prompt, int64_t maxTokens);
    /** Notes a request that was received and never ran. */
    void addRefused(const std::string& id, const std::string& prompt, StreamState state, const std::string& fencingToken);
    /** nullptr if there is none. */
    [[nodiscard]] std::shared_ptr<EngineStream> find(const std::string& id) const;
    void end(EngineStream& stream, StreamState state);
    /** All received requests in the order of their arrival. */
    [[nodiscard]] const std::vector<std::shared_ptr<EngineStream>>& ledger() const { return ledger_; }
    [[nodiscard]] Loop& loop() const { return loop_; }
    [[nodiscard]] const Load& load() const { return published_; }
    [[nodiscard]] const PrefixCache& cache() const { return cache_; }

private:
    void runSteps();
    void admit();
    Duration step();
    void publishLoad();
    void endAbandoned();

    Loop& loop_;
    Settings settings_;
    std::function<double()> slowdown_;
    PrefixCache cache_;
    FiberEvent arrived_;
    std::deque<std::shared_ptr<EngineStream>> waiting_;
    std::vector<std::shared_ptr<EngineStream>> running_;
    std::vector<std::shared_ptr<EngineStream>> ledger_;
    std::map<std::string, std::shared_ptr<EngineStream>> streams_;
    Load observed_;
    Load published_;
};

}
