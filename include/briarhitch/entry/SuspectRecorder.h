#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/sched/CrashSuspects.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <map>
#include <optional>

namespace briarhitch {

/** Records blocked and cleared suspects in the replicated log: the latest state of each, many in one command. */
class SuspectRecorder {
public:
    using CommitHook = std::function<Result<void>(const RecordSuspects&)>;

    /** `commit` may block its fiber. */
    explicit SuspectRecorder(CommitHook commit)
        : commit_(std::move(commit))
    {
    }

    void record(const SuspectVerdict& verdict);
    [[nodiscard]] bool hasChanges() const { return !pending_.empty(); }
    /** Commits what has changed; what fails is kept for the next call, unless it changes again meanwhile. */
    void flush();

private:
    /** None: cleared. */
    using State = std::optional<SuspectRecord>;

    CommitHook commit_;
    std::map<SuspectId, State> pending_;
};

}
