#include "briarhitch/entry/EntryNode.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/core/Random.h"
#include "briarhitch/entry/CeilingClient.h"
#include "briarhitch/entry/CeilingHost.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/entry/HttpFrontend.h"
#include "briarhitch/entry/LoadPoller.h"
#include "briarhitch/entry/NodeLinks.h"
#include "briarhitch/entry/PoolClient.h"
#include "briarhitch/entry/PoolHost.h"
#include "briarhitch/entry/RequestRunner.h"
#include "briarhitch/entry/RolloutReporter.h"
#include "briarhitch/entry/StreamRecorder.h"
#include "briarhitch/entry/SuspectRecorder.h"
#include "briarhitch/http/CallerMemory.h"
#include "briarhitch/http/RateLimitHeader.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Descriptors.h"
#include "briarhitch/runtime/Guard.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/sched/RetryBudget.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Requests per second that a target accepts from all nodes together. */
    constexpr auto rateLimitHeader = "X-Request-Rate-Limit";
    constexpr int firstNonSuccessStatus = 300;
    constexpr Duration busyTickInterval = 20ms;
    constexpr Duration idleTickInterval = 50ms;
    constexpr Duration ownerCheckInterval = 100ms;
    constexpr Duration gaugeInterval = 1s;
    /** The rest of the descriptors is for callers, links and files: each routed request has a connection on either side. */
    constexpr double targetDescriptorShare = 0.45;
    /** Suspects that are blocked or cleared within this time are recorded by one command. */
    constexpr Duration suspectBatchTime = 20ms;
    constexpr Duration suspectRecordTimeout = 2s;
    /** The control leader collects the streams of all entries for longer. */
    constexpr Duration streamBatchTime = 50ms;
    constexpr Duration streamRecordTimeout = 2s;
    constexpr Duration rolloutReportTimeout = 500ms;
    constexpr Duration drainPollInterval = 20ms;
    constexpr Duration drainHeartbeatInterval = 100ms;
    /** Time for callers to receive the last bytes of their responses. */
    constexpr Duration lastBytesTimeout = 5s;

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

    NodeRecord makeNodeRecord(const EntrySettings& settings)
    {
        NodeRecord self;
        self.id = settings.node;
        self.incarnation = Incarnation(static_cast<uint64_t>(wallClockMs()));
        self.region = settings.region;
        self.zone = settings.zone;
        self.host = settings.announcedLink.host;
        self.port = settings.announcedLink.port;
        self.servesCallers = settings.servesCallers;
        self.prefersPools = settings.prefersPools;
        return self;
    }

    LinkSettings makeLinkSettings(const EntrySettings& settings, const NodeRecord& self)
    {
        LinkSettings link;
        link.fleetKey = settings.fleetKey;
        link.identity = { LinkRole::Entry, self.id, self.incarnation };
        link.heartbeatInterval = settings.limits.linkHeartbeatInterval;
        link.idleTimeout = settings.limits.linkIdleTimeout;
        return link;
    }

    ControlClientSettings makeControlClientSettings(const EntrySettings& settings, const NodeRecord& self)
    {
        ControlClientSettings control;
        control.voters = settings.controlVoters;
        control.link = makeLinkSettings(settings, self);
        control.self = self;
        control.heartbeatInterval = settings.limits.heartbeatInterval;
        control.heartbeatTimeout = settings.limits.heartbeatTimeout;
        return control;
    }

    /** Answers that wait to be sent share the budget with requests, and their buffers may be twice as large as their bytes. */
    HttpClientSettings makeHttpClientSettings(const MemoryLimits& limits)
    {
        HttpClientSettings client;
        client.maxBufferedBytes = std::min(client.maxBufferedBytes, limits.requestBytes / 2);
        client.descriptorShare = targetDescriptorShare;
        return client;
    }

    PoolHostSettings makePoolHostSettings(const EntrySettings& settings, const NodeRecord& self)
    {
        PoolHostSettings host;
        host.self = self.id;
        host.incarnation = self.incarnation;
        host.region = self.region;
        host.pool = settings.pool;
        host.poolSyncTimeout = settings.limits.poolSyncTimeout;
        host.rollout = settings.rollout;
        return host;
    }

}

struct EntryNode::Impl {
    Impl(Loop& loopToUse, EntrySettings settingsToUse, std::optional<EntryExtensions> extensionsToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , extensions(std::move(extensionsToUse))
        , self(makeNodeRecord(settings))
        , callerMemory(CallerMemory::create(settings.memory, metrics))
        , history(settings.limits.historySize, &BootClock::now)
        , controlClient(loop, makeControlClientSettings(settings, self), clusterView, metrics)
        , httpClient(loop, makeHttpClientSettings(callerMemory->budget().limits()))
        , targetClient([this](const HttpCallSettings& call) { return httpClient.start(call); }, [this](const TargetCall& call, const HttpCall& response, Instant sentAt) { reportRateLimit(call, response, sentAt); })
        , ceilingHost({ self.id, self.incarnation, settings.ceilingTolerance }, metrics, ceilingHooks())
        , serviceRetryBudget(settings.routed.retryBudget)
        , loadPoller({ self.id, self.region }, pollerHooks())
        , httpFront(frontSettings(), clusterView, history, metrics, frontHooks())
        , suspectRecorder([this](const RecordSuspects& changes) { return controlClient.recordSuspects(changes, suspectRecordTimeout); })
        , streamRecorder(
              metrics, [this](const RecordStreams& streams) { return controlClient.recordStreams(streams, streamRecordTimeout); }, &BootClock::now)
        , rolloutReporter([this](const RolloutReport& report) { return controlClient.reportRollout(report, rolloutReportTimeout); })
    {
    }

    LoadPollerHooks pollerHooks()
    {
        LoadPollerHooks hooks;
        hooks.fetch = [this](const HttpCallSettings& call) { return fetch(httpClient, call); };
        hooks.report = [this](const LoadReport& report) { poolClient->reportLoad(report); };
        return hooks;
    }

    HttpFrontendSettings frontSettings() const
    {
        HttpFrontendSettings front;
        front.defaults = { settings.limits.defaultDeadline, settings.limits.maxDeadline };
        front.operatorKeyHashes = settings.operatorKeyHashes;
        front.seed = systemSeed();
        return front;
    }

    HttpFrontendHooks frontHooks()
    {
        HttpFrontendHooks hooks;
        hooks.run = [this](const CallerRequest& request, const Contract& contract, HttpExchange& exchange) { requestRunner->run(request, contract, exchange); };
        hooks.unreadyReason = [this] { return unreadyReason(); };
        return hooks;
    }

    std::string unreadyReason() const
    {
        if (requestRunner->isDraining())
            return "draining";
        if (routedRunner && !routedRunner->hasRoutes())
            return "no routing document yet";
        if (!controlClient.hasConfiguration())
            return "no configuration from a control leader yet";
        return controlClient.hasLease() ? "" : "no lease";
    }

    NodeLinksHooks linkHooks()
    {
        NodeLinksHooks hooks;
        hooks.onMessageToOwner = [this](NodeId from, LinkId link, MessageType type, std::string_view body) {
            if (type == MessageType::CeilingRefund)
                ceilingHost.onRefund(body);
            else if (type == MessageType::CeilingSync)
                ceilingHost.onSync(from, body);
            else
                poolHost->onMessage(from, link, type, body);
        };
        hooks.onCallToOwner = [this](NodeId from, MessageType type, std::string_view body) -> Result<std::string> {
            if (type == MessageType::CeilingDebit)
                return ceilingHost.onDebit(body);
            if (type != MessageType::CeilingRequest)
                return fail(ErrorKind::NotFound, "unknown call");
            return ceilingHost.onAllocationRequest(from, body);
        };
        hooks.onMessageToEntry = [this](MessageType type, std::string_view body) { poolClient->onMessage(type, body); };
        hooks.onOutgoingLinkOpen = [this](NodeId node) {
            poolClient->onOutgoingLinkOpen(node);
            ceilingClient->onOutgoingLinkOpen(node);
        };
        hooks.onEntryConnected = [this](NodeId node) {
            poolHost->onEntryConnected(node);
            ceilingHost.onEntryConnected(node);
        };
        hooks.onEntryDisconnected = [this](NodeId node) {
            poolHost->onEntryDisconnected(node);
            ceilingHost.onEntryDisconnected(node);
        };
        return hooks;
    }

    CeilingHostHooks ceilingHooks()
    {
        return { [this] { return controlClient.hasLease(); }, [this] { controlClient.heartbeatNow(); }, &BootClock::now };
    }

    PoolHostHooks hostHooks()
    {
        PoolHostHooks hooks;
        hooks.hasLease = [this] { return controlClient.hasLease(); };
        hooks.onConfigOutdated = [this] { controlClient.heartbeatNow(); };
        hooks.recordSuspect = [this](const SuspectVerdict& verdict) {
            suspectRecorder.record(verdict);
            recordSuspectsInBackground();
        };
        hooks.now = &BootClock::now;
        hooks.reportRollout = [this](const RolloutReport& report) {
            rolloutReporter.record(report);
            reportRolloutsInBackground();
        };
        return hooks;
    }

    /** Runs steps in a fiber of its own while there is work, with a pause before each; does nothing while it runs already. */
    void runInBackground(bool& isRunning, const std::string& what, Duration pause, std::function<bool()> hasWork, std::function<void()> step)
    {
        if (std::exchange(isRunning, true))
            return;
        loop.spawn([this, &isRunning, what, pause, hasWork = std::move(hasWork), step = std::move(step)] {
            while (hasWork()) {
                sleepFor(loop, pause);
                runGuarded(entryLog(), what, step);
            }
            isRunning = false;
        });
    }

    void reportRolloutsInBackground()
    {
        runInBackground(
            isReportingRollouts, "Reporting of rollouts", Duration::zero(), [this] { return rolloutReporter.hasReports(); }, [this] { rolloutReporter.flush(); });
    }

    void recordStreamsInBackground()
    {
        runInBackground(
            isRecordingStreams, "Recording of streams", streamBatchTime, [this] { return streamRecorder.hasStreams(); }, [this] { streamRecorder.flush(); });
    }

    void recordSuspectsInBackground()
    {
        runInBackground(
            isRecordingSuspects, "Recording of suspects", suspectBatchTime, [this] { return suspectRecorder.hasChanges(); }, [this] { suspectRecorder.flush(); });
    }

    RequestRunnerHooks runnerHooks()
    {
        RequestRunnerHooks hooks;
        hooks.hasLease = [this] { return controlClient.hasLease(); };
        hooks.hasConfiguration = [this] { return controlClient.hasConfiguration(); };
        hooks.claimRun = [this](const ClaimRun& claim, Duration timeout) { return controlClient.claimRun(claim, timeout); };
        hooks.finishRun = [this](const FinishRun& finish, Duration timeout) { return controlClient.finishRun(finish, timeout); };
        hooks.acquireCeiling = [this](const Contract& contract, Tokens estimate) { return ceilingClient->admit(contract, estimate); };
        hooks.releaseCeiling = [this](CustomerId customer, Tokens unused) { ceilingClient->release(customer, unused); };
        hooks.recordRequest = [this](CustomerId customer) { customerRetryBudget.recordRequest(customer, BootClock::now()); };
        hooks.acquireRetry = [this](CustomerId customer) { return customerRetryBudget.tryRetry(customer, BootClock::now()); };
        hooks.now = &BootClock::now;
        hooks.sleep = [this](Duration time) { sleepFor(loop, time); };
        return hooks;
    }

    RoutedRequestHooks routedHooks()
    {
        RoutedRequestHooks hooks;
        hooks.hasConfiguration = [this] { return controlClient.hasConfiguration(); };
        hooks.hasLease = [this] { return controlClient.hasLease(); };
        hooks.start = [this](const HttpCallSettings& call) { return httpClient.start(call); };
        hooks.debitCeiling = [this](const Contract& contract, Tokens tokens) { return ceilingClient->debit(contract, tokens); };
        hooks.refundCeiling = [this](const Contract& contract, Tokens tokens, CeilingDecider decider) { ceilingClient->refund(contract, tokens, decider); };
        hooks.recordRequest = [this](const std::string& service) { serviceRetryBudget.recordRequest(service, BootClock::now()); };
        hooks.acquireRetry = [this](const std::string& service) { return serviceRetryBudget.acquireRetry(service, clusterView.entryCount(), BootClock::now()); };
        hooks.spawn = [this](std::function<void()> task) { loop.spawn(std::move(task)); };
        hooks.sleep = [this](Duration time) { sleepFor(loop, time); };
        hooks.now = &BootClock::now;
        return hooks;
    }

    /** Routed requests report the limits of their targets themselves. */
    void reportRateLimit(const TargetCall& call, const HttpCall& response, Instant sentAt)
    {
        auto rateLimit = readRateLimit(response.headers(), rateLimitHeader);
        // A target that refuses a request need not name its limit.
        bool mayEndLimit = response.status() < firstNonSuccessStatus;
        if (rateLimit.limit || !rateLimit.isReadable || mayEndLimit)
            poolClient->reportRateLimit(call.target.pool, { call.target.id, rateLimit.limit, sentAt, rateLimit.isReadable });
    }

    void handleCaller(const HttpRequest& request, HttpExchange& exchange)
    {
        auto routedRequest = extensions ? extensions->readRequest(request) : std::nullopt;
        if (!routedRequest) {
            httpFront.handle(request, exchange);
            return;
        }
        if (!runGuarded(entryLog(), "A routed request", [&] { routedRunner->run(*routedRequest, exchange); }))
            exchange.abort();
    }

    void handleReady(const HttpRequest& request, HttpExchange& exchange)
    {
        if (request.path != extensions->readyPath) {
            httpFront.handle(request, exchange);
            return;
        }
        auto reason = unreadyReason();
        exchange.send(reason.empty() ? 200 : 503, { { "Content-Type", "text/plain" } }, (reason.empty() ? "ready" : reason) + "\n");
    }

    Result<void> listenForCallers()
    {
        auto limits = deriveListenerLimits(descriptorLimit());
        if (settings.servesCallers) {
            auto http = settings.http;
            http.memory = callerMemory;
            http.maxConnections = std::min(http.maxConnections, limits.callers);
            auto serving = HttpServer::listen(loop, http, [this](const HttpRequest& request, HttpExchange& exchange) { handleCaller(request, exchange); });
            if (!serving)
                return tl::unexpected(serving.error());
            callerServer = std::move(*serving);
        }
        if (settings.ready && extensions) {
            auto ready = *settings.ready;
            ready.memory = callerMemory;
            ready.maxConnections = std::min(ready.maxConnections, limits.internal);
            auto serving = HttpServer::listen(loop, ready, [this](const HttpRequest& request, HttpExchange& exchange) { handleReady(request, exchange); });
            if (!serving)
                return tl::unexpected(serving.error());
            readyServer = std::move(*serving);
        }
        return {};
    }

    Result<void> start()
    {
        auto listening = NodeLinks::listen(loop, settings.link, makeLinkSettings(settings, self), clusterView, linkHooks());
        if (!listening)
            return tl::unexpected(listening.error());
        nodeLinks = std::move(*listening);
        poolHost = std::make_unique<PoolHost>(makePoolHostSettings(settings, self), *nodeLinks, metrics, hostHooks());
        PoolClientSettings clientSettings { self.id, self.region, self.zone, settings.limits.ownerTimeout, [this] { return controlClient.hasLease(); } };
        if (settings.limits.localSelectionAfter > Duration::zero())
            clientSettings.localSelectionAfter = settings.limits.localSelectionAfter;
        clientSettings.localSelectionPolicy = settings.pool;
        clientSettings.streams.confirmConfiguration = [this](Duration maxAge, Duration timeout) { return controlClient.confirmConfiguration(maxAge, timeout); };
        clientSettings.streams.record = [this](const StreamBinding& binding) {
            streamRecorder.record(binding);
            recordStreamsInBackground();
        };
        clientSettings.streams.findRecorded = [this](StreamId stream, Duration timeout) { return controlClient.findStream(stream, timeout); };
        clientSettings.rollout = settings.rollout;
        poolClient = std::make_unique<PoolClient>(loop, clientSettings, clusterView, *nodeLinks, &BootClock::now);
        ceilingClient = std::make_unique<CeilingClient>(loop, CeilingClientSettings { self.id, settings.ceilingTolerance }, clusterView, *nodeLinks, metrics, &BootClock::now);
        requestRunner = std::make_unique<RequestRunner>(loop, self, settings.limits, clusterView, *poolClient, targetClient, history, metrics, runnerHooks());
        if (extensions)
            routedRunner = std::make_unique<RoutedRequestRunner>(settings.routed.limits, extensions->targetProtocol, clusterView, *poolClient, history, metrics, routedHooks(), systemSeed());
        if (auto listening = listenForCallers(); !listening)
            return listening;
        clusterView.addChangeHook([this](const ClusterConfig& config) { onConfigChange(config); });
        controlClient.setBusyClosingCustomersHook([this] { return requestRunner->busyClosingCustomers(); });
        controlClient.start();
        startFibers();
        return {};
    }

    void onConfigChange(const ClusterConfig& config)
    {
        nodeLinks->onConfigChange(config);
        // This node's PoolHost must know its new pools before its PoolClient syncs with them.
        poolHost->onConfigChange(config);
        ceilingHost.onConfigChange(config);
        poolClient->onConfigChange(config);
        ceilingClient->onConfigChange(config);
        if (routedRunner)
            routedRunner->onConfigChange(config);
        closeConnectionsToFormerTargets(config);
    }

    /** A target that left the list may keep its side open, and its address may never be used again. */
    void closeConnectionsToFormerTargets(const ClusterConfig& config)
    {
        std::set<std::pair<std::string_view, uint16_t>> listed;
        for (const auto& [id, target] : config.targets) {
            if (target.state != TargetState::Retired)
                listed.emplace(target.host, target.port);
        }
        httpClient.closeIdleConnections([&](const std::string& host, uint16_t port) { return listed.contains({ host, port }); });
    }

    void startFibers()
    {
        loop.spawn([this] {
            for (;;) {
                sleepFor(loop, poolHost->isBusy() ? busyTickInterval : idleTickInterval);
                runGuarded(entryLog(), "A tick of the owned pools", [this] { poolHost->tick(); });
            }
        });
        runPeriodically(settings.limits.localSelectionAfter > Duration::zero() ? busyTickInterval : ownerCheckInterval, [this] { poolClient->checkOwners(); });
        runPeriodically(settings.limits.loadPollInterval, [this] { pollTargets(); });
        runPeriodically(gaugeInterval, [this] { publishGauges(); });
    }

    void runPeriodically(Duration interval, std::function<void()> task)
    {
        loop.spawn([this, interval, task = std::move(task)] {
            for (;;) {
                sleepFor(loop, interval);
                runGuarded(entryLog(), "A periodic task", task);
            }
        });
    }

    void pollTargets()
    {
        for (const auto& target : loadPoller.targetsToPoll(clusterView.config())) {
            // Skips targets whose previous poll has not finished.
            if (target.isDiscovered || !polledTargets.insert(target.id).second)
                continue;
            loop.spawn([this, target] {
                runGuarded(entryLog(), "A load report", [&] { loadPoller.poll(target); });
                polledTargets.erase(target.id);
            });
        }
    }

    void publishGauges()
    {
        callerMemory->publishGauges();
        metrics.setGauge("entry_in_flight", {}, static_cast<double>(requestRunner->inFlight()));
        metrics.setGauge("entry_waiting_for_grant", {}, static_cast<double>(poolClient->pendingCount()));
        metrics.setGauge("entry_has_lease", {}, controlClient.hasLease() ? 1 : 0);
        metrics.setGauge("entry_config_version", {}, static_cast<double>(clusterView.config().version.value()));
        metrics.setGauge("entry_link_bytes_sent", {}, static_cast<double>(linkTraffic().bytesSent));
        metrics.setGauge("entry_link_bytes_received", {}, static_cast<double>(linkTraffic().bytesReceived));
        metrics.setGauge("http_client_idle_connections", {}, static_cast<double>(httpClient.idleConnections()));
        metrics.setGauge("http_client_open_connections", {}, static_cast<double>(httpClient.openConnections()));
        metrics.setGauge("entry_fibers", {}, static_cast<double>(loop.fiberCount()));
        metrics.setGauge("entry_exceptions", {}, static_cast<double>(guardedExceptions()));
    }

    void drain()
    {
        requestRunner->setDraining();
        controlClient.setDraining();
        entryLog().info("Drains: " + std::to_string(inFlight()) + " requests are in flight, " + std::to_string(ownedPoolCount()) + " pools are owned.");
        // New owners wait for this node's PoolRelease, and this node learns of them from heartbeat replies.
        runPeriodically(drainHeartbeatInterval, [this] { controlClient.heartbeatNow(); });
        auto drainStart = BootClock::now();
        // Each step is limited by the rest of the drain timeout, after which the process would be killed.
        auto limitToDrainTimeout = [&](Duration duration) {
            auto limit = settings.limits.drainTimeout;
            return limit == Duration::zero() ? duration : std::clamp<Duration>(drainStart + limit - BootClock::now(), Duration::zero(), duration);
        };
        auto hasTimeLeft = [&] { return limitToDrainTimeout(drainPollInterval) > Duration::zero(); };
        if (callerServer && settings.limits.lameDuckTime > Duration::zero()) {
            // Load balancers that check readiness need time to direct new connections elsewhere.
            callerServer->announceClose();
            sleepFor(loop, limitToDrainTimeout(settings.limits.lameDuckTime));
            callerServer->drain();
        }
        while (inFlight() > 0 && hasTimeLeft())
            sleepFor(loop, drainPollInterval);
        if (inFlight() > 0)
            entryLog().warning("Terminating with " + std::to_string(inFlight()) + " requests in flight, because the drain timeout has expired.");
        waitUntil(limitToDrainTimeout(settings.limits.handoverTimeout), [this] { return (ownedPoolCount() == 0 && !poolHost->isHandingOver()) || !hasSuccessor(); });
        if (ownedPoolCount() > 0)
            entryLog().warning("Terminating with " + std::to_string(ownedPoolCount()) + " pools that no other node has taken over.");
        if (callerServer) {
            callerServer->drain();
            waitUntil(limitToDrainTimeout(lastBytesTimeout), [this] { return callerServer->connectionCount() == 0; });
        }
        entryLog().info("Draining has finished.");
    }

    /** Whether any other node could take over this node's pools. */
    bool hasSuccessor() const
    {
        const auto& nodes = clusterView.config().nodes;
        return std::any_of(nodes.begin(), nodes.end(), [this](const auto& entry) {
            const auto& node = entry.second;
            return node.id != self.id && !node.lost && !node.draining;
        });
    }

    size_t inFlight() const { return requestRunner->inFlight() + (routedRunner ? routedRunner->inFlight() : 0); }

    size_t ownedPoolCount() const { return poolHost->poolCount() + ceilingHost.poolCount(); }

    void waitUntil(Duration limit, const std::function<bool()>& isDone) const
    {
        auto end = BootClock::now() + limit;
        while (!isDone() && BootClock::now() < end)
            sleepFor(loop, drainPollInterval);
    }

    Loop& loop;
    EntrySettings settings;
    std::optional<EntryExtensions> extensions;
    NodeRecord self;
    MetricRegistry metrics;
    std::shared_ptr<CallerMemory> callerMemory;
    ClusterView clusterView;
    RequestHistory history;
    ControlClient controlClient;
    HttpClient httpClient;
    TargetClient targetClient;
    CeilingHost ceilingHost;
    RetryBudget customerRetryBudget;
    ServiceRetryBudget serviceRetryBudget;
    LoadPoller loadPoller;
    HttpFrontend httpFront;
    std::unique_ptr<NodeLinks> nodeLinks;
    SuspectRecorder suspectRecorder;
    bool isRecordingSuspects { false };
    StreamRecorder streamRecorder;
    bool isRecordingStreams { false };
    RolloutReporter rolloutReporter;
    bool isReportingRollouts { false };
    std::unique_ptr<PoolHost> poolHost;
    std::unique_ptr<PoolClient> poolClient;
    std::unique_ptr<CeilingClient> ceilingClient;
    std::unique_ptr<RequestRunner> requestRunner;
    std::unique_ptr<RoutedRequestRunner> routedRunner;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readyServer;
    std::set<TargetId> polledTargets;
};

EntryNode::EntryNode(Loop& loop, EntrySettings settings, std::optional<EntryExtensions> extensions)
    : impl_(std::make_unique<Impl>(loop, std::move(settings), std::move(extensions)))
{
}

EntryNode::~EntryNode() = default;

Result<void> EntryNode::start()
{
    return impl_->start();
}

void EntryNode::drain()
{
    impl_->drain();
}

void EntryNode::reload(const EntrySettings& settings)
{
    impl_->controlClient.setSeeds(settings.controlVoters);
}

bool EntryNode::isDraining() const
{
    return impl_->requestRunner && impl_->requestRunner->isDraining();
}

}
