#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"

namespace briarhitch {

/** A log in memory for a single process, which always leads; for tests and benchmarks. Nothing is stored on disk. */
class LocalLog : public ReplicatedLog {
public:
    LocalLog(NodeId self, ReplicatedLogHooks hooks);

    /** Makes this process the leader and reports the role change. */
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
