#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/PoolGateway.h"
#include "briarhitch/sched/StreamBindings.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/**
 * Blocks the calling fiber until the configuration has all that was committed `maxAge` before the call; false after the timeout.
 */
using ConfirmConfigurationHook = std::function<bool(Duration maxAge, Duration timeout)>;

struct EntryStreamsHooks {
    /** None: the configuration is never relied on for an unknown stream, and always for a local selection. */
    ConfirmConfigurationHook confirmConfiguration {};
    /** Has a stream recorded durably; none: streams are known to entries and owners of pools only. */
    std::function<void(const StreamBinding&)> record {};
    /** Looks a stream up in the durable record; may block its fiber. An error: nobody has answered. */
    std::function<Result<std::optional<StreamBinding>>(StreamId, Duration timeout)> findRecorded {};
};

/** What an entry knows of the streams that began or went on at it, whom it asks, and whether it may rely on its configuration for them. */
class EntryStreams {
public:
    EntryStreams(const ClusterView& view, EntryStreamsHooks hooks, ClockHook now);

    /** What the stream is bound to; asks the durable record if this entry does not know it. */
    StreamLookup find(StreamId stream, Instant deadline);
    /** Adds the version to a request that continues a stream, if the stream began or went on at this entry. */
    void resolve(GrantRequest& request) const;
    /**
     * For a request whose stream nobody knows: adds the only version that the pool's targets have, or lifts the restriction if they
     * name none. False if they have several, or the configuration cannot be confirmed by the deadline.
     */
    bool resolveBySoleVersion(GrantRequest& request, Instant deadline) const;
    /** Whether a target that this entry selected for a stream still has the version that the configuration names. */
    [[nodiscard]] bool isLocalVersionCertain(Instant deadline) const;

    void attemptStarted(const AttemptStarted& started);
    void attemptFinished(const AttemptFinished& finished);
    /** To be called several times a second. Records streams that still run again, so that they are not forgotten. */
    void tick();
    /** For a new owner. */
    [[nodiscard]] std::vector<StreamBinding> list() const { return streams_.list(); }

private:
    [[nodiscard]] bool confirm(Duration maxAge, Instant deadline) const;
    [[nodiscard]] Duration timeoutFor(Instant deadline) const;
    void record(const StreamBinding& binding);

    const ClusterView& view_;
    EntryStreamsHooks hooks_;
    ClockHook now_;
    StreamBindings streams_;
    /** What the attempts that run here are bound to, from their first event on. */
    std::map<AttemptId, StreamBinding> running_;
    Instant nextRefreshAt_ {};
};

}
