#include "briarhitch/entry/SuspectRecorder.h"

#include "briarhitch/core/Log.h"

namespace briarhitch {

namespace {

    /** Bounds the time in which one command is applied. */
    constexpr size_t maxChangesPerCommand = 64;

}

void SuspectRecorder::record(const SuspectVerdict& verdict)
{
    auto& state = pending_[verdict.id];
    if (verdict.state == SuspectState::Cleared)
        state.reset();
    else
        state = SuspectRecord { verdict.id, verdict.crashes, verdict.sendsAfterThirdCrash, verdict.wasSound, 0, verdict.longestProgress ? std::optional(clampMs(*verdict.longestProgress)) : std::nullopt };
}

void SuspectRecorder::flush()
{
    static const Log log("pool:");
    std::map<SuspectId, State> taken;
    while (!pending_.empty() && taken.size() < maxChangesPerCommand)
        taken.insert(pending_.extract(pending_.begin()));
    if (taken.empty())
        return;
    RecordSuspects changes;
    for (const auto& [id, state] : taken) {
        if (state)
            changes.blocked.push_back(*state);
        else
            changes.cleared.push_back(id);
    }
    if (auto committed = commit_(changes); !committed) {
        log.warning("Blocked suspects are not recorded yet: " + committed.error().message);
        pending_.merge(taken);
    }
}

}
