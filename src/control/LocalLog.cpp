#include "briarhitch/control/LocalLog.h"

namespace briarhitch {

LocalLog::LocalLog(NodeId self, ReplicatedLogHooks hooks)
    : self_(self)
    , hooks_(std::move(hooks))
{
}

void LocalLog::start()
{
    started_ = true;
    if (hooks_.onRoleChange)
        hooks_.onRoleChange(true, term());
}

Result<std::string> LocalLog::propose(std::string command, Duration)
{
    if (!started_)
        return fail(ErrorKind::NotLeader, "the log has not been started");
    return hooks_.apply(++lastIndex_, command);
}

std::optional<NodeId> LocalLog::leader() const
{
    return started_ ? std::optional(self_) : std::nullopt;
}

}
