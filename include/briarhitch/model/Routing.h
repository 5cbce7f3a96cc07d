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

/** How often a routed request may be executed. */
enum class RouteKind : uint8_t {
    /** May be executed by several targets. */
    Idempotent,
    AtMostOnce,
    /** The response is a stream of server-sent events; runs once, but may be resumed on another target if the route is resumable. */
    Stream,
};

/** One of the services that a route's requests are split between. */
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

/** How requests with this host name and path prefix are served. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind { RouteKind::AtMostOnce };
    /** Longest time until the complete response, in milliseconds. */
    uint32_t timeoutMs { 0 };
    /** Time in which a response, or a stream's first event, meets its objective, in milliseconds. */
    uint32_t objectiveMs { 0 };
    /** Time until a stream's first event after which callers disconnect, in milliseconds; zero if they do not. */
    uint32_t firstEventTimeoutMs { 0 };
    /** Longest pause between two events of a stream that meets the objective, in milliseconds; zero if there is no such limit. */
    uint32_t eventGapObjectiveMs { 0 };
    Tier tier;
    std::vector<WeightedService> services;
    /** Most targets that one request may be sent to. */
    uint32_t maxAttempts { 1 };
    /** Whether requests need no key. */
    bool isPublic { false };
    bool isResumable { false };

    bool operator==(const Route&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, host, pathPrefix, kind, timeoutMs, objectiveMs, firstEventTimeoutMs, eventGapObjectiveMs, tier, services, maxAttempts, isPublic, isResumable);
    }
};

/** A service as declared in the routing document; its targets come from discovery. */
struct RoutedService {
    std::string name;
    std::string healthPath;
    /** Most connections that one target accepts, from all nodes together; zero if unknown. */
    uint32_t maxConnections { 0 };
    /** Whether its targets are language model engines. */
    bool isModel { false };
    /** Tokens that fit into one engine's KV cache; zero for a plain service. */
    int64_t memoryTokens { 0 };
    /** Tokens per event of an engine's stream. */
    uint32_t tokensPerEvent { 1 };
    /** Whether a running generation can be migrated from one engine to another. */
    bool canMigrate { false };

    bool operator==(const RoutedService&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, healthPath, maxConnections, isModel, memoryTokens, tokensPerEvent, canMigrate);
    }
};

/** A customer as declared in the routing document. */
struct RoutedCustomer {
    std::string name;
    /** SHA-256 of each key, in hexadecimal. */
    std::vector<std::string> keyHashes;
    /** Overrides the route's tier. */
    std::optional<Tier> tier;
    Ceiling ceiling;
    /** Tokens charged for a request that states no token count. */
    int64_t defaultTokens { 0 };

    bool operator==(const RoutedCustomer&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(name, keyHashes, tier, ceiling, defaultTokens);
    }
};

/** Limits on callers' requests and connections. */
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

/** The routing document: routes, services, limits and customers. It takes effect as a whole. */
struct Routing {
    /** Set by the operator; the highest version wins. Zero: there is no document yet. */
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

/** BadRequest with the reason if the document is inconsistent. */
Result<void> checkRouting(const Routing& routing);

/** Lookup of a request's route, service and customer; built once for each routing document. */
class RouteTable {
public:
    RouteTable() = default;
    explicit RouteTable(const Routing& routing);

    /** The route of this host whose prefix is the longest that matches the path; nullptr if there is none. */
    [[nodiscard]] const Route* find(const std::string& host, const std::string& path) const;
    [[nodiscard]] const RoutedService* findService(const std::string& name) const;
    [[nodiscard]] const RoutedCustomer* findCustomerByKeyHash(const std::string& keyHash) const;
    [[nodiscard]] size_t routeCount() const { return routes_.size(); }

private:
    std::vector<Route> routes_;
    std::map<std::string, RoutedService> services_;
    std::vector<RoutedCustomer> customers_;
    std::map<std::string, size_t> customersByKeyHash_;
    /** Indices into routes_ by host and path prefix. */
    std::map<std::string, std::map<std::string, size_t>> byHost_;
};

/** Chooses one of the route's services by weight; `draw` is a random number from [0, 1). */
const std::string& chooseService(const Route& route, double draw);

}
