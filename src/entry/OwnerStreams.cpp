#include "briarhitch/entry/OwnerStreams.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/PoolRequests.h"

#include <utility>

namespace briarhitch {

OwnerStreams::OwnerStreams(MetricRegistry& metrics, SupersedeHook supersede, ClockHook now)
    : metrics_(metrics)
    , supersede_(std::move(supersede))
    , now_(std::move(now))
{
}

Result<void> OwnerStreams::resolve(GrantRequest& request)
{
    if (!needsStreamVersion(request))
        return {};
    request.softwareVersion = streams_.find(request.continuedStream, now_());
    metrics_.count("pool_continued_streams_total", request.softwareVersion ? "known=\"yes\"" : "known=\"no\"");
    if (!request.softwareVersion)
        return fail(ErrorKind::UnknownStream, "the owner of the pool does not know this stream");
    return {};
}

void OwnerStreams::attemptGranted(const GrantRequest& request)
{
    auto it = runs_.find(request.continuedStream);
    if (it == runs_.end() || it->second.attempt.attempt.request == request.attempt.request)
        return;
    auto run = it->second;
    forget(run.attempt.attempt);
    metrics_.count("pool_superseded_attempts_total");
    supersede_(run.entry, run.attempt);
}

void OwnerStreams::attemptStarted(NodeId entry, const AttemptStarted& started)
{
    streams_.record(started.stream, now_());
    addRun(started.stream.stream, { entry, { started.pool, started.attempt } });
}

void OwnerStreams::attemptFinished(const AttemptFinished& finished)
{
    streams_.record(finished.stream, now_());
    forget(finished.attempt);
}

void OwnerStreams::addRun(StreamId stream, const Run& run)
{
    if (!stream.isValid())
        return;
    if (auto it = runs_.find(stream); it != runs_.end())
        streamsOfAttempts_.erase(it->second.attempt.attempt);
    runs_[stream] = run;
    streamsOfAttempts_[run.attempt.attempt] = stream;
}

void OwnerStreams::forget(AttemptId attempt)
{
    auto it = streamsOfAttempts_.find(attempt);
    if (it == streamsOfAttempts_.end())
        return;
    runs_.erase(it->second);
    streamsOfAttempts_.erase(it);
}

void OwnerStreams::dropRuns(const std::function<bool(const Run&)>& isDropped)
{
    absl::erase_if(runs_, [&](const auto& entry) {
        if (!isDropped(entry.second))
            return false;
        streamsOfAttempts_.erase(entry.second.attempt.attempt);
        return true;
    });
}

void OwnerStreams::forgetEntry(NodeId entry)
{
    dropRuns([entry](const Run& run) { return run.entry == entry; });
}

void OwnerStreams::merge(NodeId entry, const PoolSync& sync)
{
    for (const auto& stream : sync.streams)
        streams_.record(stream, now_());
    dropRuns([&](const Run& run) { return run.entry == entry && run.attempt.pool == sync.pool; });
    for (const auto& running : sync.running)
        addRun(running.stream, { entry, { sync.pool, running.request.attempt } });
}

void OwnerStreams::publishGauges() const
{
    metrics_.setGauge("pool_known_streams", {}, static_cast<double>(streams_.size()));
}

}
