#include "briarhitch/entry/StreamRuns.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration stopRepeatInterval = 250ms;
    constexpr size_t maxSupersededPerStream = 16;

}

StreamRuns::StreamRuns(StopHook stop, ClockHook now)
    : stop_(std::move(stop))
    , now_(std::move(now))
{
}

bool StreamRuns::isSuperseded(const Stream& stream, const Order& order)
{
    if (!stream.latestContinuation || stream.latestContinuation->request == order.request)
        return false;
    bool wasSuperseded = std::find(stream.superseded.begin(), stream.superseded.end(), order.request) != stream.superseded.end();
    return wasSuperseded || order < *stream.latestContinuation;
}

bool StreamRuns::isSuperseded(const GrantRequest& request, Instant arrivedAt) const
{
    auto it = streams_.find(request.streamClaim.stream);
    return it != streams_.end() && isSuperseded(it->second, { request.streamClaim.isContinuation, arrivedAt, request.attempt.request });
}

void StreamRuns::attemptGranted(NodeId entry, const GrantRequest& request, Instant arrivedAt)
{
    add(request.streamClaim.stream, { { entry, request.pool, request.attempt }, { request.streamClaim.isContinuation, arrivedAt, request.attempt.request } });
}

bool StreamRuns::shouldWait(StreamId stream, RequestId request) const
{
    auto it = streams_.find(stream);
    if (it == streams_.end())
        return false;
    return std::any_of(it->second.attempts.begin(), it->second.attempts.end(), [&](const Attempt& attempt) {
        auto stop = stops_.find(attempt.run.attempt);
        return stop != stops_.end() && attempt.order.request != request && now_() - stop->second.since < maxWaitForEnd;
    });
}

void StreamRuns::attemptStarted(NodeId entry, const AttemptStarted& started)
{
    if (streamsOfAttempts_.contains(started.attempt))
        return;
    Order order { false, now_() - std::chrono::milliseconds(started.firstTokenMs), started.attempt.request };
    add(started.stream.stream, { { entry, started.pool, started.attempt }, order });
}

void StreamRuns::add(StreamId id, const Attempt& attempt)
{
    if (!id.isValid())
        return;
    auto& stream = streams_[id];
    std::erase_if(stream.attempts, [&](const Attempt& known) { return known.run.attempt == attempt.run.attempt; });
    stream.attempts.push_back(attempt);
    streamsOfAttempts_[attempt.run.attempt] = id;
    if (attempt.order.isContinuation && !isSuperseded(stream, attempt.order)) {
        bool isNew = !stream.latestContinuation || stream.latestContinuation->request != attempt.order.request;
        if (isNew && stream.latestContinuation)
            stream.superseded.push_back(stream.latestContinuation->request);
        if (isNew)
            stream.latestContinuation = attempt.order;
    }
    stopSuperseded(stream);
}

void StreamRuns::stopSuperseded(Stream& stream)
{
    std::vector<Run> superseded;
    for (const auto& attempt : stream.attempts) {
        if (!isSuperseded(stream, attempt.order) || !stops_.try_emplace(attempt.run.attempt, Stop { now_(), now_() }).second)
            continue;
        superseded.push_back(attempt.run);
        stream.superseded.push_back(attempt.order.request);
    }
    if (stream.superseded.size() > maxSupersededPerStream)
        stream.superseded.erase(stream.superseded.begin(), stream.superseded.end() - maxSupersededPerStream);
    if (superseded.empty())
        return;
    // The hook may end attempts.
    auto supersededBy = stream.latestContinuation->request;
    for (const auto& run : superseded)
        stop_(run, supersededBy);
}

std::optional<Duration> StreamRuns::attemptEnded(AttemptId attempt)
{
    auto known = streamsOfAttempts_.find(attempt);
    if (known == streamsOfAttempts_.end())
        return std::nullopt;
    auto id = known->second;
    streamsOfAttempts_.erase(known);
    auto& stream = streams_.at(id);
    std::erase_if(stream.attempts, [&](const Attempt& ended) { return ended.run.attempt == attempt; });
    if (stream.attempts.empty() && !stream.latestContinuation) {
        streams_.erase(id);
    } else if (stream.attempts.empty()) {
        stream.idleSince = now_();
        idleStreams_.emplace_back(stream.idleSince, id);
    }
    auto stopped = stops_.extract(attempt);
    return stopped ? std::optional<Duration>(now_() - stopped.mapped().since) : std::nullopt;
}

void StreamRuns::dropIf(const std::function<bool(const Run&)>& isDropped)
{
    std::vector<AttemptId> dropped;
    for (const auto& [id, stream] : streams_) {
        for (const auto& attempt : stream.attempts) {
            if (isDropped(attempt.run))
                dropped.push_back(attempt.run.attempt);
        }
    }
    for (auto attempt : dropped)
        attemptEnded(attempt);
}

void StreamRuns::forgetEntry(NodeId entry)
{
    dropIf([entry](const Run& run) { return run.entry == entry; });
}

void StreamRuns::forgetPool(PoolId pool)
{
    dropIf([pool](const Run& run) { return run.pool == pool; });
}

void StreamRuns::retain(NodeId entry, PoolId pool, const std::function<bool(AttemptId)>& isRunning)
{
    dropIf([&](const Run& run) { return run.entry == entry && run.pool == pool && !isRunning(run.attempt); });
}

std::optional<Instant> StreamRuns::arrivedAt(AttemptId attempt) const
{
    auto known = streamsOfAttempts_.find(attempt);
    if (known == streamsOfAttempts_.end())
        return std::nullopt;
    const auto& attempts = streams_.at(known->second).attempts;
    auto it = std::find_if(attempts.begin(), attempts.end(), [&](const Attempt& candidate) { return candidate.run.attempt == attempt; });
    return it->order.arrivedAt;
}

void StreamRuns::tick()
{
    forgetIdleStreams();
    std::vector<std::pair<Run, RequestId>> repeated;
    for (auto& [attempt, stop] : stops_) {
        if (now_() - stop.repeatedAt < stopRepeatInterval)
            continue;
        stop.repeatedAt = now_();
        const auto& stream = streams_.at(streamsOfAttempts_.at(attempt));
        for (const auto& candidate : stream.attempts) {
            if (candidate.run.attempt == attempt)
                repeated.emplace_back(candidate.run, stream.latestContinuation->request);
        }
    }
    for (const auto& [run, supersededBy] : repeated)
        stop_(run, supersededBy);
}

void StreamRuns::forgetIdleStreams()
{
    while (!idleStreams_.empty() && (idleStreams_.size() > capacity || now_() - idleStreams_.front().first >= retention)) {
        auto [idleSince, id] = idleStreams_.front();
        idleStreams_.pop_front();
        auto it = streams_.find(id);
        if (it != streams_.end() && it->second.attempts.empty() && it->second.idleSince == idleSince)
            streams_.erase(it);
    }
}

}
