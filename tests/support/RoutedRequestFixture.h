#pragma once

#include "briarhitch/entry/RoutedRequestRunner.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace briarhitch {

inline std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

inline ScriptedResponse streamOf(std::vector<Result<std::string>> chunks)
{
    return { std::nullopt, 200, { { "Content-Type", "text/event-stream" } }, std::move(chunks) };
}

/** A protocol with short header names. */
inline TargetProtocol testProtocol()
{
    TargetProtocol protocol;
    protocol.headersFor = [](const AttemptContext& terms) {
        HttpHeaders headers { { "Left-Ms", std::to_string(toMs(terms.timeLeft)) }, { "Instance", terms.target.name }, { "Customer", terms.customer } };
        if (!terms.kvCacheSource.empty())
            headers.emplace_back("From", terms.kvCacheSource);
        if (terms.resumeAfterEventId)
            headers.emplace_back("After", std::to_string(*terms.resumeAfterEventId));
        return headers;
    };
    protocol.classifyResponse = [](const RoutedRequest&, int status, const HttpHeaders& headers) {
        if (status == 421)
            return ResponseKind::WrongTarget;
        if (!findHeader(headers, "Not-Run").empty())
            return ResponseKind::NotRun;
        return findHeader(headers, "Unsound").empty() ? ResponseKind::Valid : ResponseKind::Invalid;
    };
    protocol.responseOwner = [](const RoutedRequest&, const HttpHeaders&) { return ResponseOwner::ThisRequest; };
    protocol.targetSignals = [](const HttpHeaders& headers, int) {
        TargetSignals signals { !findHeader(headers, "Leaving").empty(), findHeader(headers, "Pause").empty() ? std::chrono::milliseconds(0) : std::chrono::milliseconds(1500), {}, true };
        auto limit = findHeader(headers, "Limit");
        signals.isRateLimitReadable = limit != "unreadable";
        if (signals.isRateLimitReadable && !limit.empty())
            signals.rateLimit = RequestRate(std::stod(std::string(limit)));
        return signals;
    };
    protocol.migrationCall = [](const RoutedRequest& request, const Target& from, const Target& to) {
        HttpCallSettings call;
        call.method = "POST";
        call.target = "/move/" + request.callerId + "/" + from.name + "/" + to.name;
        return call;
    };
    protocol.parseMigrationResult = [](const Target& from, int status, const std::string& body) {
        auto state = status == 200 || status == 503 ? GenerationState::Stopped : GenerationState::Running;
        return MigrationResult { state, status == 200, from.name + "/" + body };
    };
    protocol.refusalHeaders = [](const Error&) { return HttpHeaders(); };
    return protocol;
}

/** A runner with a route of each kind and three targets. */
struct RoutedRequestFixture {
    explicit RoutedRequestFixture(RoutedRequestLimits limitsToUse = {})
        : limits(limitsToUse)
    {
        ClusterConfig config;
        config.version = Version(1);
        for (uint32_t id = 1; id <= 3; ++id) {
            Target target;
            target.id = TargetId(id);
            target.name = "t" + std::to_string(id);
            config.targets[target.id] = target;
        }
        config.routing.version = Version(1);
        config.routing.services = { { "shop", "", 0, false, 0, 1 }, { "engines", "", 0, true, 0, 5, true } };
        addRoute(config, "/charge/", RouteKind::AtMostOnce, "shop", 1);
        addRoute(config, "/lookup/", RouteKind::Idempotent, "shop", 2);
        addRoute(config, "/plan/", RouteKind::Stream, "engines", 1);
        addRoute(config, "/query/", RouteKind::Stream, "engines", 2, true);
        addRoute(config, "/once/", RouteKind::Stream, "engines", 1, true);
        addRoute(config, "/private/", RouteKind::Idempotent, "shop", 2, false, false);
        config.routing.hasCustomers = true;
        RoutedCustomer customer;
        customer.name = "harbour";
        customer.keyHashes = { "key" };
        customer.defaultTokens = 200;
        config.routing.customers = { customer };
        Contract contract;
        contract.customer = CustomerId(4);
        contract.name = "harbour";
        contract.keyHashes = { "key" };
        config.customers[contract.customer] = contract;
        apply(config);
        pools.grants = { TargetId(1), TargetId(2), TargetId(3) };
    }

    static void addRoute(ClusterConfig& config, const std::string& prefix, RouteKind repeat, const std::string& service, uint32_t attempts, bool isResumable = false, bool isPublic = true)
    {
        Route route;
        route.name = prefix;
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.kind = repeat;
        route.timeoutMs = 1200;
        route.objectiveMs = 150;
        route.services = { { service, 1 } };
        route.maxAttempts = attempts;
        route.isResumable = isResumable;
        route.isPublic = isPublic;
        config.routing.routes.push_back(route);
    }

    void apply(const ClusterConfig& newConfig)
    {
        HeartbeatReply reply;
        reply.snapshot = newConfig;
        view.apply(reply);
        runner.onConfigChange(view.config());
    }

    RoutedRequestHooks hooks()
    {
        RoutedRequestHooks hooks;
        hooks.hasConfiguration = [this] { return hasConfiguration; };
        hooks.hasLease = [this] { return hasLease; };
        hooks.start = targets.hook();
        hooks.debitCeiling = [this](const Contract&, Tokens tokens) {
            debited += tokens.value();
            return CeilingVerdict {};
        };
        hooks.refundCeiling = [this](const Contract&, Tokens tokens, CeilingDecider) { debited -= tokens.value(); };
        hooks.recordRequest = [](const std::string&) {};
        hooks.acquireRetry = [this](const std::string&) { return retriesLeft-- > 0; };
        hooks.spawn = [this](std::function<void()> task) {
            if (spawnDelay == Duration::zero())
                task();
            else
                spawned.emplace_back(clock.now + spawnDelay, std::move(task));
        };
        hooks.sleep = [this](Duration time) {
            clock.now += time;
            auto due = std::exchange(spawned, {});
            for (auto& [at, task] : due) {
                if (at <= clock.now)
                    task();
                else
                    spawned.emplace_back(at, std::move(task));
            }
        };
        hooks.now = clock.hook();
        return hooks;
    }

    static RoutedRequest requestTo(const std::string& path, const std::string& key = {})
    {
        RoutedRequest request;
        request.callerId = "c1";
        request.host = "a.example";
        request.method = "POST";
        request.path = request.target = path;
        request.keyHash = key;
        request.callerTimeout = std::chrono::milliseconds(2500);
        return request;
    }

    FakeExchange& run(const RoutedRequest& request)
    {
        runner.run(request, exchange);
        return exchange;
    }
    FakeExchange& run(const std::string& path, const std::string& key = {}) { return run(requestTo(path, key)); }

    std::string header(size_t send, const std::string& name) const { return std::string(findHeader(targets.log.at(send).headers, name)); }

    ManualClock clock;
    ScriptedTargets targets { clock };
    FakePools pools;
    ClusterView view;
    RequestHistory history { 100, clock.hook() };
    MetricRegistry metrics;
    FakeExchange exchange;
    bool hasLease { true };
    bool hasConfiguration { true };
    int retriesLeft { 10 };
    int64_t debited { 0 };
    /** Time until a spawned task runs, at once, in a later sleep; zero: when it is spawned. */
    Duration spawnDelay { 0 };
    std::vector<std::pair<Instant, std::function<void()>>> spawned;
    RoutedRequestLimits limits;
    RoutedRequestRunner runner { limits, testProtocol(), view, pools, history, metrics, hooks(), 1 };
};

}
