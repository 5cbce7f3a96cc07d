#pragma once

#include "briarhitch/consensus/RaftNode.h"
#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/ControlServer.h"
#include "briarhitch/control/StateMachine.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/http/CallerMemory.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/wire/Link.h"

#include <map>
#include <memory>

namespace briarhitch {

/** What discovery found. */
struct DiscoveredTargets {
    std::vector<Target> targets;
    /** Entries of the list that name no target to use. */
    size_t unusableEntries { 0 };
};

/** Optional extensions of the control process by a deployment. */
struct ControlExtensions {
    /** Handles an operator's request before AdminApi; returns false if AdminApi should handle it. */
    std::function<bool(const HttpRequest&, HttpExchange&, ControlServer&)> handleOperator {};
    /** Fetches the list of targets; called only by the leader, in its own fiber. */
    std::function<Result<DiscoveredTargets>(HttpClient&, const ClusterConfig&)> discover {};
    /** Pause between two calls of discover. */
    Duration discoveryInterval { std::chrono::milliseconds(500) };
    /** Scope of the pools of discovered targets. */
    std::string poolScope;
};

/** The briarhitch-control process. */
class ControlProcess {
public:
    ControlProcess(Loop& loop, ControlSettings settings, ControlExtensions extensions = {});

    /** Opens the log, binds the addresses and starts to serve; must be called in a fiber. Damaged or Unavailable. */
    Result<void> start();
    /** Blocks the calling fiber until the data folder is writable, for at most 30 s. */
    void waitForDisk();
    /**
     * Stops accepting requests from operators, waits at most 5 s for those in flight, and leaves the log's group if that has a
     * voter in place of this one; must be called in a fiber.
     */
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
    void leaveGroup();
    [[nodiscard]] std::vector<HostPort> controlProcesses() const;
    void handleOperator(const HttpRequest& request, HttpExchange& exchange);
    void startDiscovery();
    void discoverOnce();

    Loop& loop_;
    ControlSettings settings_;
    ControlExtensions extensions_;
    LinkSettings link_;
    MetricRegistry metrics_;
    std::shared_ptr<CallerMemory> callerMemory_ { CallerMemory::create(settings_.memory, metrics_) };
    StateMachine state_;
    ControlServer server_;
    AdminApi admin_;
    std::unique_ptr<RaftNode> log_;
    std::unique_ptr<LinkServer> links_;
    std::unique_ptr<HttpServer> http_;
    std::map<NodeId, std::unique_ptr<LinkClient>> voters_;
    HttpClient client_;
    std::string lastDiscoveryFailure_;
    size_t unusableDiscoveryEntries_ { 0 };
    Log console_ { "control:" };
};

/** Runs a control process until SIGTERM or SIGINT, then exits. */
[[noreturn]] void runControlProcess(ControlSettings settings, ControlExtensions extensions);

}
