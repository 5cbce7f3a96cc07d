#include "briarhitch/entry/EntryStreams.h"

#include "entry/PoolRequests.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Longest wait for the control leader, which confirms the configuration or looks a stream up. */
    constexpr Duration leaderTimeout = 500ms;
    /** A configuration of this age is trusted with the versions of targets; the list that it comes from lags by about as much. */
    constexpr Duration recentConfigurationAge = 1s;
    /** Several within the time for which a stream is remembered. */
    constexpr Duration refreshInterval = StreamBindings::retention / 4;

}

EntryStreams::EntryStreams(const ClusterView& view, EntryStreamsHooks hooks, ClockHook now)
    : view_(view)
    , hooks_(std::move(hooks))
    , now_(std::move(now))
{
}

StreamLookup EntryStreams::find(StreamId stream, Instant deadline)
{
    if (auto known = streams_.find(stream, now_()))
        return { known, true };
    if (!hooks_.findRecorded)
        return { std::nullopt, true };
    auto recorded = hooks_.findRecorded(stream, timeoutFor(deadline));
    if (!recorded)
        return {};
    if (*recorded)
        streams_.record(**recorded, now_());
    return { *recorded, true };
}

void EntryStreams::resolve(GrantRequest& request) const
{
    if (!needsStreamVersion(request))
        return;
    auto known = streams_.find(request.continuedStream, now_());
    auto pool = view_.config().pools.find(request.pool);
    bool mayContinue = known && (pool == view_.config().pools.end() || pool->second.mayContinue(*known));
    if (mayContinue && !known->softwareVersion.empty())
        request.softwareVersion = known->softwareVersion;
}

bool EntryStreams::resolveBySoleVersion(GrantRequest& request, Instant deadline) const
{
    if (!hooks_.confirmConfiguration || !soleSoftwareVersion(view_.config(), request.pool))
        return false;
    // Targets of another version may have joined, and begun the stream, without this node having learned of them yet.
    if (!confirm(Duration::zero(), deadline))
        return false;
    auto version = soleSoftwareVersion(view_.config(), request.pool);
    if (!version)
        return false;
    if (version->empty())
        request.continuedStream = {};
    else
        request.softwareVersion = std::move(version);
    return true;
}

bool EntryStreams::isLocalVersionCertain(Instant deadline) const
{
    return !hooks_.confirmConfiguration || confirm(recentConfigurationAge, deadline);
}

void EntryStreams::attemptStarted(const AttemptStarted& started)
{
    if (!started.stream.stream.isValid())
        return;
    running_[started.attempt] = started.stream;
    record(started.stream);
}

void EntryStreams::attemptFinished(const AttemptFinished& finished)
{
    running_.erase(finished.attempt);
    streams_.record(finished.stream, now_());
}

void EntryStreams::tick()
{
    auto now = now_();
    if (now >= nextRefreshAt_) {
        nextRefreshAt_ = now + refreshInterval;
        for (const auto& [attempt, binding] : running_)
            record(binding);
    }
    streams_.tick(now);
}

void EntryStreams::record(const StreamBinding& binding)
{
    streams_.record(binding, now_());
    if (hooks_.record)
        hooks_.record(binding);
}

bool EntryStreams::confirm(Duration maxAge, Instant deadline) const
{
    return hooks_.confirmConfiguration(maxAge, timeoutFor(deadline));
}

Duration EntryStreams::timeoutFor(Instant deadline) const
{
    return std::clamp<Duration>(deadline - now_(), 0ms, leaderTimeout);
}

}
