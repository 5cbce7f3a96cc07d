#include "briarhitch/entry/RolloutReporter.h"

#include "briarhitch/core/Log.h"

#include <utility>

namespace briarhitch {

void RolloutReporter::flush()
{
    static const Log log("pool:");
    for (const auto& [pool, report] : std::exchange(pending_, {})) {
        auto sent = send_(report);
        // Several reports a second may fail while there is no leader; the first one tells enough.
        bool hadFailed = std::exchange(hasFailed_, !sent);
        if (!sent && !hadFailed)
            log.warning("Reports on a rollout do not reach the control leader: " + sent.error().message);
        else if (sent && hadFailed)
            log.info("Reports on a rollout reach the control leader again.");
    }
}

}
