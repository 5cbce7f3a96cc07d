#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Contract.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** How often a routed request may run. */
enum class RouteKind : uint8_t {
    /** Idempotent: may run on several targets. */
    Idempotent,
    AtMostOnce,
    /** Answered as server-sent events; runs once, but a resumable route may continue it on another target. */
    Stream,
};

/** One of the services that share a route's traffic. */
struct WeightedService {
    std::string service;
    double weight { 1 };

    bool operator==(const WeightedService&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(service, weight);
    }
};

/** Requests with this host name and path prefix, and how they are served. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind { RouteKind::AtMostOnce };
    /** Longest time a caller is kept waiting for the whole answer, in milliseconds. */
    uint32_t timeoutMs { 0 };
    /** Time in which an answer, or a stream's first event, has its full value; in milliseconds. */
    uint32_t objectiveMs { 0 };
    /** Callers of a stream leave if its first event is not there by then, in milliseconds; zero if they wait on. */
    uint32_t firstEventTimeoutMs { 0 };
    /** Longest pause between events of a stream that is still on time, in milliseconds; zero if there is none. */
    uint32_t eventGapObjectiveMs { 0 };
    Tier tier;
    std::vector<WeightedService> services;
    /** Targets that one request may be sent to. */
    uint32_t maxAttempts { 1 };
    /** Needs no key. */
    bool isPublic { false };
    bool isResumable { false };

    bool operator==(const Route&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, host, pathPrefix, kind, timeoutMs, objectiveMs, firstEventTimeoutMs, eventGapObjectiveMs, tier, services, maxAttempts, isPublic, isResumable);
    }
};

/** A service as its operators declare it; its targets come from discovery. */
struct RoutedService {
    std::string name;
    std::string healthPath;
    /** Connections that one target accepts from all nodes together; zero if unknown. */
    uint32_t maxConnections { 0 };
    /** Whether its targets are language model engines. */
    bool isModel { false };
    /** Tokens that one engine's memory holds; zero for a plain service. */
    int64_t memoryTokens { 0 };
    /** Tokens in one event of an engine's stream. */
    uint32_t tokensPerEvent { 1 };
    /** Whether engines hand a running generation over to one another. */
    bool canMigrate { false };

    bool operator==(const RoutedService&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, healthPath, maxConnections, isModel, memoryTokens, tokensPerEvent, canMigrate);
    }
};

/** A customer as a routing document declares it. */
struct RoutedCustomer {
    std::string name;
    /** SHA-256 of each key, in hexadecimal. */
    std::vector<std::string> keyHashes;
    /** Replaces the route's tier. */
    std::optional<Tier> tier;
    Ceiling ceiling;
    /** Tokens that a request without a token count is charged. */
    int64_t defaultTokens { 0 };

    bool operator==(const RoutedCustomer&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, keyHashes, tier, ceiling, defaultTokens);
    }
};

/** What callers may send. */
struct CallerLimits {
    uint64_t maxHeaderBytes { 16 * 1024 };
    uint64_t maxBodyBytes { 4 * 1024 * 1024 };
    uint32_t headerTimeoutMs { 10000 };
    uint32_t idleTimeoutMs { 60000 };

    bool operator==(const CallerLimits&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }
};

/** Routes, services, limits and customers as one document; it takes effect as a whole. */
struct Routing {
    /** Set by the operator; the highest one wins. Zero: there is no document yet. */
    Version version;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    /** Whether requests on routes that are not public need a key. */
    bool hasCustomers { false };
    std::vector<RoutedCustomer> customers;

    bool operator==(const Routing&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(version, routes, services, limits, hasCustomers, customers);
    }
};

/** BadRequest with the reason if the document contradicts itself. */
Result<void> checkRouting(const Routing& routing);

/** Finds the route of a request; built once for each document. */
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const Routing& routing);

    /** The route of this host with the longest prefix of the path; none if there is no such route. */
    [[nodiscard]] const Route* find(const std::string& host, const std::string& path) const;
    [[nodiscard]] const RoutedService* findService(const std::string& name) const;
    [[nodiscard]] const RoutedCustomer* findCustomerByKeyHash(const std::string& keyHash) const;
    [[nodiscard]] size_t routeCount() const { return routes_.size(); }

private:
    std::vector<Route> routes_;
    std::map<std::string, RoutedService> services_;
    std::vector<RoutedCustomer> customers_;
    std::map<std::string, size_t> customersByKeyHash_;
    /** Index into routes_ by host and prefix. */
    std::map<std::string, std::map<std::string, size_t>> byHost_;
};

/** The service that gets this request, by the route's weights; `draw` is from 0 up to, not including, 1. */
const std::string& chooseService(const Route& route, double draw);

}
