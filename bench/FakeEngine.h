#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace briarhitch::bench {

/** Speeds of one hardware generation. */
struct EngineSpec {
    const char* hardware;
    uint32_t slots;
    double prefillTokensPerSecond;
    /** Of one stream that runs alone. */
    double decodeTokensPerSecond;
    /** Batch size at which each stream runs at half speed. */
    double halfSpeedBatch;
    /** Memory for running requests and for cached prefixes together. */
    int64_t memoryTokens;
};

struct EngineRequest {
    AttemptId attempt;
    int64_t promptTokens { 0 };
    int64_t outputTokens { 0 };
    std::vector<uint32_t> prefix;
};

struct EngineEvent {
    AttemptId attempt;
    enum class Type : uint8_t {
        FirstToken,
        Done,
    } type;
};

/**
 * A stand-in for a language model engine: continuous batching, admission in arrival order, no priorities, a prefix
 * cache in limited memory. Time advances in steps given by the caller.
 */
class FakeEngine {
public:
    static constexpr int64_t blockTokens = 256;

    explicit FakeEngine(const EngineSpec& spec)
        : spec_(spec)
    {
    }

    void submit(EngineRequest request) { waiting_.push_back({ std::move(request), 0, 0, 0 }); }
    /** Returns the prompt tokens that were computed for it. */
    double cancel(AttemptId attempt);
    /** Appends what happened during the step. */
    void step(double seconds, std::vector<EngineEvent>& events);
    /** Loses its cache and all requests, whose ids are returned. */
    std::vector<AttemptId> loseAll();
    void setSpeed(double factor) { speed_ = factor; }
    /** Prompt tokens computed so far for a request that is still there; zero if it is not. */
    [[nodiscard]] double prefilled(AttemptId attempt) const;

    [[nodiscard]] const EngineSpec& spec() const { return spec_; }
    [[nodiscard]] size_t running() const { return running_.size(); }
    [[nodiscard]] size_t waiting() const { return waiting_.size(); }
    /** Prompt tokens computed in total. */
    [[nodiscard]] double prefillTotal() const { return prefillTotal_; }

private:
    struct Sequence {
        EngineRequest request;
        /** Prompt tokens that need no computing. */
        int64_t cached { 0 };
        double prefilled { 0 };
        double decoded { 0 };

        [[nodiscard]] bool isPrefilled() const { return cached + prefilled >= static_cast<double>(request.promptTokens); }
    };

    void admit();
    bool prefill(double seconds, std::vector<EngineEvent>& events);
    void remember(const std::vector<uint32_t>& prefix);
    void shrinkCache();
    [[nodiscard]] int64_t cachedTokens(const EngineRequest& request) const;

    EngineSpec spec_;
    double speed_ { 1 };
    std::deque<Sequence> waiting_;
    std::vector<Sequence> running_;
    int64_t runningTokens_ { 0 };
    std::list<uint32_t> cacheByAge_;
    std::unordered_map<uint32_t, std::list<uint32_t>::iterator> cache_;
    double prefillTotal_ { 0 };
};

}
