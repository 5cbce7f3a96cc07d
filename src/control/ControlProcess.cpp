#include "briarhitch/control/ControlProcess.h"

#include "briarhitch/runtime/Descriptors.h"
#include "briarhitch/runtime/Guard.h"
#include "consensus/PosixFileSystem.h"

#include <csignal>
#include <set>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Time for operators' requests in flight before the process exits. */
    constexpr Duration drainLimit = 5s;
    constexpr Duration drainPollInterval = 20ms;
    /** Time for the removal of a voter that ends; longer than an election. */
    constexpr Duration leaveLimit = 2s;
    /** How often links to processes that are no longer members are closed. */
    constexpr Duration linkCheckInterval = 1s;
    constexpr Duration diskProbeInterval = 300ms;
    /** When the disk stays unwritable, the process exits, so that the VM's supervisor notices. */
    constexpr Duration diskWaitLimit = 30s;

    /** Exit codes, as documented in the usage texts. */
    constexpr int exitSuccess = 0;
    constexpr int exitFailure = 1;

    void endOnSignals(Loop& loop, ControlProcess& process)
    {
        auto ending = std::make_shared<bool>(false);
        auto end = [&loop, &process, ending] {
            if (*ending)
                exitProcess(exitSuccess);
            *ending = true;
            loop.spawn([&process] {
                process.drain();
                exitProcess(exitSuccess);
            });
        };
        loop.onSignal(SIGTERM, end);
        loop.onSignal(SIGINT, end);
        // Settings need not be reloaded: seeds matter only until the process has joined, and are read at each start.
        loop.onSignal(SIGHUP, [] { Log("control:").info("received SIGHUP; settings are not reloaded"); });
    }

    LinkSettings linkSettingsOf(const ControlSettings& settings)
    {
        LinkSettings link;
        link.fleetKey = settings.fleetKey;
        link.heartbeatInterval = settings.linkHeartbeatInterval;
        link.idleTimeout = settings.linkIdleTimeout;
        link.identity = { LinkRole::Control, settings.node, Incarnation(static_cast<uint64_t>(wallClockMs())) };
        return link;
    }

    ControlServerSettings serverSettingsOf(const ControlSettings& settings)
    {
        ControlServerSettings server;
        server.self = settings.node;
        server.voters = settings.voters;
        server.maxRunRecords = settings.maxRunRecords;
        server.maxResponseBytes = settings.maxResponseBytes;
        server.responseRetention = settings.responseRetention;
        server.lease.lease = settings.lease;
        server.takeoverTimeout = settings.takeoverTimeout;
        server.rollout = settings.rollout;
        return server;
    }

}

ControlProcess::ControlProcess(Loop& loop, ControlSettings settings, ControlExtensions extensions)
    : loop_(loop)
    , settings_(std::move(settings))
    , extensions_(std::move(extensions))
    , link_(linkSettingsOf(settings_))
    , server_(loop_, serverSettings(), state_, metrics_)
    , admin_(loop_, { settings_.node, settings_.voters, settings_.operatorKeyHashes, settings_.poolScope, [this] { return log_->status(); }, [this](NodeId node) { return log_->addVoter(node); }, [this](NodeId node) { return log_->removeVoter(node); } },
          server_, metrics_)
    , client_(loop_)
{
}

ControlServerSettings ControlProcess::serverSettings() const
{
    auto server = serverSettingsOf(settings_);
    server.solicitHeartbeats = [this] {
        if (links_)
            links_->postToAll(LinkRole::Entry, MessageType::HeartbeatSolicitation, {});
    };
    if (settings_.fleet) {
        server.findVoter = [this](NodeId node) { return settings_.findVoter(node); };
        server.controlProcesses = [this] { return controlProcesses(); };
    }
    return server;
}

std::vector<HostPort> ControlProcess::controlProcesses() const
{
    auto status = log_->status();
    std::vector<HostPort> addresses;
    for (const auto* nodes : { &status.voters, &status.learners }) {
        for (NodeId node : *nodes) {
            if (auto voter = settings_.findVoter(node))
                addresses.push_back({ voter->host, voter->port });
        }
    }
    return addresses;
}

ReplicatedLogHooks ControlProcess::logHooks()
{
    ReplicatedLogHooks hooks;
    hooks.apply = [this](uint64_t, std::string_view command) { return state_.apply(command); };
    hooks.takeSnapshot = [this] { return state_.takeSnapshot(); };
    hooks.loadSnapshot = [this](uint64_t, std::string_view snapshot) {
        if (auto loaded = state_.loadSnapshot(snapshot); !loaded) {
            // Without the state, the process would serve an empty configuration.
            console_.error(loaded.error().message);
            exitProcess(1);
        }
    };
    hooks.onRoleChange = [this](bool isLeader, uint64_t term) { server_.onRoleChange(isLeader, term); };
    return hooks;
}

RaftNodeSettings ControlProcess::raftSettings()
{
    RaftNodeSettings raft;
    raft.self = settings_.node;
    for (const auto& voter : settings_.voters)
        raft.voters.push_back(voter.node);
    // Four heartbeats per timeout, so that one lost message does not cause an election.
    constexpr int heartbeatsPerTimeout = 4;
    raft.electionTimeoutMin = settings_.electionTimeout;
    raft.electionTimeoutMax = 2 * settings_.electionTimeout;
    raft.heartbeatInterval = settings_.electionTimeout / heartbeatsPerTimeout;
    if (settings_.fleet) {
        raft.targetVoters = settings_.fleet->targetVoters;
        raft.mayBootstrap = settings_.fleet->mayBootstrap;
    }
    raft.dataFolder = settings_.dataFolder;
    // The log has already stopped. A restart cannot succeed before the disk is writable, and would only add unclean shutdowns.
    raft.onFatal = [this](const Error& error) {
        console_.error("cannot make the log durable; the process exits once the disk is writable: " + error.message);
        loop_.spawn([this] {
            waitForDisk();
            exitProcess(exitFailure);
        });
    };
    raft.sendMessage = [this](NodeId to, std::string bytes) { sendToVoter(to, std::move(bytes)); };
    return raft;
}

void ControlProcess::sendToVoter(NodeId to, std::string bytes)
{
    auto& link = voters_[to];
    if (!link) {
        auto voter = settings_.findVoter(to);
        if (!voter) {
            voters_.erase(to);
            console_.warning("node " + std::to_string(to.value()) + " has no known address");
            return;
        }
        link = std::make_unique<LinkClient>(loop_, voter->host, voter->port, link_, LinkHooks {});
    }
    link->post(MessageType::Raft, std::move(bytes));
}

void ControlProcess::closeUnusedLinks()
{
    auto status = log_->status();
    std::set<NodeId> used(status.voters.begin(), status.voters.end());
    used.insert(status.learners.begin(), status.learners.end());
    // Before it has joined a group, a process sends messages to every process it knows.
    if (!used.empty())
        std::erase_if(voters_, [&](const auto& entry) { return !used.contains(entry.first); });
}

LinkHooks ControlProcess::linkHooks()
{
    LinkHooks hooks;
    hooks.onRequest = [this](const Peer& peer, MessageType type, std::string_view body) { return server_.onRequest(peer, type, body); };
    hooks.onPost = [this](const Peer& peer, MessageType type, std::string_view body) {
        if (type != MessageType::Raft || peer.identity.role != LinkRole::Control)
            return;
        // A message that cannot be decoded does not throw. After an exception the voter's state in memory is undefined, but its
        // log on disk is intact.
        if (!runGuarded(console_, "a message of another voter", [&] { log_->receive(peer.identity.node, body); }))
            exitProcess(exitFailure);
    };
    return hooks;
}

Result<void> ControlProcess::openLog()
{
    auto log = RaftNode::open(loop_, raftSettings(), logHooks());
    if (!log)
        return tl::unexpected(log.error());
    log_ = std::move(*log);
    server_.setLog(*log_);
    return {};
}

Result<void> ControlProcess::listen()
{
    auto links = LinkServer::listen(loop_, settings_.linkHost, settings_.linkPort, link_, linkHooks());
    if (!links)
        return tl::unexpected(links.error());
    links_ = std::move(*links);
    HttpServerSettings http;
    http.host = settings_.adminHost;
    http.port = settings_.adminPort;
    http.memory = callerMemory_;
    http.maxConnections = deriveListenerLimits(descriptorLimit()).internal;
    auto listening = HttpServer::listen(loop_, http, [this](const HttpRequest& request, HttpExchange& exchange) { handleOperator(request, exchange); });
    if (!listening)
        return tl::unexpected(listening.error());
    http_ = std::move(*listening);
    return {};
}

void ControlProcess::handleOperator(const HttpRequest& request, HttpExchange& exchange)
{
    if (!extensions_.handleOperator || !extensions_.handleOperator(request, exchange, server_))
        admin_.handle(request, exchange);
}

void ControlProcess::startDiscovery()
{
    if (!extensions_.discover)
        return;
    loop_.spawn([this] {
        for (;;) {
            sleepFor(loop_, extensions_.discoveryInterval);
            if (server_.isLeader())
                runGuarded(console_, "discovery", [this] { discoverOnce(); });
        }
    });
}

void ControlProcess::discoverOnce()
{
    auto done = extensions_.discover(client_, state_.config()).and_then([this](const DiscoveredTargets& discovered) {
        if (discovered.unusableEntries != unusableDiscoveryEntries_)
            console_.info("discovery lists " + std::to_string(discovered.unusableEntries) + " entries that name no target to use");
        unusableDiscoveryEntries_ = discovered.unusableEntries;
        metrics_.setGauge("control_discovery_unusable_entries", {}, static_cast<double>(discovered.unusableEntries));
        return server_.replaceDiscovered(discovered.targets, extensions_.poolScope);
    });
    auto failure = done ? std::string() : done.error().message;
    // A repeated failure is logged once, not at each attempt.
    if (failure != lastDiscoveryFailure_)
        console_.info(failure.empty() ? "discovery succeeds again" : "discovery failed: " + failure);
    lastDiscoveryFailure_ = failure;
    metrics_.count(done ? "control_discovery_total" : "control_discovery_failures_total");
}

Result<void> ControlProcess::start()
{
    // The log is opened first, because requests may arrive as soon as an address is bound.
    if (auto opened = openLog(); !opened)
        return opened;
    if (auto listening = listen(); !listening)
        return listening;
    server_.start();
    startDiscovery();
    loop_.spawn([this] {
        for (;;) {
            sleepFor(loop_, linkCheckInterval);
            closeUnusedLinks();
            callerMemory_->publishGauges();
        }
    });
    console_.info("node " + std::to_string(settings_.node.value()) + " accepts links on " + settings_.linkHost + ":" + std::to_string(links_->port())
        + " and operators on " + settings_.adminHost + ":" + std::to_string(http_->port()));
    return {};
}

void ControlProcess::waitForDisk()
{
    auto end = BootClock::now() + diskWaitLimit;
    do
        sleepFor(loop_, diskProbeInterval);
    while (!isFolderWritable(settings_.dataFolder) && BootClock::now() < end);
}

void ControlProcess::leaveGroup()
{
    if (!settings_.fleet)
        return;
    // As a voter that has ended, this one would count towards the majority until the others notice.
    if (!log_->leave(leaveLimit))
        console_.warning("no leader has confirmed that this voter may end; the group will notice its absence");
}

void ControlProcess::drain()
{
    console_.info("draining: exits after the requests in flight");
    http_->drain();
    // A leader can finish its requests only as long as it is a member.
    bool leavesFirst = !server_.isLeader();
    if (leavesFirst)
        leaveGroup();
    Instant deadline = BootClock::now() + drainLimit;
    while (http_->activeConnections() > 0 && BootClock::now() < deadline)
        sleepFor(loop_, drainPollInterval);
    if (!leavesFirst)
        leaveGroup();
    server_.stop();
    links_->close();
}

void runControlProcess(ControlSettings settings, ControlExtensions extensions)
{
    Loop loop;
    ControlProcess process(loop, std::move(settings), std::move(extensions));
    loop.spawn([&] {
        endOnSignals(loop, process);
        auto started = process.start();
        if (!started) {
            Log("control:").error(started.error().message);
            process.waitForDisk();
            exitProcess(exitFailure);
        }
    });
    loop.run();
    exitProcess(exitSuccess);
}

}
