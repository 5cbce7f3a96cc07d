#pragma once

#include "briarhitch/consensus/RaftNode.h"
#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/ControlServer.h"
#include "briarhitch/control/StateMachine.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/wire/Link.h"

#include <map>
#include <memory>

namespace briarhitch {

/** What a deployment adds to the control process; hooks that are not set add nothing. */
struct ControlExtensions {
    /** Takes an operator's request before the own API does; false if the request is none of its own. */
    std::function<bool(const HttpRequest&, HttpExchange&, ControlServer&)> handleOperator {};
    /** Fetches the list of targets; called by the leader only, in a fiber of its own. */
    std::function<Result<std::vector<Target>>(HttpClient&, const ClusterConfig&)> discover {};
    /** Pause between two calls of discover. */
    Duration discoveryInterval { std::chrono::milliseconds(500) };
    /** Scope of the pools of discovered targets. */
    std::string poolScope;
};

/** All parts of briarhitch-control. */
class ControlProcess {
public:
    ControlProcess(Loop& loop, ControlSettings settings, ControlExtensions extensions = {});

    /** Opens the log, binds the addresses and starts to serve; to be called in a fiber. Damaged or Unavailable. */
    Result<void> start();
    /** Blocks the calling fiber until the data folder takes writes again, or for 30 s. */
    void waitForDisk();
    /** Stops taking operators' requests and waits for the running ones, but only for a few seconds; to be called in a fiber. */
    void drain();

private:
    [[nodiscard]] ReplicatedLogHooks logHooks();
    [[nodiscard]] RaftNodeSettings raftSettings();
    [[nodiscard]] ControlServerSettings serverSettings() const;
    [[nodiscard]] LinkHooks linkHooks();
    Result<void> openLog();
    Result<void> listen();
    void sendToVoter(NodeId to, std::string bytes);
    void closeUnusedLinks();
    [[nodiscard]] std::vector<HostPort> controlProcesses() const;
    void handleOperator(const HttpRequest& request, HttpExchange& exchange);
    void startDiscovery();
    void discoverOnce();

    Loop& loop_;
    ControlSettings settings_;
    ControlExtensions extensions_;
    LinkSettings link_;
    MetricRegistry metrics_;
    StateMachine state_;
    ControlServer server_;
    AdminApi admin_;
    std::unique_ptr<RaftNode> log_;
    std::unique_ptr<LinkServer> links_;
    std::unique_ptr<HttpServer> http_;
    std::map<NodeId, std::unique_ptr<LinkClient>> voters_;
    HttpClient client_;
    std::string lastDiscoveryFailure_;
    Log console_ { "control:" };
};

/** Runs a control process until SIGTERM or SIGINT ends it, and ends the program. */
[[noreturn]] void runControlProcess(ControlSettings settings, ControlExtensions extensions);

}
