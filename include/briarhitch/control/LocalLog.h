#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"

namespace briarhitch {

/** A log in the memory of one process that is always the leader; for tests and trials. Nothing survives the process. */
class LocalLog : public ReplicatedLog {
public:
    LocalLog(NodeId self, ReplicatedLogHooks hooks);

    /** Reports the leadership. */
    void start();
    Result<std::string> propose(std::string command, Duration timeout) override;
    [[nodiscard]] bool hasLeaderLease() const override { return started_; }
    [[nodiscard]] uint64_t term() const override { return started_ ? 1 : 0; }
    [[nodiscard]] std::optional<NodeId> leader() const override;

private:
    NodeId self_;
    ReplicatedLogHooks hooks_;
    bool started_ { false };
    uint64_t lastIndex_ { 0 };
};

}
