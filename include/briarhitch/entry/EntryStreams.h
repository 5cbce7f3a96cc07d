#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/sched/StreamVersions.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/**
 * Blocks the calling fiber until the configuration has all that was committed `maxAge` before the call; false after the timeout.
 */
using ConfirmConfigurationHook = std::function<bool(Duration maxAge, Duration timeout)>;

/** What an entry knows of the software versions at which streams began, and whether it may rely on its configuration for them. */
class EntryStreams {
public:
    /** Without a hook, the configuration is never relied on for an unknown stream, and always for a local selection. */
    EntryStreams(const ClusterView& view, ConfirmConfigurationHook confirmConfiguration, ClockHook now);

    /** Adds the version to a request that continues a stream, if the stream began or went on at this entry. */
    void resolve(GrantRequest& request) const;
    /**
     * For a request whose stream nobody knows: adds the only version that the pool's targets have, or lifts the restriction if they
     * name none. False if they have several, or the configuration cannot be confirmed by the deadline.
     */
    bool resolveBySoleVersion(GrantRequest& request, Instant deadline) const;
    /** Whether a target that this entry selected for a stream still has the version that the configuration names. */
    [[nodiscard]] bool isLocalVersionCertain(Instant deadline) const;

    void attemptStarted(const AttemptStarted& started) { streams_.record(started.stream, now_()); }
    void attemptFinished(const AttemptFinished& finished) { streams_.record(finished.stream, now_()); }
    void tick() { streams_.tick(now_()); }
    /** For a new owner. */
    [[nodiscard]] std::vector<StreamVersion> list() const { return streams_.list(); }

private:
    [[nodiscard]] bool confirm(Duration maxAge, Instant deadline) const;

    const ClusterView& view_;
    ConfirmConfigurationHook confirmConfiguration_;
    ClockHook now_;
    StreamVersions streams_;
};

}
