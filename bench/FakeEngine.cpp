#include "FakeEngine.h"

#include <algorithm>

namespace briarhitch::bench {

namespace {

    // Steps that also compute a prompt take longer, so streams run slower meanwhile.
    constexpr double decodePartWhilePrefilling = 0.5;

    int64_t sizeOf(const EngineRequest& request)
    {
        return request.promptTokens + request.outputTokens;
    }

}

int64_t FakeEngine::cachedTokens(const EngineRequest& request) const
{
    int64_t blocks = 0;
    for (uint32_t block : request.prefix) {
        if (!cache_.contains(block))
            break;
        ++blocks;
    }
    // The last prompt token is always computed.
    return std::min(blocks * blockTokens, request.promptTokens - 1);
}

void FakeEngine::remember(const std::vector<uint32_t>& prefix)
{
    for (uint32_t block : prefix) {
        auto known = cache_.find(block);
        if (known != cache_.end())
            cacheByAge_.erase(known->second);
        cacheByAge_.push_front(block);
        cache_[block] = cacheByAge_.begin();
    }
    shrinkCache();
}

void FakeEngine::shrinkCache()
{
    while (!cacheByAge_.empty() && static_cast<int64_t>(cacheByAge_.size()) * blockTokens + runningTokens_ > spec_.memoryTokens) {
        cache_.erase(cacheByAge_.back());
        cacheByAge_.pop_back();
    }
}

void FakeEngine::admit()
{
    while (!waiting_.empty() && running_.size() < spec_.slots) {
        auto& next = waiting_.front();
        if (!running_.empty() && runningTokens_ + sizeOf(next.request) > spec_.memoryTokens)
            return;
        next.cached = cachedTokens(next.request);
        runningTokens_ += sizeOf(next.request);
        running_.push_back(std::move(next));
        waiting_.pop_front();
        shrinkCache();
    }
}

bool FakeEngine::prefill(double seconds, std::vector<EngineEvent>& events)
{
    double budget = spec_.prefillTokensPerSecond * speed_ * seconds;
    bool didPrefill = false;
    for (auto& sequence : running_) {
        if (sequence.isPrefilled())
            continue;
        if (budget <= 0)
            break;
        didPrefill = true;
        const double part = std::min(budget, static_cast<double>(sequence.request.promptTokens) - sequence.cached - sequence.prefilled);
        sequence.prefilled += part;
        prefillTotal_ += part;
        budget -= part;
        if (sequence.isPrefilled()) {
            events.push_back({ sequence.request.attempt, EngineEvent::Type::FirstToken });
            remember(sequence.request.prefix);
        }
    }
    return didPrefill;
}

void FakeEngine::step(double seconds, std::vector<EngineEvent>& events)
{
    admit();
    if (running_.empty())
        return;
    const bool didPrefill = prefill(seconds, events);
    const double rate = spec_.decodeTokensPerSecond * speed_ / (1 + static_cast<double>(running_.size()) / spec_.halfSpeedBatch);
    const double decoded = rate * seconds * (didPrefill ? decodePartWhilePrefilling : 1);
    for (auto& sequence : running_) {
        if (!sequence.isPrefilled())
            continue;
        sequence.decoded += decoded;
        if (sequence.decoded >= static_cast<double>(sequence.request.outputTokens)) {
            events.push_back({ sequence.request.attempt, EngineEvent::Type::Done });
            runningTokens_ -= sizeOf(sequence.request);
        }
    }
    std::erase_if(running_, [](const Sequence& sequence) { return sequence.isPrefilled() && sequence.decoded >= static_cast<double>(sequence.request.outputTokens); });
}

double FakeEngine::cancel(AttemptId attempt)
{
    auto matches = [&](const Sequence& sequence) { return sequence.request.attempt == attempt; };
    if (std::erase_if(waiting_, matches) > 0)
        return 0;
    auto it = std::find_if(running_.begin(), running_.end(), matches);
    if (it == running_.end())
        return 0;
    const double computed = it->prefilled;
    runningTokens_ -= sizeOf(it->request);
    running_.erase(it);
    return computed;
}

double FakeEngine::prefilled(AttemptId attempt) const
{
    auto it = std::find_if(running_.begin(), running_.end(), [&](const Sequence& sequence) { return sequence.request.attempt == attempt; });
    return it == running_.end() ? 0 : it->prefilled;
}

std::vector<AttemptId> FakeEngine::loseAll()
{
    std::vector<AttemptId> lost;
    for (const auto& sequence : running_)
        lost.push_back(sequence.request.attempt);
    for (const auto& sequence : waiting_)
        lost.push_back(sequence.request.attempt);
    running_.clear();
    waiting_.clear();
    runningTokens_ = 0;
    cache_.clear();
    cacheByAge_.clear();
    return lost;
}

}
