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
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Guard.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/sched/RetryBudget.h"

#include <algorithm>
#include <set>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration busyTickInterval = 20ms;
    constexpr Duration idleTickInterval = 50ms;
    constexpr Duration ownerCheckInterval = 100ms;
    constexpr Duration gaugeInterval = 1s;
    constexpr Duration drainStep = 20ms;
    constexpr Duration drainHeartbeatInterval = 100ms;
    /** Callers whose answer is complete may still be taking its last bytes. */
    constexpr Duration lastBytesTime = 5s;

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

    NodeRecord selfOf(const EntrySettings& settings)
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

    LinkSettings linkSettingsOf(const EntrySettings& settings, const NodeRecord& self)
    {
        LinkSettings link;
        link.fleetKey = settings.fleetKey;
        link.identity = { LinkRole::Entry, self.id, self.incarnation };
        link.heartbeatInterval = settings.limits.linkHeartbeat;
        link.silenceLimit = settings.limits.linkSilence;
        return link;
    }

    ControlClientSettings controlSettingsOf(const EntrySettings& settings, const NodeRecord& self)
    {
        ControlClientSettings control;
        control.voters = settings.controlVoters;
        control.link = linkSettingsOf(settings, self);
        control.self = self;
        control.heartbeatInterval = settings.limits.heartbeatInterval;
        control.heartbeatTimeout = settings.limits.heartbeatTimeout;
        return control;
    }

    PoolHostSettings hostSettingsOf(const EntrySettings& settings, const NodeRecord& self)
    {
        PoolHostSettings host;
        host.self = self.id;
        host.incarnation = self.incarnation;
        host.region = self.region;
        host.pool = settings.pool;
        host.collectTime = settings.limits.collectTime;
        return host;
    }

}

struct EntryNode::Impl {
    Impl(Loop& loopToUse, EntrySettings settingsToUse, std::optional<EntryExtensions> extensionsToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , extensions(std::move(extensionsToUse))
        , self(selfOf(settings))
        , history(settings.limits.historySize, &BootClock::now)
        , control(loop, controlSettingsOf(settings, self), view, metrics)
        , http(loop)
        , targets([this](const HttpCallSettings& call) { return http.start(call); })
        , ceilingHost(
              self.id, self.incarnation, [this] { return control.hasLease(); }, &BootClock::now, settings.ceilingTolerance)
        , repeats(settings.routed.repeats)
        , poller({ self.id, self.region }, pollerHooks())
        , front(frontSettings(), view, history, metrics, frontHooks())
    {
    }

    LoadPollerHooks pollerHooks()
    {
        LoadPollerHooks hooks;
        hooks.fetch = [this](const HttpCallSettings& call) { return fetch(http, call); };
        hooks.report = [this](const LoadReport& report) { pools->reportLoad(report); };
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
        hooks.run = [this](const CallerRequest& request, const Contract& contract, HttpExchange& exchange) { runner->run(request, contract, exchange); };
        hooks.unreadyReason = [this] { return unreadyReason(); };
        return hooks;
    }

    std::string unreadyReason() const
    {
        if (runner->isDraining())
            return "draining";
        if (routed && !routed->hasRoutes())
            return "no routing document yet";
        if (!control.hasConfiguration())
            return "no configuration from a control leader yet";
        return control.hasLease() ? "" : "no lease";
    }

    NodeLinksHooks linkHooks()
    {
        NodeLinksHooks hooks;
        hooks.onOwnerMessage = [this](NodeId from, LinkId link, MessageType type, std::string_view body) {
            if (type == MessageType::CeilingRefund)
                ceilingHost.onRefund(body);
            else
                host->onMessage(from, link, type, body);
        };
        hooks.onOwnerCall = [this](NodeId from, MessageType type, std::string_view body) -> Result<std::string> {
            if (type == MessageType::CeilingDebit)
                return ceilingHost.onDebit(body);
            if (type != MessageType::CeilingAsk)
                return fail(ErrorKind::NotFound, "no such call");
            return ceilingHost.onCall(from, body);
        };
        hooks.onEntryMessage = [this](MessageType type, std::string_view body) { pools->onMessage(type, body); };
        hooks.onNodeOpen = [this](NodeId node) { pools->onNodeOpen(node); };
        hooks.onEntryOpen = [this](NodeId node) { host->onEntryOpen(node); };
        hooks.onEntryClosed = [this](NodeId node) { host->onEntryClosed(node); };
        return hooks;
    }

    PoolHostHooks hostHooks()
    {
        PoolHostHooks hooks;
        hooks.hasLease = [this] { return control.hasLease(); };
        hooks.onConfigBehind = [this] { control.heartbeatNow(); };
        hooks.now = &BootClock::now;
        return hooks;
    }

    RequestRunnerHooks runnerHooks()
    {
        RequestRunnerHooks hooks;
        hooks.hasLease = [this] { return control.hasLease(); };
        hooks.hasConfiguration = [this] { return control.hasConfiguration(); };
        hooks.claimRun = [this](const ClaimRun& claim, Duration timeout) { return control.claimRun(claim, timeout); };
        hooks.finishRun = [this](const FinishRun& finish, Duration timeout) { return control.finishRun(finish, timeout); };
        hooks.acquireCeiling = [this](const Contract& contract, Tokens estimate) { return ceilings->enter(contract, estimate); };
        hooks.releaseCeiling = [this](CustomerId customer, Tokens unused) { ceilings->leave(customer, unused); };
        hooks.recordRequest = [this](CustomerId customer) { retries.requestArrived(customer, BootClock::now()); };
        hooks.acquireRetry = [this](CustomerId customer) { return retries.tryRetry(customer, BootClock::now()); };
        hooks.now = &BootClock::now;
        hooks.sleep = [this](Duration time) { sleepFor(loop, time); };
        return hooks;
    }

    RoutedRequestHooks routedHooks()
    {
        RoutedRequestHooks hooks;
        hooks.hasConfiguration = [this] { return control.hasConfiguration(); };
        hooks.hasLease = [this] { return control.hasLease(); };
        hooks.start = [this](const HttpCallSettings& call) { return http.start(call); };
        hooks.debitCeiling = [this](const Contract& contract, Tokens tokens) { return ceilings->debit(contract, tokens); };
        hooks.refundCeiling = [this](const Contract& contract, Tokens tokens) { ceilings->refund(contract, tokens); };
        hooks.recordRequest = [this](const std::string& service) { repeats.noteRequest(service, BootClock::now()); };
        hooks.acquireRetry = [this](const std::string& service) { return repeats.tryRepeat(service, view.entryCount(), BootClock::now()); };
        hooks.now = &BootClock::now;
        return hooks;
    }

    void handleCaller(const HttpRequest& request, HttpExchange& exchange)
    {
        auto decoded = extensions ? extensions->readRequest(request) : std::nullopt;
        if (!decoded) {
            front.handle(request, exchange);
            return;
        }
        if (!runGuarded(entryLog(), "A routed request", [&] { routed->run(*decoded, exchange); }))
            exchange.abort();
    }

    void handleReady(const HttpRequest& request, HttpExchange& exchange)
    {
        if (request.path != extensions->readyPath) {
            front.handle(request, exchange);
            return;
        }
        auto reason = unreadyReason();
        exchange.send(reason.empty() ? 200 : 503, { { "Content-Type", "text/plain" } }, (reason.empty() ? "ready" : reason) + "\n");
    }

    Result<void> listenForCallers()
    {
        if (settings.servesCallers) {
            auto serving = HttpServer::listen(loop, settings.http, [this](const HttpRequest& request, HttpExchange& exchange) { handleCaller(request, exchange); });
            if (!serving)
                return tl::unexpected(serving.error());
            server = std::move(*serving);
        }
        if (settings.ready && extensions) {
            auto serving = HttpServer::listen(loop, *settings.ready, [this](const HttpRequest& request, HttpExchange& exchange) { handleReady(request, exchange); });
            if (!serving)
                return tl::unexpected(serving.error());
            readyServer = std::move(*serving);
        }
        return {};
    }

    Result<void> start()
    {
        auto listening = NodeLinks::listen(loop, settings.link, linkSettingsOf(settings, self), view, linkHooks());
        if (!listening)
            return tl::unexpected(listening.error());
        links = std::move(*listening);
        host = std::make_unique<PoolHost>(hostSettingsOf(settings, self), *links, metrics, hostHooks());
        PoolClientSettings client { self.id, self.region, self.zone, settings.limits.ownerTimeout, [this] { return control.hasLease(); } };
        if (settings.limits.soloAfter > Duration::zero())
            client.soloAfter = settings.limits.soloAfter;
        client.soloPolicy = settings.pool;
        pools = std::make_unique<PoolClient>(loop, client, view, *links, &BootClock::now);
        ceilings = std::make_unique<CeilingClient>(loop, view, *links, &BootClock::now);
        runner = std::make_unique<RequestRunner>(loop, self, settings.limits, view, *pools, targets, history, metrics, runnerHooks());
        if (extensions)
            routed = std::make_unique<RoutedRequestRunner>(settings.routed.limits, extensions->dialect, view, *pools, history, metrics, routedHooks(), systemSeed());
        if (auto listening = listenForCallers(); !listening)
            return listening;
        view.onChange([this](const ClusterConfig& config) { onConfigChange(config); });
        control.setBusyClosingCustomersHook([this] { return runner->busyClosingCustomers(); });
        control.start();
        startFibers();
        return {};
    }

    void onConfigChange(const ClusterConfig& config)
    {
        links->onConfigChange(config);
        // The local owner must know its new pools before the local entry syncs with them.
        host->onConfigChange(config);
        ceilingHost.onConfigChange(config);
        pools->onConfigChange(config);
        if (routed)
            routed->onConfigChange(config);
    }

    void startFibers()
    {
        loop.spawn([this] {
            for (;;) {
                sleepFor(loop, host->isBusy() ? busyTickInterval : idleTickInterval);
                runGuarded(entryLog(), "A step of the pools owned here", [this] { host->tick(); });
            }
        });
        repeat(settings.limits.soloAfter > Duration::zero() ? busyTickInterval : ownerCheckInterval, [this] { pools->checkOwners(); });
        repeat(settings.limits.loadPollInterval, [this] { pollTargets(); });
        repeat(gaugeInterval, [this] { publishGauges(); });
    }

    void repeat(Duration interval, std::function<void()> step)
    {
        loop.spawn([this, interval, step = std::move(step)] {
            for (;;) {
                sleepFor(loop, interval);
                runGuarded(entryLog(), "A periodic step", step);
            }
        });
    }

    void pollTargets()
    {
        for (const auto& target : poller.targetsToPoll(view.config())) {
            // A target that answers slowly is not asked again meanwhile.
            if (target.isDiscovered || !polling.insert(target.id).second)
                continue;
            loop.spawn([this, target] {
                runGuarded(entryLog(), "A load report", [&] { poller.poll(target); });
                polling.erase(target.id);
            });
        }
    }

    void publishGauges()
    {
        metrics.setGauge("entry_in_flight", {}, static_cast<double>(runner->inFlight()));
        metrics.setGauge("entry_waiting_for_grant", {}, static_cast<double>(pools->pendingCount()));
        metrics.setGauge("entry_has_lease", {}, control.hasLease() ? 1 : 0);
        metrics.setGauge("entry_config_version", {}, static_cast<double>(view.config().version.value()));
        metrics.setGauge("entry_link_bytes_sent", {}, static_cast<double>(linkTraffic().bytesSent));
        metrics.setGauge("entry_link_bytes_received", {}, static_cast<double>(linkTraffic().bytesReceived));
        metrics.setGauge("entry_fibers", {}, static_cast<double>(loop.fiberCount()));
        metrics.setGauge("entry_exceptions", {}, static_cast<double>(guardedExceptions()));
    }

    void drain()
    {
        runner->setDraining();
        control.setDraining();
        entryLog().info("Drains: " + std::to_string(inFlight()) + " requests are in flight, " + std::to_string(poolCount()) + " pools are owned.");
        // The new owners wait for this node's release, and it learns of them with its heartbeats.
        repeat(drainHeartbeatInterval, [this] { control.heartbeatNow(); });
        auto begun = BootClock::now();
        // No step may outlast the whole: the process would be killed instead of ending.
        auto timeFor = [&](Duration step) {
            auto limit = settings.limits.drainTimeout;
            return limit == Duration::zero() ? step : std::clamp<Duration>(begun + limit - BootClock::now(), Duration::zero(), step);
        };
        auto isInTime = [&] { return timeFor(drainStep) > Duration::zero(); };
        if (server && settings.limits.lameDuckTime > Duration::zero()) {
            // Whoever checks readiness needs a moment to send new connections elsewhere.
            server->announceClose();
            sleepFor(loop, timeFor(settings.limits.lameDuckTime));
            server->drain();
        }
        while (inFlight() > 0 && isInTime())
            sleepFor(loop, drainStep);
        if (inFlight() > 0)
            entryLog().warning("Ends with " + std::to_string(inFlight()) + " requests in flight: the time for draining is over.");
        waitUntil(timeFor(settings.limits.handoverTimeout), [this] { return (poolCount() == 0 && !host->isHandingOver()) || !hasSuccessor(); });
        if (poolCount() > 0)
            entryLog().warning("Ends with " + std::to_string(poolCount()) + " pools that no other node took over.");
        if (server) {
            server->drain();
            waitUntil(timeFor(lastBytesTime), [this] { return server->connectionCount() == 0; });
        }
        entryLog().info("Has drained.");
    }

    /** Whether any other node could take over pools. */
    bool hasSuccessor() const
    {
        const auto& nodes = view.config().nodes;
        return std::any_of(nodes.begin(), nodes.end(), [this](const auto& entry) {
            const auto& node = entry.second;
            return node.id != self.id && !node.lost && !node.draining;
        });
    }

    size_t inFlight() const { return runner->inFlight() + (routed ? routed->inFlight() : 0); }

    size_t poolCount() const { return host->poolCount() + ceilingHost.poolCount(); }

    void waitUntil(Duration limit, const std::function<bool()>& isDone) const
    {
        auto end = BootClock::now() + limit;
        while (!isDone() && BootClock::now() < end)
            sleepFor(loop, drainStep);
    }

    Loop& loop;
    EntrySettings settings;
    std::optional<EntryExtensions> extensions;
    NodeRecord self;
    MetricRegistry metrics;
    ClusterView view;
    RequestHistory history;
    ControlClient control;
    HttpClient http;
    TargetClient targets;
    CeilingHost ceilingHost;
    RetryBudget retries;
    ServiceRetryBudget repeats;
    LoadPoller poller;
    HttpFrontend front;
    std::unique_ptr<NodeLinks> links;
    std::unique_ptr<PoolHost> host;
    std::unique_ptr<PoolClient> pools;
    std::unique_ptr<CeilingClient> ceilings;
    std::unique_ptr<RequestRunner> runner;
    std::unique_ptr<RoutedRequestRunner> routed;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> readyServer;
    std::set<TargetId> polling;
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
    impl_->control.setSeeds(settings.controlVoters);
}

bool EntryNode::isDraining() const
{
    return impl_->runner && impl_->runner->isDraining();
}

}
