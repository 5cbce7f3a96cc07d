#include "briarhitch/sched/PoolScheduler.h"

namespace briarhitch {

Result<std::unique_ptr<PoolScheduler>> makePoolScheduler(const PoolSettings& settings)
{
    const auto* factory = PoolSchedulerRegistry::find(settings.policy);
    if (!factory)
        return fail(ErrorKind::NotFound, "no scheduling policy is named " + settings.policy);
    return (*factory)(settings);
}

}
