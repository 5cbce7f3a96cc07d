#include "fake_engine/BatchEngine.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/runtime/Loop.h"
#include "support/ExpectedAnswer.h"

#include <algorithm>

namespace briarhitch {

namespace {

    // Prefill shares each step with decoding, so that a long prompt doesn't stop the other streams.
    constexpr int64_t prefillTokensPerStep = 512;

    void wakeReaders(EngineStream& stream)
    {
        stream.progressed.set();
        stream.progressed.reset();
    }

}

BatchEngine::BatchEngine(Loop& loop, const Settings& settings, std::function<double()> slowdown)
    : loop_(loop)
    , settings_(settings)
    , slowdown_(std::move(slowdown))
    , cache_(settings.cache)
    , arrived_(loop)
{
}

void BatchEngine::start()
{
    loop_.spawn([this] { runSteps(); });
    loop_.spawn([this] {
        for (;;) {
            sleepFor(loop_, settings_.loadDelay);
            publishLoad();
        }
    });
}

std::shared_ptr<EngineStream> BatchEngine::add(const std::string& id, const std::string& prompt, int64_t maxTokens)
{
    auto stream = std::make_shared<EngineStream>(loop_);
    stream->id = id;
    stream->promptHash = stableHash(prompt);
    stream->promptTokens = promptTokens(prompt);
    stream->cachedTokens = std::min(stream->promptTokens, cache_.use(prompt, BootClock::now()));
    stream->prefillLeft = stream->promptTokens - stream->cachedTokens;
    stream->tokensWanted = answerTokens(prompt, maxTokens);
    stream->lastRead = stream->arrivedAt = BootClock::now();
    ledger_.push_back(stream);
    streams_[id] = stream;
    waiting_.push_back(stream);
    arrived_.set();
    return stream;
}

void BatchEngine::addRefused(const std::string& id, const std::string& prompt, StreamState state, const std::string& fencingToken)
{
    auto stream = std::make_shared<EngineStream>(loop_);
    stream->id = id;
    stream->promptHash = stableHash(prompt);
    stream->state = state;
    stream->fencingToken = fencingToken;
    ledger_.push_back(stream);
}

std::shared_ptr<EngineStream> BatchEngine::find(const std::string& id) const
{
    auto it = streams_.find(id);
    return it == streams_.end() ? nullptr : it->second;
}

void BatchEngine::end(EngineStream& stream, StreamState state)
{
    if (stream.isOver())
        return;
    stream.state = state;
    wakeReaders(stream);
}

void BatchEngine::runSteps()
{
    for (;;) {
        endAbandoned();
        admit();
        if (running_.empty()) {
            arrived_.reset();
            arrived_.wait();
            continue;
        }
        sleepFor(loop_, step());
    }
}

void BatchEngine::admit()
{
    std::erase_if(running_, [](const auto& stream) { return stream->isOver(); });
    while (running_.size() < settings_.slots && !waiting_.empty()) {
        auto stream = waiting_.front();
        waiting_.pop_front();
        if (stream->isOver())
            continue;
        stream->state = StreamState::Running;
        running_.push_back(stream);
    }
}

Duration BatchEngine::step()
{
    int64_t prefillBudget = prefillTokensPerStep;
    size_t decoding = 0;
    for (const auto& stream : running_) {
        if (stream->prefillLeft > 0) {
            auto part = std::min(prefillBudget, stream->prefillLeft);
            stream->prefillLeft -= part;
            prefillBudget -= part;
            continue;
        }
        ++decoding;
        ++stream->tokensDone;
        if (stream->tokensDone >= stream->tokensWanted)
            stream->state = StreamState::Done;
        wakeReaders(*stream);
    }
    double prefillSeconds = static_cast<double>(prefillTokensPerStep - prefillBudget) / settings_.prefillTokensPerSecond;
    double decodeSeconds = 0;
    if (decoding > 0)
        decodeSeconds = toSeconds(settings_.stepTime) * (1 + settings_.stepGrowth * static_cast<double>(decoding - 1));
    return fromSeconds((prefillSeconds + decodeSeconds) * slowdown_());
}

void BatchEngine::publishLoad()
{
    published_ = observed_;
    auto waiting = std::count_if(waiting_.begin(), waiting_.end(), [](const auto& stream) { return !stream->isOver(); });
    auto running = std::count_if(running_.begin(), running_.end(), [](const auto& stream) { return !stream->isOver(); });
    observed_ = { static_cast<size_t>(running), static_cast<size_t>(waiting), cache_.usage() };
}

void BatchEngine::endAbandoned()
{
    auto oldest = BootClock::now() - settings_.resumeTime;
    auto endIfAbandoned = [&](const std::shared_ptr<EngineStream>& stream) {
        if (stream->readers == 0 && stream->lastRead < oldest)
            end(*stream, StreamState::Abandoned);
    };
    std::for_each(running_.begin(), running_.end(), endIfAbandoned);
    std::for_each(waiting_.begin(), waiting_.end(), endIfAbandoned);
}

}
