#include "briarhitch/entry/EntryStreams.h"

#include "entry/PoolRequests.h"

#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Longest wait for the control leader to confirm the configuration. */
    constexpr Duration confirmationTimeout = 500ms;
    /** A configuration of this age is trusted with the versions of targets; the list that it comes from lags by about as much. */
    constexpr Duration recentConfigurationAge = 1s;

}

EntryStreams::EntryStreams(const ClusterView& view, ConfirmConfigurationHook confirmConfiguration, ClockHook now)
    : view_(view)
    , confirmConfiguration_(std::move(confirmConfiguration))
    , now_(std::move(now))
{
}

void EntryStreams::resolve(GrantRequest& request) const
{
    if (needsStreamVersion(request))
        request.softwareVersion = streams_.find(request.continuedStream, now_());
}

bool EntryStreams::resolveBySoleVersion(GrantRequest& request, Instant deadline) const
{
    if (!confirmConfiguration_ || !soleSoftwareVersion(view_.config(), request.pool))
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
    return !confirmConfiguration_ || confirm(recentConfigurationAge, deadline);
}

bool EntryStreams::confirm(Duration maxAge, Instant deadline) const
{
    return confirmConfiguration_(maxAge, std::clamp<Duration>(deadline - now_(), 0ms, confirmationTimeout));
}

}
