#pragma once

#include "briarhitch/consensus/RaftNode.h"
#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/ControlServer.h"
#include "briarhitch/control/StateMachine.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/wire/Link.h"

#include <map>
#include <memory>

namespace briarhitch {

/** All parts of briarhitch-control. */
class ControlProcess {
public:
    ControlProcess(Loop& loop, ControlSettings settings);

    /** Opens the log, binds the addresses and starts to serve; to be called in a fiber. Damaged or Unavailable. */
    Result<void> start();
    /** Stops taking operators' requests and waits for the running ones, but only for a few seconds; to be called in a fiber. */
    void drain();

private:
    [[nodiscard]] ReplicatedLogHooks logHooks();
    [[nodiscard]] RaftNodeSettings raftSettings();
    [[nodiscard]] LinkHooks linkHooks();
    Result<void> openLog();
    Result<void> listen();
    void dialVoters();
    void sendToVoter(NodeId to, std::string bytes);

    Loop& loop_;
    ControlSettings settings_;
    LinkSettings link_;
    MetricRegistry metrics_;
    StateMachine state_;
    ControlServer server_;
    AdminApi admin_;
    std::unique_ptr<RaftNode> log_;
    std::unique_ptr<LinkServer> links_;
    std::unique_ptr<HttpServer> http_;
    std::map<NodeId, std::unique_ptr<LinkClient>> voters_;
    Log console_ { "control:" };
};

}
