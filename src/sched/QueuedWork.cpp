#include "sched/QueuedWork.h"

namespace briarhitch {

void QueuedWork::add(const PoolRequest& request, double costMs)
{
    if (!request.softwareVersion) {
        unboundMs_ += costMs;
        return;
    }
    boundMs_ += costMs;
    boundMsByVersion_[*request.softwareVersion] += costMs;
}

double QueuedWork::boundMs(const std::string& softwareVersion) const
{
    auto it = boundMsByVersion_.find(softwareVersion);
    return it == boundMsByVersion_.end() ? 0 : it->second;
}

}
